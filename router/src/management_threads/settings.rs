//! What the operator file says of the threads beside the loop.

use std::net::SocketAddr;
use std::path::PathBuf;

use kestreltide_datastore::HistoryLimits;
use kestreltide_file_watch::parse::FileKind;
use kestreltide_file_watch::watch::WatchSettings;

/// Which files are watched, and who else lists hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct FileWatchSettings {
    pub files: Vec<(FileKind, PathBuf)>,
    pub watched: WatchSettings,
    /// Whether discovery is asked too.
    pub discovery: bool,
}

/// Where management fronts listen, and by what who comes in is known.
#[derive(Clone, Debug, PartialEq)]
pub struct ManagementSettings {
    pub netconf: Option<NetconfSettings>,
    pub gnmi: Option<GnmiSettings>,
    /// The file of keys, watched as all files are.
    pub keys: WatchSettings,
}

#[derive(Clone, Debug, PartialEq)]
pub struct NetconfSettings {
    pub listen: SocketAddr,
    pub host_key: PathBuf,
}

#[derive(Clone, Debug, PartialEq)]
pub struct GnmiSettings {
    pub listen: SocketAddr,
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// Who signs clients' certificates.
    pub client_ca: PathBuf,
}

/// What the operator file says, with defaults for what it does not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    pub folder: Option<PathBuf>,
    pub history: HistoryLimits,
    pub watching: Option<FileWatchSettings>,
    pub management: Option<ManagementSettings>,
}

impl OperatorSettings {
    /// Whether there is a thread beside the loop.
    pub fn any(&self) -> bool {
        self.watching.is_some() || self.management.is_some()
    }

    /// Whether operators' files alone list the hosts.
    pub fn alone(&self) -> bool {
        self.watching
            .as_ref()
            .is_some_and(|watching| !watching.discovery)
    }
}
