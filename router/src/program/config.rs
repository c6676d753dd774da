//! The configuration of a router, read from the configuration file and environment variables.

mod error;
mod file;
mod parts;
mod startup_only;

use std::env;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;

use kestreltide::decisions::STICKY_BUILDS_BYTES;
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
    /// The address that clients connect to.
    pub(super) listen: SocketAddr,
    /// The address of discovery.
    pub(super) discovery: SocketAddr,
    /// The seed of the random number generator.
    pub(super) seed: u64,
    /// The memory and file descriptors that the process may use.
    pub(super) limits: ResourceLimits,
    /// The address on which gossip is received; no gossip is received if `None`.
    pub(super) peer_listen: Option<SocketAddr>,
    /// The gossip addresses of the routers, by router number.
    pub(super) peers: Vec<SocketAddr>,
    /// An address that reaches all other routers; no gossip is broadcast if `None`.
    pub(super) peers_all: Option<SocketAddr>,
    /// The platform's address and last known state; `None` without a platform.
    pub(super) platform: Option<PlatformSettings>,
    /// The last known endpoint list.
    pub(super) known: Option<EndpointList<'a>>,
    /// The settings of the decisions.
    pub(super) service: ServiceSettings,
    /// The settings of the transport.
    pub(super) transport: TransportSettings,
    /// The memory that is left for endpoint lists.
    pub(super) budget: MemoryBudget,
}

impl ProgramConfiguration<'_> {
    /// The limits that follow from this configuration.
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

/// Reads the text of the file at `path` or else at `$PROXY_CONFIG`.
///
/// # Errors
///
/// If neither names a file, or the file cannot be read, is not a regular file or is too long.
pub(super) fn load(path: Option<String>) -> Result<String, ConfigError> {
    let path = path.or_else(|| env::var("PROXY_CONFIG").ok());
    let path = path.ok_or(ConfigError::NotNamed)?;
    read_file(&path).map_err(|problem| ConfigError::Unreadable { path, problem })
}

fn read_file(path: &str) -> Result<String, String> {
    let file = File::open(path).map_err(|e| e.to_string())?;
    // Reading an endless pipe or an oversized file would block a serving router on a reload.
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

/// Whether a configuration is read at the start or on a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// At the start of the program.
    Start,
    /// While the program runs. `$PROXY_DISCOVERY` is ignored then, since the file may name a new address of discovery.
    Reload {
        /// The memory that the program was started with, in MiB.
        memory_mb: usize,
    },
}

/// The address in an environment variable, which takes precedence over the one in the file.
fn address(variable: &'static str, file_value: SocketAddr) -> Result<SocketAddr, ConfigError> {
    match env::var(variable) {
        Ok(text) => text
            .parse()
            .map_err(|_| ConfigError::NotAnAddress { variable, text }),
        Err(_) => Ok(file_value),
    }
}

/// Parses the text of a configuration file.
///
/// # Errors
///
/// The first value that is missing, malformed or exceeds the memory budget.
pub(super) fn read(text: &str, mode: ReadMode) -> Result<ProgramConfiguration<'_>, ConfigError> {
    let file = parse_file(text)?;
    let seed = parse_seed(&file.seed)?;
    if file.limits.sockets == 0 || file.limits.memory_mb == 0 {
        return Err(ConfigError::ZeroLimit);
    }
    let mut budget = MemoryBudget::new(match mode {
        ReadMode::Start => file.limits.memory_mb,
        ReadMode::Reload { memory_mb } => memory_mb.min(file.limits.memory_mb),
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
    if settings.service.sticky_keys {
        budget
            .reserve(STICKY_BUILDS_BYTES)
            .map_err(|budget| ConfigError::TooMuchMemory {
                field: "settings.extra.no_return",
                count: STICKY_BUILDS_BYTES,
                unit: MemoryUnit::Bytes,
                budget,
            })?;
    }
    let known = file
        .known
        .map(|known| parts::known_hosts(known, &budget))
        .transpose()?;
    Ok(ProgramConfiguration {
        name: env::var("PROXY_NAME").unwrap_or(file.name),
        listen: address("PROXY_LISTEN", file.listen)?,
        discovery: match mode {
            ReadMode::Start => address("PROXY_DISCOVERY", file.discovery)?,
            ReadMode::Reload { .. } => file.discovery,
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
