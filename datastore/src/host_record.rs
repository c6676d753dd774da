//! A host as it is listed, by discovery or by operators.

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
    /// Where it accepts connections.
    pub endpoint: SocketAddr,
    /// The zone that it is in.
    pub zone: Arc<str>,
    /// Hosts of one zone and cell drop each other's repeated requests.
    pub cell: u32,
    /// The kind of machine.
    pub kind: Arc<str>,
    /// Its capacity; 1 for a usual host.
    pub size: f64,
    /// The build that it runs.
    pub build: BuildId,
    /// When its process started, in Unix seconds; `None`: long ago.
    pub started: Option<f64>,
    /// Whether it takes new requests.
    pub state: HostState,
}

impl HostRecord {
    /// The id that the decisions know it by.
    pub fn id(&self) -> HostId {
        HostId::from_name(&self.name)
    }

    /// The entry as the decisions take it.
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

    /// Whether `new`, under the same id, is another process or at another address.
    pub fn is_replaced_by(&self, new: &HostRecord) -> bool {
        self.endpoint != new.endpoint || self.build != new.build || self.started != new.started
    }

    /// Whether new requests may go to it.
    pub fn is_in_service(&self) -> bool {
        self.state == HostState::Running
    }
}
