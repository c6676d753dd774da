//! The outcomes that a router has measured for both arms, and those merged from its peers.
//!
//! Each outcome of an attempt is recorded for several quality signals. The counts decay with a half-life. Apart from
//! the averaging by gossip, they are the parameters of Beta posteriors above the prior Beta(1, 1), as in
//! Decentralized Thompson Sampling.

use super::Router;
use super::gossip::GOSSIP_INTERVAL;
use crate::arm::{Arm, PerArm};
use crate::interface::{BuildId, OperationId};

/// Maximum number of slots in a gossip message. Each operation has a slot of its own; where there are more
/// operations, several share one.
const MAX_SIGNAL_SLOTS: usize = 4;

/// Half-life of the evidence, in seconds. It is about the duration of a stage, so that late failures and recoveries
/// show.
const EVIDENCE_HALF_LIFE: f64 = 5.0;

/// Maximum weighted outcomes of the baseline while no canary is listed. The baseline's history is kept as short as
/// that of a new canary, so that temporary disturbances affect both arms alike.
const IDLE_BASELINE_MAX_OUTCOMES: f64 = 20.0;

/// A quality signal: a yes-or-no property of an attempt's outcome.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Signal {
    /// The answer came within the latency objective.
    InTime = 0,
    /// The host did not answer with an error.
    NoError = 1,
    /// The answer was as quick as the quick answers of the baseline.
    Quick = 2,
}

impl Signal {
    /// All signals, in the order of their counts in a gossip message.
    pub(super) const ALL: [Signal; 3] = [Signal::InTime, Signal::NoError, Signal::Quick];
}

/// The number of slots for this number of operations.
pub(super) fn signal_slots(operations: usize) -> usize {
    operations.clamp(1, MAX_SIGNAL_SLOTS)
}

/// Weighted numbers of good and bad outcomes for one signal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SignalCounts {
    pub(super) good: f64,
    pub(super) bad: f64,
}

impl SignalCounts {
    /// The number of all outcomes.
    pub(super) fn total(&self) -> f64 {
        self.good + self.bad
    }

    /// The fraction of good outcomes; totals below 1 are treated as 1, so that it is near 0 without outcomes.
    pub(super) fn good_fraction(&self) -> f64 {
        self.good / self.total().max(1.0)
    }

    /// Both counts multiplied by a factor.
    pub(super) fn scaled(&self, factor: f64) -> Self {
        SignalCounts {
            good: factor * self.good,
            bad: factor * self.bad,
        }
    }
}

/// The counts of all signals, by slot and arm.
#[derive(Clone, Default)]
pub(super) struct Evidence {
    slots: usize,
    /// For each slot, one entry for each signal.
    counts: Vec<PerArm<SignalCounts>>,
}

impl Evidence {
    /// Evidence without outcomes.
    pub(super) fn new(slots: usize) -> Self {
        Evidence {
            slots,
            counts: vec![PerArm::default(); slots * Signal::ALL.len()],
        }
    }

    /// The number of counts in a gossip message.
    pub(super) fn flat_counts_len(&self) -> usize {
        4 * self.counts.len()
    }

    /// The counts, in the order of a gossip message.
    pub(super) fn flat_counts(&self) -> impl Iterator<Item = f64> {
        self.counts
            .iter()
            .flat_map(|arms| [arms.baseline, arms.canary])
            .flat_map(|counts| [counts.good, counts.bad])
    }

    /// The counts for modification, in the order of a gossip message.
    pub(super) fn flat_counts_mut(&mut self) -> impl Iterator<Item = &mut f64> {
        self.counts
            .iter_mut()
            .flat_map(|arms| [&mut arms.baseline, &mut arms.canary])
            .flat_map(|counts| [&mut counts.good, &mut counts.bad])
    }

