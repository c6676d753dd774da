//! What the operator file configures for the threads beside the event loop.

use std::net::SocketAddr;
use std::path::PathBuf;

use kestreltide_datastore::HistoryLimits;
use kestreltide_file_watch::parse::FileKind;
use kestreltide_file_watch::watch::WatchSettings;

/// Which files are watched, and whether discovery lists hosts too.
#[derive(Clone, Debug, PartialEq)]
pub struct FileWatchSettings {
    /// What each file holds, and its path.
    pub files: Vec<(FileKind, PathBuf)>,
    /// How the files are watched.
    pub watched: WatchSettings,
    /// Whether discovery lists hosts beside the files.
    pub discovery: bool,
}

/// The management interfaces, and who may use them.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagementSettings {
    /// NETCONF over SSH; none: not served.
    pub netconf: Option<NetconfSettings>,
    /// gNMI over TLS; none: not served.
    pub gnmi: Option<GnmiSettings>,
    /// The file of keys, watched as the other files are.
    pub keys: WatchSettings,
}

/// NETCONF over SSH.
#[derive(Clone, Debug, PartialEq)]
pub struct NetconfSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// File of the private key by which clients know this router.
    pub host_key: PathBuf,
}

/// gNMI over TLS; all files are in PEM.
#[derive(Clone, Debug, PartialEq)]
pub struct GnmiSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// File of this router's certificate.
    pub certificate: PathBuf,
    /// File of its private key.
    pub key: PathBuf,
    /// File of the authority that signs clients' certificates.
    pub client_ca: PathBuf,
}

/// The operator file, with defaults for what it does not set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// Where the state is persisted; none: nowhere.
    pub state_directory: Option<PathBuf>,
    /// How many revisions are kept.
    pub history: HistoryLimits,
    /// The watched files, if any.
    pub file_watch: Option<FileWatchSettings>,
    /// The management interfaces, if any.
    pub management: Option<ManagementSettings>,
}

impl OperatorSettings {
    /// Whether any thread beside the event loop is needed.
    pub fn has_threads(&self) -> bool {
        self.file_watch.is_some() || self.management.is_some()
    }

    /// Whether the watched files alone list the hosts, and discovery is not asked.
    pub fn replaces_discovery(&self) -> bool {
        self.file_watch
            .as_ref()
            .is_some_and(|file_watch| !file_watch.discovery)
    }
}
