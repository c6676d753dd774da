//! Errors that keep the management threads from starting.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use kestreltide_datastore::ValidationErrors;
use kestreltide_management::keys;
use thiserror::Error;

use super::persistence::PersistenceError;

/// An error that keeps the management threads from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// A thread, or the message queue to the event loop, cannot be created.
    #[error("a thread cannot be started: {0}")]
    Thread(#[source] io::Error),
    /// The persisted state is damaged, and its file cannot be renamed.
    // Operators match the text; "put aside" means renamed.
    #[error("{damage}; it cannot be put aside: {source}")]
    Quarantine {
        /// Why the state cannot be loaded.
        damage: PersistenceError,
        /// Why its file cannot be renamed.
        source: io::Error,
    },
    /// A watched file or the file of keys is invalid.
    #[error("{0}")]
    InvalidFiles(ValidationErrors),
    /// A management interface cannot listen on its address.
    #[error("[management] {option}: {address} cannot be listened on: {source}")]
    Listen {
        /// Key of the operator file that sets the address.
        option: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file that a management interface needs cannot be read.
    #[error("[management] {option}: {} cannot be read: {source}", .path.display())]
    ReadFile {
        /// Key of the operator file that names the file.
        option: &'static str,
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file of the SSH host key does not hold a private key.
    #[error("[management] ssh-host-key: {} is no private key: {source}", .path.display())]
    HostKey {
        /// The file.
        path: PathBuf,
        /// Why it cannot be decoded.
        source: keys::Error,
    },
}

#[cfg(test)]
mod tests;
