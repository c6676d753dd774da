//! The running tree, its revisions and their history.
//!
//! A commit applies a candidate completely or not at all: nothing of the datastore changes before every check has
//! passed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use kestreltide::interface::Revision;
use serde::{Deserialize, Serialize};

use crate::candidate::{Candidate, InForce};
use crate::check::{Context, DrainedHosts, HostsOfTree, check};
use crate::facts::Facts;
use crate::history::{History, HistoryLimits};
use crate::merge::{FirstListed, merge_hosts};
use crate::revision::{Author, RejectedCommit, RevisionRecord, Source};
use crate::settings::RuleSettings;
use crate::snapshot::Snapshot;
use crate::tree::{AdminState, Difference, HostConfig, Tree};
use crate::validation::{ValidationError, ValidationErrors};

/// The state that is persisted: all that a start needs to go on where the last one ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DatastoreState {
    /// The revision in force.
    pub revision: u64,
    /// Its tree.
    pub tree: Arc<Tree>,
    /// When hosts were first listed of which no start is known.
    #[serde(rename = "seen")]
    pub first_listed: Arc<FirstListed>,
    /// The hosts that operators have drained.
    pub drained: DrainedHosts,
    /// The newest revisions, oldest first.
    pub history: VecDeque<RevisionRecord>,
    /// The newest rejected commits, oldest first.
    #[serde(rename = "refusals")]
    pub rejections: VecDeque<RejectedCommit>,
}

/// What a commit led to.
#[derive(Clone, Debug)]
pub enum CommitOutcome {
    /// It is in force as this revision.
    Applied(Arc<Snapshot>),
    /// It would change nothing.
    Unchanged,
}

/// A checked candidate on top of the revision in force.
struct CheckedCandidate {
    tree: Tree,
    first_listed: FirstListed,
    differences: Vec<Difference>,
}

/// The running tree, its history, and the checks that a candidate passes.
pub struct Datastore {
    settings: RuleSettings,
    in_force: Arc<InForce>,
    snapshot: Arc<Snapshot>,
    history: History,
}

impl Datastore {
    /// An empty datastore.
    pub fn new(settings: RuleSettings, limits: HistoryLimits) -> Self {
        Self::from_state(settings, limits, DatastoreState::default())
    }

    /// The datastore as it was persisted. Nothing is checked again: it was valid then, and what has become dangerous
    /// since is guarded when it is used.
    pub fn from_state(
        settings: RuleSettings,
        limits: HistoryLimits,
        state: DatastoreState,
    ) -> Self {
        let revision = Revision(state.revision);
        let differences = Tree::default().differences(&state.tree);
        let committed_at = state.history.back().map_or(0.0, |last| last.at);
        let snapshot = Snapshot::new(
            &Snapshot::default(),
            revision,
            committed_at,
            &state.tree,
            &state.first_listed,
            &differences,
        );
        let in_force = InForce {
            revision,
            tree: state.tree,
            first_listed: state.first_listed,
        };
        Datastore {
            settings,
            in_force: Arc::new(in_force),
            snapshot: Arc::new(snapshot),
            history: History::new(limits, state.history, state.rejections, state.drained),
        }
    }

    /// The state to persist.
    pub fn state(&self) -> DatastoreState {
        DatastoreState {
            revision: self.in_force.revision.0,
            tree: self.in_force.tree.clone(),
            first_listed: self.in_force.first_listed.clone(),
            drained: self.history.drained().clone(),
            history: self.history.revisions().clone(),
            rejections: self.history.rejections().clone(),
        }
    }

    /// The revision in force.
    pub fn in_force(&self) -> &Arc<InForce> {
        &self.in_force
    }

