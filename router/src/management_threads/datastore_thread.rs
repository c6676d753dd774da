//! The keeper: the thread that holds the datastore, takes what all fronts bring, one after another, and posts
//! what is committed to the loop.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use arc_swap::ArcSwap;
use kestreltide_datastore::commit_coordinator::{
    CommitCoordinator, CommitError, CoordinatorStatus, into_validation_errors,
};
use kestreltide_datastore::view::View;
use kestreltide_datastore::{
    Author, Candidate, Datastore, Facts, HistoryLimits, RuleSettings, Snapshot, Source, Tree,
    ValidationError, ValidationErrors,
};
use kestreltide_datastore::{CommitOutcome, InForce};
use kestreltide_file_watch::parse::{Parsed, Version};
use kestreltide_file_watch::watch::{WatchEvent, parse_files, poll_files};
use kestreltide_management::Notification;
use slog::{Logger, info, warn};
use tokio::sync::broadcast;

use super::persistence::{self, PendingVersion, PersistedState};
use super::settings::FileWatchSettings;
use crate::routing::{Heartbeat, ManagementMessage};
use crate::transport::{Clock, InboxSender};

/// What is asked of the keeper.
#[derive(Debug)]
pub enum DatastoreRequest {
    /// The watched files say this now.
    WatchedFiles(WatchEvent<Version>),
    /// A front asks the desk.
    Management(kestreltide_management::CommitServiceRequest),
    /// What is not saved yet is saved, and the thread ends.
    Stop,
}

#[derive(Clone, Debug)]
pub struct DatastoreThreadSettings {
    pub router: String,
    pub rules: RuleSettings,
    pub history: HistoryLimits,
    pub folder: Option<PathBuf>,
}

/// Seconds: between two savings; between rounds where nobody asks; before what is held back is looked at again.
const SAVE: f64 = 0.5;
const ROUND: f64 = 0.25;
const AGAIN: f64 = 0.05;
/// News that wait for one who reads slowly.
const NEWS: usize = 1024;
/// Lines a second about what is not taken.
const LINES: u32 = 10;

/// A version of the files that is wanted and not in force.
struct Waiting {
    version: Version,
    held: PendingVersion,
    again: f64,
}

pub struct DatastoreThread {
    log: Logger,
    clock: Clock,
    terms: DatastoreThreadSettings,
    desk: CommitCoordinator,
    /// What fronts read of the desk, and where they are told what happens.
    published: Arc<ArcSwap<CoordinatorStatus>>,
    news: broadcast::Sender<Notification>,
    /// The newest of both that was told.
    told: (u64, Option<f64>),
    /// What the files said when they were last taken, and what was in force then.
    files: Tree,
    generation: String,
    base: Arc<InForce>,
    waiting: Option<Waiting>,
    /// Files that do not belong together yet.
    held: Option<PendingVersion>,
    /// Something is not saved; when the last saving was.
    unsaved: bool,
    saved: f64,
    unsaved_told: bool,
    lines: (f64, u32),
    /// Posted, and perhaps still held by the loop: freeing a long list is this thread's work.
    posted: VecDeque<Arc<Snapshot>>,
}

impl DatastoreThread {
    /// Goes on from what was remembered, if anything was.
    pub fn start(
        log: Logger,
        clock: Clock,
        terms: DatastoreThreadSettings,
    ) -> Result<Self, String> {
        let remembered = match terms.folder.as_deref().map(persistence::load) {
            None | Some(Ok(None)) => PersistedState::default(),
            Some(Ok(Some(remembered))) => {
                info!(log, "the last good revision is remembered"; "revision" => remembered.memory.revision);
                remembered
            }
            Some(Err(why)) => {
                let aside = terms.folder.as_deref().map(persistence::quarantine);
                let aside = match aside {
                    Some(Ok(at)) => at.display().to_string(),
                    Some(Err(e)) => return Err(format!("{why}; it cannot be put aside: {e}")),
                    None => String::new(),
                };
                warn!(log, "what was remembered cannot be used"; "why" => why, "put_aside" => aside);
                PersistedState::default()
            }
        };
        let store = Datastore::from_state(terms.rules.clone(), terms.history, remembered.memory);
        let base = store.in_force().clone();
        let desk = CommitCoordinator::new(store, remembered.pending);
        let published = Arc::new(ArcSwap::from_pointee(desk.status()));
        let told = (
            base.revision.0,
            desk.store
                .rejections()
                .next_back()
                .map(|refusal| refusal.at),
        );
        let (files, waiting, held) = (remembered.files, None, None);
        let (unsaved, saved, unsaved_told, lines) = (true, 0.0, false, (0.0, 0));
        Ok(DatastoreThread {
            log,
            clock,
            terms,
            desk,
            published,
            news: broadcast::channel(NEWS).0,
            told,
            files,
            generation: remembered.generation,
            base,
            waiting,
            held,
            unsaved,
            saved,
            unsaved_told,
            lines,
            posted: VecDeque::new(),
        })
    }

