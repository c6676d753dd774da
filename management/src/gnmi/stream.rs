//! The task of one Subscribe stream.

use std::sync::Arc;
use std::time::Duration;

use kestreltide_datastore::Key;
use kestreltide_yang::Schema;
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};
use tokio_stream::StreamExt;
use tonic::{Status, Streaming};

use super::encoding::leaf_update;
use super::errors::invalid_argument;
use super::path_subscription::PathSubscription;
use super::snapshot::Snapshot;
use super::unix_nanoseconds;
use crate::commit_service::CommitServiceHandle;
use crate::end_reason::EndReason;
use crate::proto::gnmi::subscribe_request::Request as RequestKind;
use crate::proto::gnmi::subscribe_response::Response as ResponseKind;
use crate::proto::gnmi::subscription_list::Mode;
use crate::proto::gnmi::{Notification, Path, SubscribeRequest, SubscribeResponse, Update};

/// Time between checks whether the key of a stream still has the right to read.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The parts of the gNMI service that a stream uses.
pub(super) struct StreamContext {
    pub(super) schema: &'static Schema,
    pub(super) snapshot: watch::Receiver<Arc<Snapshot>>,
    pub(super) commit_service: CommitServiceHandle,
    pub(super) log: Logger,
}

/// One Subscribe stream with its subscriptions.
pub(super) struct SubscribeStream {
    pub(super) context: Arc<StreamContext>,
    pub(super) key: Key,
    pub(super) subscriptions: Vec<PathSubscription>,
    pub(super) updates_only: bool,
    pub(super) sender: mpsc::Sender<Result<SubscribeResponse, Status>>,
    pub(super) prefix: Option<Path>,
}

impl SubscribeStream {
    pub(super) async fn run(mut self, mode: Mode, requests: Streaming<SubscribeRequest>) {
        info!(self.context.log, "gNMI stream opened"; "key" => &self.key.name, "mode" => ?mode);
        let reason = match mode {
            Mode::Once => self.run_once().await,
            Mode::Poll => self.run_poll(requests).await,
            Mode::Stream => self.run_stream(requests).await,
        };
        info!(self.context.log, "gNMI stream closed"; "key" => &self.key.name, "reason" => %reason);
    }

    async fn send(&self, response: ResponseKind) -> bool {
        self.sender
            .send(Ok(SubscribeResponse {
                response: Some(response),
                extension: vec![],
            }))
            .await
            .is_ok()
    }

    /// Sends all leaves of all subscriptions, unless `updates_only`, and then the sync response; false if the client
    /// has disconnected.
    async fn send_all_leaves(&mut self, updates_only: bool) -> bool {
        let snapshot = self.context.snapshot.borrow().clone();
        for index in 0..self.subscriptions.len() {
            let leaves = snapshot.leaves(self.context.schema, &self.subscriptions[index].selection);
            let update: Vec<_> = leaves
                .iter()
                .map(|(path, value)| leaf_update(path, value, 0))
                .collect();
            self.subscriptions[index].sent = leaves;
            if !updates_only && !update.is_empty() && !self.send_notification(update, vec![]).await
            {
                return false;
            }
        }
        self.send(ResponseKind::SyncResponse(true)).await
    }

    async fn send_notification(&self, update: Vec<Update>, delete: Vec<Path>) -> bool {
        let prefix = self.prefix.clone();
        self.send(ResponseKind::Update(Notification {
            timestamp: unix_nanoseconds(),
            prefix,
            update,
            delete,
            atomic: false,
        }))
        .await
    }

    async fn run_once(&mut self) -> EndReason {
        if self.send_all_leaves(self.updates_only).await {
            EndReason::Completed
        } else {
            EndReason::Disconnected
        }
    }

    async fn run_poll(&mut self, mut requests: Streaming<SubscribeRequest>) -> EndReason {
        if !self.send_all_leaves(self.updates_only).await {
            return EndReason::Disconnected;
        }
        while let Some(Ok(request)) = requests.next().await {
            match request.request {
                Some(RequestKind::Poll(_)) if !self.key_may_read() => {
                    return EndReason::KeyRevoked;
                }
                Some(RequestKind::Poll(_)) => {
                    if !self.send_all_leaves(false).await {
                        return EndReason::Disconnected;
                    }
                }
                _ => {
                    let _ = self
                        .sender
                        .send(Err(invalid_argument(
                            "subscribe",
                            "is no poll",
                            "another",
                            "a poll",
                        )))
                        .await;
                    return EndReason::UnexpectedRequest;
                }
            }
        }
        EndReason::NoMoreRequests
    }

