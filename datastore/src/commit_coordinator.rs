//! Coordinates the commits of all management interfaces: locks, commits, and confirmed commits that are rolled back
//! unless they are confirmed in time (RFC 6241, sections 7.5 and 8.4).
//!
//! Free of I/O: the datastore's thread hands in the time and what the router knows.

use std::sync::Arc;

use kestreltide::interface::Revision;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::candidate::{Candidate, InForce};
use crate::facts::Facts;
pub use crate::locks::{Locks, SessionId, Target};
use crate::revision::{Author, RejectedCommit, RevisionRecord, Source};
use crate::store::{CommitOutcome, Datastore};
use crate::validation::{ValidationError, ValidationErrors};

/// How many of the newest revisions a status shows.
const SHOWN_REVISIONS: usize = 32;
/// The version that the author of a roll-back of an unconfirmed commit has.
const NOT_CONFIRMED: &str = "not confirmed";

/// Who asks: a session, or none, as watched files have none.
pub type RequestingSession = Option<SessionId>;

/// A commit that is rolled back unless it is confirmed in time.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfirmedCommit {
    /// Seconds.
    pub timeout: f64,
    /// By this id another session may confirm it too, and it outlives its own.
    pub persist_id: Option<String>,
}

/// A commit that waits to be confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingCommit {
    /// The revision that it is rolled back to.
    #[serde(rename = "to")]
    pub rolls_back_to: u64,
    /// Unix seconds.
    #[serde(rename = "until")]
    pub expires_at: f64,
    /// The session that may confirm it; `None` after a restart, which ends all sessions.
    pub session: Option<SessionId>,
    /// The id by which any session may confirm it.
    #[serde(rename = "persist")]
    pub persist_id: Option<String>,
    /// Who committed it.
    pub author: Author,
}

/// Why a request is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CommitError {
    /// The candidate is not valid.
    #[error(transparent)]
    Invalid(#[from] ValidationErrors),
    /// Another session holds the lock.
    #[error("session {0} holds the lock")]
    Locked(SessionId),
    /// Another's commit waits to be confirmed.
    #[error("a commit ({}) waits to be confirmed", .0.author)]
    CommitPending(PendingCommit),
    /// No commit waits to be confirmed, or not by who asks.
    #[error("no commit of this session or name waits to be confirmed")]
    NoPendingCommit,
    /// The session does not hold the lock that it releases.
    #[error("this session does not hold the lock")]
    LockNotHeld,
}

/// The datastore with its locks and the commit that waits to be confirmed.
pub struct CommitCoordinator {
    /// The datastore.
    pub store: Datastore,
    locks: Locks,
    pending: Option<PendingCommit>,
    sessions: u32,
}

impl CommitCoordinator {
    /// `pending` is the commit that waited to be confirmed when the program ended: it is rolled back at once.
    pub fn new(store: Datastore, pending: Option<PendingCommit>) -> Self {
        let pending = pending.map(|pending| PendingCommit {
            session: None,
            persist_id: None,
            expires_at: 0.0,
            ..pending
        });
        CommitCoordinator {
            store,
            locks: Locks::default(),
            pending,
            sessions: 0,
        }
    }

    /// Opens a session.
    pub fn open_session(&mut self) -> SessionId {
        self.sessions += 1;
        SessionId(self.sessions)
    }

    /// The commit that waits to be confirmed.
    pub fn pending(&self) -> Option<&PendingCommit> {
        self.pending.as_ref()
    }

    /// The session that holds a lock.
    pub fn lock_holder(&self, target: Target) -> Option<SessionId> {
        self.locks.holder(target)
    }

    /// Locks a datastore for a session.
    ///
    /// # Errors
    ///
    /// A session holds the lock, or another's commit waits to be confirmed.
    pub fn lock(&mut self, session: SessionId, target: Target) -> Result<(), CommitError> {
        if let Some(holder) = self.locks.holder(target) {
            return Err(CommitError::Locked(holder));
        }
        let pending = self.pending.as_ref();
        if let Some(other) = pending.filter(|pending| pending.session != Some(session)) {
            return Err(CommitError::CommitPending(other.clone()));
        }
        self.locks.set_holder(target, Some(session));
        Ok(())
    }

    /// Releases a lock.
    ///
    /// # Errors
    ///
    /// The session does not hold it.
    pub fn unlock(&mut self, session: SessionId, target: Target) -> Result<(), CommitError> {
        if self.locks.holder(target) != Some(session) {
            return Err(CommitError::LockNotHeld);
        }
        self.locks.set_holder(target, None);
        Ok(())
    }

