//! One subscription of a Subscribe stream: its selection, its timers and the values that were sent last.

use std::sync::Arc;
use std::time::Duration;

use kestreltide_yang::Schema;
use kestreltide_yang::data::InstancePath;
use tokio::time::Instant;
use tonic::Status;

use super::encoding::leaf_update;
use super::errors::invalid_argument;
use super::snapshot::{Leaves, Selection, Snapshot};
use crate::Limits;
use crate::proto::gnmi::{Path, SubscriptionMode, Update};

/// One subscription of a Subscribe stream.
pub(super) struct PathSubscription {
    pub(super) selection: Selection,
    on_change: bool,
    /// Time between samples; none for an ON_CHANGE subscription.
    sample_interval: Option<Duration>,
    /// Time between heartbeats, at which all leaves are sent even if unchanged; none without heartbeats.
    heartbeat_interval: Option<Duration>,
    suppress_redundant: bool,
    next_sample: Option<Instant>,
    next_heartbeat: Option<Instant>,
    /// The leaves that were sent last.
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
        let min_interval = limits.min_sample_interval;
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
        let now = Instant::now();
        Ok(PathSubscription {
            selection,
            on_change,
            sample_interval,
            heartbeat_interval,
            suppress_redundant: subscription.suppress_redundant,
            next_sample: sample_interval.map(|interval| now + interval),
            next_heartbeat: heartbeat_interval.map(|interval| now + interval),
            sent: Arc::default(),
        })
    }

    /// The time at which the next timer of the subscription expires.
    pub(super) fn next_timer_at(&self) -> Option<Instant> {
        [self.next_sample, self.next_heartbeat]
            .into_iter()
            .flatten()
            .min()
    }

    /// The updates that are due at `now`, if any; restarts expired timers. `changed` is whether the data has changed.
    pub(super) fn take_due_updates(&mut self, now: Instant, changed: bool) -> Option<DueUpdates> {
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
            DueUpdates::AllLeaves
        } else {
            DueUpdates::ChangedLeaves
        })
    }

    /// The updates and deletions from the leaves that were sent last to those of a snapshot, which then count as sent.
    /// Updates of changed leaves carry the number of coalesced changes.
    pub(super) fn updates_since_last(
        &mut self,
        schema: &Schema,
        snapshot: &Snapshot,
        due: DueUpdates,
        coalesced: u32,
    ) -> (Vec<Update>, Vec<Path>) {
        let (current_leaves, changes) = snapshot.changes_since(schema, &self.selection, &self.sent);
        let mut updates: Vec<_> = changes
            .updates
            .iter()
            .map(|(path, value)| leaf_update(path, value, coalesced))
            .collect();
        if due == DueUpdates::AllLeaves {
            let is_changed = |path: &InstancePath| {
                changes
                    .updates
                    .binary_search_by(|(changed, _)| changed.cmp(path))
                    .is_ok()
            };
            updates.extend(
                current_leaves
                    .iter()
                    .filter(|(path, _)| !is_changed(path))
                    .map(|(path, value)| leaf_update(path, value, 0)),
            );
        }
        self.sent = current_leaves;
        (updates, changes.deleted.clone())
    }
}

/// The updates that are due for a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DueUpdates {
    /// The leaves that changed since the last updates.
    ChangedLeaves,
    /// All selected leaves.
    AllLeaves,
}
