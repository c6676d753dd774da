//! Selection of the less loaded of two hosts (the power of two choices), with fixed pairs of hosts in large fleets.

use rand::RngExt;

use super::Router;
use super::host_table::Host;
use super::{MIN_DIVISOR, settings::DecisionSettings};
use crate::arm::Arm;
use crate::candidates::Candidates;
use crate::hashing::hash_mix;
use crate::host_group::{HostGroup, Requirements};
use crate::interface::HostId;
use crate::rendezvous::{RankedHost, WeightedHost, highest_two};

/// Number of routers that each host has in its pairs, on average, where routers use only some pairs of hosts; hosts
/// accept few connections.
const ROUTERS_PER_HOST: f64 = 60.0;

/// Divides [`ROUTERS_PER_HOST`] times the number of hosts into the pairs of one router: a pair has two hosts, and the
/// factor 1 + relative traffic, by which the pairs are multiplied, is 2 on average over all routers.
const PAIR_DIVISOR: f64 = 4.0;

/// Attempts in flight that are added to the load of a host in another zone, so that of equally loaded hosts the one in
/// the router's zone is selected.
const OTHER_ZONE_LOAD: f64 = 0.3;

/// Fraction of the longest latency objective. Once the oldest attempt in flight at a host has lasted longer, the
/// host's load is multiplied by the ratio of both times.
const SILENCE_OBJECTIVE_FRACTION: f64 = 0.7;

/// Lower limit for the slowdown that multiplies a host's load.
const MIN_LOAD_SLOWDOWN: f64 = 0.5;

/// What the hosts that are chosen among have in common, and the key that selects two of them.
pub(super) struct HostChoice {
    pub(super) arm: Arm,
    /// 0 for healthy hosts, 1 for suspect ones, 2 for hosts that the request was already sent to.
    pub(super) tier: u8,
    /// The hash of the request's key, where hosts are faster for keys that they have served.
    pub(super) key_hash: Option<u64>,
}

/// A host's load: the expected time of one more attempt, by the attempts in flight relative to the host's weight, its
/// slowdown and its speed.
fn host_load(settings: &DecisionSettings, host: &Host, weight: f64, now: f64) -> f64 {
    let is_other_zone = settings.zone.is_some_and(|zone| zone != host.entry.zone);
    let zone_load = if is_other_zone { OTHER_ZONE_LOAD } else { 0.0 };
    // The load grows with the time without an answer, so that hosts which hang or are unreachable are avoided.
    let oldest = host.in_flight.iter().copied().fold(now, f64::min);
    let max_silence = SILENCE_OBJECTIVE_FRACTION * settings.longest_objective();
    let silence_factor = ((now - oldest) / max_silence).max(1.0);
    // The capacity relative to a standard machine.
    let size = host.entry.size.max(MIN_DIVISOR);
    let speed = size * settings.warm_up_fraction(&host.entry, now);
    let attempts = host.in_flight.len() as f64 / weight + 1.0 + zone_load;
    attempts * host.health.slowdown.max(MIN_LOAD_SLOWDOWN) * silence_factor / speed
}

impl Router {
    /// This router's traffic as a multiple of the mean traffic of all routers.
    fn relative_traffic(&self) -> f64 {
        f64::from(self.settings.routers) * self.peers.traffic_share
    }

    /// Whether this router only uses some pairs of hosts: hosts accept few connections, and in a large fleet not
    /// every router can keep one to every host. The condition is that [`Router::pair_salt`] allows this router fewer
    /// pairs than there are hosts.
    pub(super) fn uses_fixed_pairs(&self) -> bool {
        ROUTERS_PER_HOST * (1.0 + self.relative_traffic())
            < PAIR_DIVISOR * f64::from(self.settings.routers)
    }

    /// The salt of the rendezvous hash that selects two of `count` hosts: the key's hash or a random number. Where this
    /// router uses fixed pairs, it is reduced to as many values as the router has pairs. Half of all pairs are divided
    /// evenly among the routers and half by their traffic, so a router without traffic has half the mean number.
    fn pair_salt(&mut self, count: f64, key_hash: Option<u64>) -> u64 {
        let salt = key_hash.unwrap_or_else(|| self.rng.random());
        let routers = f64::from(self.settings.routers);
        let pairs =
            ROUTERS_PER_HOST * count * (1.0 + self.relative_traffic()) / (PAIR_DIVISOR * routers);
        if pairs < count {
            let router_hash = hash_mix(u64::from(self.settings.router.0) + 1);
            router_hash ^ (salt % pairs.max(1.0) as u64)
        } else {
            salt
        }
    }

    /// The less loaded of the two hosts that the salt selects; none where the arm has no host.
    pub(super) fn least_loaded_of_two(
        &mut self,
        now: f64,
        choice: &HostChoice,
        candidates: &Candidates,
        requirements: &Requirements,
    ) -> Option<HostId> {
        let count = candidates.sum(choice.arm, choice.tier).hosts as f64;
        let salt = self.pair_salt(count, choice.key_hash);
        // Hosts are counted without being listed only where this router uses fixed pairs.
        let top_two = if candidates.counted(choice.arm, choice.tier).hosts == 0 {
            let listed = candidates.listed(choice.arm, choice.tier);
            let listed = listed.map(|candidate| WeightedHost {
                host: candidate.host,
                weight: candidate.weight,
            });
            highest_two(salt, listed)
        } else {
            self.highest_two_indexed(now, salt, choice, candidates, requirements)
        };
        let hosts = top_two
            .into_iter()
            .filter_map(|ranked| self.hosts.get(ranked.host));
        let loads = hosts.map(|host| {
            let id = host.entry.host;
            let weight = candidates.weight(id).unwrap_or(host.weight);
            (host_load(&self.settings, host, weight, now), id)
        });
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// The two hosts that the salt selects, found through the index without examining all hosts.
    fn highest_two_indexed(
        &mut self,
        now: f64,
        salt: u64,
        choice: &HostChoice,
        candidates: &Candidates,
        requirements: &Requirements,
    ) -> Vec<RankedHost> {
        let arm_groups = requirements
            .arms
            .iter()
            .filter(|(_, arm)| *arm == choice.arm);
        let groups: Vec<HostGroup> = arm_groups.map(|(group, _)| *group).collect();
        // Taken out while the closure borrows the router: the index fills its rankings during the search.
        let mut index = std::mem::take(&mut self.hosts.index);
        let top_two = index.highest_two(salt, &groups, |id| {
            let host = self.hosts.get(id);
            host.and_then(|host| self.candidate(now, requirements, host, host.weight))
                .is_some_and(|candidate| {
                    candidate.tier == choice.tier
                        && (candidates.includes_warming_up || !candidate.warming_up)
                })
        });
        self.hosts.index = index;
        top_two
    }
}
