//! Identifiers of requests, hosts, builds and the other things that the decisions distinguish.

use std::sync::Arc;

/// Identifies a client's request. The adapter chooses the id and never reuses it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// The key that a request reads or changes. Requests with the same key concern the same data.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub Arc<str>);

/// Identifies a host by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u64);

impl HostId {
    /// Returns the id of the host with this name: the 64-bit FNV-1a hash of the name.
    ///
    /// All routers and all threads compute the same id, also after a restart, and need no registry for it.
    pub fn from_name(name: &str) -> Self {
        HostId(fnv1a(name))
    }
}

/// Returns the 64-bit FNV-1a hash of a name.
fn fnv1a(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let add = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    name.bytes().fold(OFFSET_BASIS, add)
}

/// Identifies a build; later builds have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BuildId(pub u16);

/// Identifies a router among those of its service, by its number from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub u32);

/// Identifies an operation by its index in [`ServiceSettings::operations`](super::ServiceSettings::operations).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub usize);

/// Identifies a zone by a hash of its name or by a number that the adapter assigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

impl ZoneId {
    /// Returns the id of the zone with this name, which is hashed as in [`HostId::from_name`].
    pub fn from_name(name: &str) -> Self {
        ZoneId(fnv1a(name))
    }
}

/// Identifies a cell: a group of hosts that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// Identifies a kind of machine by a hash of its name or by a number that the adapter assigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineKindId(pub u64);

impl MachineKindId {
    /// Returns the id of the kind of machine with this name, which is hashed as in [`HostId::from_name`].
    pub fn from_name(name: &str) -> Self {
        MachineKindId(fnv1a(name))
    }
}

/// The number of a committed revision of the operators' settings; 0 before the first commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// The position of an attempt among those of its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Identifies a timer. When the timer expires, the router gets back the key that it scheduled the timer with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerKey(pub u64);
