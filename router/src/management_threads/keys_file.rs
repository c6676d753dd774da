//! The file of keys, which lists the clients that may use the management interfaces. It is watched while the router
//! serves.

use std::io;
use std::sync::Arc;

use arc_swap::ArcSwap;
use kestreltide_datastore::{Keys, ValidationErrors};
use kestreltide_file_watch::Content;
use kestreltide_file_watch::parse::{Parsed, parse_keys};
use kestreltide_file_watch::watch::{
    WatchEvent, WatchSettings, read_and_parse_files, wake_channel,
};
use slog::{Logger, info, warn};

use super::error::StartError;
use super::supervise::supervise;

/// The file of keys as read at the start.
pub(super) struct KeysFile {
    keys: Arc<ArcSwap<Keys>>,
    settings: WatchSettings,
    /// Digest of the file's content as read.
    digest: u64,
}

impl KeysFile {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is invalid.
    pub(super) fn load(settings: &WatchSettings) -> Result<Self, StartError> {
        let path = display_path(settings);
        let (parsed, digest) = read_and_parse_files(settings, |contents| parse(&path, contents));
        match parsed {
            Parsed::Complete(keys) => Ok(KeysFile {
                keys: Arc::new(ArcSwap::from_pointee(keys)),
                settings: settings.clone(),
                digest,
            }),
            Parsed::Mismatched(errors) | Parsed::Incomplete(errors) | Parsed::Invalid(errors) => {
                Err(StartError::InvalidFiles(errors))
            }
        }
    }

    /// The keys in force, which the watch thread replaces.
    pub(super) fn keys(&self) -> Arc<ArcSwap<Keys>> {
        self.keys.clone()
    }

    /// Logs the generation and the number of the keys in force.
    pub(super) fn log_loaded(&self, log: &Logger) {
        log_applied(log, &self.keys.load());
    }

    /// Starts the thread that applies each new version of the file.
    ///
    /// # Errors
    ///
    /// If the thread cannot be created.
    pub(super) fn watch(self, log: &Logger) -> io::Result<()> {
        let KeysFile {
            keys,
            settings,
            digest,
        } = self;
        let wake_channel = wake_channel();
        let thread_log = log.clone();
        let path = display_path(&settings);
        // After a panic no digest is known, so that the thread reads and applies the file again.
        let mut known_digest = Some(digest);
        supervise(log.clone(), "keys", move || {
            kestreltide_file_watch::watch_files(
                &settings,
                known_digest.take(),
                &wake_channel,
                || (),
                |contents| parse(&path, contents),
                |event| {
                    apply(&thread_log, &keys, event);
                    true
                },
            );
        })?;
        Ok(())
    }
}

/// Applies a new version of the keys. An invalid version is logged, and the keys in force stay.
fn apply(log: &Logger, keys: &ArcSwap<Keys>, event: WatchEvent<Keys>) {
    match event {
        WatchEvent::Version(version) => {
            let version = Arc::new(version);
            // Stored before it is logged, so that the keys are in force once the line is visible.
            keys.store(version.clone());
            log_applied(log, &version);
        }
        WatchEvent::Rejected(errors) | WatchEvent::Pending(errors) => {
            let first_error = errors
                .first
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            warn!(log, "file of keys rejected"; "why" => first_error);
        }
    }
}

fn log_applied(log: &Logger, keys: &Keys) {
    info!(log, "keys applied"; "generation" => &keys.generation, "keys" => keys.keys.len());
}

/// Parses the only watched file; `path` names it in errors.
fn parse(path: &str, contents: &[Content]) -> Parsed<Keys> {
    match contents.first() {
        Some(content) => parse_keys(path, content),
        None => Parsed::Incomplete(ValidationErrors::default()),
    }
}

/// Path of the file, as used in error messages.
fn display_path(settings: &WatchSettings) -> String {
    settings
        .files
        .first()
        .map_or(String::new(), |path| path.display().to_string())
}
