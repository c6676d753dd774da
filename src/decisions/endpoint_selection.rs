//! Endpoint selection: the host of a request's next attempt.
//!
//! Among the hosts that the requirements allow, each arm offers the less loaded of two; Thompson sampling then
//! decides between the arms.

use std::collections::BTreeSet;

use super::Router;
use super::least_loaded::ArmChoice;
use super::outlier_detection::is_failing;
use super::request_table::TrackedRequest;
use crate::arm::{Arm, PerArm};
use crate::candidates::{Candidate, Candidates};
use crate::hashing::hash_mix;
use crate::host_group::{HostGroup, HostSum, Requirements};
use crate::interface::{HostId, KeyId, RequestId};
use crate::operator_weights::{EffectiveWeight, apply_weights};

use super::host_table::Host;

/// Tier of hosts that are well.
const TIER_WELL: u8 = 0;

/// Tier of hosts that are ejected, or fail and have attempts in flight.
const TIER_DOUBTFUL: u8 = 1;

/// Tier of hosts that this request has been sent to.
const TIER_TRIED: u8 = 2;

/// The hash of a key, the same at every router.
fn hash_of(key: &KeyId) -> u64 {
    key.0
        .bytes()
        .fold(0, |hash, byte| hash_mix(hash ^ u64::from(byte)))
}

impl Router {
    /// Selects the host of a request's next attempt; none where no host may serve it.
    pub(super) fn select_endpoint(&mut self, now: f64, id: &RequestId) -> Option<HostId> {
        let request = self.requests.get(id)?;
        let own_weights = self.weights_of_revision(now, request);
        let requirements = self.requirements(now, request);
        let key = request.key.as_ref();
        let key_hash = key.filter(|_| self.settings.key_affinity).map(hash_of);
        let mut candidates = self.candidates(now, &requirements, own_weights);
        self.apply_slow_start(now, &mut candidates)?;
        let tier = candidates.lowest_tier()?;
        let choice = |arm| ArmChoice {
            arm,
            tier,
            key_hash,
        };
        let baseline =
            self.least_loaded_of_two(now, &choice(Arm::Baseline), &candidates, &requirements);
        let canary =
            self.least_loaded_of_two(now, &choice(Arm::Canary), &candidates, &requirements);
        let canary = canary.filter(|_| self.canary_may_take_more());
        if baseline.is_none() || canary.is_none() {
            return baseline.or(canary);
        }
        let shares = PerArm {
            baseline: candidates.sum(Arm::Baseline, tier).share,
            canary: candidates.sum(Arm::Canary, tier).share,
        };
        match self.sample_arm(now, &shares) {
            Arm::Baseline => baseline,
            Arm::Canary => canary,
        }
    }

    /// The weights under the revision that a request came under, where another one is in force by now.
    fn weights_of_revision(
        &self,
        now: f64,
        request: &TrackedRequest,
    ) -> Option<Vec<EffectiveWeight>> {
        if request.overrides.revision == self.overrides.revision {
            return None;
        }
        let mut weights = self
            .hosts
            .weights_under(&self.settings, now, &request.overrides);
        apply_weights(&mut weights, self.settings.overload_multiple);
        Some(weights)
    }

    /// A host as a candidate; none where it may not serve the request.
    pub(super) fn candidate(
        &self,
        now: f64,
        requirements: &Requirements,
        host: &Host,
        weight: f64,
    ) -> Option<Candidate> {
        let group = HostGroup::of(&host.entry, self.settings.idempotency_by_cell);
        let arm = requirements.arm(&group)?;
        let is_in_pool = requirements
            .pool
            .as_ref()
            .is_none_or(|pool| pool.contains(&host.entry));
        if !host.usable || !is_in_pool || host.since > requirements.revision {
            return None;
        }
        let warm_up_fraction = self.settings.warm_up_fraction(&host.entry, now);
        Some(Candidate {
            host: host.entry.host,
            arm,
            tier: tier(now, requirements, host),
            share: weight * host.entry.size * warm_up_fraction,
            warming_up: warm_up_fraction < 1.0,
            weight,
        })
    }

    /// All hosts that may serve a request. Where a router keeps to pairs of hosts, those that are warm and well are
    /// only counted.
    fn candidates(
        &self,
        now: f64,
        requirements: &Requirements,
        own_weights: Option<Vec<EffectiveWeight>>,
    ) -> Candidates {
        let of_host = |host: &Host| self.candidate(now, requirements, host, host.weight);
        let of_id = |id: HostId| self.hosts.get(id).and_then(of_host);
        let pools = requirements.pool.iter();
        let named: BTreeSet<HostId> = pools.flat_map(|pool| &pool.hosts).copied().collect();
        let mut counted = PerArm::<HostSum>::default();
        let listed = if let Some(weights) = own_weights {
            let hosts = self.hosts.usable().zip(weights);
            hosts
                .filter_map(|(host, own)| self.candidate(now, requirements, host, own.weight))
                .collect()
        } else if !named.is_empty() {
            named.into_iter().filter_map(of_id).collect()
        } else if !self.keeps_to_pairs() {
            self.hosts.usable().filter_map(of_host).collect()
        } else {
            let (settled, tried) = self.hosts.index.settled(requirements);
            counted = settled;
            let unsettled = self.hosts.index.unsettled();
            unsettled.chain(tried).filter_map(of_id).collect()
        };
        Candidates {
            listed,
            counted,
            includes_warming_up: true,
        }
    }
}

/// The tier of a host for a request; lower ones go first.
fn tier(now: f64, requirements: &Requirements, host: &Host) -> u8 {
    let is_ejected = host.health.ejected_until > now;
    let is_doubtful =
        is_ejected || is_failing(host.health.failure_rate) && !host.in_flight.is_empty();
    if requirements.tried.contains(&host.entry.host) {
        TIER_TRIED
    } else if is_doubtful {
        TIER_DOUBTFUL
    } else {
        TIER_WELL
    }
}
