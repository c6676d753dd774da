//! Endpoint selection: the host for a request's next attempt.
//!
//! Among the hosts that meet the requirements, the less loaded of two is taken for each arm; Thompson sampling then
//! selects the arm.

use std::collections::BTreeSet;

use super::Router;
use super::least_loaded::HostChoice;
use super::outlier_detection::is_failing;
use super::request_table::TrackedRequest;
use crate::arm::{Arm, PerArm};
use crate::candidates::{Candidate, Candidates};
use crate::host_group::{HostGroup, HostSum, Requirements};
use crate::interface::{HostId, RequestId};
use crate::operator_weights::{EffectiveWeight, apply_weights};

use super::host_table::Host;

/// Tier of healthy hosts.
const TIER_HEALTHY: u8 = 0;

/// Tier of hosts that are ejected, or that fail and have attempts in flight.
const TIER_SUSPECT: u8 = 1;

/// Tier of hosts that this request has been sent to.
const TIER_TRIED: u8 = 2;

impl Router {
    /// Selects the host for a request's next attempt; none where no host may serve it.
    pub(super) fn select_endpoint(&mut self, now: f64, id: &RequestId) -> Option<HostId> {
        let request = self.requests.get(id)?;
        let revision_weights = self.weights_of_revision(now, request);
        let requirements = self.requirements(now, request);
        let key = request.key.filter(|_| self.settings.key_affinity);
        let key_hash = key.map(|key| key.0);
        let mut candidates = self.candidates(now, &requirements, revision_weights);
        self.apply_slow_start(now, &mut candidates)?;
        let tier = candidates.lowest_tier()?;
        let choice = |arm| HostChoice {
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

    /// The weights of the revision that was in force when the request arrived, if another one is in force now.
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
        if !host.usable || !is_in_pool || host.since_revision > requirements.revision {
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

    /// The hosts that may serve a request. Where a router uses fixed pairs of hosts, warm and healthy hosts are only
    /// counted.
    fn candidates(
        &self,
        now: f64,
        requirements: &Requirements,
        revision_weights: Option<Vec<EffectiveWeight>>,
    ) -> Candidates {
        let from_host = |host: &Host| self.candidate(now, requirements, host, host.weight);
        let from_id = |id: HostId| self.hosts.get(id).and_then(from_host);
        let pools = requirements.pool.iter();
        let pool_hosts: BTreeSet<HostId> = pools.flat_map(|pool| &pool.hosts).copied().collect();
        let mut counted = PerArm::<HostSum>::default();
        let listed = if let Some(weights) = revision_weights {
            let hosts = self.hosts.usable().zip(weights);
            hosts
                .filter_map(|(host, effective)| {
                    self.candidate(now, requirements, host, effective.weight)
                })
                .collect()
        } else if !pool_hosts.is_empty() {
            pool_hosts.into_iter().filter_map(from_id).collect()
        } else if !self.uses_fixed_pairs() {
            self.hosts.usable().filter_map(from_host).collect()
        } else {
            let (settled, tried) = self.hosts.index.settled(requirements);
            counted = settled;
            let unsettled = self.hosts.index.unsettled();
            unsettled.chain(tried).filter_map(from_id).collect()
        };
        Candidates {
            listed,
            counted,
            includes_warming_up: true,
        }
    }
}

/// The tier of a host for a request. Hosts of lower tiers are selected first.
fn tier(now: f64, requirements: &Requirements, host: &Host) -> u8 {
    let is_ejected = host.health.ejected_until > now;
    let is_suspect =
        is_ejected || is_failing(host.health.failure_rate) && !host.in_flight.is_empty();
    if requirements.tried.contains(&host.entry.host) {
        TIER_TRIED
    } else if is_suspect {
        TIER_SUSPECT
    } else {
        TIER_HEALTHY
    }
}