    /// The counts of a signal for an arm, in one slot or summed over all.
    pub(super) fn counts(&self, slot: Option<usize>, signal: Signal, arm: Arm) -> SignalCounts {
        let slots = (0..self.slots).filter(|each| slot.is_none_or(|only| only == *each));
        slots
            .map(|each| self.counts[self.index(each, signal)][arm])
            .fold(SignalCounts::default(), |sum, counts| SignalCounts {
                good: sum.good + counts.good,
                bad: sum.bad + counts.bad,
            })
    }

    /// Adds one outcome with a weight.
    fn add(&mut self, operation: usize, signal: Signal, arm: Arm, is_good: bool, weight: f64) {
        let index = self.index(operation % self.slots, signal);
        let counts = &mut self.counts[index][arm];
        let count = if is_good {
            &mut counts.good
        } else {
            &mut counts.bad
        };
        *count += weight;
    }

    /// Removes the canary's evidence for a new canary. If the previous canary was released, its evidence becomes the
    /// baseline's.
    pub(super) fn begin_canary(&mut self, previous_was_released: bool) {
        for arms in &mut self.counts {
            if previous_was_released {
                arms.baseline = arms.canary;
            }
            arms.canary = SignalCounts::default();
        }
    }

    fn index(&self, slot: usize, signal: Signal) -> usize {
        slot * Signal::ALL.len() + signal as usize
    }
}

/// The evidence of this router and the merged evidence of all.
pub(super) struct EvidenceStore {
    /// This router's evidence: its own outcomes, averaged with those of peers in gossip exchanges.
    pub(super) own: Evidence,
    /// The moving average of the evidence that peers have sent for this build.
    pub(super) merged: Evidence,
    /// The weight of a baseline outcome.
    pub(super) baseline_weight: f64,
    /// This router started during a rollout and has no evidence about the canary yet.
    pub(super) is_fresh: bool,
}

impl EvidenceStore {
    pub(super) fn new(slots: usize) -> Self {
        EvidenceStore {
            own: Evidence::new(slots),
            merged: Evidence::new(slots),
            baseline_weight: 1.0,
            is_fresh: false,
        }
    }

    /// Decays the evidence by one gossip interval.
    pub(super) fn decay(&mut self, canary_is_listed: bool, baseline_is_listed: bool) {
        let decay = 0.5f64.powf(GOSSIP_INTERVAL / EVIDENCE_HALF_LIFE);
        let max_baseline = if canary_is_listed {
            f64::INFINITY
        } else {
            IDLE_BASELINE_MAX_OUTCOMES
        };
        for arms in &mut self.own.counts {
            let baseline_factor =
                (max_baseline / arms.baseline.total().max(super::MIN_DIVISOR)).min(decay);
            if baseline_is_listed {
                arms.baseline.good *= baseline_factor;
                arms.baseline.bad *= baseline_factor;
            }
            arms.canary.good *= decay;
            arms.canary.bad *= decay;
        }
    }
}

impl Router {
    /// Records one signal of an outcome. It is weighted by the number of routers N (eta = N in Decentralized Thompson
    /// Sampling), as gossip averages the counts of all routers. The baseline's outcomes are scaled down to the size
    /// of the canary, which has fewer hosts.
    pub(super) fn record_signal(
        &mut self,
        build: BuildId,
        operation: usize,
        signal: Signal,
        is_good: bool,
        weight: f64,
    ) {
        let is_canary = self
            .rollout
            .status
            .is_some_and(|status| build >= status.build);
        let arm = Arm::canary_if(is_canary);
        let weight = match arm {
            Arm::Baseline => weight * self.evidence.baseline_weight,
            Arm::Canary => weight,
        };
        let weight = f64::from(self.settings.routers) * weight;
        self.evidence
            .own
            .add(operation, signal, arm, is_good, weight);
    }

    /// Records that an answer of a build turned out to be wrong.
    pub(super) fn record_dispute(&mut self, build: BuildId, operation: OperationId) {
        let weight = self.settings.dispute_weight;
        self.record_signal(build, operation.0, Signal::NoError, false, weight);
    }
}
