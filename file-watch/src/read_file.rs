//! Reads a file safely, even if the path leads to something else or changes while it is read: the read never blocks on
//! a pipe and never exceeds a size limit.

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

/// Metadata of a file that shows without reading it that the file may have changed. The times in it are coarse, so the
/// same stamp does not guarantee the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    device: u64,
    inode: u64,
    length: u64,
    status_changed: FileTime,
    modified: FileTime,
}

impl FileStamp {
    fn from_metadata(metadata: &Metadata) -> Self {
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

    /// Returns the stamp of the file at a path; `None` if its metadata cannot be read.
    pub fn of_path(path: &Path) -> Option<Self> {
        let metadata = fs::metadata(path).ok()?;
        Some(FileStamp::from_metadata(&metadata))
    }
}

/// Why a file could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum ReadError {
    /// The operating system returned an error.
    #[error("{0}")]
    Io(String),
    /// The path leads to a folder, a pipe, a socket or a device.
    #[error("is no file")]
    NotAFile,
    /// The file is longer than the maximum.
    #[error("has {length} bytes, {maximum} at most are read")]
    TooLarge {
        /// The length of the file in bytes.
        length: u64,
        /// The maximum in bytes.
        maximum: usize,
    },
    /// The file grew beyond this maximum, in bytes, while it was read.
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

/// Reads a file of at most `maximum` bytes. If the file changes during the read, the result may be a mixture; the
/// header and end section of a watched file then show that it is not complete.
///
/// # Errors
///
/// Returns an error if there is no such file, if it is too large, or if it cannot be read.
pub fn read_bounded(path: &Path, maximum: usize) -> Content {
    // Checked before the file is opened, as opening a pipe can block forever, or unblock a process that waits to write
    // to it.
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

/// Returns a hash of the contents of several files. It is only comparable within one process.
pub fn digest(contents: &[Content]) -> u64 {
    /// Tags of the two kinds of content, so that an error never equals a file that contains the error's text.
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
            Err(reason) => {
                hasher.write_u8(ERROR);
                hasher.write(reason.to_string().as_bytes());
            }
        }
    }
    hasher.finish()
}
