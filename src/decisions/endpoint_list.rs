//! The endpoint list: how it is polled, and what changes with a new one.

use rand::RngExt;

use super::Router;
use super::timers::TimerEvent;
use crate::interface::{Effect, HostEntry, ListScope};

/// Number of routers that discovery and the platform can serve at once; the calls of larger fleets are spread over
/// time.
const SMALL_FLEET_ROUTERS: u32 = 20;

/// Seconds before a failed poll is first repeated.
const MIN_BACKOFF: f64 = 0.3;

/// Maximum time, in seconds, before a failed poll is repeated in a small fleet.
const MAX_BACKOFF: f64 = 2.0;

/// Whether there are too many routers for discovery and the platform to serve all of them at once.
pub(super) fn is_large_fleet(routers: u32) -> bool {
    routers > SMALL_FLEET_ROUTERS
}

/// The time, in seconds, over which all routers together spread their first polls.
pub(super) fn poll_spread(poll_interval: f64, routers: u32) -> f64 {
    poll_interval * (1.0 - f64::from(SMALL_FLEET_ROUTERS) / f64::from(routers)).max(0.0)
}

/// The delay before a failed poll is repeated, in seconds, which doubles with each failure.
pub(super) struct PollBackoff {
    wait: f64,
}

impl PollBackoff {
    /// The first delay.
    pub(super) fn new() -> Self {
        PollBackoff { wait: MIN_BACKOFF }
    }

    /// Returns the current delay, in seconds, and doubles it up to a maximum.
    fn next(&mut self, poll_spread: f64) -> f64 {
        let wait = self.wait;
        self.wait = (2.0 * wait).min(MAX_BACKOFF.max(poll_spread));
        wait
    }
}

impl Router {
    /// Polls for the first list. Discovery serves the routers one after another, and calls that wait too long are
    /// lost after work was spent on them: if a large fleet restarts and polls at once, hardly any call succeeds, and
    /// the retries fail in the same way.
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

    /// Polls again after a random delay that grows with each failure. The delay starts small because a router whose
    /// subscription broke still counts as notified of changes.
    pub(super) fn on_endpoint_list_failed(&mut self, now: f64, effects: &mut Vec<Effect>) {
        if !self.settings.polls_endpoint_list {
            return;
        }
        let jitter = 0.5 + self.rng.random::<f64>();
        let wait = self.poll_backoff.next(self.settings.poll_spread) * jitter;
        self.timers
            .schedule(now + wait, TimerEvent::Subscribe, effects);
    }

    /// Applies a list with everything that was staged for it. Requests that arrived under an earlier revision are not
    /// sent to hosts that were listed under a later one.
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
