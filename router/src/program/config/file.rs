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
    /// The router's name; `$PROXY_NAME` takes precedence.
    pub(super) name: String,
    /// The address that clients connect to; `$PROXY_LISTEN` takes precedence.
    pub(super) listen: SocketAddr,
    /// The address of discovery; `$PROXY_DISCOVERY` takes precedence at the start.
    pub(super) discovery: SocketAddr,
    /// The seed of the random number generator, in hexadecimal.
    pub(super) seed: String,
    /// The resources that the process may use.
    pub(super) limits: Sizes,
    /// The address on which gossip is received; none is received without it.
    pub(super) peer_listen: Option<SocketAddr>,
    /// The gossip addresses of the routers, by router number. Like the other raw values, parsed once the memory budget
    /// is known.
    #[serde(borrow, default = "no_peers")]
    pub(super) peers: &'a RawValue,
    /// An address that reaches all other routers, such as a broadcast address; no gossip is broadcast without it.
    pub(super) peers_all: Option<SocketAddr>,
    /// The platform; no rollout status is received without it.
    pub(super) platform: Option<Platform>,
    /// An endpoint list of discovery, which the router uses from its start until discovery sends a newer one.
    #[serde(borrow)]
    pub(super) known: Option<&'a RawValue>,
    /// The settings of the decisions and of the transport.
    #[serde(borrow)]
    pub(super) settings: &'a RawValue,
}

fn no_peers() -> &'static RawValue {
    serde_json::from_str("[]").unwrap_or(RawValue::NULL)
}

/// The resources that the process may use; the rest of the program calls them `ResourceLimits`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(in crate::program) struct Sizes {
    /// Maximum memory in MiB.
    pub(in crate::program) memory_mb: usize,
    /// Maximum number of file descriptors.
    pub(in crate::program) sockets: usize,
}

/// The address of the platform, and the state of the rollout to start with.
#[derive(Deserialize)]
pub(in crate::program) struct Platform {
    /// The platform's address.
    pub(in crate::program) address: SocketAddr,
    /// The state of the rollout, which the router uses from its start until the platform sends a newer one.
    pub(in crate::program) news: Option<RolloutStateFields>,
}
