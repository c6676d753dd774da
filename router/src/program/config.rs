//! The configuration file and the environment.

use std::env;
use std::fs::File as OnDisk;
use std::io::Read;
use std::net::SocketAddr;

use kestreltide::interface::ServiceSettings;
use kestreltide_settings::{Fields, NameTable, TransportSettings, decode};
use serde::Deserialize;
use serde::de::DeserializeSeed;
use serde_json::Value;
use serde_json::value::RawValue;
use serde_path_to_error::Track;

use crate::limits::{Limits, MemoryBudget, MemoryBudgetError};
use crate::protocol::discovery::{self, EndpointList};
use crate::protocol::platform::RolloutStateFields;

use super::unique::Unique;

#[derive(Deserialize)]
struct File<'a> {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Sizes,
    peer_listen: Option<SocketAddr>,
    // Each of these is read once it is known how much memory there is for it.
    #[serde(borrow, default = "no_peers")]
    peers: &'a RawValue,
    peers_all: Option<SocketAddr>,
    platform: Option<Platform>,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

fn no_peers() -> &'static RawValue {
    serde_json::from_str("[]").unwrap_or(RawValue::NULL)
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Sizes {
    pub memory_mb: usize,
    pub sockets: usize,
}

#[derive(Deserialize)]
pub struct Platform {
    pub address: SocketAddr,
    pub news: Option<RolloutStateFields>,
}

/// All that a router is told at start.
pub struct Told<'a> {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Sizes,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub platform: Option<Platform>,
    pub known: Option<EndpointList<'a>>,
    pub terms: ServiceSettings,
    pub transport: TransportSettings,
    /// What memory is left for the hosts that are listed.
    pub budget: MemoryBudget,
}

pub fn load(path: Option<String>) -> Result<String, String> {
    let path = path.or_else(|| env::var("PROXY_CONFIG").ok());
    let path = path.ok_or("no configuration: neither --config nor PROXY_CONFIG names a file")?;
    let unread = |why: String| format!("{path} cannot be read: {why}");
    let file = OnDisk::open(&path).map_err(|e| unread(e.to_string()))?;
    // Neither a pipe without end nor a file beyond all sense may hold up a router that serves.
    let found = file.metadata().map_err(|e| unread(e.to_string()))?;
    if !found.is_file() {
        return Err(unread("it is no file".into()));
    }
    if found.len() > Limits::FILE as u64 {
        return Err(unread(format!(
            "it is too long ({} bytes; {} at most)",
            found.len(),
            Limits::FILE
        )));
    }
    let mut text = String::new();
    file.take(Limits::FILE as u64)
        .read_to_string(&mut text)
        .map_err(|e| unread(e.to_string()))?;
    Ok(text)
}

/// When a configuration is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    Start,
    /// While running, with this memory: the environment tells only where discovery was at start.
    Again {
        memory_mb: usize,
    },
}

/// The environment goes before the file where both say something.
fn address(variable: &str, told: SocketAddr) -> Result<SocketAddr, String> {
    match env::var(variable) {
        Ok(text) => text
            .parse()
            .map_err(|_| format!("{variable}={text} is no address and port")),
        Err(_) => Ok(told),
    }
}

pub fn read(text: &str, when: When) -> Result<Told<'_>, String> {
    let reader = &mut serde_json::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(reader).map_err(|e| {
        let (path, why) = (e.path().to_string(), e.inner());
        if path == "." {
            why.to_string()
        } else {
            format!("{path}: {why}")
        }
    })?;
    let seed = file.seed.trim_start_matches("0x");
    let seed = u64::from_str_radix(seed, 16)
        .map_err(|_| format!("seed: {seed} is no hexadecimal number"))?;
    if file.limits.sockets == 0 || file.limits.memory_mb == 0 {
        return Err("limits: sockets and memory_mb must be more than 0".into());
    }
    let memory_mb = match when {
        When::Start => file.limits.memory_mb,
        When::Again { memory_mb } => memory_mb.min(file.limits.memory_mb),
    };
    let mut budget = MemoryBudget::new(memory_mb);
    budget
        .reserve(text.len())
        .map_err(|error| borne("the configuration", text.len(), "bytes", &error))?;
    let peers = peers(file.peers, &mut budget)?;
    let settings = settings(file.settings, &mut budget)?;
    let settings = decode(
        &Fields::from_json("settings", &settings),
        &mut NameTable::Hashed,
    )?;
    let known = file
        .known
        .map(|known| known_hosts(known, &budget))
        .transpose()?;
    Ok(Told {
        name: env::var("PROXY_NAME").unwrap_or(file.name),
        listen: address("PROXY_LISTEN", file.listen)?,
        discovery: match when {
            When::Start => address("PROXY_DISCOVERY", file.discovery)?,
            When::Again { .. } => file.discovery,
        },
        seed,
        limits: file.limits,
        peer_listen: file.peer_listen,
        peers,
        peers_all: file.peers_all,
        platform: file.platform,
        known,
        terms: settings.service,
        transport: settings.transport,
        budget,
    })
}

