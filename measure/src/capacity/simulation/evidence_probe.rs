//! How long evidence that a few routers have takes to reach the others.

use super::fleet::{Fleet, FleetTerms, RequiredEvidence};
use super::hosts::GOOD;
use super::platform::PlatformTerms;
use super::scenario::PARTS;
use super::settings;

/// Invocations that are injected at each of the routers that get any.
const INJECTED: usize = 20;
/// Seconds until all routers know of a trial and its hosts.
const SETTLE: f64 = 20.0;
/// Seconds that are given to evidence.
const LIMIT: f64 = 30.0;
/// In which figures halve, as the decision module has it.
const HALF_LIFE: f64 = 5.0;
/// Of an even share of the evidence, the part that counts as moved.
const PART: f64 = 0.5;

/// Where evidence arises, and among how many.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    pub routers: usize,
    /// Routers that get invocations.
    pub injected: usize,
    /// The regions do not reach each other, and find each other after so many seconds.
    pub apart: Option<f64>,
    pub seed: u64,
}

/// Seconds until parts of all routers (`PARTS`) had any evidence, and until they had half of an even share.
#[derive(Clone, Copy, Debug)]
pub struct Reached {
    /// Of what was injected: routers hold few open at once.
    pub outcomes: u64,
    pub any: [Option<f64>; PARTS.len()],
    pub half: [Option<f64>; PARTS.len()],
}

/// Measures both, in two runs of the same seed: how many outcomes there are is known only after the first.
pub fn measure(probe: &Probe) -> Reached {
    let (any, outcomes) = reach(probe, 0.0);
    let (half, _) = reach(probe, PART * outcomes as f64);
    Reached {
        outcomes,
        any,
        half,
    }
}

/// A trial on all hosts, which nobody moves.
fn fleet(probe: &Probe) -> Fleet {
    let platform = settings::platform_terms(probe.routers);
    let platform = PlatformTerms {
        needed: usize::MAX,
        shares: vec![1.0],
        caps: vec![1.0],
        ..platform
    };
    Fleet::new(FleetTerms {
        routers: probe.routers,
        machines: 20,
        rate: 0.0,
        first_region: 0.5,
        own_hosts_only: true,
        canary_in_first_region: false,
        ordinary_day: false,
        platform,
        seed: probe.seed,
    })
}

/// Seconds until parts of all routers had so many outcomes, less what fades; and how many were answered.
fn reach(probe: &Probe, outcomes: f64) -> ([Option<f64>; PARTS.len()], u64) {
    let mut fleet = fleet(probe);
    fleet.run(SETTLE);
    fleet.offer(GOOD);
    fleet.run(SETTLE);
    if probe.apart.is_some() {
        fleet.partition(true);
    }
    let since = fleet.now;
    fleet.required = RequiredEvidence {
        outcomes,
        since,
        half_life: HALF_LIFE,
    };
    fleet.evidence.begin(fleet.platform().build().0);
    // Evenly spread over the routers, in the first region only where the regions are apart.
    let among = if probe.apart.is_some() {
        probe.routers / 2
    } else {
        probe.routers
    };
    (0..probe.injected).for_each(|number| fleet.inject(number * among / probe.injected, INJECTED));
    if let Some(apart) = probe.apart {
        fleet.run(apart);
        fleet.heal();
    }
    fleet.run(LIMIT);
    let times = fleet.reach(PARTS).map(|time| time.map(|time| time - since));
    (times, fleet.counts.in_time)
}
