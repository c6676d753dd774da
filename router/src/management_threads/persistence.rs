//! What outlives the process, where the operator file names a folder for it: one file, replaced whole, with a
//! check over all of it. The program's commands read it too, as no listener may be opened on the platform.

use std::fs::{self, File};
use std::io::{self, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};

use kestreltide_datastore::commit_coordinator::PendingCommit;
use kestreltide_datastore::{Author, DatastoreState, Tree, ValidationErrors};
use serde::{Deserialize, Serialize};

const NAME: &str = "revisions.json";
/// The first line of the file, and how the last one begins, which has the check over all before it.
const FORM: &str = "kestreltide-revisions 1";
const CHECK: &str = "check ";

/// A version that waits for something to pass.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingVersion {
    /// Unix seconds.
    pub since: f64,
    pub author: Author,
    #[serde(rename = "faults")]
    pub errors: ValidationErrors,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    pub router: String,
    /// Unix seconds.
    pub written: f64,
    pub memory: DatastoreState,
    /// What the files said when a version of them was last taken.
    pub files: Tree,
    pub generation: String,
    pub held: Option<PendingVersion>,
    /// A commit that waits to be confirmed: a start undoes it.
    #[serde(default)]
    pub pending: Option<PendingCommit>,
    /// Revisions that the loop took, and its longest pause for one, in seconds, since the program's start.
    pub taken: u64,
    pub longest_pause: f64,
}

pub fn path(folder: &Path) -> PathBuf {
    folder.join(NAME)
}

/// Writes on, and knows the check over all that it wrote.
struct Checked<W> {
    to: W,
    check: crc32fast::Hasher,
}

impl<W: Write> Write for Checked<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.to.write(bytes)?;
        self.check.update(&bytes[..written]);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.to.flush()
    }
}

/// Replaces the file whole; after a crash there is the old one or the new one.
pub fn save(folder: &Path, remembered: &PersistedState) -> Result<(), String> {
    let unsaved = |e: io::Error| format!("{}: {e}", folder.display());
    let new = folder.join(format!("{NAME}.new"));
    let file = BufWriter::new(File::create(&new).map_err(unsaved)?);
    let mut file = Checked {
        to: file,
        check: crc32fast::Hasher::new(),
    };
    // Piece by piece: a long history once is no reason to hold its text in memory.
    writeln!(file, "{FORM}").map_err(unsaved)?;
    serde_json::to_writer(&mut file, remembered).map_err(|e| unsaved(e.into()))?;
    let check = file.check.finalize();
    writeln!(file.to, "\n{CHECK}{check:08x}").map_err(unsaved)?;
    let file = file.to.into_inner().map_err(|e| unsaved(e.into_error()))?;
    file.sync_all()
        .and_then(|()| fs::rename(&new, path(folder)))
        .map_err(unsaved)?;
    // The name itself is kept by the folder.
    File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(unsaved)
}

/// What was remembered; `None` where nothing ever was. A damaged file is an error.
pub fn load(folder: &Path) -> Result<Option<PersistedState>, String> {
    let at = path(folder);
    let bytes = match fs::read(&at) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(format!("{}: {e}", at.display())),
    };
    let damaged = |why: &str| format!("{}: is damaged: {why}", at.display());
    let tail = format!("\n{CHECK}").len() + 9;
    let place = bytes
        .len()
        .checked_sub(tail)
        .ok_or_else(|| damaged("it is too short"))?;
    let (said, check) = bytes.split_at(place);
    if check != format!("\n{CHECK}{:08x}\n", crc32fast::hash(said)).as_bytes() {
        return Err(damaged("its check is not that of its content"));
    }
    let body = said
        .strip_prefix(format!("{FORM}\n").as_bytes())
        .ok_or_else(|| damaged("its form is not known"))?;
    serde_json::from_slice(body)
        .map(Some)
        .map_err(|e| damaged(&e.to_string()))
}

/// Puts a damaged file aside, so that it can be looked at and is not met again.
pub fn quarantine(folder: &Path) -> std::io::Result<PathBuf> {
    let aside = folder.join(format!("{NAME}.damaged"));
    fs::rename(path(folder), &aside).map(|()| aside)
}

#[cfg(test)]
mod tests;
