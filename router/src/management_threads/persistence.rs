//! The state that persists over restarts: one file in the state directory, which each save replaces atomically.
//!
//! The file has three lines: the format, the state as JSON, and a checksum of the first two (without the line feed at
//! the end of the second line). The sub-command `revisions` reads the file as well, since a router has no listener for
//! such queries.

use std::fs::{self, File};
use std::io::{self, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};

use kestreltide_datastore::commit_coordinator::PendingCommit;
use kestreltide_datastore::{Author, DatastoreState, Tree, ValidationErrors};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Name of the file in the state directory.
const STATE_FILE_NAME: &str = "revisions.json";
/// The first line of the file: the name and version of its format.
const FORMAT_LINE: &str = "kestreltide-revisions 1";
/// The prefix of the last line, followed by the checksum (CRC-32) in hexadecimal.
const CHECKSUM_PREFIX: &str = "check ";
/// Hexadecimal digits of the checksum.
const CHECKSUM_DIGITS: usize = 8;

/// Why the state cannot be loaded or saved.
#[derive(Debug, Error)]
pub enum PersistenceError {
    /// The file or its directory cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is incomplete or was changed after it was saved.
    #[error("{}: is damaged: {damage}", .path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        damage: Damage,
    },
}

/// What is wrong with a damaged file.
#[derive(Debug, Error)]
pub enum Damage {
    /// The file is shorter than the checksum line.
    #[error("it is too short")]
    TooShort,
    /// The checksum does not match the content.
    #[error("its check is not that of its content")]
    ChecksumMismatch,
    /// The first line names another format.
    #[error("its form is not known")]
    UnknownFormat,
    /// The content is not the JSON of a [`PersistedState`].
    #[error("{0}")]
    InvalidContent(serde_json::Error),
}

/// A version of the watched files that is not in force yet, because it is held back or its files are of different
/// generations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingVersion {
    /// When it became pending, or was retried last without success because of a lock or a pending commit, in Unix
    /// seconds.
    pub since: f64,
    /// The author of the version.
    pub author: Author,
    /// Why it cannot be applied yet.
    #[serde(rename = "faults")]
    pub errors: ValidationErrors,
}

/// The content of the state file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Name of the router that saved the state.
    pub router: String,
    /// When the state was saved, in Unix seconds.
    #[serde(rename = "written")]
    pub written_at: f64,
    /// The configuration in force and its history.
    #[serde(rename = "memory")]
    pub datastore: DatastoreState,
    /// The tree of the version of the watched files that was applied last.
    pub files: Tree,
    /// Generation of that version.
    pub generation: String,
    /// A version of the watched files that is not in force yet.
    #[serde(rename = "held")]
    pub pending_version: Option<PendingVersion>,
    /// A commit that has not been confirmed; the next start of the router rolls it back.
    #[serde(default, rename = "pending")]
    pub pending_commit: Option<PendingCommit>,
    /// Number of revisions that the event loop has applied since the program started.
    #[serde(rename = "taken")]
    pub revisions_applied: u64,
    /// The longest time that the event loop took to apply one of them, in seconds.
    #[serde(rename = "longest_pause")]
    pub longest_apply_time: f64,
}

/// Path of the file in a state directory.
fn state_file(directory: &Path) -> PathBuf {
    directory.join(STATE_FILE_NAME)
}

/// The last line of the file, including the line feed before it.
fn checksum_line(checksum: u32) -> String {
    format!("\n{CHECKSUM_PREFIX}{checksum:0CHECKSUM_DIGITS$x}\n")
}

/// A writer that computes the checksum of everything written through it.
struct ChecksumWriter<W> {
    inner: W,
    checksum: crc32fast::Hasher,
}

impl<W: Write> Write for ChecksumWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.inner.write(bytes)?;
        self.checksum.update(&bytes[..written]);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

/// Saves the state atomically: after a crash the state file is complete, either the old or the new one.
///
/// # Errors
///
/// If the state directory cannot be written.
pub(super) fn save(directory: &Path, state: &PersistedState) -> Result<(), PersistenceError> {
    replace_file(directory, state).map_err(|source| PersistenceError::Io {
        path: directory.to_owned(),
        source,
    })
}

fn replace_file(directory: &Path, state: &PersistedState) -> io::Result<()> {
    let new_path = directory.join(format!("{STATE_FILE_NAME}.new"));
    let file = write_file(&new_path, state)?;
    file.sync_all()?;
    fs::rename(&new_path, state_file(directory))?;
    // The rename is durable only once the directory itself is synced.
    File::open(directory)?.sync_all()
}

fn write_file(path: &Path, state: &PersistedState) -> io::Result<File> {
    let mut writer = ChecksumWriter {
        inner: BufWriter::new(File::create(path)?),
        checksum: crc32fast::Hasher::new(),
    };
    writeln!(writer, "{FORMAT_LINE}")?;
    // Streamed to the file: a long history as one string would need much memory.
    serde_json::to_writer(&mut writer, state)?;
    let ChecksumWriter {
        mut inner,
        checksum,
    } = writer;
    inner.write_all(checksum_line(checksum.finalize()).as_bytes())?;
    inner.into_inner().map_err(io::IntoInnerError::into_error)
}

/// Loads the state from a state directory; `None` if the directory has no state file.
///
/// # Errors
///
/// If the file cannot be read or is damaged.
pub fn load(directory: &Path) -> Result<Option<PersistedState>, PersistenceError> {
    let path = state_file(directory);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(PersistenceError::Io { path, source }),
    };
    match parse(&bytes) {
        Ok(state) => Ok(Some(state)),
        Err(damage) => Err(PersistenceError::Damaged { path, damage }),
    }
}

fn parse(bytes: &[u8]) -> Result<PersistedState, Damage> {
    let checksum_start = bytes
        .len()
        .checked_sub(checksum_line(0).len())
        .ok_or(Damage::TooShort)?;
    let (content, checksum) = bytes.split_at(checksum_start);
    if checksum != checksum_line(crc32fast::hash(content)).as_bytes() {
        return Err(Damage::ChecksumMismatch);
    }
    let json = content
        .strip_prefix(format!("{FORMAT_LINE}\n").as_bytes())
        .ok_or(Damage::UnknownFormat)?;
    serde_json::from_slice(json).map_err(Damage::InvalidContent)
}

/// Renames a damaged file, so that it can be examined and is not loaded again. Returns its new path.
///
/// # Errors
///
/// If the file cannot be renamed.
pub(super) fn quarantine(directory: &Path) -> io::Result<PathBuf> {
    let quarantined = directory.join(format!("{STATE_FILE_NAME}.damaged"));
    fs::rename(state_file(directory), &quarantined)?;
    Ok(quarantined)
}

#[cfg(test)]
mod tests;
