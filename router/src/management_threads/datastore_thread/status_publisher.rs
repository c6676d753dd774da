//! Publishes the state of the commit coordinator, and notifies of commits and rejections.

use std::sync::Arc;

use arc_swap::ArcSwap;
use kestreltide_datastore::commit_coordinator::{CommitCoordinator, CoordinatorStatus};
use kestreltide_management::Notification;
use tokio::sync::broadcast;

/// Notifications that are kept for a slow subscriber.
const NOTIFICATION_QUEUE: usize = 1024;

/// What management interfaces read and subscribe to.
pub(super) struct StatusPublisher {
    status: Arc<ArcSwap<CoordinatorStatus>>,
    notifications: broadcast::Sender<Notification>,
    /// The newest revision that subscribers were notified of.
    notified_revision: u64,
    /// Time of the newest rejection that subscribers were notified of, in Unix seconds.
    notified_rejection_at: Option<f64>,
}

impl StatusPublisher {
    /// Publishes the status as it is; nobody is notified of what was before.
    pub(super) fn new(coordinator: &CommitCoordinator) -> Self {
        let last_rejection = coordinator.store.rejections().next_back();
        StatusPublisher {
            status: Arc::new(ArcSwap::from_pointee(coordinator.status())),
            notifications: broadcast::channel(NOTIFICATION_QUEUE).0,
            notified_revision: coordinator.store.in_force().revision.0,
            notified_rejection_at: last_rejection.map(|rejection| rejection.at),
        }
    }

    /// The published status, renewed as a whole.
    pub(super) fn published(&self) -> Arc<ArcSwap<CoordinatorStatus>> {
        self.status.clone()
    }

    /// Where to subscribe.
    pub(super) fn notifications(&self) -> broadcast::Sender<Notification> {
        self.notifications.clone()
    }

    /// Notifies of what happened since the last time, and renews the published status. Returns whether it changed.
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
        // An error says that there is no subscriber.
        let _ = self.notifications.send(notification);
    }
}

/// Compares what interfaces can see a difference in; trees are compared by their revision.
fn is_same(before: &CoordinatorStatus, after: &CoordinatorStatus) -> bool {
    let rejected_at =
        |status: &CoordinatorStatus| status.last_rejection.as_ref().map(|rejection| rejection.at);
    before.in_force.revision == after.in_force.revision
        && before.pending == after.pending
        && before.locks == after.locks
        && rejected_at(before) == rejected_at(after)
}
