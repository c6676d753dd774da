//! The structure of the configuration file.
//!
//! serde's error texts, which routers print and log, contain the Rust names of these types. The types therefore keep
//! their names, and the rest of the program imports them under other names.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::protocol::platform::RolloutStateFields;

/// The configuration file.
#[derive(Deserialize)]
pub(super) struct File<'a> {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    pub(super) seed: String,
    pub(super) limits: Sizes,
    pub(super) peer_listen: Option<SocketAddr>,
    // The raw values are parsed later, once the memory budget is known.
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

/// The memory and file descriptors that the process may use.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(in crate::program) struct Sizes {
    /// Memory in MiB.
    pub(in crate::program) memory_mb: usize,
    /// Number of file descriptors.
    pub(in crate::program) sockets: usize,
}

/// The platform's address and last known state.
#[derive(Deserialize)]
pub(in crate::program) struct Platform {
    /// The platform's address.
    pub(in crate::program) address: SocketAddr,
    /// The last known state of the rollout.
    pub(in crate::program) news: Option<RolloutStateFields>,
}
