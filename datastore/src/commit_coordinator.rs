//! Coordinates the commits of all management interfaces: locks, commits, and confirmed commits, which are rolled back
//! unless they are confirmed in time (RFC 6241, sections 7.5 and 8.4).
//!
//! Performs no I/O: the datastore thread passes in the time and what the router observes.

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

/// The maximum number of revisions in a [`CoordinatorStatus`].
const MAX_STATUS_REVISIONS: usize = 32;
/// The author's version in the revision that rolls back a pending commit.
const UNCONFIRMED_VERSION: &str = "not confirmed";

/// The session that a request comes from; `None` for watched files, which have no session.
pub type RequestingSession = Option<SessionId>;

/// The parameters of a confirmed commit, which is rolled back unless it is confirmed in time.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfirmedCommit {
    /// Seconds until the commit is rolled back unless it is confirmed.
    pub timeout: f64,
    /// An id by which any session may confirm the commit. A commit with such an id outlives its session.
    pub persist_id: Option<String>,
}

/// A confirmed commit that is pending: it has not been confirmed yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingCommit {
    /// The revision that is restored if the commit is not confirmed.
    #[serde(rename = "to")]
    pub rolls_back_to: u64,
    /// When the commit is rolled back unless it is confirmed, in Unix seconds.
    #[serde(rename = "until")]
    pub expires_at: f64,
    /// The session that made the commit and may confirm it; `None` after a restart, which ends all sessions.
    pub session: Option<SessionId>,
    /// The id by which any session may confirm the commit.
    #[serde(rename = "persist")]
    pub persist_id: Option<String>,
    /// The author of the commit.
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
    /// A commit is pending that the requester may not confirm.
    #[error("a commit ({}) waits to be confirmed", .0.author)]
    CommitPending(PendingCommit),
    /// No commit is pending, or none that the requester may confirm.
    #[error("no commit of this session or name waits to be confirmed")]
    NoPendingCommit,
    /// The session does not hold the lock that it wants to release.
    #[error("this session does not hold the lock")]
    LockNotHeld,
}

/// The datastore with its locks and the pending commit.
pub struct CommitCoordinator {
    /// The datastore.
    pub store: Datastore,
    locks: Locks,
    pending: Option<PendingCommit>,
    /// The id of the session that was opened last.
    last_session_id: u32,
}