    /// What a router starts with: what the files say if it is well, else the last good revision. `Err` where
    /// there is neither.
    pub fn begin(
        &mut self,
        watching: Option<&FileWatchSettings>,
        facts: &Facts,
    ) -> Result<(Option<Arc<Snapshot>>, Option<u64>), String> {
        let mut known = None;
        if let Some(watching) = watching {
            let (parse_files, digest) = poll_files(&watching.watched, |contents| {
                parse_files(&watching.files, contents)
            });
            known = Some(digest);
            let errors = match parse_files {
                Parsed::Complete(version) => self.offer(version, facts, false).err(),
                Parsed::Mismatched(errors)
                | Parsed::Incomplete(errors)
                | Parsed::Invalid(errors) => {
                    self.refused("", errors.clone());
                    Some(errors)
                }
            };
            let last_good = self.desk.store.in_force().revision.0 > 0;
            // What only waits for discovery's list is no reason not to start: discovery's hosts serve till then.
            let waits = watching.discovery
                && errors
                    .as_ref()
                    .is_some_and(|errors| errors.retry_at().is_some());
            match errors {
                Some(errors) if !last_good && !waits => return Err(errors.to_string()),
                Some(_) if last_good => {
                    warn!(self.log, "the start is with the last good revision, not with what the files say";
                        "revision" => self.desk.store.in_force().revision.0);
                }
                _ => {}
            }
        }
        self.publish();
        let snapshot = self.desk.store.snapshot();
        Ok(((snapshot.revision().0 > 0).then(|| snapshot.clone()), known))
    }

