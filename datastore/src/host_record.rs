//! The record of a host that discovery or operators list.

use std::net::SocketAddr;
use std::sync::Arc;

use kestreltide::interface::{
    BuildId, CellId, HostEntry, HostId, HostState, MachineKindId, ZoneId,
};

/// A complete entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRecord {
    /// The host's name, unique in the list.
    pub name: Arc<str>,
    /// The address where the host accepts connections.
    pub endpoint: SocketAddr,
    /// The zone of the host.
    pub zone: Arc<str>,
    /// The cell of the host: hosts of one zone and cell share their record of idempotency keys.
    pub cell: u32,
    /// The kind of machine.
    pub kind: Arc<str>,
    /// The capacity of the host; 1 for a standard machine.
    pub size: f64,
    /// The build that the host runs.
    pub build: BuildId,
    /// When the host's process started, in Unix seconds. `None` if it is not known: the host then counts as warm.
    pub started: Option<f64>,
    /// Whether the host takes new requests.
    pub state: HostState,
}

impl HostRecord {
    /// Returns the id by which the decision module knows the host.
    pub fn id(&self) -> HostId {
        HostId::from_name(&self.name)
    }

    /// Returns the entry of the host for the decision module.
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            host: self.id(),
            build: self.build,
            zone: ZoneId::from_name(&self.zone),
            cell: CellId(self.cell),
            kind: MachineKindId::from_name(&self.kind),
            size: self.size,
            started: self.started,
            state: self.state,
        }
    }

    /// Returns whether `new`, a record with the same id, is of another process or another address.
    pub fn is_replaced_by(&self, new: &HostRecord) -> bool {
        self.endpoint != new.endpoint || self.build != new.build || self.started != new.started
    }

    /// Returns whether new requests may go to the host.
    pub fn is_in_service(&self) -> bool {
        self.state == HostState::Running
    }
}
