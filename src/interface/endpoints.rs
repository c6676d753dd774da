//! The endpoint list: its entries, and pools of hosts.

use super::ids::{BuildId, CellId, HostId, MachineKindId, ZoneId};

/// The state of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It takes requests.
    Running,
    /// It is draining.
    Stopping,
    /// It has left.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// The build that it runs.
    pub build: BuildId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind of machine.
    pub kind: MachineKindId,
    /// Its capacity, 1 being a standard machine.
    pub size: f64,
    /// When it last started; `None` is long ago.
    pub started: Option<f64>,
    /// Whether it takes requests.
    pub state: HostState,
}

impl HostEntry {
    /// Whether both entries are of one process: an id may come back with another start or build.
    pub fn same_process(&self, other: &HostEntry) -> bool {
        self.build == other.build && self.started == other.started
    }
}

/// The hosts that a route's requests may use; an empty list is no condition. It narrows and never widens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostPool {
    /// The zones of its hosts.
    pub zones: Vec<ZoneId>,
    /// The kinds of its hosts.
    pub kinds: Vec<MachineKindId>,
    /// Its hosts, where they are named one by one.
    pub hosts: Vec<HostId>,
}

impl HostPool {
    /// Whether this host is in the pool.
    pub fn contains(&self, host: &HostEntry) -> bool {
        let named = self.hosts.is_empty() || self.hosts.contains(&host.host);
        named && self.may_contain(host.zone, host.kind)
    }

    /// Whether hosts of this zone and kind may be in the pool.
    pub fn may_contain(&self, zone: ZoneId, kind: MachineKindId) -> bool {
        let in_zone = self.zones.is_empty() || self.zones.contains(&zone);
        in_zone && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }
}

/// What an endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the changed entries.
    Delta,
    /// The full list.
    Full,
    /// The full list as this router had it last; it may be old.
    Cached,
}

/// A host's report on its own load, as far as it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests that wait in its queue.
    pub queued: Option<f64>,
    /// The fraction of its capacity that is busy.
    pub busy: Option<f64>,
    /// The time that a request takes, in seconds.
    pub service_time: Option<f64>,
}
