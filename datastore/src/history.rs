//! The past that a datastore keeps: the newest revisions, rejected commits and drained hosts, within limits.

use std::collections::VecDeque;

use kestreltide::interface::Revision;

use crate::check::DrainedHosts;
use crate::revision::{RejectedCommit, RevisionRecord};
use crate::tree::{HostName, Path};

/// How much of the past is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    /// Revisions.
    pub revisions: usize,
    /// Changed leaves of all kept revisions together.
    pub changes: usize,
    /// Rejected commits.
    pub rejections: usize,
    /// Drained hosts.
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

/// What is kept; always within its limits.
pub(crate) struct History {
    limits: HistoryLimits,
    /// Oldest first.
    revisions: VecDeque<RevisionRecord>,
    /// Oldest first.
    rejections: VecDeque<RejectedCommit>,
    drained: DrainedHosts,
}

impl History {
    /// What was kept before, cut down to the limits.
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

    /// The kept revisions, oldest first.
    pub(crate) fn revisions(&self) -> &VecDeque<RevisionRecord> {
        &self.revisions
    }

    /// The kept rejected commits, oldest first.
    pub(crate) fn rejections(&self) -> &VecDeque<RejectedCommit> {
        &self.rejections
    }

    /// The hosts that operators have drained.
    pub(crate) fn drained(&self) -> &DrainedHosts {
        &self.drained
    }

    /// The revision before the oldest that is kept: the oldest whose tree can be restored.
    pub(crate) fn oldest_base(&self) -> Option<u64> {
        self.revisions
            .front()
            .map(|first| first.number.saturating_sub(1))
    }

    /// The kept revisions after this one, newest first.
    pub(crate) fn revisions_after(
        &self,
        revision: Revision,
    ) -> impl Iterator<Item = &RevisionRecord> {
        self.revisions
            .iter()
            .rev()
            .take_while(move |record| record.number > revision.0)
    }

    /// The newest revision that changed a leaf.
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

    /// Adds a rejected commit; repeated attempts count as one.
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

    /// Records that a host's process is drained. `started` is its start, where it is known (times in Unix seconds).
    pub(crate) fn record_drained(&mut self, name: &HostName, started: Option<f64>, now: f64) {
        let recorded = self.drained.get(name).copied();
        // A start that is not known lies before the drain.
        let process = started.unwrap_or(recorded.unwrap_or(now));
        let latest = recorded.map_or(process, |recorded| recorded.max(process));
        self.drained.insert(name.clone(), latest);
    }

    /// Drops the oldest of all that exceeds the limits.
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

    /// The host whose process is oldest is the least likely to be listed again.
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
