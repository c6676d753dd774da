//! The running tree, its revisions and their history. A commit takes a candidate whole or not at all: nothing
//! of the datastore changes before every check has passed.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use kestreltide::interface::Revision;
use serde::{Deserialize, Serialize};

use crate::check::{Context, DrainedHosts, Facts, FirstListed, RuleSettings, check, merged};
use crate::snapshot::Snapshot;
use crate::tree::{AdminState, Difference, Tree};
use crate::validation::{ValidationError, ValidationErrors};

pub use crate::tree::Difference as Change;

/// By which way a change came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    Files,
    Management,
    CommandLine,
    /// An earlier revision again.
    RolledBack(u64),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Files => f.write_str("files"),
            Source::Management => f.write_str("management"),
            Source::CommandLine => f.write_str("command line"),
            Source::RolledBack(to) => write!(f, "rolled back to {to}"),
        }
    }
}

/// Who wants a change, as they named themselves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    pub source: Source,
    pub name: String,
    /// How its author numbers this version, where it does.
    pub version: String,
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} by {}", self.source, self.name)?;
        if self.version.is_empty() {
            Ok(())
        } else {
            write!(f, ", version {}", self.version)
        }
    }
}

/// One revision as history keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionRecord {
    pub number: u64,
    /// That it was made from; smaller than the one before it where others committed meanwhile.
    pub based_on: u64,
    /// Unix seconds.
    pub at: f64,
    pub author: Author,
    pub changes: Arc<[Difference]>,
}

/// A candidate that was not taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectedCommit {
    pub at: f64,
    pub author: Author,
    /// The revision that stayed in force.
    #[serde(rename = "stays")]
    pub revision: u64,
    #[serde(rename = "faults")]
    pub errors: ValidationErrors,
}

/// What is in force.
#[derive(Debug, Default)]
pub struct InForce {
    pub revision: Revision,
    pub tree: Arc<Tree>,
    first_listed: Arc<FirstListed>,
}

impl InForce {
    /// Since when hosts are listed whose start nobody tells.
    pub fn first_listed(&self) -> &FirstListed {
        &self.first_listed
    }
}

/// What somebody wants in force, and the revision it was made from.
#[derive(Clone, Debug)]
pub struct Candidate {
    base: Arc<InForce>,
    pub tree: Tree,
}

impl Candidate {
    pub fn new(base: &Arc<InForce>) -> Self {
        Candidate {
            base: base.clone(),
            tree: (*base.tree).clone(),
        }
    }

    /// Whether it is still what it was made from.
    pub fn is_unchanged(&self) -> bool {
        *self.base.tree == self.tree
    }

    pub fn base_tree(&self) -> &Tree {
        &self.base.tree
    }

    pub fn base_revision(&self) -> Revision {
        self.base.revision
    }
}

/// How much of the past is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryLimits {
    pub revisions: usize,
    /// Changed leaves of all kept revisions together.
    pub changes: usize,
    pub rejections: usize,
    /// Drained processes that are remembered.
    pub drained: usize,
}

impl Default for HistoryLimits {
    fn default() -> Self {
        HistoryLimits {
            revisions: 1000,
            changes: 10_000,
            rejections: 16,
            drained: 64 * 1024,
        }
    }
}

/// What outlives the process: all that a start needs to go on where the last one ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DatastoreState {
    pub revision: u64,
    pub tree: Arc<Tree>,
    #[serde(rename = "seen")]
    pub first_listed: Arc<FirstListed>,
    pub drained: DrainedHosts,
    pub history: VecDeque<RevisionRecord>,
    #[serde(rename = "refusals")]
    pub rejections: VecDeque<RejectedCommit>,
}

/// What a commit led to.
#[derive(Clone, Debug)]
pub enum CommitOutcome {
    /// It is in force as this.
    Applied(Arc<Snapshot>),
    /// It would change nothing.
    Unchanged,
}

pub struct Datastore {
    terms: RuleSettings,
    keep: HistoryLimits,
    in_force: Arc<InForce>,
    snapshot: Arc<Snapshot>,
    drained: DrainedHosts,
    history: VecDeque<RevisionRecord>,
    rejections: VecDeque<RejectedCommit>,
}

impl Datastore {
    pub fn new(terms: RuleSettings, keep: HistoryLimits) -> Self {
        Self::from_state(terms, keep, DatastoreState::default())
    }

