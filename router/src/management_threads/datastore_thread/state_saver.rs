//! Saves the state after changes, at a limited rate.

use std::path::PathBuf;

use slog::{Logger, warn};

use crate::management_threads::persistence::{self, PersistedState};

/// Shortest interval between two saves, in seconds: each save writes the whole file and waits for the disk.
const MIN_SAVE_INTERVAL_SECONDS: f64 = 0.5;

/// Tracks unsaved changes and saves the state to the state directory.
pub(super) struct StateSaver {
    log: Logger,
    router: String,
    directory: Option<PathBuf>,
    has_changes: bool,
    /// When the last save was attempted, in Unix seconds.
    saved_at: f64,
    /// Whether the current series of failed saves was logged; only its first failure is.
    is_failure_logged: bool,
}

impl StateSaver {
    /// A saver whose first save is due immediately. Nothing is saved if `directory` is `None`.
    pub(super) fn new(log: Logger, router: String, directory: Option<PathBuf>) -> Self {
        StateSaver {
            log,
            router,
            directory,
            has_changes: true,
            saved_at: 0.0,
            is_failure_logged: false,
        }
    }

    /// Name of the router that the state belongs to.
    pub(super) fn router(&self) -> &str {
        &self.router
    }

    /// Marks the state as changed since the last save.
    pub(super) fn mark_changed(&mut self) {
        self.has_changes = true;
    }

    /// Makes unsaved changes due now, regardless of when the last save was.
    pub(super) fn make_due(&mut self) {
        self.saved_at = f64::MIN;
    }

    /// Whether there are unsaved changes and the last save was at least [`MIN_SAVE_INTERVAL_SECONDS`] ago.
    pub(super) fn is_due(&self, now: f64) -> bool {
        self.directory.is_some()
            && self.has_changes
            && now - self.saved_at >= MIN_SAVE_INTERVAL_SECONDS
    }

    /// Saves the state; a failed save is retried when the next one is due.
    pub(super) fn save(&mut self, now: f64, state: &PersistedState) {
        let Some(directory) = &self.directory else {
            return;
        };
        match persistence::save(directory, state) {
            Ok(()) => {
                self.has_changes = false;
                self.is_failure_logged = false;
            }
            Err(error) if !self.is_failure_logged => {
                warn!(self.log, "persisted state not saved"; "why" => %error);
                self.is_failure_logged = true;
            }
            Err(_) => {}
        }
        self.saved_at = now;
    }
}
