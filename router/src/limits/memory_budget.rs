//! What of the configured memory is left for the configuration and the endpoint lists.

use kestreltide_datastore::{Maximums, MemorySettings};

use super::{KIB, MIB};

/// The fraction of the memory that connections may use; the rest is the program's own.
const CONNECTIONS_FRACTION: f64 = 0.5;
/// The least memory that is reckoned with, in MiB.
const MIN_MEMORY_MB: usize = 16;
/// Bytes of the program's own part that it uses with nothing listed: most of it pages of the program's file.
const PROGRAM_BYTES: usize = 7 * MIB;
// What each of these takes at most, in bytes, measured (`docs/design/start.md`).
/// A listed host while a list replaces all: the list as received and as parsed, and the router's and the
/// decisions' entries of it, before and after.
const HOST_BYTES: usize = 3 * KIB / 2;
/// What operators configure of a host: in the tree, in a candidate and in the revision before.
const HOST_SET_BYTES: usize = 3 * KIB;
/// A configured route.
const ROUTE_BYTES: usize = 3 * KIB;
/// Each name of an operation, a zone, a kind or a host in a configured route.
const ROUTE_NAME_BYTES: usize = 256;
/// A peer: its address in three places, and what it has sent last of the builds.
const PEER_BYTES: usize = 640;
/// Hosts that are kept however large the memory is.
const MAX_HOSTS: usize = 16 * KIB;

/// The memory that is left for the configuration and the lists, while a configuration is read.
#[derive(Clone, Debug, PartialEq)]
pub struct MemoryBudget {
    memory_mb: usize,
    left_bytes: usize,
}

impl MemoryBudget {
    /// The budget of a router that may use `memory_mb` MiB.
    pub fn new(memory_mb: usize) -> Self {
        let memory = memory_mb.saturating_mul(MIB).max(MIN_MEMORY_MB * MIB);
        MemoryBudget {
            memory_mb,
            left_bytes: memory.saturating_sub(connection_bytes(memory_mb)) - PROGRAM_BYTES,
        }
    }

    /// Reserves `bytes`.
    ///
    /// # Errors
    ///
    /// Where less is left; the error holds how much is.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), MemoryBudgetError> {
        let left = self.left_bytes.checked_sub(bytes);
        self.left_bytes = left.ok_or(MemoryBudgetError {
            maximum: self.left_bytes,
            memory_mb: self.memory_mb,
        })?;
        Ok(())
    }

    /// Reserves memory for so many peers.
    ///
    /// # Errors
    ///
    /// Where it is not left; the error holds how many peers there is memory for.
    pub fn reserve_peers(&mut self, peers: usize) -> Result<(), MemoryBudgetError> {
        self.reserve_each(peers, PEER_BYTES)
    }

    /// Checks that so many hosts can be listed. Nothing is reserved, as lists change.
    ///
    /// # Errors
    ///
    /// Where they cannot; the error holds how many can.
    pub fn check_hosts(&self, hosts: usize) -> Result<(), MemoryBudgetError> {
        self.clone().reserve_each(hosts, HOST_BYTES)
    }

    /// How many hosts are kept at most.
    pub fn max_hosts(&self) -> usize {
        (self.left_bytes / HOST_BYTES).min(MAX_HOSTS)
    }

    /// How much operators may configure.
    pub fn operator_maximums(&self) -> Maximums {
        let memory = MemorySettings {
            maximum: self.left_bytes,
            per_host: HOST_BYTES,
            per_configured_host: HOST_SET_BYTES,
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
            maximum: self.left_bytes / each_bytes,
            memory_mb: self.memory_mb,
        };
        self.reserve(count.saturating_mul(each_bytes))
            .map_err(|_| error)
    }
}

/// More was listed than there is memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudgetError {
    /// What could have been reserved, in bytes or in entries as it was asked for.
    pub maximum: usize,
    /// The memory that the budget was made for, in MiB.
    pub memory_mb: usize,
}

/// The bytes of `memory_mb` MiB that connections may use.
pub(super) fn connection_bytes(memory_mb: usize) -> usize {
    let megabytes = memory_mb.max(MIN_MEMORY_MB) as f64 * CONNECTIONS_FRACTION;
    (megabytes as usize).saturating_mul(MIB)
}
