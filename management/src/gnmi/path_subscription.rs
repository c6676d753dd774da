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
    sample: Option<Duration>,
    heartbeat: Option<Duration>,
    suppress: bool,
    due: Option<Instant>,
    beat: Option<Instant>,
    /// What was sent last.
    pub(super) sent: Arc<Leaves>,
}

impl PathSubscription {
    pub(super) fn new(
        selection: Selection,
        of: &crate::proto::gnmi::Subscription,
        limits: &Limits,
    ) -> Result<Self, Status> {
        let mode = SubscriptionMode::try_from(of.mode).map_err(|_| {
            invalid_argument(
                "subscription/mode",
                "no such mode",
                &of.mode.to_string(),
                "ON_CHANGE or SAMPLE",
            )
        })?;
        let on_change = mode != SubscriptionMode::Sample;
        let least = Duration::from_secs_f64(limits.sample);
        let interval = Duration::from_nanos(of.sample_interval);
        if !on_change && of.sample_interval > 0 && interval < least {
            let taken = format!("0, or at least {} ns", least.as_nanos());
            return Err(invalid_argument(
                "subscription/sample_interval",
                "is too short",
                &of.sample_interval.to_string(),
                &taken,
            ));
        }
        let sample = (!on_change).then(|| interval.max(least));
        let heartbeat = (of.heartbeat_interval > 0)
            .then(|| Duration::from_nanos(of.heartbeat_interval).max(least));
        let (now, sent) = (Instant::now(), Arc::default());
        let (due, beat) = (
            sample.map(|every| now + every),
            heartbeat.map(|every| now + every),
        );
        Ok(PathSubscription {
            selection,
            on_change,
            sample,
            heartbeat,
            suppress: of.suppress_redundant,
            due,
            beat,
            sent,
        })
    }

    /// When the next of its timers runs out.
    pub(super) fn next_timer(&self) -> Option<Instant> {
        [self.due, self.beat].into_iter().flatten().min()
    }

    /// What it is to be sent, if anything; timers that have run out begin anew.
    pub(super) fn due_at(&mut self, now: Instant, changed: bool) -> Option<Due> {
        let sampled = self.due.is_some_and(|due| due <= now);
        let beat = self.beat.is_some_and(|beat| beat <= now);
        if sampled {
            self.due = self.sample.map(|every| now + every);
        }
        if beat {
            self.beat = self.heartbeat.map(|every| now + every);
        }
        if !(self.on_change && changed || sampled || beat) {
            return None;
        }
        Some(if beat || sampled && !self.suppress {
            Due::Everything
        } else {
            Due::Changes
        })
    }

    /// The updates and deletions that bring it to a snapshot, which counts as sent from here on. What has changed
    /// carries the count of changes that it stands for.
    pub(super) fn take_updates(
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
            let told = |at: &InstancePath| {
                changes
                    .updates
                    .binary_search_by(|(changed, _)| changed.cmp(at))
                    .is_ok()
            };
            updates.extend(
                now.iter()
                    .filter(|(at, _)| !told(at))
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
