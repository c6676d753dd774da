//! The way from the management interfaces to the commit service: requests, published data and notifications.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use kestreltide_datastore::commit_coordinator::{
    CommitError, ConfirmedCommit, CoordinatorStatus, RequestingSession, SessionId, Target,
};
use kestreltide_datastore::operational_state::OperationalState;
use kestreltide_datastore::{
    Author, Candidate, Keys, RevisionRecord, ValidationError, ValidationErrors,
};
use kestreltide_datastore::{CommitOutcome, RejectedCommit};
use tokio::sync::{broadcast, oneshot};

/// A request to the commit service. The requester waits for the reply; the commit service never waits.
#[derive(Debug)]
pub enum CommitServiceRequest {
    /// Opens a session, which can hold locks and pending commits.
    OpenSession {
        /// Receives the id of the session.
        reply: oneshot::Sender<SessionId>,
    },
    /// Ends a session: releases its locks, and rolls back a pending commit that only it could confirm.
    CloseSession {
        /// The session that ended.
        session: SessionId,
    },
    /// Locks a datastore for a session.
    Lock {
        /// The session that wants the lock.
        session: SessionId,
        /// The datastore to lock.
        target: Target,
        /// Receives an error if another session holds the lock.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Releases a lock.
    Unlock {
        /// The session that holds the lock.
        session: SessionId,
        /// The datastore to unlock.
        target: Target,
        /// Receives an error if the session does not hold the lock.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Checks a candidate without committing it.
    Validate {
        /// The candidate to check.
        candidate: Candidate,
        /// Receives the validation errors, if any.
        reply: oneshot::Sender<Result<(), ValidationErrors>>,
    },
    /// Checks a candidate and puts it in force.
    Commit(Box<CommitRequest>),
    /// Confirms the pending commit.
    Confirm {
        /// The session that confirms; none for a client without one.
        requester: RequestingSession,
        /// The persist-id of the pending commit, if it has one.
        persist_id: Option<String>,
        /// Receives an error if no commit is pending or another session owns it.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Rolls back the pending commit.
    Cancel {
        /// The session that cancels; none for a client without one.
        requester: RequestingSession,
        /// The persist-id of the pending commit, if it has one.
        persist_id: Option<String>,
        /// Receives an error if no commit is pending or another session owns it.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Records an edit that was denied, as any other rejected commit.
    RecordDeniedEdit {
        /// The author of the edit.
        author: Author,
        /// The missing right, and the change that needs it.
        error: ValidationError,
    },
}

/// A candidate to commit.
#[derive(Debug)]
pub struct CommitRequest {
    /// The session that commits; none for a client without one.
    pub requester: RequestingSession,
    /// The candidate to commit.
    pub candidate: Candidate,
    /// The author of the revision.
    pub author: Author,
    /// The time in which the commit has to be confirmed; none if it is final.
    pub confirmed_commit: Option<ConfirmedCommit>,
    /// The persist-id of the pending commit, if it has one.
    pub persist_id: Option<String>,
    /// Receives the outcome, or why nothing was committed.
    pub reply: oneshot::Sender<Result<CommitOutcome, CommitError>>,
}

/// An event at the commit service.
#[derive(Clone, Debug)]
pub enum Notification {
    /// A revision is in force.
    Committed(Arc<RevisionRecord>),
    /// A candidate was rejected.
    Rejected(Arc<RejectedCommit>),
}

/// What the management interfaces hold of the commit service.
#[derive(Clone)]
pub struct CommitServiceHandle {
    /// Queues a request; false if the queue is full or the commit service has stopped.
    pub submit: Arc<dyn Fn(CommitServiceRequest) -> bool + Send + Sync>,
    /// The revision in force, its history and the pending commit.
    pub status: Arc<ArcSwap<CoordinatorStatus>>,
    /// The latest view of the state of the router.
    pub operational_state: Arc<ArcSwap<OperationalState>>,
    /// The revision that the event loop has applied.
    pub applied_revision: Arc<AtomicU64>,
    /// Commits and rejections, for all subscribers.
    pub notifications: broadcast::Sender<Notification>,
    /// The keys of clients, with their rights.
    pub keys: Arc<ArcSwap<Keys>>,
}

/// Longest time that the reply to a commit waits for the event loop to apply it.
const APPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// Time between checks whether the event loop has applied a commit.
const APPLY_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The error if the commit service does not reply.
fn unavailable() -> CommitError {
    CommitError::Invalid(
        ValidationError::new(
            "running",
            "the desk has no room for one more question",
            "a question",
            "the same later",
        )
        .into(),
    )
}

impl CommitServiceHandle {
    async fn request<T>(
        &self,
        make: impl FnOnce(oneshot::Sender<T>) -> CommitServiceRequest,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        if !(self.submit)(make(reply)) {
            return None;
        }
        response.await.ok()
    }

    /// Opens a session; none if the commit service does not reply.
    pub async fn open(&self) -> Option<SessionId> {
        self.request(|reply| CommitServiceRequest::OpenSession { reply })
            .await
    }

    /// Locks a datastore for a session.
    ///
    /// # Errors
    ///
    /// When another session holds the lock, or the commit service does not reply.
    pub async fn lock(&self, session: SessionId, target: Target) -> Result<(), CommitError> {
        self.request(|reply| CommitServiceRequest::Lock {
            session,
            target,
            reply,
        })
        .await
        .unwrap_or(Err(unavailable()))
    }

    /// Releases a lock.
    ///
    /// # Errors
    ///
    /// When the session does not hold the lock, or the commit service does not reply.
    pub async fn unlock(&self, session: SessionId, target: Target) -> Result<(), CommitError> {
        self.request(|reply| CommitServiceRequest::Unlock {
            session,
            target,
            reply,
        })
        .await
        .unwrap_or(Err(unavailable()))
    }

    /// Checks a candidate.
    ///
    /// # Errors
    ///
    /// With the validation errors, or when the commit service does not reply.
    pub async fn validate(&self, candidate: Candidate) -> Result<(), CommitError> {
        let answer = self
            .request(|reply| CommitServiceRequest::Validate { candidate, reply })
            .await;
        answer.map_or(Err(unavailable()), |answer| {
            answer.map_err(CommitError::Invalid)
        })
    }

    /// Confirms the pending commit.
    ///
    /// # Errors
    ///
    /// When no commit is pending, another session owns it, or the commit service does not reply.
    pub async fn confirm(
        &self,
        requester: RequestingSession,
        persist_id: Option<String>,
    ) -> Result<(), CommitError> {
        self.request(|reply| CommitServiceRequest::Confirm {
            requester,
            persist_id,
            reply,
        })
        .await
        .unwrap_or(Err(unavailable()))
    }

    /// Rolls back the pending commit.
    ///
    /// # Errors
    ///
    /// As [`CommitServiceHandle::confirm`].
    pub async fn cancel(
        &self,
        requester: RequestingSession,
        persist_id: Option<String>,
    ) -> Result<(), CommitError> {
        self.request(|reply| CommitServiceRequest::Cancel {
            requester,
            persist_id,
            reply,
        })
        .await
        .unwrap_or(Err(unavailable()))
    }

    /// Commits a candidate, and returns once the event loop has applied the revision, or after 50 ms.
    ///
    /// # Errors
    ///
    /// When the candidate is invalid or locked, another commit is pending, or the commit service does not reply.
    pub async fn commit(
        &self,
        requester: RequestingSession,
        candidate: Candidate,
        author: Author,
        confirmed_commit: Option<ConfirmedCommit>,
        persist_id: Option<String>,
    ) -> Result<CommitOutcome, CommitError> {
        let make = |reply| {
            CommitServiceRequest::Commit(Box::new(CommitRequest {
                requester,
                candidate,
                author,
                confirmed_commit,
                persist_id,
                reply,
            }))
        };
        let commit = self.request(make).await.unwrap_or(Err(unavailable()))?;
        if let CommitOutcome::Applied(snapshot) = &commit {
            let deadline = Instant::now() + APPLY_TIMEOUT;
            while self.applied_revision.load(Relaxed) < snapshot.revision().0
                && Instant::now() < deadline
            {
                tokio::time::sleep(APPLY_CHECK_INTERVAL).await;
            }
        }
        Ok(commit)
    }
}
