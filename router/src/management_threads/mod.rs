//! The threads that run beside the event loop: the datastore, the watched files and the management interfaces.
//!
//! A thread is started only if the operator file configures it, and is restarted after a panic. The threads send
//! messages to the event loop and read the view of the router's state that the loop publishes.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::wildcard_imports,
    clippy::too_many_lines,
    clippy::cognitive_complexity,
    clippy::type_complexity,
    clippy::missing_errors_doc,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod datastore_thread;
mod error;
mod interfaces;
mod keys_file;
mod persistence;
mod settings;
mod startup;
mod supervise;

pub use error::StartError;
pub use persistence::{Damage, PendingVersion, PersistedState, PersistenceError, load};
pub use settings::{
    FileWatchSettings, GnmiSettings, ManagementSettings, NetconfSettings, OperatorSettings,
};
pub use startup::{ManagementThreads, StartedThreads, ThreadContext};
