//! Reading a file that may be anything, or become anything while it is read: never waits for a pipe, never
//! reads more than it may.

use std::fs::{self, File, Metadata, OpenOptions};
use std::hash::{DefaultHasher, Hasher};
use std::io::Read;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::Path;

/// What tells cheaply that a file may have changed. Times have grains, so that the same says little.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    device: u64,
    inode: u64,
    length: u64,
    changed: (i64, i64),
    written: (i64, i64),
}

impl FileStamp {
    fn of(found: &Metadata) -> Self {
        FileStamp {
            device: found.dev(),
            inode: found.ino(),
            length: found.len(),
            changed: (found.ctime(), found.ctime_nsec()),
            written: (found.mtime(), found.mtime_nsec()),
        }
    }

    /// The mark of the file at a path; none where there is no file.
    pub fn at(path: &Path) -> Option<Self> {
        fs::metadata(path).ok().map(|found| FileStamp::of(&found))
    }
}

/// Why there is no content, in words.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReadError(pub String);

/// What a file held.
pub type Content = Result<Vec<u8>, ReadError>;

/// The whole file, of so many bytes at most. A file that changed meanwhile is read as far as it went: its ends
/// tell that it is not whole.
pub fn read(path: &Path, most: usize) -> Content {
    let unread = |why: &dyn std::fmt::Display| ReadError(why.to_string());
    // Looked at before it is opened, as opening a pipe can wait for ever or wake who writes to it.
    fits(&fs::metadata(path).map_err(|e| unread(&e))?, most)?;
    let opened = OpenOptions::new()
        .read(true)
        .custom_flags(libc::O_NONBLOCK | libc::O_CLOEXEC)
        .open(path);
    let file: File = opened.map_err(|e| unread(&e))?;
    let found = file.metadata().map_err(|e| unread(&e))?;
    fits(&found, most)?;
    let mut bytes = Vec::with_capacity(found.len().min(most as u64) as usize);
    file.take(most as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| unread(&e))?;
    if bytes.len() > most {
        return Err(ReadError(format!("is longer than {most} bytes")));
    }
    Ok(bytes)
}

fn fits(found: &Metadata, most: usize) -> Result<(), ReadError> {
    if !found.is_file() {
        return Err(ReadError("is no file".into()));
    }
    if found.len() > most as u64 {
        return Err(ReadError(format!(
            "has {} bytes, {most} at most are read",
            found.len()
        )));
    }
    Ok(())
}

/// A number for what several files hold, the same for the same content in one process.
pub fn digest(contents: &[Content]) -> u64 {
    let mut hasher = DefaultHasher::new();
    for content in contents {
        match content {
            Ok(bytes) => {
                hasher.write_u8(1);
                hasher.write_usize(bytes.len());
                hasher.write(bytes);
            }
            Err(ReadError(why)) => {
                hasher.write_u8(0);
                hasher.write(why.as_bytes());
            }
        }
    }
    hasher.finish()
}
