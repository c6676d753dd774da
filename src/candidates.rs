//! The hosts that may serve a request.
//!
//! Hosts that need a closer look are listed individually; all others are only counted for each arm, as the host index
//! keeps them. Which hosts may serve a request, and in which tier, is decided in [`crate::decisions`].

use crate::arm::{Arm, PerArm};
use crate::host_group::HostSum;
use crate::interface::HostId;

/// One host that may serve a request.
pub(crate) struct Candidate {
    pub(crate) host: HostId,
    pub(crate) arm: Arm,
    /// Hosts of a lower tier are preferred.
    pub(crate) tier: u8,
    /// The host's share of the traffic: size times weight times warm-up fraction.
    pub(crate) share: f64,
    pub(crate) warming_up: bool,
    pub(crate) weight: f64,
}

/// All hosts that may serve a request.
pub(crate) struct Candidates {
    /// The hosts that are listed individually. They are in ascending order of ids if all hosts are listed.
    pub(crate) listed: Vec<Candidate>,
    /// For each arm, the hosts that are only counted. All of them are of tier 0.
    pub(crate) counted: PerArm<HostSum>,
    /// Whether hosts that are warming up are included.
    pub(crate) includes_warming_up: bool,
}

impl Candidates {
    /// Returns the lowest tier that has a host.
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

    /// Returns the listed hosts of one arm and tier.
    pub(crate) fn listed(&self, arm: Arm, tier: u8) -> impl Iterator<Item = &Candidate> {
        self.listed
            .iter()
            .filter(move |candidate| candidate.arm == arm && candidate.tier == tier)
    }

    /// Returns the sum over those hosts of one arm and tier that are only counted.
    pub(crate) fn counted(&self, arm: Arm, tier: u8) -> HostSum {
        if tier == 0 {
            self.counted[arm]
        } else {
            HostSum::default()
        }
    }

    /// Returns the sum over all hosts of one arm and tier, listed or only counted.
    pub(crate) fn sum(&self, arm: Arm, tier: u8) -> HostSum {
        let add = |sum: HostSum, candidate: &Candidate| HostSum {
            hosts: sum.hosts + 1,
            share: sum.share + candidate.share,
        };
        let listed = self.listed(arm, tier).fold(HostSum::default(), add);
        let counted = self.counted(arm, tier);
        HostSum {
            hosts: counted.hosts + listed.hosts,
            share: counted.share + listed.share,
        }
    }

    /// Returns the sum of the shares of all hosts of a tier, in both arms.
    pub(crate) fn share(&self, tier: u8) -> f64 {
        let listed = self
            .listed
            .iter()
            .filter(|candidate| candidate.tier == tier);
        let counted =
            self.counted(Arm::Baseline, tier).share + self.counted(Arm::Canary, tier).share;
        counted + listed.map(|candidate| candidate.share).sum::<f64>()
    }

    /// Removes the hosts that are warming up.
    pub(crate) fn remove_warming_up(&mut self) {
        self.listed.retain(|candidate| !candidate.warming_up);
        self.includes_warming_up = false;
    }

    /// Returns the weight that a host has for this request, or `None` if the host is not listed individually. It can
    /// differ from the weight in force: a request keeps the operators' settings that it was admitted under.
    pub(crate) fn weight(&self, host: HostId) -> Option<f64> {
        self.listed
            .iter()
            .find(|candidate| candidate.host == host)
            .map(|candidate| candidate.weight)
    }
}
