//! The configuration file and the environment.

use std::env;
use std::fs::File as OnDisk;
use std::io::Read;
use std::net::SocketAddr;

use kestreltide::interface::ServiceTerms;
use kestreltide_terms::{Fields, Names, TransportTerms, decode};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::limits::Limits;
use crate::protocol::Malformed;
use crate::protocol::discovery::{self, List};
use crate::protocol::platform::StateForm;

use super::unique::Unique;

#[derive(Deserialize)]
struct File<'a> {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Sizes,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    platform: Option<Platform>,
    #[serde(borrow)]
    known: Option<&'a RawValue>,
    settings: Unique,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Sizes {
    pub memory_mb: usize,
    pub sockets: usize,
}

#[derive(Deserialize)]
pub struct Platform {
    pub address: SocketAddr,
    pub news: Option<StateForm>,
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
    pub known: Option<List<'a>>,
    pub terms: ServiceTerms,
    pub transport: TransportTerms,
}

pub fn load(path: Option<String>) -> Result<String, String> {
    let path = path.or_else(|| env::var("PROXY_CONFIG").ok());
    let path = path.ok_or("no configuration: neither --config nor PROXY_CONFIG names a file")?;
    let unread = |why: String| format!("{path} cannot be read: {why}");
    let file = OnDisk::open(&path).map_err(|e| unread(e.to_string()))?;
    // Neither a pipe without end nor a file beyond all sense may hold up a router that serves.
    if !file.metadata().is_ok_and(|what| what.is_file() && what.len() <= Limits::FILE as u64) {
        return Err(unread("it is no file, or far too long".into()));
    }
    let mut text = String::new();
    file.take(Limits::FILE as u64).read_to_string(&mut text).map_err(|e| unread(e.to_string()))?;
    Ok(text)
}

/// When a configuration is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    Start,
    /// While running: the environment tells only where discovery was at start.
    Again,
}

/// The environment goes before the file where both say something.
fn address(variable: &str, told: SocketAddr) -> Result<SocketAddr, String> {
    match env::var(variable) {
        Ok(text) => text.parse().map_err(|_| format!("{variable}={text} is no address and port")),
        Err(_) => Ok(told),
    }
}

pub fn read(text: &str, when: When) -> Result<Told<'_>, String> {
    let reader = &mut serde_json::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(reader).map_err(|e| {
        let (path, why) = (e.path().to_string(), e.inner());
        if path == "." { why.to_string() } else { format!("{path}: {why}") }
    })?;
    let seed = file.seed.trim_start_matches("0x");
    let seed = u64::from_str_radix(seed, 16).map_err(|_| format!("seed: {seed} is no hexadecimal number"))?;
    let mut names = Names::Named;
    let (terms, transport) = decode(&Fields::from_json("settings", &file.settings.0), &mut names)?;
    let known = file.known.map(|known| discovery::list(known.get().as_bytes())).transpose();
    let known = known.map_err(|e| format!("known: {}", Malformed::from(e)))?;
    if file.limits.sockets == 0 || file.limits.memory_mb == 0 {
        return Err("limits: sockets and memory_mb must be more than 0".into());
    }
    Ok(Told {
        name: env::var("PROXY_NAME").unwrap_or(file.name),
        listen: address("PROXY_LISTEN", file.listen)?,
        discovery: match when {
            When::Start => address("PROXY_DISCOVERY", file.discovery)?,
            When::Again => file.discovery,
        },
        seed,
        limits: file.limits,
        peer_listen: file.peer_listen,
        peers: file.peers,
        peers_all: file.peers_all,
        platform: file.platform,
        known,
        terms,
        transport,
    })
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
    terms: ServiceTerms,
    transport: TransportTerms,
}

impl Fixed {
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
            ("settings", self.terms == told.terms && self.transport == told.transport),
        ];
        let changed: Vec<_> = same.iter().filter(|(_, same)| !same).map(|(field, _)| *field).collect();
        if changed.is_empty() {
            Ok(())
        } else {
            Err(format!("{}: only a restart changes it", changed.join(", ")))
        }
    }
}
