//! The state that outlives the process: one file in the state directory, replaced as a whole.
//!
//! The file has three lines: its format, the state as JSON, and a checksum of the first two (without the line break at
//! the end of the second).
//! The program's commands read it too, as a router opens no further listener on the platform.

use std::fs::{self, File};
use std::io::{self, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};

use kestreltide_datastore::commit_coordinator::PendingCommit;
use kestreltide_datastore::{Author, DatastoreState, Tree, ValidationErrors};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Name of the file in the state directory.
const FILE_NAME: &str = "revisions.json";
/// The first line of the file.
const FORMAT_LINE: &str = "kestreltide-revisions 1";
/// How the last line begins, before the checksum (CRC-32) in hexadecimal.
const CHECKSUM_PREFIX: &str = "check ";
/// Characters of the checksum.
const CHECKSUM_DIGITS: usize = 8;

/// Why the state cannot be loaded or saved.
#[derive(Debug, Error)]
pub enum PersistenceError {
    /// The file or its directory cannot be read or written.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file is not one that was saved as a whole.
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
    /// It is shorter than its last line.
    #[error("it is too short")]
    TooShort,
    /// The checksum is not that of the content.
    #[error("its check is not that of its content")]
    ChecksumMismatch,
    /// The first line names another format.
    #[error("its form is not known")]
    UnknownFormat,
    /// The content is no persisted state.
    #[error("{0}")]
    InvalidContent(serde_json::Error),
}

/// A version of the watched files that is not in force yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingVersion {
    /// Since when it waits, in Unix seconds.
    pub since: f64,
    /// Whose version it is.
    pub author: Author,
    /// What it waits for.
    #[serde(rename = "faults")]
    pub errors: ValidationErrors,
}

/// All that is kept in the state directory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Name of the router that saved it.
    pub router: String,
    /// When it was saved, in Unix seconds.
    #[serde(rename = "written")]
    pub written_at: f64,
    /// What is in force, and its history.
    #[serde(rename = "memory")]
    pub datastore: DatastoreState,
    /// What the watched files configured when a version of them was applied last.
    pub files: Tree,
    /// Generation of that version.
    pub generation: String,
    /// A version of the files that waits.
    #[serde(rename = "held")]
    pub pending_version: Option<PendingVersion>,
    /// A commit that waits to be confirmed: a start rolls it back.
    #[serde(default, rename = "pending")]
    pub pending_commit: Option<PendingCommit>,
    /// Revisions that the event loop has applied since the program's start.
    #[serde(rename = "taken")]
    pub revisions_applied: u64,
    /// The longest that the event loop stood still for one of them, in seconds.
    #[serde(rename = "longest_pause")]
    pub longest_apply_time: f64,
}

/// Path of the file in a state directory.
fn state_file(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// The last line of the file, with the line break before it.
fn checksum_line(checksum: u32) -> String {
    format!("\n{CHECKSUM_PREFIX}{checksum:0CHECKSUM_DIGITS$x}\n")
}

/// A writer that computes the checksum of all that is written through it.
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

/// Saves the state; after a crash either the old file or the new one is there as a whole.
///
/// # Errors
///
/// A state directory that cannot be written.
pub(super) fn save(folder: &Path, state: &PersistedState) -> Result<(), PersistenceError> {
    replace_file(folder, state).map_err(|source| PersistenceError::Io {
        path: folder.to_owned(),
        source,
    })
}

fn replace_file(folder: &Path, state: &PersistedState) -> io::Result<()> {
    let new_path = folder.join(format!("{FILE_NAME}.new"));
    let file = write_file(&new_path, state)?;
    file.sync_all()?;
    fs::rename(&new_path, state_file(folder))?;
    // The name belongs to the directory, which has to reach the disk as well.
    File::open(folder)?.sync_all()
}

fn write_file(path: &Path, state: &PersistedState) -> io::Result<File> {
    let mut writer = ChecksumWriter {
        inner: BufWriter::new(File::create(path)?),
        checksum: crc32fast::Hasher::new(),
    };
    writeln!(writer, "{FORMAT_LINE}")?;
    // Written piece by piece: the text of a long history would need much memory.
    serde_json::to_writer(&mut writer, state)?;
    let ChecksumWriter {
        mut inner,
        checksum,
    } = writer;
    inner.write_all(checksum_line(checksum.finalize()).as_bytes())?;
    inner.into_inner().map_err(io::IntoInnerError::into_error)
}

/// Loads the state of a state directory; `None` where none was ever saved.
///
/// # Errors
///
/// A file that cannot be read, or that is damaged.
pub fn load(folder: &Path) -> Result<Option<PersistedState>, PersistenceError> {
    let path = state_file(folder);
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

/// Moves a damaged file out of the way, so that it can be examined and is not loaded again. Returns its new path.
///
/// # Errors
///
/// A file that cannot be renamed.
pub(super) fn quarantine(folder: &Path) -> io::Result<PathBuf> {
    let quarantined = folder.join(format!("{FILE_NAME}.damaged"));
    fs::rename(state_file(folder), &quarantined)?;
    Ok(quarantined)
}

#[cfg(test)]
mod tests;
