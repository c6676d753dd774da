//! What a router has measured of both arms, and what it has merged from its peers.
//!
//! Each outcome of an attempt is recorded as quality signals. The counts fade with a half-life and, gossip aside,
//! are the parameters of Beta distributions above Beta(1, 1), as in Decentralized Thompson Sampling.

use super::Router;
use super::gossip::GOSSIP_INTERVAL;
use crate::arm::{Arm, PerArm};
use crate::interface::{BuildId, OperationId};

/// Operations that a gossip message tells apart; more share a slot.
const MAX_SIGNAL_SLOTS: usize = 4;

/// Seconds in which evidence halves: about a stage, so that late failures and recoveries show.
const EVIDENCE_HALF_LIFE: f64 = 5.0;

/// Outcomes that the baseline's evidence keeps at most while no canary is listed: its past must be as short as
/// the canary's will be, so that troubles that come and go show in both.
const IDLE_BASELINE_MAX_OUTCOMES: f64 = 20.0;

/// What outcomes are recorded by.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Signal {
    /// The answer came within the latency objective.
    InTime = 0,
    /// The host answered with no error.
    NoError = 1,
    /// The answer was as quick as the quick answers of the baseline.
    Quick = 2,
}

impl Signal {
    /// All signals, in the order of their counts in a message.
    pub(super) const ALL: [Signal; 3] = [Signal::InTime, Signal::NoError, Signal::Quick];
}

/// The number of groups of operations that evidence tells apart.
pub(super) fn signal_slots(operations: usize) -> usize {
    operations.clamp(1, MAX_SIGNAL_SLOTS)
}

/// Weighted outcomes for and against one signal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SignalCounts {
    pub(super) good: f64,
    pub(super) bad: f64,
}

impl SignalCounts {
    /// All outcomes.
    pub(super) fn total(&self) -> f64 {
        self.good + self.bad
    }

    /// The fraction of good outcomes; 0 where there are hardly any.
    pub(super) fn good_fraction(&self) -> f64 {
        self.good / self.total().max(1.0)
    }

    /// Both counts times a factor.
    pub(super) fn scaled(&self, factor: f64) -> Self {
        SignalCounts {
            good: factor * self.good,
            bad: factor * self.bad,
        }
    }
}

/// The counts of all signals, by slot of operations and arm.
#[derive(Clone, Default)]
pub(super) struct Evidence {
    slots: usize,
    /// For each slot, one entry for each signal.
    counts: Vec<PerArm<SignalCounts>>,
}

impl Evidence {
    /// Counts of zero.
    pub(super) fn new(slots: usize) -> Self {
        Evidence {
            slots,
            counts: vec![PerArm::default(); slots * Signal::ALL.len()],
        }
    }

    /// The number of figures that a message holds of it.
    pub(super) fn figure_count(&self) -> usize {
        4 * self.counts.len()
    }

    /// The figures in the order of a message.
    pub(super) fn figures(&self) -> impl Iterator<Item = f64> {
        self.counts
            .iter()
            .flat_map(|arms| [arms.baseline, arms.canary])
            .flat_map(|counts| [counts.good, counts.bad])
    }

    /// The figures in the order of a message, to be changed.
    pub(super) fn figures_mut(&mut self) -> impl Iterator<Item = &mut f64> {
        self.counts
            .iter_mut()
            .flat_map(|arms| [&mut arms.baseline, &mut arms.canary])
            .flat_map(|counts| [&mut counts.good, &mut counts.bad])
    }

    /// The counts of a signal, of one slot or of all.
    pub(super) fn counts(&self, slot: Option<usize>, signal: Signal, arm: Arm) -> SignalCounts {
        let slots = (0..self.slots).filter(|each| slot.is_none_or(|only| only == *each));
        slots
            .map(|each| self.counts[self.index(each, signal)][arm])
            .fold(SignalCounts::default(), |sum, counts| SignalCounts {
                good: sum.good + counts.good,
                bad: sum.bad + counts.bad,
            })
    }

    /// Adds one outcome of this weight.
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

    /// A new canary begins with no evidence; a released one is the baseline from then on.
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

/// A router's own evidence and the merged one.
pub(super) struct EvidenceStore {
    pub(super) own: Evidence,
    /// The mean of what peers told lately of this build.
    pub(super) merged: Evidence,
    /// What an outcome of the baseline weighs.
    pub(super) baseline_weight: f64,
    /// This router started while a canary was out, and knows nothing of it yet.
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

    /// Fades the evidence by one gossip interval.
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
    /// Records one signal. It adds as much as there are routers, the paper's eta = N; the baseline's outcomes weigh
    /// as the canary's, which has fewer machines.
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

    /// Records that an answer of this build turned out to be wrong.
    pub(super) fn record_dispute(&mut self, build: BuildId, operation: OperationId) {
        let weight = self.settings.dispute_weight;
        self.record_signal(build, operation.0, Signal::NoError, false, weight);
    }
}
