//! Commits the versions of the watched files, and holds back a version that cannot be committed yet.
//!
//! A version is what all watched files contain together, and its generation is the name that operators give to it in
//! the files. A commit of a version makes a new revision, which is numbered by the datastore and not by operators.

use std::sync::Arc;

use kestreltide_datastore::commit_coordinator::into_validation_errors;
use kestreltide_datastore::{
    Author, Candidate, CommitOutcome, Facts, InForce, Snapshot, Source, Tree, ValidationError,
    ValidationErrors,
};
use kestreltide_file_watch::parse::{Parsed, Version};
use kestreltide_file_watch::watch::{WatchEvent, parse_files, read_and_parse_files};
use slog::{info, warn};

use super::DatastoreThread;
use crate::management_threads::error::StartError;
use crate::management_threads::persistence::PendingVersion;
use crate::management_threads::settings::FileWatchSettings;

/// Shortest delay before a held-back version is retried, in seconds.
const MIN_RETRY_DELAY_SECONDS: f64 = 0.05;

/// A version that is rejected now but may be valid at `retry_at`.
struct HeldBackVersion {
    version: Version,
    pending: PendingVersion,
    /// When the version is retried, in Unix seconds.
    retry_at: f64,
}

/// Whether a version is committed for the first time or retried. Holding it back is logged the first time only.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CommitTry {
    First,
    Retry,
}

/// The version of the files that was applied last, and a version that is pending: held back or not yet complete.
pub(super) struct WatchedFiles {
    applied_tree: Tree,
    applied_generation: String,
    /// The configuration in force right after that version was applied.
    base: Arc<InForce>,
    held_back: Option<HeldBackVersion>,
    /// Files of different generations: the operator has not yet written all of them.
    mismatched: Option<PendingVersion>,
}

impl WatchedFiles {
    pub(super) fn new(applied_tree: Tree, applied_generation: String, base: Arc<InForce>) -> Self {
        WatchedFiles {
            applied_tree,
            applied_generation,
            base,
            held_back: None,
            mismatched: None,
        }
    }

    /// The configuration of the version that was applied last.
    pub(super) fn applied_tree(&self) -> &Tree {
        &self.applied_tree
    }

    /// Generation of the version that was applied last.
    pub(super) fn applied_generation(&self) -> &str {
        &self.applied_generation
    }

    /// The pending version, if any: one that is held back, or files of different generations.
    pub(super) fn pending_version(&self) -> Option<&PendingVersion> {
        self.held_back
            .as_ref()
            .map(|held_back| &held_back.pending)
            .or(self.mismatched.as_ref())
    }

    /// When the held-back version is to be retried, in Unix seconds; `None` if there is none.
    pub(super) fn next_retry(&self) -> Option<f64> {
        self.held_back.as_ref().map(|held_back| held_back.retry_at)
    }

    /// Takes the held-back version out if it is due for a retry.
    fn take_due(&mut self, now: f64) -> Option<HeldBackVersion> {
        self.held_back
            .take_if(|held_back| held_back.retry_at <= now)
    }

    /// The candidate with the changes that the files made since they were last applied, based on the configuration that
    /// was in force then: a leaf that another author has changed since is a conflict and is not overwritten.
    fn candidate(&self, version: &Version) -> Result<Candidate, ValidationErrors> {
        let is_same_generation = version.generation == self.applied_generation;
        if is_same_generation && version.tree != self.applied_tree {
            // The operators changed the files without a new generation, or a file of another version is still being
            // written.
            return Err(ValidationError::new(
                "generation",
                "is that of the version in force, but the content differs",
                &version.generation,
                "a new name for each version",
            )
            .into());
        }
        let mut candidate = Candidate::new(&self.base);
        let changes = self.applied_tree.differences(&version.tree);
        candidate.tree = candidate.tree.with_changes(&changes)?;
        Ok(candidate)
    }
}

impl DatastoreThread {
    /// Reads and applies the files at the start. Returns the digest of their content.
    pub(super) fn apply_initial_files(
        &mut self,
        settings: &FileWatchSettings,
        facts: &Facts,
    ) -> Result<u64, StartError> {
        let (parsed, digest) = read_and_parse_files(&settings.watched, |contents| {
            parse_files(&settings.files, contents)
        });
        let applied = match parsed {
            Parsed::Complete(version) => self.apply_version(version, facts, CommitTry::First),
            Parsed::Mismatched(errors) | Parsed::Incomplete(errors) | Parsed::Invalid(errors) => {
                self.reject_files("", errors.clone());
                Err(errors)
            }
        };
        let Err(errors) = applied else {
            return Ok(digest);
        };
        // A restored revision serves until the files are valid. It is the last good one, as only valid ones are kept.
        if self.revision() > 0 {
            warn!(self.log, "started with the last good revision, not with the watched files";
                "revision" => self.revision());
            return Ok(digest);
        }
        // Hosts that discovery has not listed yet must not prevent the start. The router starts without a revision,
        // with the hosts that discovery lists, and the version is retried.
        let may_be_valid_later = settings.discovery && errors.retry_at().is_some();
        if may_be_valid_later {
            Ok(digest)
        } else {
            Err(StartError::InvalidFiles(errors))
        }
    }

