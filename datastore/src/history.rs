//! The history that a datastore keeps, within limits: the newest revisions, rejected commits and drained hosts.

use std::collections::VecDeque;

use kestreltide::interface::Revision;

use crate::check::DrainedHosts;
use crate::revision::{RejectedCommit, RevisionRecord};
use crate::tree::{HostName, Path};

/// The maximum number of each kind of item that history keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Maximum number of revisions.
    pub revisions: usize,
    /// Maximum number of changed leaves in all revisions together. The newest revision is kept even if it exceeds this.
    pub changes: usize,
    /// Maximum number of rejected commits.
    pub rejections: usize,
    /// Maximum number of drained hosts.
    pub drained: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        HistoryLimits {
            revisions: 1000,
            changes: 10_000,
            rejections: 16,
            drained: 64 * 1024,
        }
    }
}

/// The history of a datastore, which is trimmed to its limits after each addition.
pub(crate) struct History {
    limits: HistoryLimits,
    /// Oldest first.
    revisions: VecDeque<RevisionRecord>,
    /// Oldest first.
    rejections: VecDeque<RejectedCommit>,
    /// The hosts that operators have drained.
    drained: DrainedHosts,
}

impl History {
    /// Restores a stored history and trims it to the limits.
    pub(crate) fn new(
        limits: HistoryLimits,
        revisions: VecDeque<RevisionRecord>,
        rejections: VecDeque<RejectedCommit>,
        drained: DrainedHosts,
    ) -> Self {
        let mut history = History {
            limits,
            revisions,
            rejections,
            drained,
        };
        history.trim();
        history
    }

    /// Returns the kept revisions, oldest first.
    pub(crate) fn revisions(&self) -> &VecDeque<RevisionRecord> {
        &self.revisions
    }

    /// Returns the kept rejected commits, oldest first.
    pub(crate) fn rejections(&self) -> &VecDeque<RejectedCommit> {
        &self.rejections
    }

    /// Returns the hosts that operators have drained.
    pub(crate) fn drained(&self) -> &DrainedHosts {
        &self.drained
    }

    /// Returns the oldest revision whose tree can be restored: the one before the oldest kept revision.
    pub(crate) fn oldest_restorable_revision(&self) -> Option<u64> {
        self.revisions
            .front()
            .map(|first| first.number.saturating_sub(1))
    }

    /// Returns the kept revisions after a revision, newest first.
    pub(crate) fn revisions_after(
        &self,
        revision: Revision,
    ) -> impl Iterator<Item = &RevisionRecord> {
        self.revisions
            .iter()
            .rev()
            .take_while(move |record| record.number > revision.0)
    }

    /// Returns the newest kept revision that changed a leaf.
    pub(crate) fn last_change_of(&self, path: &Path) -> Option<&RevisionRecord> {
        self.revisions
            .iter()
            .rev()
            .find(|record| record.changes.iter().any(|change| change.path == *path))
    }

    /// Adds a revision.
    pub(crate) fn push_revision(&mut self, record: RevisionRecord) {
        self.revisions.push_back(record);
        self.trim();
    }

    /// Adds a rejected commit. If the newest one has the same author and errors, only its time is updated.
    pub(crate) fn push_rejection(&mut self, rejection: RejectedCommit) {
        let last = self
            .rejections
            .back_mut()
            .filter(|last| last.author == rejection.author && last.errors == rejection.errors);
        if let Some(last) = last {
            last.at = rejection.at;
            return;
        }
        self.rejections.push_back(rejection);
        self.trim();
    }

    /// Records that a process of a host is drained. `started` is the start of the process if it is known; both times
    /// are in Unix seconds.
    pub(crate) fn record_drained(&mut self, name: &HostName, started: Option<f64>, now: f64) {
        let recorded = self.drained.get(name).copied();
        // A process whose start is not known started before its drain, at the latest when the drain was first recorded.
        let process_start = started.unwrap_or(recorded.unwrap_or(now));
        let latest = recorded.map_or(process_start, |recorded| recorded.max(process_start));
        self.drained.insert(name.clone(), latest);
    }

    /// Drops the oldest items of each kind until the limits are met.
    fn trim(&mut self) {
        while self.rejections.len() > self.limits.rejections {
            self.rejections.pop_front();
        }
        let mut changes: usize = self
            .revisions
            .iter()
            .map(|record| record.changes.len())
            .sum();
        // The newest revision is kept whatever its size.
        while self.revisions.len() > 1
            && (self.revisions.len() > self.limits.revisions || changes > self.limits.changes)
        {
            let dropped = self.revisions.pop_front();
            changes -= dropped.map_or(0, |record| record.changes.len());
        }
        while self.drained.len() > self.limits.drained {
            self.drop_oldest_drained_host();
        }
    }

    /// Drops the host whose drained process is oldest, as it is the least likely to be listed again.
    fn drop_oldest_drained_host(&mut self) {
        let oldest = self
            .drained
            .iter()
            .min_by(|first, second| first.1.total_cmp(second.1))
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.drained.remove(&name);
        }
    }
}