    fn key_may_read(&self) -> bool {
        self.context
            .commit_service
            .keys
            .load()
            .rights(&self.key.name, &self.key.credential)
            .is_some_and(|rights| rights.read)
    }

    async fn run_stream(&mut self, mut requests: Streaming<SubscribeRequest>) -> EndReason {
        let mut changes = self.context.snapshot.clone();
        let mut last_change_number = changes.borrow_and_update().change_number;
        if !self.send_all_leaves(self.updates_only).await {
            return EndReason::Disconnected;
        }
        loop {
            if let Err(reason) = self.wait_for_event(&mut changes, &mut requests).await {
                return reason;
            }
            if !self.key_may_read() {
                let _ = self
                    .sender
                    .send(Err(Status::unauthenticated(
                        "certificate: is no longer in the file of keys",
                    )))
                    .await;
                return EndReason::KeyRevoked;
            }
            let snapshot = changes.borrow_and_update().clone();
            let snapshot_changes =
                SnapshotChanges::from_change_numbers(last_change_number, snapshot.change_number);
            last_change_number = snapshot.change_number;
            if !self.send_due_updates(&snapshot, snapshot_changes).await {
                return EndReason::Disconnected;
            }
        }
    }

    /// Waits for a change of the data, for a timer of a subscription or for the next check of the key.
    ///
    /// # Errors
    ///
    /// With the reason why the stream ends.
    async fn wait_for_event(
        &self,
        changes: &mut watch::Receiver<Arc<Snapshot>>,
        requests: &mut Streaming<SubscribeRequest>,
    ) -> Result<(), EndReason> {
        let next = self
            .subscriptions
            .iter()
            .filter_map(PathSubscription::next_timer_at)
            .min();
        // A key can be revoked while no data changes, so the wait ends at least at each key check.
        let key_check = Instant::now() + KEY_CHECK_INTERVAL;
        tokio::select! {
            changed = changes.changed() => changed.map_err(|_| EndReason::RouterStopping),
            _ = sleep_until(next.map_or(key_check, |next| next.min(key_check))) => Ok(()),
            request = requests.next() => match request {
                None => Err(EndReason::NoMoreRequests),
                Some(Err(_)) => Err(EndReason::Disconnected),
                Some(Ok(_)) => {
                    let problem = "a stream takes no more requests";
                    let error = invalid_argument("subscribe", problem, "another", "none");
                    let _ = self.sender.send(Err(error)).await;
                    Err(EndReason::UnexpectedRequest)
                }
            },
            _ = self.sender.closed() => Err(EndReason::Disconnected),
        }
    }

    /// Sends the updates that are due for each subscription; false if the client has disconnected.
    async fn send_due_updates(
        &mut self,
        snapshot: &Snapshot,
        snapshot_changes: SnapshotChanges,
    ) -> bool {
        let now = Instant::now();
        for index in 0..self.subscriptions.len() {
            let subscription = &mut self.subscriptions[index];
            let Some(due) = subscription.take_due_updates(now, snapshot_changes.changed) else {
                continue;
            };
            let (updates, deleted) = subscription.updates_since_last(
                self.context.schema,
                snapshot,
                due,
                snapshot_changes.coalesced,
            );
            if (!updates.is_empty() || !deleted.is_empty())
                && !self.send_notification(updates, deleted).await
            {
                return false;
            }
        }
        true
    }
}

/// The changes between the snapshot that a stream read last and the current one.
#[derive(Clone, Copy)]
struct SnapshotChanges {
    changed: bool,
    /// Number of changes before the newest one that are not sent separately, because the client reads slowly.
    coalesced: u32,
}

impl SnapshotChanges {
    fn from_change_numbers(last_change_number: u64, change_number: u64) -> Self {
        SnapshotChanges {
            changed: change_number != last_change_number,
            coalesced: change_number.saturating_sub(last_change_number + 1) as u32,
        }
    }
}