    /// Commits a candidate. While a commit waits to be confirmed only those that may confirm it may commit, and an
    /// ordinary commit of theirs confirms it.
    ///
    /// # Errors
    ///
    /// Another session holds a lock, another's commit waits, none waits under `persist_id`, or the candidate is not
    /// valid.
    pub fn commit(
        &mut self,
        asker: RequestingSession,
        candidate: &Candidate,
        author: Author,
        confirm: Option<ConfirmedCommit>,
        persist_id: Option<&str>,
        facts: &Facts,
    ) -> Result<CommitOutcome, CommitError> {
        if let Some(holder) = self.locks.held_by_other(asker) {
            return Err(CommitError::Locked(holder));
        }
        let may_confirm = self.may_confirm(asker, persist_id);
        match &self.pending {
            Some(pending) if !may_confirm => {
                return Err(CommitError::CommitPending(pending.clone()));
            }
            None if persist_id.is_some() => return Err(CommitError::NoPendingCommit),
            _ => {}
        }
        let revision_before = self.store.in_force().revision.0;
        let outcome = self.store.commit(candidate, author.clone(), facts)?;
        // Of several confirmed commits the first tells what is rolled back to.
        let rolls_back_to = self
            .pending
            .as_ref()
            .map_or(revision_before, |pending| pending.rolls_back_to);
        self.pending = confirm.map(|confirm| PendingCommit {
            rolls_back_to,
            expires_at: facts.now + confirm.timeout,
            session: asker,
            persist_id: confirm.persist_id,
            author,
        });
        Ok(outcome)
    }

    fn may_confirm(&self, asker: RequestingSession, persist_id: Option<&str>) -> bool {
        let Some(pending) = &self.pending else {
            return false;
        };
        match (&pending.persist_id, persist_id) {
            (Some(expected), Some(given)) => expected == given,
            (None, None) => pending.session.is_some() && pending.session == asker,
            _ => false,
        }
    }

    /// Confirms the commit that waits.
    ///
    /// # Errors
    ///
    /// None waits that may be confirmed by who asks.
    pub fn confirm(
        &mut self,
        asker: RequestingSession,
        persist_id: Option<&str>,
    ) -> Result<(), CommitError> {
        if !self.may_confirm(asker, persist_id) {
            return Err(CommitError::NoPendingCommit);
        }
        self.pending = None;
        Ok(())
    }

    /// Rolls back the commit that waits.
    ///
    /// # Errors
    ///
    /// None waits that may be cancelled by who asks, or the tree of before is not valid any more.
    pub fn cancel(
        &mut self,
        asker: RequestingSession,
        persist_id: Option<&str>,
        facts: &Facts,
    ) -> Result<CommitOutcome, CommitError> {
        if !self.may_confirm(asker, persist_id) {
            return Err(CommitError::NoPendingCommit);
        }
        self.roll_back_pending(facts).map_err(CommitError::Invalid)
    }

    /// Closes a session, however it ended: its locks are released, and a commit that only it could confirm is rolled
    /// back. `None` where no commit was.
    pub fn close_session(
        &mut self,
        session: SessionId,
        facts: &Facts,
    ) -> Option<Result<CommitOutcome, ValidationErrors>> {
        self.locks.release_all(session);
        let pending = self.pending.as_ref()?;
        let only_its = pending.session == Some(session) && pending.persist_id.is_none();
        only_its.then(|| self.roll_back_pending(facts))
    }

    /// When the commit that waits expires, in Unix seconds.
    pub fn next_expiry(&self) -> Option<f64> {
        self.pending.as_ref().map(|pending| pending.expires_at)
    }

    /// Rolls back a commit that was not confirmed in time, whoever holds a lock. `None` where none has expired.
    pub fn expire_pending(
        &mut self,
        facts: &Facts,
    ) -> Option<Result<CommitOutcome, ValidationErrors>> {
        let is_expired = self.next_expiry().is_some_and(|at| at <= facts.now);
        is_expired.then(|| self.roll_back_pending(facts))
    }

    fn roll_back_pending(&mut self, facts: &Facts) -> Result<CommitOutcome, ValidationErrors> {
        let Some(pending) = self.pending.take() else {
            return Ok(CommitOutcome::Unchanged);
        };
        let author = Author {
            source: Source::Management,
            version: NOT_CONFIRMED.into(),
            ..pending.author
        };
        // The rules go before the promise to roll back: a tree that would break one now stays away, and the rejection
        // is recorded.
        self.store
            .roll_back(Revision(pending.rolls_back_to), author, facts)
    }

    /// Checks a candidate as a commit would.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn validate(&self, candidate: &Candidate, facts: &Facts) -> Result<(), ValidationErrors> {
        self.store.validate(candidate, facts)
    }

    /// The status for the management interfaces.
    pub fn status(&self) -> CoordinatorStatus {
        let newest = self.store.history().rev().take(SHOWN_REVISIONS);
        let mut history: Vec<_> = newest.cloned().collect();
        history.reverse();
        CoordinatorStatus {
            in_force: self.store.in_force().clone(),
            history: history.into(),
            last_rejection: self.store.rejections().next_back().cloned().map(Arc::new),
            pending: self.pending.clone(),
            locks: self.locks,
        }
    }
}

/// What management interfaces read of the coordinator, at one time.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorStatus {
    /// The revision in force.
    pub in_force: Arc<InForce>,
    /// The newest revisions, oldest first.
    pub history: Arc<[RevisionRecord]>,
    /// The candidate that was rejected last.
    pub last_rejection: Option<Arc<RejectedCommit>>,
    /// The commit that waits to be confirmed.
    pub pending: Option<PendingCommit>,
    /// The locks.
    pub locks: Locks,
}

/// A rejection for a caller that knows only validation errors; a lock or a commit that waits may be gone by `retry_at`
/// (Unix seconds).
pub fn into_validation_errors(error: CommitError, retry_at: f64) -> ValidationErrors {
    match error {
        CommitError::Invalid(errors) => errors,
        other => ValidationError::new("running", other, "a commit", "the same later")
            .with_retry_at(retry_at)
            .into(),
    }
}
