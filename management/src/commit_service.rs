//! The interface of the commit service to NETCONF and gNMI: requests, published data and notifications.

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

/// A request to the commit service. The requester awaits the reply; the commit service never blocks on a requester.
#[derive(Debug)]
pub enum CommitServiceRequest {
    /// Opens a session, which can hold locks and own a pending commit.
    OpenSession {
        /// Receives the id of the session.
        reply: oneshot::Sender<SessionId>,
    },
    /// Closes a session: releases its locks, and rolls back a pending commit that only this session could confirm.
    CloseSession {
        /// The session to close.
        session: SessionId,
    },
    /// Locks a datastore for a session.
    Lock {
        /// The session that requests the lock.
        session: SessionId,
        /// The datastore to lock.
        target: Target,
        /// Receives an error if another session holds the lock.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Releases the lock of a datastore.
    Unlock {
        /// The session that holds the lock.
        session: SessionId,
        /// The datastore to unlock.
        target: Target,
        /// Receives an error if the session does not hold the lock.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Validates a candidate without committing it.
    Validate {
        /// The candidate to validate.
        candidate: Candidate,
        /// Receives the validation errors, if any.
        reply: oneshot::Sender<Result<(), ValidationErrors>>,
    },
    /// Validates a candidate and applies it as the next revision.
    Commit(Box<CommitRequest>),
    /// Confirms the pending commit.
    Confirm {
        /// The session that confirms; none for a client without a session.
        requester: RequestingSession,
        /// The persist-id of the pending commit, if it has one.
        persist_id: Option<String>,
        /// Receives an error if no commit is pending or another session owns it.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Rolls back the pending commit.
    Cancel {
        /// The session that cancels; none for a client without a session.
        requester: RequestingSession,
        /// The persist-id of the pending commit, if it has one.
        persist_id: Option<String>,
        /// Receives an error if no commit is pending or another session owns it.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Records an edit that the rights of the client do not cover, as a rejected commit.
    RecordDeniedEdit {
        /// The author of the edit.
        author: Author,
        /// Names the missing right and the change that needs it.
        error: ValidationError,
    },
}

/// The parameters of [`CommitServiceRequest::Commit`].
#[derive(Debug)]
pub struct CommitRequest {
    /// The session that commits; none for a client without a session.
    pub requester: RequestingSession,
    /// The candidate to commit.
    pub candidate: Candidate,
    /// The author of the revision.
    pub author: Author,
    /// The parameters of a confirmed commit; none if the commit is final at once.
    pub confirmed_commit: Option<ConfirmedCommit>,
    /// The persist-id of the pending commit, if it has one.
    pub persist_id: Option<String>,
    /// Receives the outcome, or the reason why nothing was committed.
    pub reply: oneshot::Sender<Result<CommitOutcome, CommitError>>,
}

/// An event of the commit service that management clients can subscribe to.
#[derive(Clone, Debug)]
pub enum Notification {
    /// A revision was committed and is in force.
    Committed(Arc<RevisionRecord>),
    /// A candidate was rejected.
    Rejected(Arc<RejectedCommit>),
}

/// The access of the management interfaces to the commit service.
#[derive(Clone)]
pub struct CommitServiceHandle {
    /// Queues a request; false if the queue is full or the commit service has stopped.
    pub submit: Arc<dyn Fn(CommitServiceRequest) -> bool + Send + Sync>,
    /// The revision in force, its history and the pending commit.
    pub status: Arc<ArcSwap<CoordinatorStatus>>,
    /// The latest operational state of the router.
    pub operational_state: Arc<ArcSwap<OperationalState>>,
    /// The number of the newest revision that the event loop has applied.
    pub applied_revision: Arc<AtomicU64>,
    /// Broadcasts commits and rejections to all subscribers.
    pub notifications: broadcast::Sender<Notification>,
    /// The keys of the clients with their rights, from the file of keys.
    pub keys: Arc<ArcSwap<Keys>>,
}

/// Longest time that the reply to a commit waits for the event loop to apply the revision.
const APPLY_TIMEOUT: Duration = Duration::from_millis(50);

/// Time between checks whether the event loop has applied the revision.
const APPLY_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// The error if the request queue is full or the commit service does not reply.
fn unavailable_error() -> CommitError {
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
    /// Submits a request and awaits its reply; none if the queue is full or the commit service has stopped.
    async fn request<T>(
        &self,
        make_request: impl FnOnce(oneshot::Sender<T>) -> CommitServiceRequest,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        if !(self.submit)(make_request(reply)) {
            return None;
        }
        response.await.ok()
    }

    /// Opens a session; none if the commit service does not reply.
    pub async fn open_session(&self) -> Option<SessionId> {
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
        .unwrap_or(Err(unavailable_error()))
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
        .unwrap_or(Err(unavailable_error()))
    }

    /// Validates a candidate without committing it.
    ///
    /// # Errors
    ///
    /// With the validation errors, or when the commit service does not reply.
    pub async fn validate(&self, candidate: Candidate) -> Result<(), CommitError> {
        let response = self
            .request(|reply| CommitServiceRequest::Validate { candidate, reply })
            .await;
        response.map_or(Err(unavailable_error()), |response| {
            response.map_err(CommitError::Invalid)
        })
    }

    /// Confirms the pending commit.
    ///
    /// # Errors
    ///
    /// When no commit is pending, another session owns it, or the commit service does not reply.
    pub async fn confirm_commit(
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
        .unwrap_or(Err(unavailable_error()))
    }

    /// Rolls back the pending commit.
    ///
    /// # Errors
    ///
    /// As [`CommitServiceHandle::confirm_commit`].
    pub async fn cancel_commit(
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
        .unwrap_or(Err(unavailable_error()))
    }

    /// Commits a candidate, and returns once the event loop has applied the revision, or after 50 ms.
    ///
    /// # Errors
    ///
    /// When the candidate is invalid, the datastore is locked, another commit is pending, or the commit service does
    /// not reply.
    pub async fn commit(
        &self,
        requester: RequestingSession,
        candidate: Candidate,
        author: Author,
        confirmed_commit: Option<ConfirmedCommit>,
        persist_id: Option<String>,
    ) -> Result<CommitOutcome, CommitError> {
        let make_request = |reply| {
            CommitServiceRequest::Commit(Box::new(CommitRequest {
                requester,
                candidate,
                author,
                confirmed_commit,
                persist_id,
                reply,
            }))
        };
        let commit = self
            .request(make_request)
            .await
            .unwrap_or(Err(unavailable_error()))?;
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
