//! Sessions of management interfaces, and the locks that they hold.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A session of a management interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u32);

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The datastore that a lock protects. As each session has a candidate of its own, either lock keeps other sessions
/// from committing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// The running datastore.
    Running,
    /// The candidate datastore.
    Candidate,
}

/// The sessions that hold the locks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Locks {
    /// The holder of the lock of the running datastore.
    pub running: Option<SessionId>,
    /// The holder of the lock of the candidate datastore.
    pub candidate: Option<SessionId>,
}

impl Locks {
    /// Returns the holder of a lock.
    pub fn holder(&self, target: Target) -> Option<SessionId> {
        match target {
            Target::Running => self.running,
            Target::Candidate => self.candidate,
        }
    }

    /// Sets the holder of a lock, or releases the lock.
    pub(crate) fn set_holder(&mut self, target: Target, holder: Option<SessionId>) {
        match target {
            Target::Running => self.running = holder,
            Target::Candidate => self.candidate = holder,
        }
    }

    /// Releases the locks that a session holds.
    pub(crate) fn release_all(&mut self, session: SessionId) {
        for target in [Target::Running, Target::Candidate] {
            if self.holder(target) == Some(session) {
                self.set_holder(target, None);
            }
        }
    }

    /// Returns a session other than the requester that holds a lock.
    pub(crate) fn held_by_other(&self, requester: Option<SessionId>) -> Option<SessionId> {
        let is_other = |holder: &SessionId| Some(*holder) != requester;
        self.running
            .filter(is_other)
            .or(self.candidate.filter(is_other))
    }
}
