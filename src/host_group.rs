//! Groups of hosts that are equivalent for a request, and what a request requires of them.

use std::sync::Arc;

use crate::arm::Arm;
use crate::interface::{
    BuildId, CellId, HostEntry, HostId, HostPool, MachineKindId, Revision, ZoneId,
};

/// The properties of a host that a request's requirements refer to. Within a group, hosts differ only in their own
/// state, such as load and health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HostGroup {
    pub(crate) build: BuildId,
    pub(crate) kind: MachineKindId,
    pub(crate) zone: ZoneId,
    /// Set only if the idempotency keys of some operation are known within one cell.
    pub(crate) cell: Option<CellId>,
}

impl HostGroup {
    /// Returns the group of a host. `by_cell` states whether cells matter to any operation.
    pub(crate) fn of(entry: &HostEntry, by_cell: bool) -> Self {
        HostGroup {
            build: entry.build,
            kind: entry.kind,
            zone: entry.zone,
            cell: by_cell.then_some(entry.cell),
        }
    }
}

/// The number of some hosts and the sum of their shares of the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HostSum {
    pub(crate) hosts: usize,
    /// The sum of sizes. Where the hosts are candidates for a request, each size is multiplied by the host's weight and
    /// warm-up fraction.
    pub(crate) share: f64,
}

/// What a request requires of a host.
pub(crate) struct Requirements {
    /// The groups that may serve the request, in ascending order, and the arm of each.
    pub(crate) arms: Vec<(HostGroup, Arm)>,
    /// The hosts that earlier attempts of the request were sent to.
    pub(crate) tried: Vec<HostId>,
    pub(crate) pool: Option<Arc<HostPool>>,
    /// The revision of the operators' settings that the request was admitted under and keeps until it is finished.
    pub(crate) revision: Revision,
}

impl Requirements {
    /// Returns the arm of a group, or `None` if the group may not serve the request.
    pub(crate) fn arm(&self, group: &HostGroup) -> Option<Arm> {
        let index = self.arms.binary_search_by(|(of, _)| of.cmp(group)).ok()?;
        Some(self.arms[index].1)
    }
}
