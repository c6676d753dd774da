//! The configuration file by its names.
//!
//! serde's error texts hold the Rust names of these types, which routers print and log: they are kept as they have
//! been, and exported by the names that the rest of the program uses.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::protocol::platform::RolloutStateFields;

/// The file by its names.
#[derive(Deserialize)]
pub(super) struct File<'a> {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) seed: String,
    pub(super) limits: Sizes,
    pub(super) peer_listen: Option<SocketAddr>,
    // Each of these is parsed once it is known how much memory there is for it.
    #[serde(borrow, default = "no_peers")]
    pub(super) peers: &'a RawValue,
    pub(super) peers_all: Option<SocketAddr>,
    pub(super) platform: Option<Platform>,
    #[serde(borrow)]
    pub(super) known: Option<&'a RawValue>,
    #[serde(borrow)]
    pub(super) settings: &'a RawValue,
}

fn no_peers() -> &'static RawValue {
    serde_json::from_str("[]").unwrap_or(RawValue::NULL)
}

/// What the process may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(in crate::program) struct Sizes {
    /// Memory in MiB.
    pub(in crate::program) memory_mb: usize,
    /// File descriptors.
    pub(in crate::program) sockets: usize,
}

/// Where the platform is.
#[derive(Deserialize)]
pub(in crate::program) struct Platform {
    /// The platform's address.
    pub(in crate::program) address: SocketAddr,
    /// The state of the rollout as last known.
    pub(in crate::program) news: Option<RolloutStateFields>,
}
