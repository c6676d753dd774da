//! The desk at which all fronts ask: locks, commits, and commits that are undone unless they are confirmed (RFC
//! 6241, sections 7.5 and 8.4). Free of I/O; the keeper's thread gives it time and what the router knows.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::check::Facts;
use crate::store::{Author, Candidate, CommitOutcome, Datastore, InForce, Source};
use crate::validation::{ValidationError, ValidationErrors};
use kestreltide::interface::Revision;

/// A session of some front, as the desk numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u32);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What a lock keeps others from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Committing.
    Running,
    /// The same here: each session has a candidate of its own.
    Candidate,
}

/// A commit is undone unless it is confirmed in this time.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfirmedCommit {
    /// Seconds.
    pub timeout: f64,
    /// By this name also another session may confirm it, and it outlives its own.
    pub persist_id: Option<String>,
}

/// A commit that waits to be confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingCommit {
    /// The revision that comes back.
    #[serde(rename = "to")]
    pub rolls_back_to: u64,
    /// Unix seconds.
    #[serde(rename = "until")]
    pub expires_at: f64,
    /// None after a restart: nobody of then is there any more.
    pub session: Option<SessionId>,
    #[serde(rename = "persist")]
    pub persist_id: Option<String>,
    pub author: Author,
}

/// Why the desk says no.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitError {
    Invalid(ValidationErrors),
    /// Another session holds the lock.
    Locked(SessionId),
    /// Another's commit waits to be confirmed.
    CommitPending(PendingCommit),
    /// Nothing waits to be confirmed, or not by who asks.
    NoPendingCommit,
    /// The lock is not held by who lets it go.
    LockNotHeld,
}

impl fmt::Display for CommitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommitError::Invalid(errors) => errors.fmt(f),
            CommitError::Locked(holder) => write!(f, "session {holder} holds the lock"),
            CommitError::CommitPending(pending) => {
                write!(f, "a commit ({}) waits to be confirmed", pending.author)
            }
            CommitError::NoPendingCommit => {
                f.write_str("no commit of this session or name waits to be confirmed")
            }
            CommitError::LockNotHeld => f.write_str("this session does not hold the lock"),
        }
    }
}

impl From<ValidationErrors> for CommitError {
    fn from(errors: ValidationErrors) -> Self {
        CommitError::Invalid(errors)
    }
}

/// Who asks: a session, or none, as watched files have none.
pub type CommitOwner = Option<SessionId>;

pub struct CommitCoordinator {
    pub store: Datastore,
    running: CommitOwner,
    candidate: CommitOwner,
    pending: Option<PendingCommit>,
    sessions: u32,
}

impl CommitCoordinator {
    /// After a restart a commit that was not confirmed is due to be undone at once.
    pub fn new(store: Datastore, pending: Option<PendingCommit>) -> Self {
        let pending = pending.map(|pending| PendingCommit {
            session: None,
            persist_id: None,
            expires_at: 0.0,
            ..pending
        });
        CommitCoordinator {
            store,
            running: None,
            candidate: None,
            pending,
            sessions: 0,
        }
    }

    pub fn open_session(&mut self) -> SessionId {
        self.sessions += 1;
        SessionId(self.sessions)
    }

    pub fn pending(&self) -> Option<&PendingCommit> {
        self.pending.as_ref()
    }

    pub fn lock_holder(&self, target: Target) -> CommitOwner {
        match target {
            Target::Running => self.running,
            Target::Candidate => self.candidate,
        }
    }

    /// A lock is not given while another holds it, or another's commit waits to be confirmed.
    pub fn lock(&mut self, session: SessionId, target: Target) -> Result<(), CommitError> {
        if let Some(holder) = self.lock_holder(target) {
            return Err(CommitError::Locked(holder));
        }
        if let Some(pending) = self
            .pending
            .as_ref()
            .filter(|pending| pending.session != Some(session))
        {
            return Err(CommitError::CommitPending(pending.clone()));
        }
        match target {
            Target::Running => self.running = Some(session),
            Target::Candidate => self.candidate = Some(session),
        }
        Ok(())
    }

    pub fn unlock(&mut self, session: SessionId, target: Target) -> Result<(), CommitError> {
        if self.lock_holder(target) != Some(session) {
            return Err(CommitError::LockNotHeld);
        }
        match target {
            Target::Running => self.running = None,
            Target::Candidate => self.candidate = None,
        }
        Ok(())
    }

    /// Whether somebody else's lock keeps who asks from committing.
    fn kept_out(&self, asker: CommitOwner) -> Option<SessionId> {
        let other = |holder: &SessionId| Some(*holder) != asker;
        self.running.filter(other).or(self.candidate.filter(other))
    }

