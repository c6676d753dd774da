//! An index of the hosts in use, so that the cost of a request does not grow with the number of hosts.
//!
//! The index is updated whenever a host changes. Hosts that are equivalent for a request form a [`HostGroup`]. A host
//! is settled if it is neither warming up nor ejected nor failing, which is decided in [`crate::decisions`]. Settled
//! hosts are summed by group; unsettled ones are kept in a set, as each of them has to be checked for each request.

use std::collections::{BTreeMap, BTreeSet};

use crate::arm::PerArm;
use crate::host_group::{HostGroup, HostSum, Requirements};
use crate::interface::{BuildId, HostId};
use crate::rendezvous::{RankedHost, RendezvousRankings, WeightedHost};

/// The largest number of changed hosts for which an update adjusts the rankings host by host. A larger update clears
/// the rankings, which are then rebuilt as they are needed.
const MAX_INCREMENTAL_CHANGES: usize = 64;

/// What the index records of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct IndexedHost {
    pub(crate) group: HostGroup,
    pub(crate) size: f64,
    /// The host's weight among the hosts in use; 1 is an even share.
    pub(crate) weight: f64,
    /// Neither warming up nor ejected nor failing. A settled host stays so until an event changes its state.
    pub(crate) settled: bool,
    /// The fraction of the host's attempts that failed.
    pub(crate) failure_rate: f64,
    /// The host's response time relative to that of fast responses.
    pub(crate) slowdown: f64,
}

impl IndexedHost {
    /// Whether both records contribute the same to the sums of their group.
    fn counts_as(&self, other: &IndexedHost) -> bool {
        let key = |host: &IndexedHost| (host.group, host.size, host.weight, host.settled);
        key(self) == key(other)
    }
}

/// The hosts of one group with their weights, and the sum of size times weight over the settled ones.
#[derive(Clone, Debug, Default)]
struct GroupMembers {
    hosts: BTreeMap<HostId, f64>,
    settled: HostSum,
}

/// The number of hosts of one build, and sums over them.
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

    /// Returns the sums without one host, if one is given; it must be of this build.
    pub(crate) fn without(mut self, host: Option<&IndexedHost>) -> Self {
        if let Some(host) = host {
            self.subtract(host);
        }
        self
    }
}

/// The hosts in use, by id, by group and by build.
#[derive(Default)]
pub(crate) struct HostIndex {
    hosts: BTreeMap<HostId, IndexedHost>,
    groups: BTreeMap<HostGroup, GroupMembers>,
    builds: BTreeMap<BuildId, BuildSums>,
    unsettled: BTreeSet<HostId>,
    rankings: RendezvousRankings,
}

impl HostIndex {
    /// Returns the number of hosts in use.
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the record of a host, or `None` if the host is not in use.
    pub(crate) fn get(&self, host: HostId) -> Option<&IndexedHost> {
        self.hosts.get(&host)
    }

    /// Returns the groups that have hosts, in ascending order.
    pub(crate) fn groups(&self) -> impl Iterator<Item = &HostGroup> {
        self.groups.keys()
    }

    /// Returns, for each arm, the number of settled hosts that may serve a request and the sum of their size times
    /// weight. Hosts that the request was already sent to are left out; those of them that are settled and may serve
    /// the request are returned separately.
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
            let Some(indexed) = self.hosts.get(host).filter(|indexed| indexed.settled) else {
                continue;
            };
            let Some(arm) = requirements
                .arm(&indexed.group)
                .filter(|_| !tried.contains(host))
            else {
                continue;
            };
            sums[arm].hosts -= 1;
            sums[arm].share -= indexed.size * indexed.weight;
            tried.push(*host);
        }
        (sums, tried)
    }

    /// Returns the builds that have hosts, in ascending order.
    pub(crate) fn builds(&self) -> impl Iterator<Item = BuildId> {
        self.builds.keys().copied()
    }

    /// Returns the number of hosts of the selected builds, and the sum of their sizes.
    pub(crate) fn sum(&self, selects: impl Fn(BuildId) -> bool) -> HostSum {
        let builds = self.builds.iter().filter(|(build, _)| selects(**build));
        builds.fold(HostSum::default(), |sum, (_, of_build)| HostSum {
            hosts: sum.hosts + of_build.hosts,
            share: sum.share + of_build.size,
        })
    }

    /// Returns the sums over the hosts of one build.
    pub(crate) fn build(&self, build: BuildId) -> BuildSums {
        self.builds.get(&build).copied().unwrap_or_default()
    }

    /// Returns the hosts that are not settled, in ascending order of ids.
    pub(crate) fn unsettled(&self) -> impl Iterator<Item = HostId> {
        self.unsettled.iter().copied()
    }

    /// Updates the records of hosts. A host without a record is not in use.
    pub(crate) fn update(&mut self, hosts: impl Iterator<Item = (HostId, Option<IndexedHost>)>) {
        let changed: Vec<_> = hosts
            .filter(|(host, now)| self.hosts.get(host) != now.as_ref())
            .collect();
        if changed.len() > MAX_INCREMENTAL_CHANGES {
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
            self.update_rankings(host, before, now);
            if let Some(before) = before {
                self.remove(host, &before);
            }
            if let Some(now) = now {
                self.insert(host, now);
            }
        }
    }

    /// Returns the two accepted hosts of these groups that rank highest by a hash with this salt. The groups must be in
    /// ascending order.
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
                    let is_selected = |group: &HostGroup| {
                        group.build == build && groups.binary_search(group).is_ok()
                    };
                    let accepted = self
                        .members(is_selected)
                        .filter(|member| accepts(member.host));
                    crate::rendezvous::highest_two(salt, accepted)
                });
            found.extend(ranked);
        }
        self.rankings = rankings;
        found.sort_by(RankedHost::order);
        found.truncate(2);
        found
    }

    fn members(&self, selects: impl Fn(&HostGroup) -> bool) -> impl Iterator<Item = WeightedHost> {
        let groups = self.groups.iter().filter(move |(group, _)| selects(group));
        let hosts = groups.flat_map(|(_, members)| &members.hosts);
        hosts.map(|(host, weight)| WeightedHost {
            host: *host,
            weight: *weight,
        })
    }

    /// Replaces the record of a host of which only the failure rate and slowdown have changed, as after nearly every
    /// attempt.
    fn replace(&mut self, host: HostId, before: &IndexedHost, now: IndexedHost) {
        if let Some(sums) = self.builds.get_mut(&before.group.build) {
            sums.subtract(before);
            sums.add(&now);
        }
        self.hosts.insert(host, now);
    }

    /// Updates the rankings, which only depend on the build and weight of each host.
    fn update_rankings(
        &mut self,
        host: HostId,
        before: Option<IndexedHost>,
        now: Option<IndexedHost>,
    ) {
        let key = |indexed: Option<IndexedHost>| {
            indexed.map(|indexed| (indexed.group.build, indexed.weight))
        };
        let before = key(before);
        let now = key(now);
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
            // Discards what rounding errors have left.
            members.settled.share = 0.0;
        }
        if members.hosts.is_empty() {
            self.groups.remove(&before.group);
        }
    }
}

#[cfg(test)]
mod tests;
