//! An index of the hosts in use, so that a request need not look at all of them.
//!
//! It is kept up to date by what happens to each host. Hosts that a request cannot tell apart form a [`HostGroup`]; those
//! that stand out (warming up, ejected or failing) are listed one by one. What stands out is decided in
//! [`crate::decisions`].

use std::collections::{BTreeMap, BTreeSet};

use crate::arm::PerArm;
use crate::host_group::{HostGroup, HostSum, Requirements};
use crate::interface::{BuildId, HostId};
use crate::rendezvous::{RankedHost, RendezvousRankings, WeightedHost};

/// More changed hosts than this at once are not followed one by one in the rankings, which are filled anew.
const FOLLOWED_AT_ONCE: usize = 64;

/// What the index keeps of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct IndexedHost {
    pub(crate) group: HostGroup,
    pub(crate) size: f64,
    /// Its weight among the hosts in use, 1 being an even share.
    pub(crate) weight: f64,
    /// Neither warming up nor ejected nor failing: until something happens to it, it stays so.
    pub(crate) settled: bool,
    /// The fraction of its attempts that came to nothing.
    pub(crate) failure_rate: f64,
    /// The time of its answers over that of quick ones.
    pub(crate) slowdown: f64,
}

impl IndexedHost {
    /// Whether both count alike in the sums of their group.
    fn counts_as(&self, other: &IndexedHost) -> bool {
        let of = |of: &IndexedHost| (of.group, of.size, of.weight, of.settled);
        of(self) == of(other)
    }
}

/// The hosts of one group with their weights, and the sum of those that are settled.
#[derive(Clone, Debug, Default)]
struct Members {
    hosts: BTreeMap<HostId, f64>,
    settled: HostSum,
}

/// Sums over all hosts of one build.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct BuildSums {
    pub(crate) hosts: usize,
    pub(crate) size: f64,
    pub(crate) failure_rate: f64,
    pub(crate) slowdown: f64,
}

impl BuildSums {
    fn add(&mut self, host: &IndexedHost) {
        self.hosts += 1;
        self.size += host.size;
        self.failure_rate += host.failure_rate;
        self.slowdown += host.slowdown;
    }

    fn subtract(&mut self, host: &IndexedHost) {
        self.hosts -= 1;
        self.size -= host.size;
        self.failure_rate -= host.failure_rate;
        self.slowdown -= host.slowdown;
    }

    /// The sums without one host, where it is of them.
    pub(crate) fn without(mut self, host: Option<&IndexedHost>) -> Self {
        if let Some(host) = host {
            self.subtract(host);
        }
        self
    }
}

/// All hosts in use, by group and by build.
#[derive(Default)]
pub(crate) struct HostIndex {
    hosts: BTreeMap<HostId, IndexedHost>,
    groups: BTreeMap<HostGroup, Members>,
    builds: BTreeMap<BuildId, BuildSums>,
    unsettled: BTreeSet<HostId>,
    rankings: RendezvousRankings,
}

impl HostIndex {
    /// The number of hosts in use.
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// What the index keeps of a host; none while it is not in use.
    pub(crate) fn get(&self, host: HostId) -> Option<&IndexedHost> {
        self.hosts.get(&host)
    }

    /// The groups that have hosts, in ascending order.
    pub(crate) fn groups(&self) -> impl Iterator<Item = &HostGroup> {
        self.groups.keys()
    }

    /// By arm, the settled hosts that a request may go to with the sum of size times weight, but for those that it has
    /// tried; and the latter, where they are settled.
    pub(crate) fn settled(&self, requirements: &Requirements) -> (PerArm<HostSum>, Vec<HostId>) {
        let mut sums = PerArm::<HostSum>::default();
        for (group, arm) in &requirements.arms {
            let Some(members) = self.groups.get(group) else {
                continue;
            };
            sums[*arm].hosts += members.settled.hosts;
            sums[*arm].share += members.settled.share;
        }
        let mut tried = vec![];
        for host in &requirements.tried {
            let Some(of) = self.hosts.get(host).filter(|of| of.settled) else {
                continue;
            };
            let Some(arm) = requirements
                .arm(&of.group)
                .filter(|_| !tried.contains(host))
            else {
                continue;
            };
            sums[arm].hosts -= 1;
            sums[arm].share -= of.size * of.weight;
            tried.push(*host);
        }
        (sums, tried)
    }

    /// The builds that have hosts, in ascending order.
    pub(crate) fn builds(&self) -> impl Iterator<Item = BuildId> {
        self.builds.keys().copied()
    }

    /// The hosts of some builds, with the sum of their sizes.
    pub(crate) fn sum(&self, of: impl Fn(BuildId) -> bool) -> HostSum {
        let builds = self.builds.iter().filter(|(build, _)| of(**build));
        builds.fold(HostSum::default(), |sum, (_, of)| HostSum {
            hosts: sum.hosts + of.hosts,
            share: sum.share + of.size,
        })
    }