    /// As it was when this was remembered. Nothing is checked again: it was well then, and what has become
    /// dangerous since is guarded when it is used.
    pub fn from_state(terms: RuleSettings, keep: HistoryLimits, memory: DatastoreState) -> Self {
        let DatastoreState {
            revision,
            tree,
            first_listed: seen,
            drained,
            history,
            rejections: refusals,
        } = memory;
        let changes = Tree::default().differences(&tree);
        let (nothing, at) = (
            Snapshot::default(),
            history.back().map_or(0.0, |last| last.at),
        );
        let snapshot =
            Snapshot::new(&nothing, Revision(revision), at, (&tree, &seen), &changes).into();
        let in_force = Arc::new(InForce {
            revision: Revision(revision),
            tree,
            first_listed: seen,
        });
        let mut store = Datastore {
            terms,
            keep,
            in_force,
            snapshot,
            drained,
            history,
            rejections: refusals,
        };
        store.forget();
        store
    }

    pub fn state(&self) -> DatastoreState {
        let InForce {
            revision,
            tree,
            first_listed: seen,
        } = &*self.in_force;
        DatastoreState {
            revision: revision.0,
            tree: tree.clone(),
            first_listed: seen.clone(),
            drained: self.drained.clone(),
            history: self.history.clone(),
            rejections: self.rejections.clone(),
        }
    }

    pub fn in_force(&self) -> &Arc<InForce> {
        &self.in_force
    }

    pub fn history(&self) -> impl DoubleEndedIterator<Item = &RevisionRecord> {
        self.history.iter()
    }

    pub fn rejections(&self) -> impl DoubleEndedIterator<Item = &RejectedCommit> {
        self.rejections.iter()
    }

    /// What is in force, whole, for a loop that has nothing of it yet.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// All that is wrong with a candidate as things stand, without committing it.
    pub fn validate(&self, candidate: &Candidate, facts: &Facts) -> Result<(), ValidationErrors> {
        self.weigh(candidate, facts).map(|_| ())
    }

    /// Takes a candidate whole, or refuses it whole and says why; a refusal is remembered.
    pub fn commit(
        &mut self,
        candidate: &Candidate,
        author: Author,
        facts: &Facts,
    ) -> Result<CommitOutcome, ValidationErrors> {
        let (tree, seen, changes) = match self.weigh(candidate, facts) {
            Ok(weighed) => weighed,
            Err(errors) => {
                self.refused(author, facts.now, errors.clone());
                return Err(errors);
            }
        };
        if changes.is_empty() {
            return Ok(CommitOutcome::Unchanged);
        }
        let revision = Revision(self.in_force.revision.0 + 1);
        let snapshot = Arc::new(Snapshot::new(
            &self.snapshot,
            revision,
            facts.now,
            (&tree, &seen),
            &changes,
        ));
        self.snapshot = snapshot.clone();
        self.note_drained(&tree, &seen, facts);
        self.in_force = Arc::new(InForce {
            revision,
            tree: Arc::new(tree),
            first_listed: Arc::new(seen),
        });
        self.history.push_back(RevisionRecord {
            number: revision.0,
            based_on: candidate.base.revision.0,
            at: facts.now,
            author,
            changes: changes.into(),
        });
        self.forget();
        Ok(CommitOutcome::Applied(snapshot))
    }

    /// An earlier revision again, as a new one: what has been committed since is undone.
    pub fn roll_back(
        &mut self,
        to: Revision,
        mut author: Author,
        facts: &Facts,
    ) -> Result<CommitOutcome, ValidationErrors> {
        author.source = Source::RolledBack(to.0);
        let tree = match self.tree_at(to) {
            Ok(tree) => tree,
            Err(error) => {
                self.refused(author, facts.now, error.clone().into());
                return Err(error.into());
            }
        };
        let candidate = Candidate {
            base: self.in_force.clone(),
            tree,
        };
        self.commit(&candidate, author, facts)
    }

    /// The tree as it was in a revision that history still holds.
    pub fn tree_at(&self, at: Revision) -> Result<Tree, ValidationError> {
        let oldest = self
            .history
            .front()
            .map_or(self.in_force.revision.0, |first| first.number - 1);
        let newest = self.in_force.revision.0;
        if !(oldest..=newest).contains(&at.0) {
            let taken = format!("{oldest} to {newest}");
            return Err(ValidationError::new("revision", "is not held", at.0, taken));
        }
        let mut tree = (*self.in_force.tree).clone();
        for record in self
            .history
            .iter()
            .rev()
            .take_while(|record| record.number > at.0)
        {
            for change in record.changes.iter() {
                tree.set(&change.path, change.old.clone())?;
            }
        }
        Ok(tree)
    }

    /// Remembers what never became a candidate, such as a file that cannot be read.
    pub fn record_rejection(&mut self, author: Author, at: f64, errors: ValidationErrors) {
        self.refused(author, at, errors);
    }

    fn refused(&mut self, author: Author, at: f64, errors: ValidationErrors) {
        // The same again and again, as somebody tries, is one refusal.
        if let Some(last) = self
            .rejections
            .back_mut()
            .filter(|last| last.author == author && last.errors == errors)
        {
            last.at = at;
            return;
        }
        self.rejections.push_back(RejectedCommit {
            at,
            author,
            revision: self.in_force.revision.0,
            errors,
        });
        self.forget();
    }