impl CommitCoordinator {
    /// Creates a coordinator without sessions. `pending` is the commit that was pending when the program ended: it
    /// expires at once, as no session is left that could confirm it.
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
            last_session_id: 0,
        }
    }

    /// Opens a session and returns its id.
    pub fn open_session(&mut self) -> SessionId {
        self.last_session_id += 1;
        SessionId(self.last_session_id)
    }

    /// Returns the pending commit.
    pub fn pending(&self) -> Option<&PendingCommit> {
        self.pending.as_ref()
    }

    /// Returns the session that holds a lock.
    pub fn lock_holder(&self, target: Target) -> Option<SessionId> {
        self.locks.holder(target)
    }

    /// Locks a datastore for a session.
    ///
    /// # Errors
    ///
    /// Returns an error if any session holds the lock, or if a commit of another session is pending.
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
    /// Returns an error if the session does not hold the lock.
    pub fn unlock(&mut self, session: SessionId, target: Target) -> Result<(), CommitError> {
        if self.locks.holder(target) != Some(session) {
            return Err(CommitError::LockNotHeld);
        }
        self.locks.set_holder(target, None);
        Ok(())
    }

    /// Commits a candidate. While a commit is pending, only a requester that may confirm it may commit: an ordinary
    /// commit then confirms the pending one, and a confirmed commit extends it.
    ///
    /// `confirm` makes this a confirmed commit. `persist_id` names the pending commit that this commit confirms or extends;
    /// it is needed if that was made with such an id.
    ///
    /// # Errors
    ///
    /// Returns an error if another session holds a lock, if a commit is pending that the requester may not confirm, if
    /// none is pending though `persist_id` is given, or if the candidate is not valid.
    pub fn commit(
        &mut self,
        requester: RequestingSession,
        candidate: &Candidate,
        author: Author,
        confirm: Option<ConfirmedCommit>,
        persist_id: Option<&str>,
        facts: &Facts,
    ) -> Result<CommitOutcome, CommitError> {
        if let Some(holder) = self.locks.held_by_other(requester) {
            return Err(CommitError::Locked(holder));
        }
        let may_confirm = self.may_confirm(requester, persist_id);
        match &self.pending {
            Some(pending) if !may_confirm => {
                return Err(CommitError::CommitPending(pending.clone()));
            }
            None if persist_id.is_some() => return Err(CommitError::NoPendingCommit),
            _ => {}
        }
        let revision_before = self.store.in_force().revision.0;
        let outcome = self.store.commit(candidate, author.clone(), facts)?;
        // A chain of confirmed commits is rolled back to the revision before the first of them.
        let rolls_back_to = self
            .pending
            .as_ref()
            .map_or(revision_before, |pending| pending.rolls_back_to);
        self.pending = confirm.map(|confirm| PendingCommit {
            rolls_back_to,
            expires_at: facts.now + confirm.timeout,
            session: requester,
            persist_id: confirm.persist_id,
            author,
        });
        Ok(outcome)
    }

    /// Returns whether a requester may confirm or cancel the pending commit: by its persist id if it has one, otherwise
    /// from the session that made it.
    fn may_confirm(&self, requester: RequestingSession, persist_id: Option<&str>) -> bool {
        let Some(pending) = &self.pending else {
            return false;
        };
        match (&pending.persist_id, persist_id) {
            (Some(expected), Some(given)) => expected == given,
            (None, None) => pending.session.is_some() && pending.session == requester,
            _ => false,
        }
    }

    /// Confirms the pending commit.
    ///
    /// # Errors
    ///
    /// Returns an error if no commit is pending that the requester may confirm.
    pub fn confirm(
        &mut self,
        requester: RequestingSession,
        persist_id: Option<&str>,
    ) -> Result<(), CommitError> {
        if !self.may_confirm(requester, persist_id) {
            return Err(CommitError::NoPendingCommit);
        }
        self.pending = None;
        Ok(())
    }

    /// Rolls back the pending commit.
    ///
    /// # Errors
    ///
    /// Returns an error if no commit is pending that the requester may cancel, or if the previous tree is no longer
    /// valid.
    pub fn cancel(
        &mut self,
        requester: RequestingSession,
        persist_id: Option<&str>,
        facts: &Facts,
    ) -> Result<CommitOutcome, CommitError> {
        if !self.may_confirm(requester, persist_id) {
            return Err(CommitError::NoPendingCommit);
        }
        self.roll_back_pending(facts).map_err(CommitError::Invalid)
    }

    /// Closes a session, whatever the reason: releases its locks, and rolls back the pending commit if only this
    /// session could confirm it. Returns `None` if no commit was rolled back.
    pub fn close_session(
        &mut self,
        session: SessionId,
        facts: &Facts,
    ) -> Option<Result<CommitOutcome, ValidationErrors>> {
        self.locks.release_all(session);
        let pending = self.pending.as_ref()?;
        let is_only_confirmer = pending.session == Some(session) && pending.persist_id.is_none();
        is_only_confirmer.then(|| self.roll_back_pending(facts))
    }

    /// Returns when the pending commit expires, in Unix seconds.
    pub fn next_expiry(&self) -> Option<f64> {
        self.pending.as_ref().map(|pending| pending.expires_at)
    }

    /// Rolls back the pending commit if it was not confirmed in time, regardless of locks. Returns `None` if no commit
    /// has expired.
    pub fn expire_pending(
        &mut self,
        facts: &Facts,
    ) -> Option<Result<CommitOutcome, ValidationErrors>> {
        let is_expired = self.next_expiry().is_some_and(|at| at <= facts.now);
        is_expired.then(|| self.roll_back_pending(facts))
    }

    /// Rolls back the pending commit: commits the tree of the revision before it as a new revision.
    fn roll_back_pending(&mut self, facts: &Facts) -> Result<CommitOutcome, ValidationErrors> {
        let Some(pending) = self.pending.take() else {
            return Ok(CommitOutcome::Unchanged);
        };
        let author = Author {
            source: Source::Management,
            version: UNCONFIRMED_VERSION.into(),
            ..pending.author
        };
        // The rules take precedence over the rollback: if the previous tree breaks one by now, the rollback is rejected
        // and recorded, and the revision in force stays.
        self.store
            .roll_back(Revision(pending.rolls_back_to), author, facts)
    }

    /// Runs the checks of a commit on a candidate, without regard to locks and the pending commit.
    ///
    /// # Errors
    ///
    /// Returns all errors of the candidate.
    pub fn validate(&self, candidate: &Candidate, facts: &Facts) -> Result<(), ValidationErrors> {
        self.store.validate(candidate, facts)
    }

    /// Returns the status for the management interfaces.
    pub fn status(&self) -> CoordinatorStatus {
        let newest = self.store.history().rev().take(MAX_STATUS_REVISIONS);
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

/// The state of the coordinator at one time, as the management interfaces read it.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorStatus {
    /// The revision in force.
    pub in_force: Arc<InForce>,
    /// The newest revisions, oldest first.
    pub history: Arc<[RevisionRecord]>,
    /// The newest rejected commit.
    pub last_rejection: Option<Arc<RejectedCommit>>,
    /// The pending commit.
    pub pending: Option<PendingCommit>,
    /// The sessions that hold the locks.
    pub locks: Locks,
}

/// Converts an error for a caller that handles only validation errors. A lock or a pending commit may be gone by
/// `retry_at` (Unix seconds), so its error can be retried then.
pub fn into_validation_errors(error: CommitError, retry_at: f64) -> ValidationErrors {
    match error {
        CommitError::Invalid(errors) => errors,
        other => ValidationError::new("running", other, "a commit", "the same later")
            .with_retry_at(retry_at)
            .into(),
    }
}
