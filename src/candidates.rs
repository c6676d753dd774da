//! The hosts that a request may go to. Hosts that stand out are listed one by one; all others are counted by arm,
//! as the index keeps them. Records only: which host may be chosen, and in which tier, is decided in `decisions`.

use std::sync::Arc;

use crate::host_index::Group;
use crate::interface::{HostId, Pool, Revision};

/// What a request asks of a host.
pub(crate) struct Requirements {
    /// The groups that are for it, in their order, and the arm of each.
    pub(crate) arms: Vec<(Group, usize)>,
    /// Hosts that it has been sent to.
    pub(crate) tried: Vec<HostId>,
    pub(crate) pool: Option<Arc<Pool>>,
    /// What operators had set when it came.
    pub(crate) revision: Revision,
}

impl Requirements {
    pub(crate) fn arm(&self, group: &Group) -> Option<usize> {
        let place = self.arms.binary_search_by(|(of, _)| of.cmp(group)).ok()?;
        Some(self.arms[place].1)
    }
}

/// One host that a request may go to.
pub(crate) struct Candidate {
    pub(crate) host: HostId,
    pub(crate) arm: usize,
    /// Hosts of a lower tier go first.
    pub(crate) tier: u8,
    /// Size times weight times warmth.
    pub(crate) share: f64,
    pub(crate) warming_up: bool,
    pub(crate) weight: f64,
}

/// How many hosts there are, and the sum of their shares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Sum {
    pub(crate) hosts: usize,
    pub(crate) share: f64,
}

/// All hosts that a request may go to.
pub(crate) struct Candidates {
    /// In the order of their ids where all hosts are listed.
    pub(crate) listed: Vec<Candidate>,
    /// By arm, those of the lowest tier that are only counted.
    pub(crate) counted: [Sum; 2],
    /// Whether hosts that are warming up are among them.
    pub(crate) with_warming_up: bool,
}

impl Candidates {
    /// The lowest tier that has a host.
    pub(crate) fn lowest_tier(&self) -> Option<u8> {
        let counted = self.counted.iter().any(|sum| sum.hosts > 0).then_some(0);
        self.listed
            .iter()
            .map(|candidate| candidate.tier)
            .chain(counted)
            .min()
    }

    /// Those of one arm and tier that are listed.
    pub(crate) fn listed(&self, arm: usize, tier: u8) -> impl Iterator<Item = &Candidate> {
        self.listed
            .iter()
            .filter(move |candidate| candidate.arm == arm && candidate.tier == tier)
    }

    /// Those of one arm and tier that are only counted.
    pub(crate) fn counted(&self, arm: usize, tier: u8) -> Sum {
        if tier == 0 {
            self.counted[arm]
        } else {
            Sum::default()
        }
    }

    pub(crate) fn sum(&self, arm: usize, tier: u8) -> Sum {
        let add = |sum: Sum, of: &Candidate| Sum {
            hosts: sum.hosts + 1,
            share: sum.share + of.share,
        };
        let listed = self.listed(arm, tier).fold(Sum::default(), add);
        let counted = self.counted(arm, tier);
        Sum {
            hosts: counted.hosts + listed.hosts,
            share: counted.share + listed.share,
        }
    }

    /// The share of all hosts of a tier, of both arms.
    pub(crate) fn share(&self, tier: u8) -> f64 {
        let listed = self
            .listed
            .iter()
            .filter(|candidate| candidate.tier == tier);
        let counted: f64 = [0, 1].map(|arm| self.counted(arm, tier).share).iter().sum();
        counted + listed.map(|candidate| candidate.share).sum::<f64>()
    }

    pub(crate) fn remove_warming_up(&mut self) {
        self.listed.retain(|candidate| !candidate.warming_up);
        self.with_warming_up = false;
    }

    /// The weight that a request counts for a host, where it is another than the one in force.
    pub(crate) fn weight(&self, host: HostId) -> Option<f64> {
        self.listed
            .iter()
            .find(|candidate| candidate.host == host)
            .map(|candidate| candidate.weight)
    }
}