/// The error of a field that lists more than memory bears.
fn borne(field: &str, count: usize, what: &str, error: &MemoryBudgetError) -> String {
    let MemoryBudgetError { maximum, memory_mb } = error;
    format!(
        "{field}: more than memory bears ({count} {what}; {maximum} at most where limits.memory_mb is {memory_mb})"
    )
}

fn peers(raw: &RawValue, budget: &mut MemoryBudget) -> Result<Vec<SocketAddr>, String> {
    let text = raw.get();
    // No address holds a comma: they are counted before memory is reserved for them.
    let count = if text.contains('"') {
        text.matches(',').count() + 1
    } else {
        0
    };
    budget
        .reserve_peers(count)
        .map_err(|error| borne("peers", count, "addresses", &error))?;
    let reader = &mut serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(reader)
        .map_err(|error| at("peers", &error.path().to_string(), error.inner()))
}

fn settings(raw: &RawValue, budget: &mut MemoryBudget) -> Result<Value, String> {
    let (reader, mut track) = (
        &mut serde_json::Deserializer::from_str(raw.get()),
        Track::new(),
    );
    let read =
        Unique { budget }.deserialize(serde_path_to_error::Deserializer::new(reader, &mut track));
    read.map_err(|error| at("settings", &track.path().to_string(), &error))
}

fn known_hosts<'a>(raw: &'a RawValue, budget: &MemoryBudget) -> Result<EndpointList<'a>, String> {
    let list = discovery::parse_list(raw.get().as_bytes()).map_err(|error| {
        let dot = if error.path.is_empty() { "" } else { "." };
        format!("known{dot}{}: {}", error.path, unplaced(&error.reason))
    })?;
    let (field, count) = ("known.targets", list.targets.len());
    budget
        .check_hosts(count)
        .map_err(|error| borne(field, count, "hosts", &error))?;
    if count > budget.max_hosts() {
        return Err(format!(
            "{field}: more than a router keeps ({count} hosts; {} at most)",
            budget.max_hosts()
        ));
    }
    Ok(list)
}

/// An error in a part of the file, by its path.
fn at(field: &str, path: &str, error: &serde_json::Error) -> String {
    let dot = if path.starts_with('[') { "" } else { "." };
    let path = if path == "." {
        String::new()
    } else {
        format!("{dot}{path}")
    };
    format!("{field}{path}: {}", unplaced(&error.to_string()))
}

/// Without the line and column, which would be those of the part.
fn unplaced(why: &str) -> &str {
    why.split_once(" at line ").map_or(why, |(why, _)| why)
}

/// What cannot change while the program runs.
pub struct Fixed {
    name: String,
    listen: SocketAddr,
    limits: Sizes,
    peer_listen: Option<SocketAddr>,
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    platform: bool,
    terms: ServiceSettings,
    transport: TransportSettings,
}

impl Fixed {
    pub fn memory_mb(&self) -> usize {
        self.limits.memory_mb
    }

    pub fn of(told: &Told) -> Self {
        Fixed {
            name: told.name.clone(),
            listen: told.listen,
            limits: told.limits.clone(),
            peer_listen: told.peer_listen,
            peers: told.peers.clone(),
            peers_all: told.peers_all,
            platform: told.platform.is_some(),
            terms: told.terms.clone(),
            transport: told.transport.clone(),
        }
    }

    /// The fields that a configuration read again would have to change.
    pub fn check(&self, told: &Told) -> Result<(), String> {
        let same = [
            ("name", self.name == told.name),
            ("listen", self.listen == told.listen),
            ("limits", self.limits == told.limits),
            ("peer_listen", self.peer_listen == told.peer_listen),
            ("peers", self.peers == told.peers),
            ("peers_all", self.peers_all == told.peers_all),
            ("platform", self.platform == told.platform.is_some()),
            (
                "settings",
                self.terms == told.terms && self.transport == told.transport,
            ),
        ];
        let changed: Vec<_> = same
            .iter()
            .filter(|(_, same)| !same)
            .map(|(field, _)| *field)
            .collect();
        if changed.is_empty() {
            Ok(())
        } else {
            Err(format!("{}: only a restart changes it", changed.join(", ")))
        }
    }
}
