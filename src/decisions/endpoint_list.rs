//! The endpoint list: how it is polled, and what a new one changes.

use rand::RngExt;

use super::Router;
use super::timers::TimerEvent;
use crate::interface::{Effect, HostEntry, ListScope};

/// Routers that discovery and the platform bear at once; what more of them do is spread over time.
const SMALL_FLEET_ROUTERS: u32 = 20;

/// Seconds before a failed poll is repeated, at first.
const MIN_BACKOFF: f64 = 0.3;

/// Seconds before a failed poll is repeated, at most, in a small fleet.
const MAX_BACKOFF: f64 = 2.0;

/// Whether there are so many routers that what they do at once is not borne.
pub(super) fn is_large_fleet(routers: u32) -> bool {
    routers > SMALL_FLEET_ROUTERS
}

/// The time, in seconds, over which all routers spread their first polls.
pub(super) fn poll_spread(poll_interval: f64, routers: u32) -> f64 {
    poll_interval * (1.0 - f64::from(SMALL_FLEET_ROUTERS) / f64::from(routers)).max(0.0)
}

/// The wait before a failed poll is repeated, doubling with each failure.
pub(super) struct PollBackoff {
    wait: f64,
}

impl PollBackoff {
    /// The first wait.
    pub(super) fn new() -> Self {
        PollBackoff { wait: MIN_BACKOFF }
    }

    /// Returns the present wait, in seconds, and doubles it up to the largest.
    fn next(&mut self, poll_spread: f64) -> f64 {
        let wait = self.wait;
        self.wait = (2.0 * wait).min(MAX_BACKOFF.max(poll_spread));
        wait
    }
}

impl Router {
    /// Polls for the first list. Discovery serves all routers in turn, and calls that wait too long are lost, work
    /// and all: where a large fleet restarts and polls at once, hardly any is served, again and again.
    pub(super) fn poll_first_list(&mut self, now: f64, effects: &mut Vec<Effect>) {
        if !self.settings.polls_endpoint_list {
            return;
        }
        let spread = self.settings.poll_spread;
        if spread > 0.0 {
            let at = now + spread * self.rng.random::<f64>();
            self.timers.schedule(at, TimerEvent::Subscribe, effects);
        } else {
            effects.push(Effect::SubscribeEndpointList { on: true });
        }
    }

    /// Polls again later. A subscription that broke would count as notified; so it is renewed soon, spread at
    /// random, and slower with each failure.
    pub(super) fn on_endpoint_list_failed(&mut self, now: f64, effects: &mut Vec<Effect>) {
        if !self.settings.polls_endpoint_list {
            return;
        }
        let jitter = 0.5 + self.rng.random::<f64>();
        let wait = self.poll_backoff.next(self.settings.poll_spread) * jitter;
        self.timers
            .schedule(now + wait, TimerEvent::Subscribe, effects);
    }

    /// Applies a list with all that was staged for it. Requests of an earlier revision do not go to hosts that came
    /// with a later one.
    pub(super) fn apply_endpoint_list(
        &mut self,
        now: f64,
        scope: ListScope,
        entries: &[HostEntry],
    ) {
        self.poll_backoff = PollBackoff::new();
        self.hosts.stage(entries);
        let is_full = scope != ListScope::Delta;
        let changed = self.hosts.commit_staged(is_full, self.overrides.revision);
        self.update_index(now, changed);
        self.refresh_weights(now);
        let listed = self.hosts.index.sum(|_| true);
        self.hosts.lowest_build = self.hosts.index.builds().next();
        if self.hosts.largest_listed_size <= 0.0 {
            self.in_flight.reset(listed.hosts, self.peers.traffic_share);
        }
        self.hosts.largest_listed_size = self.hosts.largest_listed_size.max(listed.share);
    }
}