    /// The sums over the hosts of one build.
    pub(crate) fn build(&self, build: BuildId) -> BuildSums {
        self.builds.get(&build).copied().unwrap_or_default()
    }

    /// The hosts that stand out, in the order of their ids.
    pub(crate) fn unsettled(&self) -> impl Iterator<Item = HostId> {
        self.unsettled.iter().copied()
    }

    /// Brings hosts up to date; none: a host is not in use.
    pub(crate) fn update(&mut self, hosts: impl Iterator<Item = (HostId, Option<IndexedHost>)>) {
        let changed: Vec<_> = hosts
            .filter(|(host, now)| self.hosts.get(host) != now.as_ref())
            .collect();
        if changed.len() > FOLLOWED_AT_ONCE {
            self.rankings.clear();
        }
        for (host, now) in changed {
            let before = self.hosts.get(&host).copied();
            if let (Some(before), Some(now)) = (before, now)
                && before.counts_as(&now)
            {
                self.replace(host, &before, now);
                continue;
            }
            self.follow(host, before, now);
            if let Some(before) = before {
                self.remove(host, &before);
            }
            if let Some(now) = now {
                self.insert(host, now);
            }
        }
    }

    /// The two hosts of these groups, given in their order, that a hash with this salt places first among those
    /// accepted.
    pub(crate) fn highest_two(
        &mut self,
        salt: u64,
        groups: &[HostGroup],
        accepts: impl Fn(HostId) -> bool,
    ) -> Vec<RankedHost> {
        let mut builds: Vec<_> = groups.iter().map(|group| group.build).collect();
        builds.dedup();
        let mut rankings = std::mem::take(&mut self.rankings);
        let mut found = vec![];
        for build in builds {
            let members = || self.members(|group| group.build == build);
            let ranked = rankings
                .highest_two(salt, build, members, &accepts)
                .unwrap_or_else(|| {
                    let of_request = |group: &HostGroup| {
                        group.build == build && groups.binary_search(group).is_ok()
                    };
                    let accepted = self.members(of_request).filter(|of| accepts(of.host));
                    crate::rendezvous::highest_two(salt, accepted)
                });
            found.extend(ranked);
        }
        self.rankings = rankings;
        found.sort_by(RankedHost::order);
        found.truncate(2);
        found
    }

    fn members(&self, of: impl Fn(&HostGroup) -> bool) -> impl Iterator<Item = WeightedHost> {
        let groups = self.groups.iter().filter(move |(group, _)| of(group));
        let hosts = groups.flat_map(|(_, members)| &members.hosts);
        hosts.map(|(host, weight)| WeightedHost {
            host: *host,
            weight: *weight,
        })
    }

    /// Only its failure rate and slowdown have changed, as with nearly every outcome.
    fn replace(&mut self, host: HostId, before: &IndexedHost, now: IndexedHost) {
        if let Some(sums) = self.builds.get_mut(&before.group.build) {
            sums.subtract(before);
            sums.add(&now);
        }
        self.hosts.insert(host, now);
    }

    /// The rankings go by builds and weights alone.
    fn follow(&mut self, host: HostId, before: Option<IndexedHost>, now: Option<IndexedHost>) {
        let place = |of: Option<IndexedHost>| of.map(|of| (of.group.build, of.weight));
        let before = place(before);
        let now = place(now);
        if before == now {
            return;
        }
        if let Some((build, weight)) = before {
            self.rankings.remove(build, WeightedHost { host, weight });
        }
        if let Some((build, weight)) = now {
            self.rankings.insert(build, WeightedHost { host, weight });
        }
    }

    fn insert(&mut self, host: HostId, now: IndexedHost) {
        self.hosts.insert(host, now);
        self.builds.entry(now.group.build).or_default().add(&now);
        let members = self.groups.entry(now.group).or_default();
        members.hosts.insert(host, now.weight);
        if now.settled {
            members.settled.hosts += 1;
            members.settled.share += now.size * now.weight;
        } else {
            self.unsettled.insert(host);
        }
    }

    fn remove(&mut self, host: HostId, before: &IndexedHost) {
        self.hosts.remove(&host);
        self.unsettled.remove(&host);
        if let Some(sums) = self.builds.get_mut(&before.group.build) {
            sums.subtract(before);
        }
        self.builds.retain(|_, sums| sums.hosts > 0);
        let Some(members) = self.groups.get_mut(&before.group) else {
            return;
        };
        members.hosts.remove(&host);
        if before.settled {
            members.settled.hosts -= 1;
            members.settled.share -= before.size * before.weight;
        }
        if members.settled.hosts == 0 {
            // What rounding has left.
            members.settled.share = 0.0;
        }
        if members.hosts.is_empty() {
            self.groups.remove(&before.group);
        }
    }
}

#[cfg(test)]
mod tests;
