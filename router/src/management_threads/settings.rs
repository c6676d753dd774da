//! The settings of the management threads, as read from the operator file.

use std::net::SocketAddr;
use std::path::PathBuf;

use kestreltide_datastore::HistoryLimits;
use kestreltide_file_watch::parse::FileKind;
use kestreltide_file_watch::watch::WatchSettings;

/// Which files are watched, and whether discovery lists hosts as well.
#[derive(Clone, Debug, PartialEq)]
pub struct FileWatchSettings {
    /// The kind and the path of each file.
    pub files: Vec<(FileKind, PathBuf)>,
    /// The watch's file list, size limit and intervals.
    pub watched: WatchSettings,
    /// Whether discovery is asked for hosts in addition to the files.
    pub discovery: bool,
}

/// The management interfaces and the file of keys of their clients.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagementSettings {
    /// NETCONF over SSH; not served if `None`.
    pub netconf: Option<NetconfSettings>,
    /// gNMI over TLS; not served if `None`.
    pub gnmi: Option<GnmiSettings>,
    /// How the file of keys is watched.
    pub keys: WatchSettings,
}

/// Settings of NETCONF over SSH.
#[derive(Clone, Debug, PartialEq)]
pub struct NetconfSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Path of the SSH host key, which identifies this router to clients.
    pub host_key: PathBuf,
}

/// Settings of gNMI over TLS. All files are in PEM format.
#[derive(Clone, Debug, PartialEq)]
pub struct GnmiSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Path of this router's certificate.
    pub certificate: PathBuf,
    /// Path of the certificate's private key.
    pub key: PathBuf,
    /// Path of the CA certificate that client certificates are verified against.
    pub client_ca: PathBuf,
}

/// The settings of the operator file, with defaults for keys that it does not set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// The directory of the persisted state; nothing is persisted if `None`.
    pub state_directory: Option<PathBuf>,
    /// How many revisions the history keeps.
    pub history: HistoryLimits,
    /// The watched files; none are watched if `None`.
    pub file_watch: Option<FileWatchSettings>,
    /// The management interfaces; none are served if `None`.
    pub management: Option<ManagementSettings>,
}

impl OperatorSettings {
    /// Whether any management thread is needed.
    pub fn has_threads(&self) -> bool {
        self.file_watch.is_some() || self.management.is_some()
    }

    /// Whether the watched files are the only source of hosts, so that discovery is not asked.
    pub fn replaces_discovery(&self) -> bool {
        self.file_watch
            .as_ref()
            .is_some_and(|file_watch| !file_watch.discovery)
    }
}
