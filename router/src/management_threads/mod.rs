//! Threads beside the loop, for other installations: each is started only where the operator file says so,
//! posts to the loop and reads its view, and is started again when it dies.

mod datastore_thread;
mod interface_thread;
mod persistence;
mod settings;
mod startup;
mod supervise;

pub use datastore_thread::{DatastoreRequest, DatastoreThread, DatastoreThreadSettings};
pub use persistence::{PendingVersion, PersistedState, load};
pub use settings::{
    FileWatchSettings, GnmiSettings, ManagementSettings, NetconfSettings, OperatorSettings,
};
pub use startup::{ManagementThreads, ThreadContext};
pub use supervise::supervise;
