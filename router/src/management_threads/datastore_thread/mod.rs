//! The datastore thread: the only owner of the datastore, which handles all requests one after another.
//!
//! The threads of the watched files and the management interfaces send it [`DatastoreRequest`]s. The snapshot of every
//! applied commit is sent to the event loop, which never waits for this thread. The status that the interfaces read is
//! published without a lock.

mod management_requests;
mod rejection_log;
mod state_saver;
mod status_publisher;
mod watched_files;

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::time::Duration;

use arc_swap::ArcSwap;
use kestreltide_datastore::commit_coordinator::{CommitCoordinator, CoordinatorStatus};
use kestreltide_datastore::operational_state::OperationalState;
use kestreltide_datastore::{
    CommitOutcome, Datastore, Facts, HistoryLimits, RuleSettings, Snapshot, ValidationErrors,
};
use kestreltide_file_watch::parse::Version;
use kestreltide_file_watch::watch::WatchEvent;
use kestreltide_management::{CommitServiceRequest, Notification};
use slog::{Logger, info, warn};
use tokio::sync::broadcast;

use self::management_requests::HandledRequest;
use self::rejection_log::RejectionLog;
use self::state_saver::StateSaver;
use self::status_publisher::StatusPublisher;
use self::watched_files::WatchedFiles;
use super::error::StartError;
use super::persistence::{self, PersistedState};
use super::settings::FileWatchSettings;
use crate::routing::{EventLoopHandle, Heartbeat, ManagementMessage};
use crate::transport::Clock;

/// The longest wait for a request, in seconds. Saves, retries and expiries that are due are handled at least this
/// often.
const MAX_WAIT_SECONDS: f64 = 0.25;

/// The longest wait for the event loop to publish a fresh view, which is its [`OperationalState`]. If the loop is delayed
/// for longer, the last published view is used.
const VIEW_REFRESH_TIMEOUT: Duration = Duration::from_millis(250);

/// A request to the datastore thread.
#[derive(Debug)]
pub(super) enum DatastoreRequest {
    /// The watch thread read changed files.
    WatchedFiles(WatchEvent<Version>),
    /// A request of a management interface to the commit service.
    Management(CommitServiceRequest),
    /// Saves unsaved changes and ends the thread.
    Stop,
}

/// Settings of the datastore thread.
#[derive(Clone, Debug)]
pub(super) struct DatastoreThreadSettings {
    /// Name of this router.
    pub(super) router: String,
    /// The rules that each commit is validated against.
    pub(super) rules: RuleSettings,
    /// How much of the history is kept.
    pub(super) history: HistoryLimits,
    /// The state directory; nothing is persisted if `None`.
    pub(super) state_directory: Option<PathBuf>,
}

/// The configuration that the router starts with.
pub(super) struct InitialState {
    /// The snapshot in force; `None` if there is no revision yet.
    pub(super) snapshot: Option<Arc<Snapshot>>,
    /// Digest of the watched files as read; `None` if no files are watched.
    pub(super) files_digest: Option<u64>,
}

/// The event loop has ended, so that snapshots can no longer be sent to it.
struct EventLoopClosed;

/// The datastore and the other state of the thread.
pub(super) struct DatastoreThread {
    log: Logger,
    clock: Clock,
    coordinator: CommitCoordinator,
    status: StatusPublisher,
    rejection_log: RejectionLog,
    saver: StateSaver,
    files: WatchedFiles,
    /// Sent snapshots that the event loop may still hold. This thread keeps a reference to each, so that the memory of
    /// a long endpoint list is freed here and does not delay the event loop.
    sent_snapshots: VecDeque<Arc<Snapshot>>,
}

impl DatastoreThread {
    /// Restores the persisted state, if there is any. A damaged state file is quarantined: it is renamed and not loaded.
    ///
    /// # Errors
    ///
    /// If a damaged state file cannot be renamed.
    pub(super) fn restore(
        log: Logger,
        clock: Clock,
        settings: DatastoreThreadSettings,
    ) -> Result<Self, StartError> {
        let state = match &settings.state_directory {
            Some(directory) => load_or_quarantine(&log, directory)?,
            None => PersistedState::default(),
        };
        let store = Datastore::from_state(settings.rules, settings.history, state.datastore);
        let files = WatchedFiles::new(state.files, state.generation, store.in_force().clone());
        let coordinator = CommitCoordinator::new(store, state.pending_commit);
        Ok(DatastoreThread {
            status: StatusPublisher::new(&coordinator),
            rejection_log: RejectionLog::new(log.clone()),
            saver: StateSaver::new(log.clone(), settings.router, settings.state_directory),
            log,
            clock,
            coordinator,
            files,
            sent_snapshots: VecDeque::new(),
        })
    }

