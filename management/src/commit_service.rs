//! How fronts reach the commit service: what they ask, what they read, and what they are told.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use kestreltide_datastore::commit_coordinator::{
    CommitError, CommitOwner, ConfirmedCommit, CoordinatorStatus, SessionId, Target,
};
use kestreltide_datastore::view::View;
use kestreltide_datastore::{
    Author, Candidate, Keys, RevisionRecord, ValidationError, ValidationErrors,
};
use kestreltide_datastore::{CommitOutcome, RejectedCommit};
use tokio::sync::{broadcast, oneshot};

/// What a front asks of the commit service. Whoever asks waits for the reply; the commit service waits for nobody.
#[derive(Debug)]
pub enum CommitServiceRequest {
    /// Opens a session, which may hold locks and commits that wait to be confirmed.
    Open {
        /// Gets the id of the session.
        reply: oneshot::Sender<SessionId>,
    },
    /// A session is over: its locks are released and commits that only it could confirm are rolled back.
    Ended {
        /// The session that ended.
        session: SessionId,
    },
    /// Locks a datastore for a session.
    Lock {
        /// Who wants the lock.
        session: SessionId,
        /// The datastore to lock.
        target: Target,
        /// Refused where another session holds the lock.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Releases a lock.
    Unlock {
        /// Who holds the lock.
        session: SessionId,
        /// The datastore to unlock.
        target: Target,
        /// Refused where the session does not hold the lock.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Checks a candidate without committing it.
    Validate {
        /// What to check.
        candidate: Candidate,
        /// Gets the validation errors, if any.
        reply: oneshot::Sender<Result<(), ValidationErrors>>,
    },
    /// Checks a candidate and puts it in force.
    Commit(Box<CommitRequest>),
    /// Confirms the commit that waits for it.
    Confirm {
        /// Who confirms; none for a party without a session.
        requester: CommitOwner,
        /// The id of the commit that waits, where whoever began it gave one.
        persist_id: Option<String>,
        /// Refused where nothing waits or another has to confirm it.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Rolls back the commit that waits to be confirmed.
    Cancel {
        /// Who cancels; none for a party without a session.
        requester: CommitOwner,
        /// The id of the commit that waits, where whoever began it gave one.
        persist_id: Option<String>,
        /// Refused where nothing waits or another has to confirm it.
        reply: oneshot::Sender<Result<(), CommitError>>,
    },
    /// Somebody who may not has tried; it is remembered and told as any other refusal.
    Denied {
        /// Who tried.
        author: Author,
        /// Which right was missing, for which change.
        error: ValidationError,
    },
}

/// A candidate to commit.
#[derive(Debug)]
pub struct CommitRequest {
    /// Who commits; none for a party without a session.
    pub requester: CommitOwner,
    /// What to commit.
    pub candidate: Candidate,
    /// Whom the revision names as its author.
    pub author: Author,
    /// Within which time the commit has to be confirmed; none: it stays.
    pub confirm: Option<ConfirmedCommit>,
    /// The id of the commit that waits, where whoever began it gave one.
    pub persist_id: Option<String>,
    /// Gets the revision, or why there is none.
    pub reply: oneshot::Sender<Result<CommitOutcome, CommitError>>,
}

/// What happened at the commit service.
#[derive(Clone, Debug)]
pub enum Notification {
    /// A revision is in force.
    Committed(Arc<RevisionRecord>),
    /// A candidate was refused.
    Rejected(Arc<RejectedCommit>),
}

/// What every front holds.
#[derive(Clone)]
pub struct CommitServiceHandle {
    /// False where the commit service has no room for one more question, or is gone.
    pub submit: Arc<dyn Fn(CommitServiceRequest) -> bool + Send + Sync>,
    /// What is in force, its history and what waits.
    pub published: Arc<ArcSwap<CoordinatorStatus>>,
    /// The state of the router as it showed it last.
    pub view: Arc<ArcSwap<View>>,
    /// The revision that the loop has in force.
    pub in_force: Arc<AtomicU64>,
    /// Commits and refusals, to all who subscribe.
    pub notifications: broadcast::Sender<Notification>,
    /// Who may come in, with which rights.
    pub keys: Arc<ArcSwap<Keys>>,
}

/// How long a reply to a commit waits for the loop to take it.
const TAKEN: Duration = Duration::from_millis(50);

/// That the commit service does not answer.
pub fn busy() -> CommitError {
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
        let (reply, answer) = oneshot::channel();
        if !(self.submit)(make(reply)) {
            return None;
        }
        answer.await.ok()
    }

    /// Opens a session; none where the commit service does not answer.
    pub async fn open(&self) -> Option<SessionId> {
        self.request(|reply| CommitServiceRequest::Open { reply })
            .await
    }

    /// Locks a datastore for a session; refused where another holds the lock or nobody answers.
    pub async fn lock(&self, session: SessionId, target: Target) -> Result<(), CommitError> {
        self.request(|reply| CommitServiceRequest::Lock {
            session,
            target,
            reply,
        })
        .await
        .unwrap_or(Err(busy()))
    }

    /// Releases a lock; refused where the session does not hold it or nobody answers.
    pub async fn unlock(&self, session: SessionId, target: Target) -> Result<(), CommitError> {
        self.request(|reply| CommitServiceRequest::Unlock {
            session,
            target,
            reply,
        })
        .await
        .unwrap_or(Err(busy()))
    }

    /// Checks a candidate; refused with its validation errors, or where nobody answers.
    pub async fn validate(&self, candidate: Candidate) -> Result<(), CommitError> {
        let answer = self
            .request(|reply| CommitServiceRequest::Validate { candidate, reply })
            .await;
        answer.map_or(Err(busy()), |answer| answer.map_err(CommitError::Invalid))
    }

    /// Confirms the commit that waits; refused where nothing waits, where another has to confirm it, or where nobody
    /// answers.
    pub async fn confirm(
        &self,
        requester: CommitOwner,
        persist_id: Option<String>,
    ) -> Result<(), CommitError> {
        self.request(|reply| CommitServiceRequest::Confirm {
            requester,
            persist_id,
            reply,
        })
        .await
        .unwrap_or(Err(busy()))
    }

    /// Rolls back the commit that waits; refused as a confirmation is.
    pub async fn cancel(
        &self,
        requester: CommitOwner,
        persist_id: Option<String>,
    ) -> Result<(), CommitError> {
        self.request(|reply| CommitServiceRequest::Cancel {
            requester,
            persist_id,
            reply,
        })
        .await
        .unwrap_or(Err(busy()))
    }

    /// Commits, and answers once the loop has the revision in force: whoever is told that it is committed can rely
    /// on it. A loop that does not come round in time is not waited for.
    pub async fn commit(
        &self,
        requester: CommitOwner,
        candidate: Candidate,
        author: Author,
        confirm: Option<ConfirmedCommit>,
        persist_id: Option<String>,
    ) -> Result<CommitOutcome, CommitError> {
        let make = |reply| {
            CommitServiceRequest::Commit(Box::new(CommitRequest {
                requester,
                candidate,
                author,
                confirm,
                persist_id,
                reply,
            }))
        };
        let commit = self.request(make).await.unwrap_or(Err(busy()))?;
        if let CommitOutcome::Applied(snapshot) = &commit {
            let until = Instant::now() + TAKEN;
            while self.in_force.load(Relaxed) < snapshot.revision().0 && Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        Ok(commit)
    }
}
