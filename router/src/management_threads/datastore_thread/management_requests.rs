//! Handles the requests of management interfaces: sessions, locks and commits.

use std::sync::Arc;

use kestreltide_datastore::commit_coordinator::{CommitError, RequestingSession};
use kestreltide_datastore::{
    Author, CommitOutcome, Facts, Snapshot, ValidationError, ValidationErrors,
};
use kestreltide_management::CommitServiceRequest;
use kestreltide_management::commit_service::CommitRequest;
use slog::info;
use tokio::sync::oneshot;

use super::{DatastoreThread, applied_snapshot};

/// The result of a handled request.
pub(super) struct HandledRequest {
    /// The new snapshot, to be sent to the event loop; `None` if nothing was applied.
    pub(super) snapshot: Option<Arc<Snapshot>>,
    /// Sends the reply. It is called only after the snapshot was sent and the status published.
    reply: Option<Box<dyn FnOnce()>>,
}

impl HandledRequest {
    /// A result without a reply, or whose reply was already sent.
    pub(super) fn without_reply(snapshot: Option<Arc<Snapshot>>) -> Self {
        HandledRequest {
            snapshot,
            reply: None,
        }
    }

    fn with_reply<T: 'static>(
        snapshot: Option<Arc<Snapshot>>,
        reply: oneshot::Sender<T>,
        content: T,
    ) -> Self {
        HandledRequest {
            snapshot,
            reply: Some(Box::new(move || send(reply, content))),
        }
    }

    /// Sends the reply, if there is one.
    pub(super) fn send_reply(self) {
        if let Some(reply) = self.reply {
            reply();
        }
    }
}

/// Sends a reply; it is dropped if the requester no longer waits for it.
fn send<T>(reply: oneshot::Sender<T>, content: T) {
    let _ = reply.send(content);
}

impl DatastoreThread {
    pub(super) fn handle_management_request(
        &mut self,
        request: CommitServiceRequest,
        facts: &Facts,
    ) -> HandledRequest {
        match request {
            CommitServiceRequest::OpenSession { reply } => {
                send(reply, self.coordinator.open_session())
            }
            CommitServiceRequest::CloseSession { session } => {
                let rolled_back = self
                    .coordinator
                    .close_session(session, facts)
                    .and_then(|outcome| self.log_rollback(outcome));
                return HandledRequest::without_reply(rolled_back);
            }
            CommitServiceRequest::Lock {
                session,
                target,
                reply,
            } => send(reply, self.coordinator.lock(session, target)),
            CommitServiceRequest::Unlock {
                session,
                target,
                reply,
            } => send(reply, self.coordinator.unlock(session, target)),
            CommitServiceRequest::Validate { candidate, reply } => {
                send(reply, self.coordinator.validate(&candidate, facts));
            }
            CommitServiceRequest::Confirm {
                requester,
                persist_id,
                reply,
            } => send(
                reply,
                self.coordinator.confirm(requester, persist_id.as_deref()),
            ),
            CommitServiceRequest::Cancel {
                requester,
                persist_id,
                reply,
            } => return self.cancel_commit(requester, persist_id.as_deref(), reply, facts),
            CommitServiceRequest::RecordDeniedEdit { author, error } => {
                self.record_denied_edit(author, error, facts);
            }
            CommitServiceRequest::Commit(request) => return self.commit(*request, facts),
        }
        HandledRequest::without_reply(None)
    }

    /// Rolls back the pending commit on request. The reply is sent once the new snapshot is on its way.
    fn cancel_commit(
        &mut self,
        requester: RequestingSession,
        persist_id: Option<&str>,
        reply: oneshot::Sender<Result<(), CommitError>>,
        facts: &Facts,
    ) -> HandledRequest {
        let cancelled = self.coordinator.cancel(requester, persist_id, facts);
        let snapshot = cancelled.as_ref().ok().and_then(applied_snapshot);
        HandledRequest::with_reply(snapshot, reply, cancelled.map(|_| ()))
    }

    /// Logs and records an edit that the rights of the author's key do not allow.
    fn record_denied_edit(&mut self, author: Author, error: ValidationError, facts: &Facts) {
        let errors = ValidationErrors::from(error);
        self.log_rejection("edit denied", &author.name, &errors);
        self.coordinator
            .store
            .record_rejection(author, facts.now, errors);
    }

    fn commit(&mut self, request: CommitRequest, facts: &Facts) -> HandledRequest {
        let author = request.author.clone();
        let committed = self.coordinator.commit(
            request.requester,
            &request.candidate,
            request.author,
            request.confirmed_commit,
            request.persist_id.as_deref(),
            facts,
        );
        self.log_commit(&author, &committed);
        let snapshot = committed.as_ref().ok().and_then(applied_snapshot);
        HandledRequest::with_reply(snapshot, request.reply, committed)
    }

    /// Logs a commit that was applied or found invalid.
    fn log_commit(&mut self, author: &Author, committed: &Result<CommitOutcome, CommitError>) {
        match committed {
            Ok(CommitOutcome::Applied(snapshot)) => {
                // The log key `changes` counts changed leaves here; in "watched files applied" it counts changed hosts.
                let record = self.coordinator.store.history().next_back();
                info!(self.log, "commit applied"; "author" => %author,
                    "revision" => snapshot.revision().0,
                    "changes" => record.map_or(0, |record| record.changes.len()));
            }
            Err(CommitError::Invalid(errors)) => {
                self.log_rejection("commit rejected", &author.to_string(), errors);
            }
            // Conflicts with locks and pending commits are reported to the requester only.
            Ok(CommitOutcome::Unchanged) | Err(_) => {}
        }
    }
}
