//! The budget of the configured memory for the configuration and the endpoint lists.

use kestreltide_datastore::{Maximums, MemorySettings};

use super::{KIB, MIB};
use crate::transport::{BufferLimits, CHUNK_BYTES};

/// The fraction of the memory that connections may use; the program uses the rest.
const CONNECTIONS_FRACTION: f64 = 0.5;
/// The smallest memory that limits are computed for, in MiB; a smaller setting counts as this.
const MIN_MEMORY_MB: usize = 16;
/// Bytes that the program uses with an empty configuration, most of them pages of the executable.
const PROGRAM_BYTES: usize = 7 * MIB;
// The most memory that an item of each kind takes (see `docs/design/start.md`).
/// Bytes of a listed host while a new list replaces the whole previous one: the received list, the parsed list, and
/// the router's and the decisions' old and new entries.
const HOST_BYTES: usize = 3 * KIB / 2;
/// Bytes of what operators configure for a host: in the tree, in a candidate and in the previous revision.
const CONFIGURED_HOST_BYTES: usize = 3 * KIB;
/// Bytes of a configured route, without its names.
const ROUTE_BYTES: usize = 3 * KIB;
/// Bytes of each name of an operation, a zone, a machine kind or a host in a configured route.
const ROUTE_NAME_BYTES: usize = 256;
/// Bytes of a peer: its address, which is stored in three places, and its last gossip about the builds.
const PEER_BYTES: usize = 640;
/// Bytes of a connection: its own state, and the first chunk of one buffer.
const CONNECTION_BYTES: usize = CHUNK_BYTES + KIB;
/// The fraction of the connections' memory that their own state and first chunks may use.
const CONNECTION_STATE_FRACTION: f64 = 0.5;
/// The fraction of the buffers' memory that the input of clients may use.
const CLIENT_INPUT_FRACTION: f64 = 0.25;
/// The fraction that the commands of admitted requests may use.
const COMMANDS_FRACTION: f64 = 0.3;
/// The fraction that unread replies may use. What the three leave is always free for responses of hosts.
const REPLIES_FRACTION: f64 = 0.25;
/// The most hosts that are kept, regardless of the memory.
const MAX_HOSTS: usize = 16 * KIB;

/// The memory that is left for the configuration and the endpoint lists. Reading a configuration reserves from it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemoryBudget {
    memory_mb: usize,
    remaining_bytes: usize,
}

impl MemoryBudget {
    /// The budget of a router that may use `memory_mb` MiB.
    pub fn new(memory_mb: usize) -> Self {
        let memory = memory_mb.saturating_mul(MIB).max(MIN_MEMORY_MB * MIB);
        MemoryBudget {
            memory_mb,
            remaining_bytes: memory.saturating_sub(connection_bytes(memory_mb)) - PROGRAM_BYTES,
        }
    }

    /// Reserves `bytes`.
    ///
    /// # Errors
    ///
    /// If less is left; the error holds how many bytes are.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), MemoryBudgetError> {
        let left = self.remaining_bytes.checked_sub(bytes);
        self.remaining_bytes = left.ok_or(MemoryBudgetError {
            maximum: self.remaining_bytes,
            memory_mb: self.memory_mb,
        })?;
        Ok(())
    }

    /// Reserves memory for `peers` peers.
    ///
    /// # Errors
    ///
    /// If less is left; the error holds how many peers there is memory for.
    pub fn reserve_peers(&mut self, peers: usize) -> Result<(), MemoryBudgetError> {
        self.reserve_each(peers, PEER_BYTES)
    }

    /// Checks that there is memory for `hosts` listed hosts. Nothing is reserved, since lists change.
    ///
    /// # Errors
    ///
    /// If less is left; the error holds how many hosts there is memory for.
    pub fn check_hosts(&self, hosts: usize) -> Result<(), MemoryBudgetError> {
        self.clone().reserve_each(hosts, HOST_BYTES)
    }

    /// The most hosts that the router keeps.
    pub fn max_hosts(&self) -> usize {
        (self.remaining_bytes / HOST_BYTES).min(MAX_HOSTS)
    }

    /// The most that operators may configure.
    pub fn operator_maximums(&self) -> Maximums {
        let memory = MemorySettings {
            maximum: self.remaining_bytes,
            per_host: HOST_BYTES,
            per_configured_host: CONFIGURED_HOST_BYTES,
            per_route: ROUTE_BYTES,
            per_route_name: ROUTE_NAME_BYTES,
        };
        Maximums {
            memory,
            ..Maximums::default()
        }
    }

    fn reserve_each(&mut self, count: usize, each_bytes: usize) -> Result<(), MemoryBudgetError> {
        let error = MemoryBudgetError {
            maximum: self.remaining_bytes / each_bytes,
            memory_mb: self.memory_mb,
        };
        self.reserve(count.saturating_mul(each_bytes))
            .map_err(|_| error)
    }
}

/// The configuration exceeds the memory budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudgetError {
    /// The most that could have been reserved, in the unit of the request: bytes, peers or hosts.
    pub maximum: usize,
    /// The configured memory of the router, in MiB.
    pub memory_mb: usize,
}

/// The part of `memory_mb` MiB that connections may use, in bytes.
pub(super) fn connection_bytes(memory_mb: usize) -> usize {
    let megabytes = memory_mb.max(MIN_MEMORY_MB) as f64 * CONNECTIONS_FRACTION;
    (megabytes as usize).saturating_mul(MIB)
}

/// The most connections to clients and hosts that this part of the memory is enough for.
pub(super) fn max_connections(connection_bytes: usize) -> usize {
    (connection_bytes as f64 * CONNECTION_STATE_FRACTION) as usize / CONNECTION_BYTES
}

/// The limits of the buffers of so many connections.
pub(super) fn buffer_limits(connection_bytes: usize, connections: usize) -> BufferLimits {
    let total = connection_bytes.saturating_sub(connections * CONNECTION_BYTES);
    let part = |fraction: f64| (total as f64 * fraction) as usize;
    BufferLimits {
        total,
        client_input: part(CLIENT_INPUT_FRACTION),
        commands: part(COMMANDS_FRACTION),
        replies: part(REPLIES_FRACTION),
    }
}