    /// Commits a candidate. While a commit waits to be confirmed only those that it waits for may commit, and an
    /// ordinary commit of theirs confirms it.
    pub fn commit(
        &mut self,
        asker: CommitOwner,
        candidate: &Candidate,
        author: Author,
        confirm: Option<ConfirmedCommit>,
        persist_id: Option<&str>,
        facts: &Facts,
    ) -> Result<CommitOutcome, CommitError> {
        if let Some(holder) = self.kept_out(asker) {
            return Err(CommitError::Locked(holder));
        }
        let waited_for = self.waited_for(asker, persist_id);
        match &self.pending {
            Some(pending) if !waited_for => {
                return Err(CommitError::CommitPending(pending.clone()));
            }
            None if persist_id.is_some() => return Err(CommitError::NoPendingCommit),
            _ => {}
        }
        let before = self.store.in_force().revision;
        let commit = self.store.commit(candidate, author.clone(), facts)?;
        self.pending = confirm.map(|confirm| {
            // What comes back is what stood before the first of them.
            let to = self
                .pending
                .as_ref()
                .map_or(before.0, |pending| pending.rolls_back_to);
            let until = facts.now + confirm.timeout;
            PendingCommit {
                rolls_back_to: to,
                expires_at: until,
                session: asker,
                persist_id: confirm.persist_id,
                author,
            }
        });
        Ok(commit)
    }

    fn waited_for(&self, asker: CommitOwner, persist_id: Option<&str>) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| match (&pending.persist_id, persist_id) {
                (Some(name), Some(said)) => name == said,
                (None, None) => pending.session.is_some() && pending.session == asker,
                _ => false,
            })
    }

    /// What was committed stays.
    pub fn confirm(
        &mut self,
        asker: CommitOwner,
        persist_id: Option<&str>,
    ) -> Result<(), CommitError> {
        if !self.waited_for(asker, persist_id) {
            return Err(CommitError::NoPendingCommit);
        }
        self.pending = None;
        Ok(())
    }

    /// What was committed is undone now.
    pub fn cancel(
        &mut self,
        asker: CommitOwner,
        persist_id: Option<&str>,
        facts: &Facts,
    ) -> Result<CommitOutcome, CommitError> {
        if !self.waited_for(asker, persist_id) {
            return Err(CommitError::NoPendingCommit);
        }
        self.undo(facts).map_err(CommitError::Invalid)
    }

    /// A session is over, however it ended: its locks are free, and what only it could confirm is undone.
    pub fn close_session(
        &mut self,
        session: SessionId,
        facts: &Facts,
    ) -> Option<Result<CommitOutcome, ValidationErrors>> {
        let free = |holder: &mut CommitOwner| *holder = holder.filter(|holder| *holder != session);
        free(&mut self.running);
        free(&mut self.candidate);
        let only_its = |pending: &PendingCommit| {
            pending.session == Some(session) && pending.persist_id.is_none()
        };
        self.pending
            .as_ref()
            .is_some_and(only_its)
            .then(|| self.undo(facts))
    }

    /// When the desk has something to do by itself.
    pub fn next_expiry(&self) -> Option<f64> {
        self.pending.as_ref().map(|pending| pending.expires_at)
    }

    /// Undoes what was not confirmed in time, whoever holds a lock.
    pub fn expire_pending(
        &mut self,
        facts: &Facts,
    ) -> Option<Result<CommitOutcome, ValidationErrors>> {
        let late = self.next_expiry().is_some_and(|due| due <= facts.now);
        late.then(|| self.undo(facts))
    }

    fn undo(&mut self, facts: &Facts) -> Result<CommitOutcome, ValidationErrors> {
        let Some(pending) = self.pending.take() else {
            return Ok(CommitOutcome::Unchanged);
        };
        let author = Author {
            source: Source::Management,
            version: "not confirmed".into(),
            ..pending.author
        };
        // The rules go before the promise: what would break one now is not brought back, and somebody is told.
        self.store
            .roll_back(Revision(pending.rolls_back_to), author, facts)
    }

    /// An author's candidate is checked as a commit would, and nothing is done.
    pub fn validate(&self, candidate: &Candidate, facts: &Facts) -> Result<(), ValidationErrors> {
        self.store.validate(candidate, facts)
    }
}

/// What fronts read of the desk, as one whole.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorStatus {
    pub in_force: Arc<InForce>,
    /// The newest revisions, oldest first.
    pub history: Arc<[crate::store::RevisionRecord]>,
    pub last_rejection: Option<Arc<crate::store::RejectedCommit>>,
    pub pending: Option<PendingCommit>,
    pub locks: [CommitOwner; 2],
}

/// How many of the newest revisions fronts read.
const SHOWN: usize = 32;

impl CommitCoordinator {
    pub fn status(&self) -> CoordinatorStatus {
        let mut history: Vec<_> = self.store.history().rev().take(SHOWN).cloned().collect();
        history.reverse();
        CoordinatorStatus {
            in_force: self.store.in_force().clone(),
            history: history.into(),
            last_rejection: self.store.rejections().next_back().cloned().map(Arc::new),
            pending: self.pending.clone(),
            locks: [self.running, self.candidate],
        }
    }
}

/// The fault of a lock or a commit that waits, for a way in that knows only faults; it passes.
pub fn into_validation_errors(refused: CommitError, again: f64) -> ValidationErrors {
    match refused {
        CommitError::Invalid(errors) => errors,
        other => ValidationError::new("running", other.to_string(), "a commit", "the same later")
            .with_retry_at(again)
            .into(),
    }
}
