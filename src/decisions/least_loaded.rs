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

/// Number of routers that keep connections to each host, divided among them by their traffic; hosts accept few
/// connections.
const ROUTERS_PER_HOST: f64 = 60.0;

/// Number of pairs of hosts needed to keep one host connected to a router: each host is in two pairs, and is the less
/// loaded host in one of them.
const PAIRS_PER_CONNECTION: f64 = 4.0;

/// Attempts in flight that a host in another zone counts as having in addition, so that ties favour the router's
/// zone.
const OTHER_ZONE_LOAD: f64 = 0.3;

/// Fraction of the longest latency objective after which a host that has not answered its oldest attempt counts as
/// slower.
const SILENCE_OBJECTIVE_FRACTION: f64 = 0.7;

/// Lower limit for the slowdown that multiplies a host's load.
const MIN_LOAD_SLOWDOWN: f64 = 0.5;

/// The hosts to choose among.
pub(super) struct HostChoice {
    pub(super) arm: Arm,
    pub(super) tier: u8,
    /// The hash of the request's key, where hosts are faster for keys that they have served.
    pub(super) key_hash: Option<u64>,
}

/// A host's load: the expected time of one more attempt, by the attempts in flight relative to the host's weight, its
/// slowdown and its speed.
fn host_load(settings: &DecisionSettings, host: &Host, weight: f64, now: f64) -> f64 {
    let is_other_zone = settings.zone.is_some_and(|zone| zone != host.entry.zone);
    let zone_load = if is_other_zone { OTHER_ZONE_LOAD } else { 0.0 };
    // The longer a host has not answered, the slower it counts as; this avoids hosts that hang or are unreachable.
    let oldest = host.in_flight.iter().copied().fold(now, f64::min);
    let max_silence = SILENCE_OBJECTIVE_FRACTION * settings.longest_objective();
    let silence_factor = ((now - oldest) / max_silence).max(1.0);
    let size = host.entry.size.max(MIN_DIVISOR);
    let speed = size * settings.warm_up_fraction(&host.entry, now);
    let queue = host.in_flight.len() as f64 / weight + 1.0 + zone_load;
    queue * host.health.slowdown.max(MIN_LOAD_SLOWDOWN) * silence_factor / speed
}

impl Router {
    /// This router's traffic as a multiple of the mean traffic of all routers.
    fn relative_traffic(&self) -> f64 {
        f64::from(self.settings.routers) * self.peers.traffic_share
    }

    /// Whether this router only uses some pairs of hosts: hosts accept few connections, and in a large fleet not
    /// every router can keep one to every host.
    pub(super) fn uses_fixed_pairs(&self) -> bool {
        ROUTERS_PER_HOST * (1.0 + self.relative_traffic())
            < PAIRS_PER_CONNECTION * f64::from(self.settings.routers)
    }

    /// The salt that selects two of `count` hosts: the key's hash or a random number, reduced to as many values as
    /// there are pairs of hosts that this router's traffic can keep connected and known.
    fn pair_salt(&mut self, count: f64, key_hash: Option<u64>) -> u64 {
        let salt = key_hash.unwrap_or_else(|| self.rng.random());
        let routers = f64::from(self.settings.routers);
        let pairs = ROUTERS_PER_HOST * count * (1.0 + self.relative_traffic())
            / (PAIRS_PER_CONNECTION * routers);
        if pairs < count {
            let own = hash_mix(u64::from(self.settings.router.0) + 1);
            own ^ (salt % pairs.max(1.0) as u64)
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
            .filter(|entry| entry.1 == choice.arm);
        let groups: Vec<HostGroup> = arm_groups.map(|entry| entry.0).collect();
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