    /// The tree that a candidate comes to on what is in force now, and what it changes.
    fn weigh(
        &self,
        candidate: &Candidate,
        facts: &Facts,
    ) -> Result<(Tree, FirstListed, Vec<Difference>), ValidationErrors> {
        let head = &*self.in_force;
        let tree = if candidate.base.revision == head.revision {
            candidate.tree.clone()
        } else {
            self.rebased(candidate)?
        };
        let changes = head.tree.differences(&tree);
        let mut seen = FirstListed::new();
        if head.revision > Revision(0) {
            // Who is listed anew and says no start may have just started.
            let unsaid = tree
                .hosts
                .iter()
                .filter(|(_, set)| set.endpoint.is_some() && set.started.is_none());
            for (name, set) in unsaid {
                let before = head.tree.hosts.get(name);
                let same = before
                    .is_some_and(|old| (old.endpoint, old.build) == (set.endpoint, set.build));
                let since = if same {
                    head.first_listed.get(name).copied()
                } else {
                    Some(facts.now)
                };
                seen.extend(since.map(|since| (name.clone(), since)));
            }
        }
        let (old, new) = ((&*head.tree, &*head.first_listed), (&tree, &seen));
        let context = Context::new(&self.terms, facts, old, new, &self.drained, &changes);
        check(&context).into_result()?;
        Ok((tree, seen, changes))
    }

    /// A candidate of an earlier revision on top of what others committed since, where they changed other leaves.
    fn rebased(&self, candidate: &Candidate) -> Result<Tree, ValidationErrors> {
        let mine = candidate.base.tree.differences(&candidate.tree);
        let theirs = candidate.base.tree.differences(&self.in_force.tree);
        let mut errors = ValidationErrors::default();
        for change in &mine {
            let Ok(place) = theirs.binary_search_by(|other| other.path.cmp(&change.path)) else {
                continue;
            };
            let other = &theirs[place];
            if other.new != change.new {
                errors.push(self.conflict(candidate, change, other));
            }
        }
        errors.into_result()?;
        self.in_force.tree.patched(&mine, false)
    }

    fn conflict(
        &self,
        candidate: &Candidate,
        mine: &Difference,
        theirs: &Difference,
    ) -> ValidationError {
        let by = self
            .history
            .iter()
            .rev()
            .find(|r| r.changes.iter().any(|change| change.path == mine.path));
        let who = by.map_or("somebody".into(), |r| {
            let at = std::time::UNIX_EPOCH + std::time::Duration::from_secs_f64(r.at.max(0.0));
            format!(
                "revision {} ({}, {})",
                r.number,
                r.author,
                humantime::format_rfc3339_millis(at)
            )
        });
        let what = format!(
            "was changed since revision {} by {who}",
            candidate.base.revision.0
        );
        let text = |change: &Difference| {
            change
                .new
                .as_ref()
                .map_or("nothing".into(), ToString::to_string)
        };
        ValidationError::new(
            &mine.path,
            what,
            text(mine),
            format!("{}, or a candidate made from it", text(theirs)),
        )
    }

    /// Remembers whom operators drain, by the process that it was.
    fn note_drained(&mut self, tree: &Tree, seen: &FirstListed, facts: &Facts) {
        let draining = |state| state == Some(AdminState::Draining);
        if !tree.hosts.values().any(|set| draining(set.state)) {
            return;
        }
        let all = merged(tree, seen, facts);
        for (name, _) in tree.hosts.iter().filter(|(_, set)| draining(set.state)) {
            let started = all.get(name.as_str()).and_then(|host| host.started);
            let at = self.drained.get(name).copied();
            // A start that nobody told lies before the drain.
            let process = started.unwrap_or(at.unwrap_or(facts.now));
            self.drained
                .insert(name.clone(), at.map_or(process, |at| at.max(process)));
        }
    }

    fn forget(&mut self) {
        while self.rejections.len() > self.keep.rejections {
            self.rejections.pop_front();
        }
        let mut changes: usize = self.history.iter().map(|record| record.changes.len()).sum();
        // The newest stays whatever its size.
        while self.history.len() > 1
            && (self.history.len() > self.keep.revisions || changes > self.keep.changes)
        {
            changes -= self
                .history
                .pop_front()
                .map_or(0, |record| record.changes.len());
        }
        while self.drained.len() > self.keep.drained {
            // The one whose process is oldest is least likely to be meant again.
            let oldest = self
                .drained
                .iter()
                .min_by(|a, b| a.1.total_cmp(b.1))
                .map(|(name, _)| name.clone());
            oldest.map(|name| self.drained.remove(&name));
        }
    }
}