    /// Applies or rejects what the watch thread read, and returns the new snapshot if one is applied.
    pub(super) fn handle_watch_event(
        &mut self,
        event: WatchEvent<Version>,
        facts: &Facts,
    ) -> Option<Arc<Snapshot>> {
        // The files have changed since the held-back version was read, so that it is outdated.
        self.files.held_back = None;
        match event {
            WatchEvent::Version(version) => {
                self.files.mismatched = None;
                self.apply_version(version, facts, CommitTry::First)
                    .ok()
                    .flatten()
            }
            WatchEvent::Rejected(errors) => {
                self.files.mismatched = None;
                self.reject_files("", errors);
                None
            }
            WatchEvent::Pending(errors) => {
                self.log_rejection("watched files of different generations", "", &errors);
                self.files.mismatched = Some(PendingVersion {
                    since: facts.now,
                    author: files_author(""),
                    errors,
                });
                self.saver.mark_changed();
                None
            }
        }
    }

    /// Retries the held-back version, if it is due.
    pub(super) fn retry_held_back(&mut self, facts: &Facts) -> Option<Arc<Snapshot>> {
        let held_back = self.files.take_due(facts.now)?;
        // The version is validated before it is committed. A failed validation is not recorded as a rejected commit,
        // so that retries do not fill the history.
        let validated = self
            .files
            .candidate(&held_back.version)
            .and_then(|candidate| self.coordinator.validate(&candidate, facts));
        match validated.err().and_then(|errors| errors.retry_at()) {
            Some(at) => {
                self.files.held_back = Some(HeldBackVersion {
                    retry_at: earliest_retry(at, facts),
                    ..held_back
                });
                None
            }
            // The version is valid now, or it is invalid for a reason that waiting does not resolve. The commit decides:
            // it is also rejected while a management session holds a lock or has a pending commit.
            None => self
                .apply_version(held_back.version, facts, CommitTry::Retry)
                .ok()
                .flatten(),
        }
    }

    /// Commits a version; it is held back if it may be valid later.
    fn apply_version(
        &mut self,
        version: Version,
        facts: &Facts,
        commit_try: CommitTry,
    ) -> Result<Option<Arc<Snapshot>>, ValidationErrors> {
        self.saver.mark_changed();
        let candidate = match self.files.candidate(&version) {
            Ok(candidate) => candidate,
            Err(errors) => {
                self.reject_files(&version.generation, errors.clone());
                return Err(errors);
            }
        };
        let author = files_author(&version.generation);
        // The watched files have no session and cannot confirm a commit, and their own commits need no confirmation.
        let committed = self
            .coordinator
            .commit(None, &candidate, author, None, None, facts);
        // The locks and the pending commit of management sessions are temporary, so that the version is retried.
        let lock_retry_at = facts.now + MIN_RETRY_DELAY_SECONDS;
        match committed.map_err(|error| into_validation_errors(error, lock_retry_at)) {
            Ok(outcome) => Ok(self.record_applied(version, outcome)),
            Err(errors) => {
                match errors.retry_at() {
                    Some(at) => self.hold_back(
                        version,
                        &errors,
                        earliest_retry(at, facts),
                        facts,
                        commit_try,
                    ),
                    None => {
                        self.log_rejection("watched files rejected", &version.generation, &errors)
                    }
                }
                Err(errors)
            }
        }
    }

    /// Logs that a version is in force, and makes it the base of the next one.
    fn record_applied(
        &mut self,
        version: Version,
        outcome: CommitOutcome,
    ) -> Option<Arc<Snapshot>> {
        let snapshot = super::applied_snapshot(&outcome);
        // The log key `changes` counts changed hosts here; in the line "commit applied" it counts changed leaves.
        let changes = snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.changed_hosts.len());
        info!(self.log, "watched files applied"; "generation" => &version.generation,
            "revision" => self.revision(), "changes" => changes);
        self.files.applied_tree = version.tree;
        self.files.applied_generation = version.generation;
        self.files.base = self.coordinator.store.in_force().clone();
        snapshot
    }

    /// Keeps a version that was rejected now, to be retried at `retry_at` (Unix seconds).
    fn hold_back(
        &mut self,
        version: Version,
        errors: &ValidationErrors,
        retry_at: f64,
        facts: &Facts,
        commit_try: CommitTry,
    ) {
        let pending = PendingVersion {
            // The time of this commit, also if it is a retry that a lock or a pending commit prevents.
            since: facts.now,
            author: files_author(&version.generation),
            errors: errors.clone(),
        };
        if commit_try == CommitTry::First {
            self.log_rejection("watched files pending", &version.generation, errors);
        }
        self.files.held_back = Some(HeldBackVersion {
            version,
            pending,
            retry_at,
        });
    }

    /// Logs and records the rejection of files from which no candidate can be made.
    fn reject_files(&mut self, generation: &str, errors: ValidationErrors) {
        self.log_rejection("watched files rejected", generation, &errors);
        self.coordinator
            .store
            .record_rejection(files_author(generation), self.clock.now(), errors);
        self.saver.mark_changed();
    }
}

/// The time of the next retry, in Unix seconds: `at`, or later if that is sooner than the shortest delay.
fn earliest_retry(at: f64, facts: &Facts) -> f64 {
    at.max(facts.now + MIN_RETRY_DELAY_SECONDS)
}

/// The author of revisions that come from the watched files.
fn files_author(generation: &str) -> Author {
    Author {
        source: Source::Files,
        name: "operators".into(),
        version: generation.into(),
    }
}
