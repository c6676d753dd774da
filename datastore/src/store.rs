//! The running tree, its revisions and their history.
//!
//! A commit applies a candidate completely or not at all: the datastore changes only after every check has passed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use kestreltide::interface::Revision;
use serde::{Deserialize, Serialize};

use crate::candidate::{Candidate, InForce};
use crate::check::{Context, DrainedHosts, MergedTree, run_checks};
use crate::facts::Facts;
use crate::history::{History, HistoryLimits};
use crate::merge::{FirstListed, merge_hosts};
use crate::revision::{Author, RejectedCommit, RevisionRecord, Source};
use crate::settings::RuleSettings;
use crate::snapshot::Snapshot;
use crate::tree::{AdminState, Difference, HostConfig, Tree};
use crate::validation::{ValidationError, ValidationErrors};

/// The persisted state: everything that a restarted router needs to continue where it stopped.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DatastoreState {
    /// The number of the revision in force.
    pub revision: u64,
    /// The tree of the revision in force.
    pub tree: Arc<Tree>,
    /// When operators first listed each host whose start is not known.
    // The names in the file are kept, so that older state files can be loaded.
    #[serde(rename = "seen")]
    pub first_listed: Arc<FirstListed>,
    /// The hosts that operators have drained.
    pub drained: DrainedHosts,
    /// The newest revisions, oldest first.
    pub history: VecDeque<RevisionRecord>,
    /// The newest rejected commits, oldest first. Their name in the file is kept as well.
    #[serde(rename = "refusals")]
    pub rejections: VecDeque<RejectedCommit>,
}

/// The result of a commit that was not rejected.
#[derive(Clone, Debug)]
pub enum CommitOutcome {
    /// The candidate is in force as a new revision.
    Applied(Arc<Snapshot>),
    /// The candidate changes nothing, and no revision is made of it.
    Unchanged,
}

/// A candidate that was rebased onto the revision in force and has passed every check.
struct CheckedCandidate {
    tree: Tree,
    first_listed: FirstListed,
    differences: Vec<Difference>,
}

/// The revision in force, the history, and the settings that candidates are checked against.
pub struct Datastore {
    settings: RuleSettings,
    in_force: Arc<InForce>,
    snapshot: Arc<Snapshot>,
    history: History,
}

impl Datastore {
    /// Creates an empty datastore.
    pub fn new(settings: RuleSettings, limits: HistoryLimits) -> Self {
        Self::from_state(settings, limits, DatastoreState::default())
    }

    /// Restores a persisted datastore. Its tree is not checked again: it was valid when it was committed, and the rules
    /// that depend on changing conditions are also enforced when the tree is used (rule 4, for example, by
    /// [`apply_weights`](kestreltide::operator_weights::apply_weights)).
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

    /// Returns the state to persist.
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

    /// Returns the revision in force, with its tree.
    pub fn in_force(&self) -> &Arc<InForce> {
        &self.in_force
    }

    /// Returns the kept revisions, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &RevisionRecord> {
        self.history.revisions().iter()
    }

    /// Returns the kept rejected commits, oldest first.
    pub fn rejections(&self) -> impl DoubleEndedIterator<Item = &RejectedCommit> {
        self.history.rejections().iter()
    }

    /// Returns the snapshot of the revision in force, for an event loop that has not applied any yet.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Checks a candidate without committing it.
    ///
    /// # Errors
    ///
    /// Returns all errors of the candidate under these facts.
    pub fn validate(&self, candidate: &Candidate, facts: &Facts) -> Result<(), ValidationErrors> {
        self.check_candidate(candidate, facts).map(|_| ())
    }

    /// Commits a candidate as a new revision.
    ///
    /// # Errors
    ///
    /// Returns all errors of the candidate. Nothing of it is applied, and the rejection is recorded.
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

    /// Puts a checked candidate in force as a new revision.
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

    /// Commits the tree of an earlier revision as a new revision, which undoes all commits since.
    ///
    /// # Errors
    ///
    /// Returns an error if the revision is not kept or its tree is no longer valid. The rejection is recorded.
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

    /// Returns the tree of a revision that history still keeps.
    ///
    /// # Errors
    ///
    /// Returns an error if the revision is not kept.
    pub fn tree_at(&self, revision: Revision) -> Result<Tree, ValidationError> {
        let newest = self.in_force.revision.0;
        let oldest = self.history.oldest_restorable_revision().unwrap_or(newest);
        if !(oldest..=newest).contains(&revision.0) {
            return Err(ValidationError::new(
                "revision",
                "is not held",
                revision.0,
                format!("{oldest} to {newest}"),
            ));
        }
        let mut tree = (*self.in_force.tree).clone();
        // The changes are undone newest first, so that a leaf that changed more than once ends with its oldest value.
        for record in self.history.revisions_after(revision) {
            for change in record.changes.iter() {
                tree.set(&change.path, change.old.clone())?;
            }
        }
        Ok(tree)
    }

    /// Records a rejection, also of input that never became a candidate, such as a file that cannot be read. `at` is in
    /// Unix seconds.
    pub fn record_rejection(&mut self, author: Author, at: f64, errors: ValidationErrors) {
        self.history.push_rejection(RejectedCommit {
            at,
            author,
            revision: self.in_force.revision.0,
            errors,
        });
    }

    /// Rebases a candidate onto the revision in force and checks it.
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
            before: MergedTree::new(&in_force.tree, &in_force.first_listed, facts),
            after: MergedTree::new(&tree, &first_listed, facts),
            drained: self.history.drained(),
            differences: &differences,
        };
        run_checks(&context).into_result()?;
        Ok(CheckedCandidate {
            tree,
            first_listed,
            differences,
        })
    }

    /// Returns when operators first listed each host for which they set an address but no start. A newly listed host may
    /// have just started. The hosts of the first revision are assumed to have been running for long, and get no time.
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
            let first_listed_at = if before.is_some_and(|before| is_same_process(before, config)) {
                in_force.first_listed.get(name).copied()
            } else {
                Some(facts.now)
            };
            first_listed.extend(first_listed_at.map(|at| (name.clone(), at)));
        }
        first_listed
    }

    /// Applies the changes of a candidate that was made from an earlier revision to the tree in force. It is a conflict if
    /// a leaf that the candidate changes has been changed to another value since.
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
                errors.push(self.conflict_error(candidate, change, other));
            }
        }
        errors.into_result()?;
        self.in_force.tree.with_changes(&ours)
    }

    /// Returns the error for a leaf that the candidate changes and that has been changed to another value since the
    /// candidate's base revision. What would be accepted is the value in force, or a new candidate that is made from the
    /// revision in force.
    fn conflict_error(
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

    /// Records which process of each host operators drain. A process is identified by its start time.
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