    /// Applies the watched files at the start, if there are any, and returns the configuration in force. If the files
    /// are invalid, that is the last good revision.
    ///
    /// # Errors
    ///
    /// If the files are invalid and there is no last good revision.
    pub(super) fn apply_files_at_start(
        &mut self,
        file_watch: Option<&FileWatchSettings>,
        facts: &Facts,
    ) -> Result<InitialState, StartError> {
        let files_digest = file_watch
            .map(|settings| self.apply_initial_files(settings, facts))
            .transpose()?;
        self.publish_status();
        let snapshot = self.coordinator.store.snapshot();
        let has_revision = snapshot.revision().0 > 0;
        Ok(InitialState {
            snapshot: has_revision.then(|| snapshot.clone()),
            files_digest,
        })
    }

    /// Handles requests until a [`DatastoreRequest::Stop`], until no sender is left or until the event loop has ended.
    pub(super) fn run(
        &mut self,
        requests: &Receiver<DatastoreRequest>,
        event_loop: &EventLoopHandle,
        heartbeat: &Heartbeat,
    ) {
        loop {
            let now = self.clock.now();
            heartbeat.record(now);
            let request = match requests.recv_timeout(self.max_wait(now)) {
                Ok(DatastoreRequest::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(request) => Some(request),
                Err(RecvTimeoutError::Timeout) => None,
            };
            if self.serve(request, event_loop).is_err() {
                break;
            }
            let view = event_loop.view.load();
            self.drop_replaced_snapshots(&view);
            self.save_if_due(&view);
        }
        self.saver.make_due();
        self.save_if_due(&event_loop.view.load());
        // A heartbeat of 0 marks the thread as ended.
        heartbeat.record(0.0);
    }

    /// The status that management interfaces read.
    pub(super) fn published_status(&self) -> Arc<ArcSwap<CoordinatorStatus>> {
        self.status.published()
    }

    /// The channel on which management interfaces subscribe to commits and rejections.
    pub(super) fn notifications(&self) -> broadcast::Sender<Notification> {
        self.status.notifications()
    }

    /// How long to wait for the next request: until the next retry or expiry, at most [`MAX_WAIT_SECONDS`].
    fn max_wait(&self, now: f64) -> Duration {
        let deadline = self
            .files
            .next_retry()
            .into_iter()
            .chain(self.coordinator.next_expiry())
            .fold(now + MAX_WAIT_SECONDS, f64::min);
        Duration::from_secs_f64((deadline - now).clamp(0.0, MAX_WAIT_SECONDS))
    }

    /// Rolls back the pending commit if it was not confirmed in time, handles `request`, and sends the new snapshots to
    /// the event loop.
    fn serve(
        &mut self,
        request: Option<DatastoreRequest>,
        event_loop: &EventLoopHandle,
    ) -> Result<(), EventLoopClosed> {
        let facts = self.facts_for(request.is_some(), event_loop);
        let rolled_back = self
            .coordinator
            .expire_pending(&facts)
            .and_then(|outcome| self.log_rollback(outcome));
        let handled = self.handle(request, &facts);
        let mut is_closed = false;
        for snapshot in rolled_back.into_iter().chain(handled.snapshot.clone()) {
            self.sent_snapshots.push_back(snapshot.clone());
            // If the event loop's queue of messages is full, this thread waits. The event loop never waits for it.
            is_closed |= event_loop
                .messages
                .send(ManagementMessage::Revision(snapshot))
                .is_err();
        }
        self.publish_status();
        // The reply is sent last, so that its receiver can read the committed state.
        handled.send_reply();
        if is_closed {
            Err(EventLoopClosed)
        } else {
            Ok(())
        }
    }

    /// The facts that commits are validated against. If something may be committed, the view is refreshed first: the
    /// published view may lack a recent drain, so that a commit that takes the last host in service out of service would
    /// pass validation.
    fn facts_for(&self, has_request: bool, event_loop: &EventLoopHandle) -> Facts {
        let now = self.clock.now();
        let mut deadlines = self
            .files
            .next_retry()
            .into_iter()
            .chain(self.coordinator.next_expiry());
        if has_request || deadlines.any(|deadline| deadline <= now) {
            refresh_view(event_loop);
        }
        event_loop.view.load().facts(self.clock.now())
    }

    fn handle(&mut self, request: Option<DatastoreRequest>, facts: &Facts) -> HandledRequest {
        match request {
            Some(DatastoreRequest::WatchedFiles(event)) => {
                HandledRequest::without_reply(self.handle_watch_event(event, facts))
            }
            Some(DatastoreRequest::Management(request)) => {
                self.handle_management_request(request, facts)
            }
            // `run` handles `Stop` itself and does not pass it on.
            Some(DatastoreRequest::Stop) | None => {
                HandledRequest::without_reply(self.retry_held_back(facts))
            }
        }
    }

    /// Logs the rollback of a pending commit that was not confirmed, and returns its snapshot.
    fn log_rollback(
        &mut self,
        outcome: Result<CommitOutcome, ValidationErrors>,
    ) -> Option<Arc<Snapshot>> {
        match outcome {
            Ok(outcome) => {
                info!(self.log, "unconfirmed commit rolled back";
                    "revision" => self.revision());
                applied_snapshot(&outcome)
            }
            Err(errors) => {
                self.log_rejection("rollback of an unconfirmed commit rejected", "", &errors);
                None
            }
        }
    }

    /// Logs why a change is rejected. `generation` is that of the watched files, or the author of an edit.
    fn log_rejection(
        &mut self,
        message: &'static str,
        generation: &str,
        errors: &ValidationErrors,
    ) {
        let revision = self.revision();
        self.rejection_log
            .warn(self.clock.now(), message, generation, errors, revision);
    }

    /// Publishes the status of the coordinator; the state is saved later if it changed.
    fn publish_status(&mut self) {
        if self.status.publish(&self.coordinator) {
            self.saver.mark_changed();
        }
    }

    /// Drops the snapshots that the event loop has replaced: it holds only the snapshot in force, and releases the
    /// previous one when it applies the next.
    fn drop_replaced_snapshots(&mut self, view: &OperationalState) {
        while self
            .sent_snapshots
            .get(1)
            .is_some_and(|next| next.revision() <= view.revision)
        {
            self.sent_snapshots.pop_front();
        }
    }

    /// Saves the state if it has unsaved changes and the last save is long enough ago.
    fn save_if_due(&mut self, view: &OperationalState) {
        let now = self.clock.now();
        if !self.saver.is_due(now) {
            return;
        }
        let state = PersistedState {
            router: self.saver.router().to_owned(),
            written_at: now,
            datastore: self.coordinator.store.state(),
            files: self.files.applied_tree().clone(),
            generation: self.files.applied_generation().to_owned(),
            pending_version: self.files.pending_version().cloned(),
            pending_commit: self.coordinator.pending().cloned(),
            revisions_applied: view.revisions_applied,
            longest_apply_time: view.longest_apply_time,
        };
        self.saver.save(now, &state);
    }

    /// The revision in force.
    fn revision(&self) -> u64 {
        self.coordinator.store.in_force().revision.0
    }
}

/// Makes the event loop publish a fresh view, and waits until it has.
fn refresh_view(event_loop: &EventLoopHandle) {
    let (notify_refreshed, refreshed) = sync_channel(1);
    let message = ManagementMessage::RefreshView(notify_refreshed);
    if event_loop.messages.send(message).is_ok() {
        // After the timeout the last published view is used.
        let _ = refreshed.recv_timeout(VIEW_REFRESH_TIMEOUT);
    }
}

/// Loads the persisted state; an empty state if there is none. A damaged state file is renamed, so that it can be examined
/// and is not loaded again, and the state is empty as well.
fn load_or_quarantine(log: &Logger, directory: &Path) -> Result<PersistedState, StartError> {
    let error = match persistence::load(directory) {
        Ok(None) => return Ok(PersistedState::default()),
        Ok(Some(state)) => {
            info!(log, "persisted state loaded"; "revision" => state.datastore.revision);
            return Ok(state);
        }
        Err(error) => error,
    };
    let quarantined_as = match persistence::quarantine(directory) {
        Ok(path) => path.display().to_string(),
        Err(source) => {
            return Err(StartError::Quarantine {
                damage: error,
                source,
            });
        }
    };
    warn!(log, "persisted state damaged"; "why" => %error, "quarantined_as" => quarantined_as);
    Ok(PersistedState::default())
}

/// The snapshot of an applied commit; `None` if the commit changed nothing.
fn applied_snapshot(outcome: &CommitOutcome) -> Option<Arc<Snapshot>> {
    match outcome {
        CommitOutcome::Applied(snapshot) => Some(snapshot.clone()),
        CommitOutcome::Unchanged => None,
    }
}
