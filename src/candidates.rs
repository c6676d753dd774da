//! The hosts that a request may go to.
//!
//! Hosts that stand out are listed one by one; all others are counted by arm, as the index keeps them. Which host
//! may be chosen, and in which tier, is decided in [`crate::decisions`].

use crate::arm::{Arm, PerArm};
use crate::host_group::HostSum;
use crate::interface::HostId;

/// One host that a request may go to.
pub(crate) struct Candidate {
    pub(crate) host: HostId,
    pub(crate) arm: Arm,
    /// Hosts of a lower tier go first.
    pub(crate) tier: u8,
    /// Size times weight times warm-up fraction.
    pub(crate) share: f64,
    pub(crate) warming_up: bool,
    pub(crate) weight: f64,
}

/// All hosts that a request may go to.
pub(crate) struct Candidates {
    /// In the order of their ids where all hosts are listed.
    pub(crate) listed: Vec<Candidate>,
    /// By arm, those of the lowest tier that are only counted.
    pub(crate) counted: PerArm<HostSum>,
    /// Whether hosts that are warming up are among them.
    pub(crate) includes_warming_up: bool,
}

impl Candidates {
    /// The lowest tier that has a host.
    pub(crate) fn lowest_tier(&self) -> Option<u8> {
        let counted = Arm::BOTH
            .iter()
            .any(|arm| self.counted[*arm].hosts > 0)
            .then_some(0);
        self.listed
            .iter()
            .map(|candidate| candidate.tier)
            .chain(counted)
            .min()
    }

    /// Those of one arm and tier that are listed.
    pub(crate) fn listed(&self, arm: Arm, tier: u8) -> impl Iterator<Item = &Candidate> {
        self.listed
            .iter()
            .filter(move |candidate| candidate.arm == arm && candidate.tier == tier)
    }

    /// Those of one arm and tier that are only counted.
    pub(crate) fn counted(&self, arm: Arm, tier: u8) -> HostSum {
        if tier == 0 {
            self.counted[arm]
        } else {
            HostSum::default()
        }
    }

    /// The number and share of all hosts of one arm and tier.
    pub(crate) fn sum(&self, arm: Arm, tier: u8) -> HostSum {
        let add = |sum: HostSum, of: &Candidate| HostSum {
            hosts: sum.hosts + 1,
            share: sum.share + of.share,
        };
        let listed = self.listed(arm, tier).fold(HostSum::default(), add);
        let counted = self.counted(arm, tier);
        HostSum {
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
        let counted =
            self.counted(Arm::Baseline, tier).share + self.counted(Arm::Canary, tier).share;
        counted + listed.map(|candidate| candidate.share).sum::<f64>()
    }

    /// Leaves out the hosts that are warming up.
    pub(crate) fn remove_warming_up(&mut self) {
        self.listed.retain(|candidate| !candidate.warming_up);
        self.includes_warming_up = false;
    }

    /// The weight that a request counts for a host, where it is another than the one in force.
    pub(crate) fn weight(&self, host: HostId) -> Option<f64> {
        self.listed
            .iter()
            .find(|candidate| candidate.host == host)
            .map(|candidate| candidate.weight)
    }
}
