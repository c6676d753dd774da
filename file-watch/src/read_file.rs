//! Reads a file that may be anything, or become anything while it is read: never waits for a pipe, and never reads more
//! than allowed.

use std::fs::{self, File, Metadata, OpenOptions};
use std::hash::{DefaultHasher, Hasher};
use std::io::{self, Read};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::Path;

use thiserror::Error;

/// A time of a file as the file system gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileTime {
    seconds: i64,
    nanoseconds: i64,
}

/// What tells cheaply that a file may have changed. Times of files are coarse: the same stamp does not mean the same
/// content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    device: u64,
    inode: u64,
    length: u64,
    status_changed: FileTime,
    modified: FileTime,
}

impl FileStamp {
    fn of(metadata: &Metadata) -> Self {
        FileStamp {
            device: metadata.dev(),
            inode: metadata.ino(),
            length: metadata.len(),
            status_changed: FileTime {
                seconds: metadata.ctime(),
                nanoseconds: metadata.ctime_nsec(),
            },
            modified: FileTime {
                seconds: metadata.mtime(),
                nanoseconds: metadata.mtime_nsec(),
            },
        }
    }

    /// The stamp of the file at a path; `None` where there is no file.
    pub fn at(path: &Path) -> Option<Self> {
        let metadata = fs::metadata(path).ok()?;
        Some(FileStamp::of(&metadata))
    }
}

/// Why a file could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum ReadError {
    /// The operating system's error.
    #[error("{0}")]
    Io(String),
    /// It is a folder, a pipe, a socket or a device.
    #[error("is no file")]
    NotAFile,
    /// It has more bytes than are read.
    #[error("has {length} bytes, {maximum} at most are read")]
    TooLarge {
        /// Its length in bytes.
        length: u64,
        /// The bytes that are read at most.
        maximum: usize,
    },
    /// It grew beyond this many bytes while it was read.
    #[error("is longer than {0} bytes")]
    Grew(usize),
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        ReadError::Io(error.to_string())
    }
}

/// The content of a file.
pub type Content = Result<Vec<u8>, ReadError>;

/// Reads a file of at most `maximum` bytes. A file that changed meanwhile is read as far as it went: its ends tell that
/// it is not complete.
///
/// # Errors
///
/// There is no such file, it is too large, or it cannot be read.
pub fn read_bounded(path: &Path, maximum: usize) -> Content {
    // Checked before it is opened, as opening a pipe can wait for ever or wake who writes to it.
    check_readable(&fs::metadata(path)?, maximum)?;
    let file: File = OpenOptions::new()
        .read(true)
        .custom_flags(libc::O_NONBLOCK | libc::O_CLOEXEC)
        .open(path)?;
    let metadata = file.metadata()?;
    check_readable(&metadata, maximum)?;
    let mut bytes = Vec::with_capacity(metadata.len().min(maximum as u64) as usize);
    file.take(maximum as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > maximum {
        return Err(ReadError::Grew(maximum));
    }
    Ok(bytes)
}

fn check_readable(metadata: &Metadata, maximum: usize) -> Result<(), ReadError> {
    if !metadata.is_file() {
        return Err(ReadError::NotAFile);
    }
    if metadata.len() > maximum as u64 {
        return Err(ReadError::TooLarge {
            length: metadata.len(),
            maximum,
        });
    }
    Ok(())
}

/// A number for the content of several files, the same for the same content within one process.
pub fn digest(contents: &[Content]) -> u64 {
    /// Marks of the two kinds of content, so that an error is no file with its text.
    const ERROR: u8 = 0;
    const BYTES: u8 = 1;
    let mut hasher = DefaultHasher::new();
    for content in contents {
        match content {
            Ok(bytes) => {
                hasher.write_u8(BYTES);
                hasher.write_usize(bytes.len());
                hasher.write(bytes);
            }
            Err(why) => {
                hasher.write_u8(ERROR);
                hasher.write(why.to_string().as_bytes());
            }
        }
    }
    hasher.finish()
}
