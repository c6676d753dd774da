//! Decides when the state is saved, and saves it.

use std::path::PathBuf;

use slog::{Logger, warn};

use crate::management_threads::persistence::{self, PersistedState};

/// Seconds between two savings at least: a save writes the whole file and waits for the disk.
const MIN_SAVE_INTERVAL: f64 = 0.5;

/// Saves the state to the state directory after it has changed.
pub(super) struct StateSaver {
    log: Logger,
    router: String,
    folder: Option<PathBuf>,
    has_changes: bool,
    /// Unix seconds.
    saved_at: f64,
    /// A failure is logged once, until a save succeeds again.
    is_failure_logged: bool,
}

impl StateSaver {
    /// The first save is due at once.
    pub(super) fn new(log: Logger, router: String, folder: Option<PathBuf>) -> Self {
        StateSaver {
            log,
            router,
            folder,
            has_changes: true,
            saved_at: 0.0,
            is_failure_logged: false,
        }
    }

    /// Name of the router that the state belongs to.
    pub(super) fn router(&self) -> &str {
        &self.router
    }

    /// Something that is saved has changed.
    pub(super) fn mark_changed(&mut self) {
        self.has_changes = true;
    }

    /// Changes are due now, however short ago the last save was.
    pub(super) fn make_due(&mut self) {
        self.saved_at = f64::MIN;
    }

    /// Whether there are changes and the last save is long enough ago.
    pub(super) fn is_due(&self, now: f64) -> bool {
        self.folder.is_some() && self.has_changes && now - self.saved_at >= MIN_SAVE_INTERVAL
    }

    /// Saves the state; after a failure it is tried again when it is due next.
    pub(super) fn save(&mut self, now: f64, state: &PersistedState) {
        let Some(folder) = &self.folder else {
            return;
        };
        match persistence::save(folder, state) {
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
