//! Identifiers: of requests, hosts, builds and what else the decisions tell apart.

use std::sync::Arc;

/// Identifies a client's request, as its carrier names it; never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// Identifies what a request concerns; requests that share a key belong together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub Arc<str>);

/// Identifies a host by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u64);

impl HostId {
    /// Returns the id of the host with this name (FNV-1a, 64 bits).
    ///
    /// It is the same at every router, in every thread and after every start, and needs no registry.
    pub fn from_name(name: &str) -> Self {
        HostId(fnv1a(name))
    }
}

/// Hashes a name by FNV-1a, 64 bits.
fn fnv1a(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let add = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    name.bytes().fold(OFFSET_BASIS, add)
}

/// Identifies a build; a later build has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BuildId(pub u16);

/// Identifies a router of this service, by its number among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub u32);

/// Identifies an operation by its place in [`ServiceSettings::operations`](super::ServiceSettings::operations).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub usize);

/// Identifies a zone by a hash of its name or by a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

impl ZoneId {
    /// Returns the id of the zone with this name, hashed as by [`HostId::from_name`].
    pub fn from_name(name: &str) -> Self {
        ZoneId(fnv1a(name))
    }
}

/// Identifies a cell: a group of hosts that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// Identifies a kind of machine by a hash of its name or by a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineKindId(pub u64);

impl MachineKindId {
    /// Returns the id of the kind with this name, hashed as by [`HostId::from_name`].
    pub fn from_name(name: &str) -> Self {
        MachineKindId(fnv1a(name))
    }
}

/// Numbers a committed revision of the operators' settings; 0 before there was any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// The place of an attempt among those of its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Identifies a timer: a router gets back the key that it scheduled the timer with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerKey(pub u64);