    /// Serves what is asked until it is told to stop or nobody is left.
    pub fn run(
        &mut self,
        asked: &Receiver<DatastoreRequest>,
        view: &ArcSwap<View>,
        post: &InboxSender<ManagementMessage>,
        heartbeat: &Heartbeat,
    ) {
        loop {
            let now = self.clock.now();
            heartbeat.record(now);
            let due = self
                .waiting
                .as_ref()
                .map(|waiting| waiting.again)
                .into_iter()
                .chain(self.desk.next_expiry());
            let due = due.fold(now + ROUND, f64::min) - now;
            let sleep = Duration::from_secs_f64(due.clamp(0.0, ROUND));
            let ask = match asked.recv_timeout(sleep) {
                Ok(DatastoreRequest::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(ask) => Some(ask),
                Err(RecvTimeoutError::Timeout) => None,
            };
            let facts = view.load().facts(self.clock.now());
            let undone = self
                .desk
                .expire_pending(&facts)
                .and_then(|undone| self.undone(undone));
            let reply = match ask {
                Some(DatastoreRequest::WatchedFiles(told)) => Served::only(self.told(told, &facts)),
                Some(DatastoreRequest::Management(ask)) => self.asked(ask, &facts),
                Some(DatastoreRequest::Stop) | None => Served::only(self.try_again(&facts)),
            };
            let mut gone = false;
            for snapshot in undone.into_iter().chain(reply.taken.clone()) {
                self.posted.push_back(snapshot.clone());
                // A full box holds this thread up, never the loop; a loop that is gone needs nothing more.
                gone |= post.send(ManagementMessage::Revision(snapshot)).is_err();
            }
            self.publish();
            // Whoever is told that it is committed can read it.
            reply.answer();
            if gone {
                break;
            }
            let view = view.load();
            // The loop holds the one in force, and lets the one before go as it takes it.
            while self
                .posted
                .get(1)
                .is_some_and(|next| next.revision() <= view.revision)
            {
                self.posted.pop_front();
            }
            self.save(Some(&view));
        }
        self.saved = f64::MIN;
        self.save(Some(&view.load()));
        heartbeat.record(0.0);
    }

    /// What fronts hold to reach this thread.
    pub fn published(
        &self,
    ) -> (
        Arc<ArcSwap<CoordinatorStatus>>,
        broadcast::Sender<Notification>,
    ) {
        (self.published.clone(), self.news.clone())
    }

    /// Publishes what the desk has, and tells what happened since the last time.
    fn publish(&mut self) {
        let store = &self.desk.store;
        let new: Vec<_> = store
            .history()
            .rev()
            .take_while(|record| record.number > self.told.0)
            .cloned()
            .collect();
        for record in new.into_iter().rev() {
            self.told.0 = record.number;
            let _ = self.news.send(Notification::Committed(Arc::new(record)));
        }
        let refusal = store.rejections().next_back();
        if refusal.is_some_and(|refusal| self.told.1 != Some(refusal.at)) {
            self.told.1 = refusal.map(|refusal| refusal.at);
            refusal.into_iter().for_each(|refusal| {
                drop(
                    self.news
                        .send(Notification::Rejected(Arc::new(refusal.clone()))),
                )
            });
        }
        let published = self.desk.status();
        let before = self.published.load();
        let same = before.in_force.revision == published.in_force.revision
            && before.pending == published.pending
            && before.locks == published.locks
            && before.last_rejection.as_ref().map(|refusal| refusal.at)
                == published.last_rejection.as_ref().map(|refusal| refusal.at);
        if !same {
            self.unsaved = true;
            self.published.store(Arc::new(published));
        }
    }

    /// A commit that was not confirmed has been undone, or could not be.
    fn undone(&mut self, undone: Result<CommitOutcome, ValidationErrors>) -> Option<Arc<Snapshot>> {
        match undone {
            Ok(commit) => {
                info!(self.log, "a commit that was not confirmed is undone";
                    "revision" => self.desk.store.in_force().revision.0);
                if let CommitOutcome::Applied(snapshot) = commit {
                    Some(snapshot)
                } else {
                    None
                }
            }
            Err(errors) => {
                self.tell(
                    "a commit that was not confirmed cannot be undone",
                    "",
                    &errors,
                );
                None
            }
        }
    }

    /// A front's question; who does not wait for the answer any more gets none.
    fn asked(
        &mut self,
        ask: kestreltide_management::CommitServiceRequest,
        facts: &Facts,
    ) -> Served {
        use kestreltide_management::CommitServiceRequest;
        match ask {
            CommitServiceRequest::Open { reply } => {
                let _ = reply.send(self.desk.open_session());
            }
            CommitServiceRequest::Ended { session } => {
                let undone = self.desk.close_session(session, facts);
                return Served::only(undone.and_then(|undone| self.undone(undone)));
            }
            CommitServiceRequest::Lock {
                session,
                target,
                reply,
            } => {
                let _ = reply.send(self.desk.lock(session, target));
            }
            CommitServiceRequest::Unlock {
                session,
                target,
                reply,
            } => {
                let _ = reply.send(self.desk.unlock(session, target));
            }
            CommitServiceRequest::Validate { candidate, reply } => {
                let _ = reply.send(self.desk.validate(&candidate, facts));
            }
            CommitServiceRequest::Confirm {
                requester,
                persist_id,
                reply,
            } => {
                let _ = reply.send(self.desk.confirm(requester, persist_id.as_deref()));
            }
            CommitServiceRequest::Cancel {
                requester,
                persist_id,
                reply,
            } => {
                let cancelled = self.desk.cancel(requester, persist_id.as_deref(), facts);
                let taken = match &cancelled {
                    Ok(CommitOutcome::Applied(snapshot)) => Some(snapshot.clone()),
                    _ => None,
                };
                return Served {
                    taken,
                    reply: Some(Box::new(move || drop(reply.send(cancelled.map(|_| ()))))),
                };
            }
            CommitServiceRequest::Denied { author, error } => {
                let errors = error.into();
                self.tell(
                    "an edit is beyond the rights of who tries it",
                    &author.name,
                    &errors,
                );
                self.desk.store.record_rejection(author, facts.now, errors);
            }
            CommitServiceRequest::Commit(ask) => {
                let author = ask.author.clone();
                let committed = self.desk.commit(
                    ask.requester,
                    &ask.candidate,
                    ask.author,
                    ask.confirm,
                    ask.persist_id.as_deref(),
                    facts,
                );
                match &committed {
                    Ok(CommitOutcome::Applied(snapshot)) => {
                        info!(self.log, "a commit is taken"; "by" => %author, "revision" => snapshot.revision().0,
                            "changes" => self.desk.store.history().next_back().map_or(0, |record| record.changes.len()));
                    }
                    Ok(CommitOutcome::Unchanged) => {}
                    Err(CommitError::Invalid(errors)) => {
                        let errors = errors.clone();
                        self.tell("a commit is refused", &author.to_string(), &errors);
                    }
                    Err(_) => {}
                }
                let taken = if let Ok(CommitOutcome::Applied(snapshot)) = &committed {
                    Some(snapshot.clone())
                } else {
                    None
                };
                let reply = ask.reply;
                return Served {
                    taken,
                    reply: Some(Box::new(move || drop(reply.send(committed)))),
                };
            }
        }
        Served::only(None)
    }

    fn told(&mut self, told: WatchEvent<Version>, facts: &Facts) -> Option<Arc<Snapshot>> {
        // Whatever waited is no longer what the files say.
        self.waiting = None;
        match told {
            WatchEvent::Version(version) => {
                self.held = None;
                self.offer(version, facts, false).ok().flatten()
            }
            WatchEvent::Rejected(errors) => {
                self.held = None;
                self.refused("", errors);
                None
            }
            WatchEvent::Pending(errors) => {
                self.tell("files do not belong together yet", "", &errors);
                self.held = Some(PendingVersion {
                    since: facts.now,
                    author: author(""),
                    errors,
                });
                self.unsaved = true;
                None
            }
        }
    }

    fn try_again(&mut self, facts: &Facts) -> Option<Arc<Snapshot>> {
        let due = self
            .waiting
            .as_ref()
            .is_some_and(|waiting| waiting.again <= facts.now);
        let waiting = self.waiting.take_if(|_| due)?;
        // It was told of when it began to wait, and is again only where that is over.
        let looked = self
            .candidate(&waiting.version)
            .and_then(|candidate| self.desk.validate(&candidate, facts));
        match looked.err().and_then(|errors| errors.retry_at()) {
            Some(at) => {
                self.waiting = Some(Waiting {
                    again: at.max(facts.now + AGAIN),
                    ..waiting
                });
                None
            }
            // Well by now, unless somebody's lock still keeps it out.
            None => self.offer(waiting.version, facts, true).ok().flatten(),
        }
    }

    fn candidate(&self, version: &Version) -> Result<Candidate, ValidationErrors> {
        if version.generation == self.generation && version.tree != self.files {
            // Half of another version looks like this, too.
            let what = "is that of the version in force, and the content is another";
            return Err(ValidationError::new(
                "generation",
                what,
                &version.generation,
                "a name for each version",
            )
            .into());
        }
        let mut candidate = Candidate::new(&self.base);
        candidate.tree = candidate
            .tree
            .with_changes(&self.files.differences(&version.tree))?;
        Ok(candidate)
    }

    /// What the files changed since they were last taken, on top of what is in force: whoever else changed the
    /// same leaves meanwhile is not overruled in silence.
    fn offer(
        &mut self,
        version: Version,
        facts: &Facts,
        quiet: bool,
    ) -> Result<Option<Arc<Snapshot>>, ValidationErrors> {
        self.unsaved = true;
        let candidate = match self.candidate(&version) {
            Ok(candidate) => candidate,
            Err(errors) => {
                self.refused(&version.generation, errors.clone());
                return Err(errors);
            }
        };
        let committed = self.desk.commit(
            None,
            &candidate,
            author(&version.generation),
            None,
            None,
            facts,
        );
        // A lock, or a commit that waits, passes: the files are what operators want all the same.
        match committed.map_err(|refused| into_validation_errors(refused, facts.now + AGAIN)) {
            Ok(commit) => {
                let snapshot = match commit {
                    CommitOutcome::Applied(snapshot) => Some(snapshot),
                    CommitOutcome::Unchanged => None,
                };
                info!(self.log, "the files are taken"; "generation" => &version.generation,
                    "revision" => self.desk.store.in_force().revision.0,
                    "changes" => snapshot.as_ref().map_or(0, |snapshot| snapshot.changed.len()));
                (self.files, self.generation) = (version.tree, version.generation);
                self.base = self.desk.store.in_force().clone();
                Ok(snapshot)
            }
            Err(errors) => {
                match errors.retry_at() {
                    Some(at) => {
                        let again = at.max(facts.now + AGAIN);
                        let held = PendingVersion {
                            since: facts.now,
                            author: author(&version.generation),
                            errors: errors.clone(),
                        };
                        if !quiet {
                            self.tell("the files are held back", &version.generation, &errors);
                        }
                        self.waiting = Some(Waiting {
                            version,
                            held,
                            again,
                        });
                    }
                    None => self.tell("the files are refused", &version.generation, &errors),
                }
                Err(errors)
            }
        }
    }

    /// Files that cannot be read as a version at all.
    fn refused(&mut self, generation: &str, errors: ValidationErrors) {
        self.tell("the files are refused", generation, &errors);
        self.desk
            .store
            .record_rejection(author(generation), self.clock.now(), errors);
        self.unsaved = true;
    }

    fn tell(&mut self, what: &'static str, generation: &str, errors: &ValidationErrors) {
        let now = self.clock.now();
        if now - self.lines.0 >= 1.0 {
            self.lines = (now, 0);
        }
        self.lines.1 += 1;
        if self.lines.1 <= LINES {
            let why = errors
                .first
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            warn!(self.log, "{}", what; "generation" => generation, "why" => why,
                "further" => errors.first.len().saturating_sub(1) + errors.more,
                "stays" => self.desk.store.in_force().revision.0);
        }
    }

    /// Saves what changed, not more often than makes sense.
    fn save(&mut self, view: Option<&View>) {
        let now = self.clock.now();
        let Some(folder) = self
            .terms
            .folder
            .as_deref()
            .filter(|_| self.unsaved && now - self.saved >= SAVE)
        else {
            return;
        };
        let held = self
            .waiting
            .as_ref()
            .map(|waiting| waiting.held.clone())
            .or_else(|| self.held.clone());
        let remembered = PersistedState {
            router: self.terms.router.clone(),
            written: now,
            memory: self.desk.store.state(),
            files: self.files.clone(),
            generation: self.generation.clone(),
            held,
            pending: self.desk.pending().cloned(),
            taken: view.map_or(0, |view| view.revisions_applied),
            longest_pause: view.map_or(0.0, |view| view.longest_apply_time),
        };
        match persistence::save(folder, &remembered) {
            Ok(()) => (self.unsaved, self.unsaved_told) = (false, false),
            Err(why) if !self.unsaved_told => {
                warn!(self.log, "revisions cannot be remembered"; "why" => why);
                self.unsaved_told = true;
            }
            Err(_) => {}
        }
        self.saved = now;
    }
}

/// What a question led to: a revision for the loop, and the answer, which is given once it is posted.
struct Served {
    taken: Option<Arc<Snapshot>>,
    reply: Option<Box<dyn FnOnce()>>,
}

impl Served {
    fn only(taken: Option<Arc<Snapshot>>) -> Self {
        Served { taken, reply: None }
    }

    fn answer(self) {
        if let Some(reply) = self.reply {
            reply();
        }
    }
}

fn author(generation: &str) -> Author {
    Author {
        source: Source::Files,
        name: "operators".into(),
        version: generation.into(),
    }
}
