//! The configuration file and the environment.

mod error;
mod file;
mod parts;
mod startup_only;

use std::env;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;

use kestreltide::interface::ServiceSettings;
use kestreltide_settings::{Fields, NameTable, TransportSettings, decode};

use crate::limits::{Limits, MemoryBudget};
use crate::protocol::discovery::EndpointList;

pub(super) use error::ConfigError;
use error::MemoryUnit;
use file::{File as ConfigFile, Platform as PlatformSettings, Sizes as ResourceLimits};
pub(super) use startup_only::StartupOnly;

/// The configuration of a router.
pub(super) struct ProgramConfiguration<'a> {
    /// The router's name.
    pub(super) name: String,
    /// Where clients connect to.
    pub(super) listen: SocketAddr,
    /// The address of discovery.
    pub(super) discovery: SocketAddr,
    /// The seed of the random numbers.
    pub(super) seed: u64,
    /// What the process may use.
    pub(super) limits: ResourceLimits,
    /// Where gossip is received.
    pub(super) peer_listen: Option<SocketAddr>,
    /// The other routers, by their numbers.
    pub(super) peers: Vec<SocketAddr>,
    /// An address that reaches all other routers.
    pub(super) peers_all: Option<SocketAddr>,
    /// The platform, if there is one.
    pub(super) platform: Option<PlatformSettings>,
    /// The endpoint list as last known.
    pub(super) known: Option<EndpointList<'a>>,
    /// For the decisions.
    pub(super) service: ServiceSettings,
    /// For the transport.
    pub(super) transport: TransportSettings,
    /// What memory is left for the hosts that are listed.
    pub(super) budget: MemoryBudget,
}

impl ProgramConfiguration<'_> {
    /// The limits that follow.
    pub(super) fn limits(&self) -> Limits {
        Limits::new(
            self.limits.sockets,
            self.limits.memory_mb,
            &self.budget,
            &self.service,
            &self.transport,
        )
    }
}

/// Reads the text of the file that `path` or else the environment names.
///
/// # Errors
///
/// Where none is named, or it cannot be read, is no regular file or is too long.
pub(super) fn load(path: Option<String>) -> Result<String, ConfigError> {
    let path = path.or_else(|| env::var("PROXY_CONFIG").ok());
    let path = path.ok_or(ConfigError::NotNamed)?;
    read_file(&path).map_err(|problem| ConfigError::Unreadable { path, problem })
}

fn read_file(path: &str) -> Result<String, String> {
    let file = File::open(path).map_err(|e| e.to_string())?;
    // Neither an endless pipe nor an oversized file may hold up a router that serves.
    let metadata = file.metadata().map_err(|e| e.to_string())?;
    if !metadata.is_file() {
        return Err("it is no file".into());
    }
    if metadata.len() > Limits::CONFIG_FILE_BYTES as u64 {
        return Err(format!(
            "it is too long ({} bytes; {} at most)",
            metadata.len(),
            Limits::CONFIG_FILE_BYTES
        ));
    }
    let mut text = String::new();
    file.take(Limits::CONFIG_FILE_BYTES as u64)
        .read_to_string(&mut text)
        .map_err(|e| e.to_string())?;
    Ok(text)
}

/// When a configuration is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadTime {
    /// At the start of the program.
    Start,
    /// While it runs. The environment only tells where discovery was at the start.
    Reload {
        /// The memory that the program was started with, in MiB.
        memory_mb: usize,
    },
}

/// The address in an environment variable, which goes before the file's.
fn address(variable: &'static str, in_file: SocketAddr) -> Result<SocketAddr, ConfigError> {
    match env::var(variable) {
        Ok(text) => text
            .parse()
            .map_err(|_| ConfigError::NotAnAddress { variable, text }),
        Err(_) => Ok(in_file),
    }
}

/// Parses the text of a configuration file.
///
/// # Errors
///
/// The first value that is missing, malformed or more than there is memory for.
pub(super) fn read(text: &str, time: ReadTime) -> Result<ProgramConfiguration<'_>, ConfigError> {
    let file = parse_file(text)?;
    let seed = parse_seed(&file.seed)?;
    if file.limits.sockets == 0 || file.limits.memory_mb == 0 {
        return Err(ConfigError::ZeroLimit);
    }
    let mut budget = MemoryBudget::new(match time {
        ReadTime::Start => file.limits.memory_mb,
        ReadTime::Reload { memory_mb } => memory_mb.min(file.limits.memory_mb),
    });
    budget
        .reserve(text.len())
        .map_err(|budget| ConfigError::TooMuchMemory {
            field: "the configuration",
            count: text.len(),
            unit: MemoryUnit::Bytes,
            budget,
        })?;
    let peers = parts::peers(file.peers, &mut budget)?;
    let settings = parts::settings(file.settings, &mut budget)?;
    let settings = decode(
        &Fields::from_json("settings", &settings),
        &mut NameTable::Hashed,
    )?;
    let known = file
        .known
        .map(|known| parts::known_hosts(known, &budget))
        .transpose()?;
    Ok(ProgramConfiguration {
        name: env::var("PROXY_NAME").unwrap_or(file.name),
        listen: address("PROXY_LISTEN", file.listen)?,
        discovery: match time {
            ReadTime::Start => address("PROXY_DISCOVERY", file.discovery)?,
            ReadTime::Reload { .. } => file.discovery,
        },
        seed,
        limits: file.limits,
        peer_listen: file.peer_listen,
        peers,
        peers_all: file.peers_all,
        platform: file.platform,
        known,
        service: settings.service,
        transport: settings.transport,
        budget,
    })
}

fn parse_file(text: &str) -> Result<ConfigFile<'_>, ConfigError> {
    let reader = &mut serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(reader).map_err(|e| {
        let path = e.path().to_string();
        ConfigError::Malformed {
            path: if path == "." { String::new() } else { path },
            problem: e.inner().to_string(),
        }
    })
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    let digits = text.trim_start_matches("0x");
    u64::from_str_radix(digits, 16).map_err(|_| ConfigError::Seed(digits.to_owned()))
}
