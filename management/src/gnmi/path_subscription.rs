//! One subscription of a stream: what it wants, how often, and what was sent for it last.

use std::sync::Arc;
use std::time::Duration;

use kestreltide_yang::Schema;
use kestreltide_yang::data::InstancePath;
use tokio::time::Instant;
use tonic::Status;

use super::encoding::update;
use super::errors::invalid_argument;
use super::snapshot::{Leaves, Selection, Snapshot};
use crate::Limits;
use crate::proto::gnmi::{Path, SubscriptionMode, Update};

/// One subscription of a stream.
pub(super) struct PathSubscription {
    pub(super) selection: Selection,
    on_change: bool,
    /// Between samples, and between signs of life; none: never.
    sample_interval: Option<Duration>,
    heartbeat_interval: Option<Duration>,
    suppress_redundant: bool,
    next_sample: Option<Instant>,
    next_heartbeat: Option<Instant>,
    /// What was sent last.
    pub(super) sent: Arc<Leaves>,
}

impl PathSubscription {
    pub(super) fn new(
        selection: Selection,
        subscription: &crate::proto::gnmi::Subscription,
        limits: &Limits,
    ) -> Result<Self, Status> {
        let mode = SubscriptionMode::try_from(subscription.mode).map_err(|_| {
            invalid_argument(
                "subscription/mode",
                "no such mode",
                &subscription.mode.to_string(),
                "ON_CHANGE or SAMPLE",
            )
        })?;
        let on_change = mode != SubscriptionMode::Sample;
        let min_interval = Duration::from_secs_f64(limits.min_sample_interval);
        let interval = Duration::from_nanos(subscription.sample_interval);
        if !on_change && subscription.sample_interval > 0 && interval < min_interval {
            let expected = format!("0, or at least {} ns", min_interval.as_nanos());
            return Err(invalid_argument(
                "subscription/sample_interval",
                "is too short",
                &subscription.sample_interval.to_string(),
                &expected,
            ));
        }
        let sample_interval = (!on_change).then(|| interval.max(min_interval));
        let heartbeat_interval = (subscription.heartbeat_interval > 0)
            .then(|| Duration::from_nanos(subscription.heartbeat_interval).max(min_interval));
        let (now, sent) = (Instant::now(), Arc::default());
        let (next_sample, next_heartbeat) = (
            sample_interval.map(|interval| now + interval),
            heartbeat_interval.map(|interval| now + interval),
        );
        Ok(PathSubscription {
            selection,
            on_change,
            sample_interval,
            heartbeat_interval,
            suppress_redundant: subscription.suppress_redundant,
            next_sample,
            next_heartbeat,
            sent,
        })
    }

    /// When the next of its timers runs out.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        [self.next_sample, self.next_heartbeat]
            .into_iter()
            .flatten()
            .min()
    }

    /// What it is to be sent, if anything; timers that have run out begin anew.
    pub(super) fn due_at(&mut self, now: Instant, changed: bool) -> Option<Due> {
        let sample_due = self.next_sample.is_some_and(|at| at <= now);
        let heartbeat_due = self.next_heartbeat.is_some_and(|at| at <= now);
        if sample_due {
            self.next_sample = self.sample_interval.map(|interval| now + interval);
        }
        if heartbeat_due {
            self.next_heartbeat = self.heartbeat_interval.map(|interval| now + interval);
        }
        if !(self.on_change && changed || sample_due || heartbeat_due) {
            return None;
        }
        Some(if heartbeat_due || sample_due && !self.suppress_redundant {
            Due::Everything
        } else {
            Due::Changes
        })
    }

    /// The updates and deletions that bring it to a snapshot, which counts as sent from here on. What has changed
    /// carries the count of changes that it stands for.
    pub(super) fn updates_since_last(
        &mut self,
        schema: &Schema,
        snapshot: &Snapshot,
        due: Due,
        coalesced: u32,
    ) -> (Vec<Update>, Vec<Path>) {
        let (now, changes) = snapshot.changes(schema, &self.selection, &self.sent);
        let mut updates: Vec<_> = changes
            .updates
            .iter()
            .map(|(at, value)| update(at, value, coalesced))
            .collect();
        if due == Due::Everything {
            let is_changed = |at: &InstancePath| {
                changes
                    .updates
                    .binary_search_by(|(changed, _)| changed.cmp(at))
                    .is_ok()
            };
            updates.extend(
                now.iter()
                    .filter(|(at, _)| !is_changed(at))
                    .map(|(at, value)| update(at, value, 0)),
            );
        }
        self.sent = now;
        (updates, changes.deleted.clone())
    }
}

/// What a subscription is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Due {
    /// What differs from what was sent last.
    Changes,
    /// That, and all else that it wants.
    Everything,
}
