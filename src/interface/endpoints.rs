//! The endpoint list and its entries, pools of hosts, and hosts' load reports.

use super::ids::{BuildId, CellId, HostId, MachineKindId, ZoneId};

/// The state of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// The host accepts requests.
    Running,
    /// The host is draining.
    Stopping,
    /// The host has been removed from the service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    /// The id of the host.
    pub host: HostId,
    /// The build that the host runs.
    pub build: BuildId,
    /// The zone that the host is in.
    pub zone: ZoneId,
    /// The cell that the host belongs to.
    pub cell: CellId,
    /// The kind of machine that the host runs on.
    pub kind: MachineKindId,
    /// The host's capacity relative to a standard machine, whose size is 1.
    pub size: f64,
    /// The point in time at which the host's process started, in seconds; `None` if that was too long ago to matter.
    pub started: Option<f64>,
    /// Whether the host accepts requests.
    pub state: HostState,
}

impl HostEntry {
    /// Whether both entries describe the same process. A host id can be reused by a process with another build or
    /// start time.
    pub fn same_process(&self, other: &HostEntry) -> bool {
        self.build == other.build && self.started == other.started
    }
}

/// The hosts that a route's requests may use. Each non-empty list is a condition that a host must meet; an empty list
/// allows any host. A pool only restricts which hosts the decisions choose from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostPool {
    /// The allowed zones.
    pub zones: Vec<ZoneId>,
    /// The allowed kinds of machine.
    pub kinds: Vec<MachineKindId>,
    /// The allowed hosts.
    pub hosts: Vec<HostId>,
}

impl HostPool {
    /// Whether this host is in the pool.
    pub fn contains(&self, host: &HostEntry) -> bool {
        let is_listed = self.hosts.is_empty() || self.hosts.contains(&host.host);
        is_listed && self.may_contain(host.zone, host.kind)
    }

    /// Whether the pool allows hosts of this zone and kind of machine, regardless of its list of hosts.
    pub fn may_contain(&self, zone: ZoneId, kind: MachineKindId) -> bool {
        let in_zone = self.zones.is_empty() || self.zones.contains(&zone);
        in_zone && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }
}

/// Which entries an endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the entries that have changed.
    Delta,
    /// All entries; a host that is not listed has left.
    Full,
    /// All entries as this router last stored them; they may be out of date.
    Cached,
}

/// The load that a host reports on itself. A value that the host did not send is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests in flight.
    pub in_flight: Option<f64>,
    /// The number of requests waiting in the host's queue.
    pub queued: Option<f64>,
    /// The fraction of the host's capacity that is busy.
    pub busy: Option<f64>,
    /// The time that the host takes to serve a request, in seconds.
    pub service_time: Option<f64>,
}
