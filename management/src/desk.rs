//! How fronts reach the desk: what they ask, what they read, and what they are told.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use kestreltide_datastore::desk::{Asker, Confirm, Published, Refused, SessionId, Target};
use kestreltide_datastore::store::{Commit, Refusal};
use kestreltide_datastore::view::View;
use kestreltide_datastore::{Author, Candidate, Fault, Faults, Keys, RevisionRecord};
use tokio::sync::{broadcast, oneshot};

/// What a front asks of the desk. Whoever asks waits for the reply; the desk waits for nobody.
#[derive(Debug)]
pub enum Ask {
    Open {
        reply: oneshot::Sender<SessionId>,
    },
    Ended {
        session: SessionId,
    },
    Lock {
        session: SessionId,
        target: Target,
        reply: oneshot::Sender<Result<(), Refused>>,
    },
    Unlock {
        session: SessionId,
        target: Target,
        reply: oneshot::Sender<Result<(), Refused>>,
    },
    Validate {
        candidate: Candidate,
        reply: oneshot::Sender<Result<(), Faults>>,
    },
    Commit(Box<CommitAsk>),
    Confirm {
        asker: Asker,
        persist_id: Option<String>,
        reply: oneshot::Sender<Result<(), Refused>>,
    },
    Cancel {
        asker: Asker,
        persist_id: Option<String>,
        reply: oneshot::Sender<Result<(), Refused>>,
    },
    /// Somebody who may not has tried; it is remembered and told as any other refusal.
    Denied {
        author: Author,
        fault: Fault,
    },
}

#[derive(Debug)]
pub struct CommitAsk {
    pub asker: Asker,
    pub candidate: Candidate,
    pub author: Author,
    pub confirm: Option<Confirm>,
    pub persist_id: Option<String>,
    pub reply: oneshot::Sender<Result<Commit, Refused>>,
}

/// What happened at the desk.
#[derive(Clone, Debug)]
pub enum News {
    Committed(Arc<RevisionRecord>),
    Refused(Arc<Refusal>),
}

/// What every front holds.
#[derive(Clone)]
pub struct Handle {
    /// False where the desk has no room for one more question, or is gone.
    pub ask: Arc<dyn Fn(Ask) -> bool + Send + Sync>,
    pub published: Arc<ArcSwap<Published>>,
    pub view: Arc<ArcSwap<View>>,
    /// The revision that the loop has in force.
    pub in_force: Arc<AtomicU64>,
    pub news: broadcast::Sender<News>,
    pub keys: Arc<ArcSwap<Keys>>,
}

/// How long a reply to a commit waits for the loop to take it.
const TAKEN: Duration = Duration::from_millis(50);

/// That the desk does not answer.
pub fn busy() -> Refused {
    Refused::Faults(
        Fault::new("running", "the desk has no room for one more question", "a question", "the same later")
            .into(),
    )
}

impl Handle {
    async fn asked<T>(&self, make: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        if !(self.ask)(make(reply)) {
            return None;
        }
        answer.await.ok()
    }

    pub async fn open(&self) -> Option<SessionId> {
        self.asked(|reply| Ask::Open { reply }).await
    }

    pub async fn lock(&self, session: SessionId, target: Target) -> Result<(), Refused> {
        self.asked(|reply| Ask::Lock { session, target, reply }).await.unwrap_or(Err(busy()))
    }

    pub async fn unlock(&self, session: SessionId, target: Target) -> Result<(), Refused> {
        self.asked(|reply| Ask::Unlock { session, target, reply }).await.unwrap_or(Err(busy()))
    }

    pub async fn validate(&self, candidate: Candidate) -> Result<(), Refused> {
        let answer = self.asked(|reply| Ask::Validate { candidate, reply }).await;
        answer.map_or(Err(busy()), |answer| answer.map_err(Refused::Faults))
    }

    pub async fn confirm(&self, asker: Asker, persist_id: Option<String>) -> Result<(), Refused> {
        self.asked(|reply| Ask::Confirm { asker, persist_id, reply }).await.unwrap_or(Err(busy()))
    }

    pub async fn cancel(&self, asker: Asker, persist_id: Option<String>) -> Result<(), Refused> {
        self.asked(|reply| Ask::Cancel { asker, persist_id, reply }).await.unwrap_or(Err(busy()))
    }

    /// Commits, and answers once the loop has the revision in force: whoever is told that it is committed can rely
    /// on it. A loop that does not come round in time is not waited for.
    pub async fn commit(
        &self, asker: Asker, candidate: Candidate, author: Author, confirm: Option<Confirm>,
        persist_id: Option<String>,
    ) -> Result<Commit, Refused> {
        let make =
            |reply| Ask::Commit(Box::new(CommitAsk { asker, candidate, author, confirm, persist_id, reply }));
        let commit = self.asked(make).await.unwrap_or(Err(busy()))?;
        if let Commit::Taken(snapshot) = &commit {
            let until = Instant::now() + TAKEN;
            while self.in_force.load(Relaxed) < snapshot.revision().0 && Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        Ok(commit)
    }
}
