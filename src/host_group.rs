//! Groups of hosts that a request cannot tell apart, and what a request requires of them.

use std::sync::Arc;

use crate::arm::Arm;
use crate::interface::{
    BuildId, CellId, HostEntry, HostId, HostPool, MachineKindId, Revision, ZoneId,
};

/// What a request's conditions go by; hosts of one group differ for it only in their own state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HostGroup {
    pub(crate) build: BuildId,
    pub(crate) kind: MachineKindId,
    pub(crate) zone: ZoneId,
    /// Given only where some operation's idempotency keys are known to one cell.
    pub(crate) cell: Option<CellId>,
}

impl HostGroup {
    /// The group of a host; `by_cell` tells whether cells matter to any operation.
    pub(crate) fn of(entry: &HostEntry, by_cell: bool) -> Self {
        HostGroup {
            build: entry.build,
            kind: entry.kind,
            zone: entry.zone,
            cell: by_cell.then_some(entry.cell),
        }
    }
}

/// The number of some hosts and the sum of their shares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HostSum {
    pub(crate) hosts: usize,
    /// Size, times weight and warm-up fraction where the sum is of candidates.
    pub(crate) share: f64,
}

/// What a request requires of a host.
pub(crate) struct Requirements {
    /// The groups that may serve it, in ascending order, and the arm of each.
    pub(crate) arms: Vec<(HostGroup, Arm)>,
    /// Hosts that it has been sent to.
    pub(crate) tried: Vec<HostId>,
    pub(crate) pool: Option<Arc<HostPool>>,
    /// The operators' revision that it is finished under.
    pub(crate) revision: Revision,
}

impl Requirements {
    /// The arm of a group; none where the group may not serve the request.
    pub(crate) fn arm(&self, group: &HostGroup) -> Option<Arm> {
        let place = self.arms.binary_search_by(|(of, _)| of.cmp(group)).ok()?;
        Some(self.arms[place].1)
    }
}
