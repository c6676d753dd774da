//! The less loaded of two hosts (the power of two choices), over stable pairs in large fleets.

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

/// Routers that keep connections to a host, by their traffic: hosts accept few.
const ROUTERS_PER_HOST: f64 = 60.0;

/// Pairs of hosts that keep one host connected to a router: it is in two of them, and in one of the two it is the
/// less loaded.
const PAIRS_DIVISOR: f64 = 4.0;

/// Attempts in flight that another zone counts for: it breaks ties towards the router's own.
const OTHER_ZONE_LOAD: f64 = 0.3;

/// Part of the longest latency objective without an answer after which a host counts as slower.
const SILENCE_PART: f64 = 0.7;

/// Least slowdown that a host's load is weighed by.
const MIN_SLOWDOWN: f64 = 0.5;

/// Which host is looked for.
pub(super) struct ArmChoice {
    pub(super) arm: Arm,
    pub(super) tier: u8,
    /// The hash of the request's key, where hosts are faster for keys that they know.
    pub(super) key_hash: Option<u64>,
}

/// A host's load: attempts in flight over weight, in times that they take.
fn host_load(settings: &DecisionSettings, host: &Host, weight: f64, now: f64) -> f64 {
    let is_far = settings.zone.is_some_and(|zone| zone != host.entry.zone);
    let distance = if is_far { OTHER_ZONE_LOAD } else { 0.0 };
    // A host that keeps silent counts as slower the longer it does: against hangs and lost links.
    let oldest = host.in_flight.iter().copied().fold(now, f64::min);
    let patience = SILENCE_PART * settings.longest_objective();
    let silence = ((now - oldest) / patience).max(1.0);
    let size = host.entry.size.max(MIN_DIVISOR);
    let speed = size * settings.warm_up_fraction(&host.entry, now);
    let queue = host.in_flight.len() as f64 / weight + 1.0 + distance;
    queue * host.health.slowdown.max(MIN_SLOWDOWN) * silence / speed
}

impl Router {
    /// How many routers' worth of traffic this one has, in mean routers.
    fn relative_traffic(&self) -> f64 {
        f64::from(self.settings.routers) * self.peers.traffic_share
    }

    /// Whether this router keeps to some pairs of hosts: hosts accept few connections, and in a large fleet not all
    /// routers can keep one to each.
    pub(super) fn keeps_to_pairs(&self) -> bool {
        ROUTERS_PER_HOST * (1.0 + self.relative_traffic())
            < PAIRS_DIVISOR * f64::from(self.settings.routers)
    }

    /// The salt that names two hosts among `count`: the key's hash, or a random one, of as many as this router's
    /// traffic keeps connected and known.
    fn pair_salt(&mut self, count: f64, key_hash: Option<u64>) -> u64 {
        let salt = key_hash.unwrap_or_else(|| self.rng.random());
        let routers = f64::from(self.settings.routers);
        let pairs =
            ROUTERS_PER_HOST * count * (1.0 + self.relative_traffic()) / (PAIRS_DIVISOR * routers);
        if pairs < count {
            let own = hash_mix(u64::from(self.settings.router.0) + 1);
            own ^ (salt % pairs.max(1.0) as u64)
        } else {
            salt
        }
    }

    /// The less loaded of the two hosts of an arm that a hash names; none where the arm has no host.
    pub(super) fn least_loaded_of_two(
        &mut self,
        now: f64,
        choice: &ArmChoice,
        candidates: &Candidates,
        requirements: &Requirements,
    ) -> Option<HostId> {
        let count = candidates.sum(choice.arm, choice.tier).hosts as f64;
        let salt = self.pair_salt(count, choice.key_hash);
        let two = if candidates.counted(choice.arm, choice.tier).hosts == 0 {
            let listed = candidates.listed(choice.arm, choice.tier);
            let listed = listed.map(|of| WeightedHost {
                host: of.host,
                weight: of.weight,
            });
            highest_two(salt, listed)
        } else {
            self.highest_two_indexed(now, salt, choice, candidates, requirements)
        };
        let known = two
            .into_iter()
            .filter_map(|ranked| self.hosts.get(ranked.host));
        let loads = known.map(|host| {
            let id = host.entry.host;
            let weight = candidates.weight(id).unwrap_or(host.weight);
            (host_load(&self.settings, host, weight, now), id)
        });
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// The two hosts that a salt names, found by the index without a look at all of them.
    fn highest_two_indexed(
        &mut self,
        now: f64,
        salt: u64,
        choice: &ArmChoice,
        candidates: &Candidates,
        requirements: &Requirements,
    ) -> Vec<RankedHost> {
        let of_arm = requirements.arms.iter().filter(|of| of.1 == choice.arm);
        let groups: Vec<HostGroup> = of_arm.map(|of| of.0).collect();
        let mut index = std::mem::take(&mut self.hosts.index);
        let two = index.highest_two(salt, &groups, |id| {
            let host = self.hosts.get(id);
            host.and_then(|host| self.candidate(now, requirements, host, host.weight))
                .is_some_and(|of| {
                    of.tier == choice.tier && (candidates.includes_warming_up || !of.warming_up)
                })
        });
        self.hosts.index = index;
        two
    }
}
