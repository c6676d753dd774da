//! Publishes the status of the commit coordinator, and notifies subscribers of commits and rejections.

use std::sync::Arc;

use arc_swap::ArcSwap;
use kestreltide_datastore::commit_coordinator::{CommitCoordinator, CoordinatorStatus};
use kestreltide_management::Notification;
use tokio::sync::broadcast;

/// Number of notifications that are queued for a slow subscriber.
const NOTIFICATION_QUEUE_CAPACITY: usize = 1024;

/// The status that management interfaces read and the notifications that they subscribe to.
pub(super) struct StatusPublisher {
    status: Arc<ArcSwap<CoordinatorStatus>>,
    notifications: broadcast::Sender<Notification>,
    /// The newest revision that subscribers have been notified of.
    notified_revision: u64,
    /// Time of the newest rejection that subscribers have been notified of, in Unix seconds.
    notified_rejection_at: Option<f64>,
}

impl StatusPublisher {
    /// Publishes the current status; existing commits and rejections are not notified.
    pub(super) fn new(coordinator: &CommitCoordinator) -> Self {
        let last_rejection = coordinator.store.rejections().next_back();
        StatusPublisher {
            status: Arc::new(ArcSwap::from_pointee(coordinator.status())),
            notifications: broadcast::channel(NOTIFICATION_QUEUE_CAPACITY).0,
            notified_revision: coordinator.store.in_force().revision.0,
            notified_rejection_at: last_rejection.map(|rejection| rejection.at),
        }
    }

    /// The published status, which each update replaces as a whole.
    pub(super) fn published(&self) -> Arc<ArcSwap<CoordinatorStatus>> {
        self.status.clone()
    }

    /// The channel to subscribe to.
    pub(super) fn notifications(&self) -> broadcast::Sender<Notification> {
        self.notifications.clone()
    }

    /// Notifies subscribers of commits and rejections since the last call, and updates the published status. Returns
    /// whether the status changed.
    pub(super) fn publish(&mut self, coordinator: &CommitCoordinator) -> bool {
        self.notify_of_commits(coordinator);
        self.notify_of_rejection(coordinator);
        let status = coordinator.status();
        let has_changed = !is_same(&self.status.load(), &status);
        if has_changed {
            self.status.store(Arc::new(status));
        }
        has_changed
    }

    fn notify_of_commits(&mut self, coordinator: &CommitCoordinator) {
        let mut records: Vec<_> = coordinator
            .store
            .history()
            .rev()
            .take_while(|record| record.number > self.notified_revision)
            .cloned()
            .collect();
        records.reverse();
        for record in records {
            self.notified_revision = record.number;
            self.notify(Notification::Committed(Arc::new(record)));
        }
    }

    fn notify_of_rejection(&mut self, coordinator: &CommitCoordinator) {
        let Some(rejection) = coordinator.store.rejections().next_back() else {
            return;
        };
        if self.notified_rejection_at != Some(rejection.at) {
            self.notified_rejection_at = Some(rejection.at);
            self.notify(Notification::Rejected(Arc::new(rejection.clone())));
        }
    }

    fn notify(&self, notification: Notification) {
        // Sending fails only if there is no subscriber.
        let _ = self.notifications.send(notification);
    }
}

/// Whether the interfaces would read the same status; configuration trees are compared by their revision.
fn is_same(before: &CoordinatorStatus, after: &CoordinatorStatus) -> bool {
    let rejected_at =
        |status: &CoordinatorStatus| status.last_rejection.as_ref().map(|rejection| rejection.at);
    before.in_force.revision == after.in_force.revision
        && before.pending == after.pending
        && before.locks == after.locks
        && rejected_at(before) == rejected_at(after)
}