    /// The kept revisions, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &RevisionRecord> {
        self.history.revisions().iter()
    }

    /// The kept rejected commits, oldest first.
    pub fn rejections(&self) -> impl DoubleEndedIterator<Item = &RejectedCommit> {
        self.history.rejections().iter()
    }

    /// The revision in force for an event loop that has none yet.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Checks a candidate without committing it.
    ///
    /// # Errors
    ///
    /// All that is wrong with the candidate as things stand.
    pub fn validate(&self, candidate: &Candidate, facts: &Facts) -> Result<(), ValidationErrors> {
        self.check_candidate(candidate, facts).map(|_| ())
    }

    /// Commits a candidate as a new revision.
    ///
    /// # Errors
    ///
    /// All that is wrong with the candidate; nothing of it is applied, and the rejection is recorded.
    pub fn commit(
        &mut self,
        candidate: &Candidate,
        author: Author,
        facts: &Facts,
    ) -> Result<CommitOutcome, ValidationErrors> {
        let checked = match self.check_candidate(candidate, facts) {
            Ok(checked) => checked,
            Err(errors) => {
                self.record_rejection(author, facts.now, errors.clone());
                return Err(errors);
            }
        };
        if checked.differences.is_empty() {
            return Ok(CommitOutcome::Unchanged);
        }
        let based_on = candidate.base_revision();
        Ok(CommitOutcome::Applied(
            self.apply(checked, based_on, author, facts),
        ))
    }

    /// Puts a checked candidate in force.
    fn apply(
        &mut self,
        checked: CheckedCandidate,
        based_on: Revision,
        author: Author,
        facts: &Facts,
    ) -> Arc<Snapshot> {
        let revision = Revision(self.in_force.revision.0 + 1);
        self.snapshot = Arc::new(Snapshot::new(
            &self.snapshot,
            revision,
            facts.now,
            &checked.tree,
            &checked.first_listed,
            &checked.differences,
        ));
        self.record_drained_hosts(&checked.tree, &checked.first_listed, facts);
        self.in_force = Arc::new(InForce {
            revision,
            tree: Arc::new(checked.tree),
            first_listed: Arc::new(checked.first_listed),
        });
        self.history.push_revision(RevisionRecord {
            number: revision.0,
            based_on: based_on.0,
            at: facts.now,
            author,
            changes: checked.differences.into(),
        });
        self.snapshot.clone()
    }

    /// Commits the tree of an earlier revision as a new one: what has been committed since is undone.
    ///
    /// # Errors
    ///
    /// The revision is no longer kept, or its tree is not valid any more; the rejection is recorded.
    pub fn roll_back(
        &mut self,
        to: Revision,
        mut author: Author,
        facts: &Facts,
    ) -> Result<CommitOutcome, ValidationErrors> {
        author.source = Source::RolledBack(to.0);
        let mut candidate = Candidate::new(&self.in_force);
        candidate.tree = match self.tree_at(to) {
            Ok(tree) => tree,
            Err(error) => {
                let errors = ValidationErrors::from(error);
                self.record_rejection(author, facts.now, errors.clone());
                return Err(errors);
            }
        };
        self.commit(&candidate, author, facts)
    }

    /// The tree of a revision that history still keeps.
    ///
    /// # Errors
    ///
    /// The revision is not kept.
    pub fn tree_at(&self, revision: Revision) -> Result<Tree, ValidationError> {
        let newest = self.in_force.revision.0;
        let oldest = self.history.oldest_base().unwrap_or(newest);
        if !(oldest..=newest).contains(&revision.0) {
            return Err(ValidationError::new(
                "revision",
                "is not held",
                revision.0,
                format!("{oldest} to {newest}"),
            ));
        }
        let mut tree = (*self.in_force.tree).clone();
        for record in self.history.revisions_after(revision) {
            for change in record.changes.iter() {
                tree.set(&change.path, change.old.clone())?;
            }
        }
        Ok(tree)
    }

    /// Records a rejection, also of what never became a candidate, such as a file that cannot be read. `at` is in Unix
    /// seconds.
    pub fn record_rejection(&mut self, author: Author, at: f64, errors: ValidationErrors) {
        self.history.push_rejection(RejectedCommit {
            at,
            author,
            revision: self.in_force.revision.0,
            errors,
        });
    }

    /// Puts a candidate on top of the revision in force and checks it.
    fn check_candidate(
        &self,
        candidate: &Candidate,
        facts: &Facts,
    ) -> Result<CheckedCandidate, ValidationErrors> {
        let in_force = &*self.in_force;
        let tree = if candidate.base_revision() == in_force.revision {
            candidate.tree.clone()
        } else {
            self.rebase(candidate)?
        };
        let differences = in_force.tree.differences(&tree);
        let first_listed = self.first_listed_hosts(&tree, facts);
        let context = Context {
            settings: &self.settings,
            facts,
            before: HostsOfTree::new(&in_force.tree, &in_force.first_listed, facts),
            after: HostsOfTree::new(&tree, &first_listed, facts),
            drained: self.history.drained(),
            differences: &differences,
        };
        check(&context).into_result()?;
        Ok(CheckedCandidate {
            tree,
            first_listed,
            differences,
        })
    }

    /// When the hosts of a tree were first listed that have no start. One that is listed anew may have just started;
    /// those of the first revision are taken to have run before.
    fn first_listed_hosts(&self, tree: &Tree, facts: &Facts) -> FirstListed {
        let in_force = &*self.in_force;
        if in_force.revision == Revision(0) {
            return FirstListed::new();
        }
        let is_same_process = |before: &HostConfig, after: &HostConfig| {
            before.endpoint == after.endpoint && before.build == after.build
        };
        let mut first_listed = FirstListed::new();
        for (name, config) in &tree.hosts {
            if config.endpoint.is_none() || config.started.is_some() {
                continue;
            }
            let before = in_force.tree.hosts.get(name);
            let since = if before.is_some_and(|before| is_same_process(before, config)) {
                in_force.first_listed.get(name).copied()
            } else {
                Some(facts.now)
            };
            first_listed.extend(since.map(|since| (name.clone(), since)));
        }
        first_listed
    }

    /// Puts a candidate of an earlier revision on top of what others committed since, where they changed other leaves.
    fn rebase(&self, candidate: &Candidate) -> Result<Tree, ValidationErrors> {
        let ours = candidate.base_tree().differences(&candidate.tree);
        let theirs = candidate.base_tree().differences(&self.in_force.tree);
        let mut errors = ValidationErrors::default();
        for change in &ours {
            let Ok(position) = theirs.binary_search_by(|other| other.path.cmp(&change.path)) else {
                continue;
            };
            let other = &theirs[position];
            if other.new != change.new {
                errors.push(self.conflict(candidate, change, other));
            }
        }
        errors.into_result()?;
        self.in_force.tree.with_changes(&ours)
    }

    /// The error of a candidate that changes a leaf which was changed since.
    fn conflict(
        &self,
        candidate: &Candidate,
        ours: &Difference,
        theirs: &Difference,
    ) -> ValidationError {
        let last = self.history.last_change_of(&ours.path);
        let changed_by = last.map_or("somebody".into(), |record| {
            let at = UNIX_EPOCH + Duration::from_secs_f64(record.at.max(0.0));
            format!(
                "revision {} ({}, {})",
                record.number,
                record.author,
                humantime::format_rfc3339_millis(at)
            )
        });
        ValidationError::new(
            &ours.path,
            format!(
                "was changed since revision {} by {changed_by}",
                candidate.base_revision().0
            ),
            ours.new_text(),
            format!("{}, or a candidate made from it", theirs.new_text()),
        )
    }

    /// Records which process of each host operators drain.
    fn record_drained_hosts(&mut self, tree: &Tree, first_listed: &FirstListed, facts: &Facts) {
        let is_draining = |config: &HostConfig| config.state == Some(AdminState::Draining);
        if !tree.hosts.values().any(is_draining) {
            return;
        }
        let hosts = merge_hosts(tree, first_listed, facts.discovery.as_deref());
        for (name, _) in tree.hosts.iter().filter(|(_, config)| is_draining(config)) {
            let started = hosts.get(name.as_str()).and_then(|host| host.started);
            self.history.record_drained(name, started, facts.now);
        }
    }
}
