//! Latency baselines: low quantiles of the time that attempts take, by operation, kind of machine and arm.
//!
//! Times are in seconds per unit of expected work. Only attempts at warm hosts that are not outliers are recorded.

use std::collections::BTreeMap;

use crate::arm::Arm;
use crate::interface::MachineKindId;

/// Quantile of the answer times that separates quick answers from others.
const QUICK_QUANTILE: f64 = 0.4;

/// Quantile of the answer times that shows slow hosts but hardly any queueing.
const FLOOR_QUANTILE: f64 = 0.12;

/// Step of both quantiles per attempt, relative to their size: they follow a change within about forty attempts.
const QUANTILE_STEP: f64 = 0.08;

/// Fraction of the remaining way that a reference level moves per gossip interval, which takes about five seconds.
/// The levels before a canary are lowered in this way when times decrease, because the time before the canary may
/// have been a slow period.
pub(super) const REFERENCE_STEP: f64 = 0.04;

/// The key of a baseline. The order of the fields determines the order of summation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BaselineKey {
    operation: usize,
    kind: MachineKindId,
    arm: Arm,
}

/// The quantiles of one operation, kind of machine and arm.
struct LatencyBaseline {
    /// The time that separates quick answers from others.
    quick: f64,
    /// The time that shows slow hosts but hardly any queueing.
    floor: f64,
    /// The floor before the current canary; none where no canary has begun since the baseline was created.
    floor_before_canary: Option<f64>,
}

impl LatencyBaseline {
    /// Updates both quantiles by one attempt; an attempt without an answer counts as slow.
    fn record(&mut self, time: f64, succeeded: bool) {
        let is_below = |level: f64| f64::from(u8::from(succeeded && time < level));
        self.quick *= (QUANTILE_STEP * (QUICK_QUANTILE - is_below(self.quick))).exp();
        self.floor *= (QUANTILE_STEP * (FLOOR_QUANTILE - is_below(self.floor))).exp();
    }
}

/// All latency baselines of a router.
#[derive(Default)]
pub(super) struct LatencyBaselines {
    by_key: BTreeMap<BaselineKey, LatencyBaseline>,
}

impl LatencyBaselines {
    /// The time that separates quick answers of the baseline build from others, in seconds per unit of work.
    pub(super) fn quick_time(&self, operation: usize, kind: MachineKindId) -> Option<f64> {
        self.get(operation, kind, Arm::Baseline)
            .map(|baseline| baseline.quick)
    }

    /// The time that even quick answers of the baseline build take, in seconds per unit of work.
    pub(super) fn floor_time(&self, operation: usize, kind: MachineKindId) -> Option<f64> {
        self.get(operation, kind, Arm::Baseline)
            .map(|baseline| baseline.floor)
    }

    /// Records the time of an attempt, in seconds per unit of work.
    pub(super) fn record(
        &mut self,
        operation: usize,
        kind: MachineKindId,
        arm: Arm,
        time: f64,
        succeeded: bool,
    ) {
        let key = BaselineKey {
            operation,
            kind,
            arm,
        };
        let initial = LatencyBaseline {
            quick: time,
            floor: time,
            floor_before_canary: None,
        };
        self.by_key
            .entry(key)
            .or_insert(initial)
            .record(time, succeeded);
    }

    /// Removes the previous canary's baselines. The current floors of the baseline build become the reference for the
    /// new canary, unless no build was known before.
    pub(super) fn begin_canary(&mut self, after_known_build: bool) {
        self.by_key.retain(|key, _| key.arm == Arm::Baseline);
        for baseline in self.by_key.values_mut() {
            baseline.floor_before_canary = after_known_build.then_some(baseline.floor);
        }
    }

    /// Moves the floors before the canary towards current floors that are lower.
    pub(super) fn follow_decreases(&mut self) {
        for baseline in self.by_key.values_mut() {
            let decrease = |before: f64| REFERENCE_STEP * (baseline.floor - before).min(0.0);
            baseline.floor_before_canary = baseline
                .floor_before_canary
                .map(|before| before + decrease(before));
        }
    }

    /// How many times slower an arm's hosts are than the baseline's were before the canary: the geometric mean over
    /// operations and kinds of machine; none where there is nothing to compare.
    pub(super) fn relative_slowdown(&self, arm: Arm) -> Option<f64> {
        let mut log_sum = 0.0;
        let mut count = 0.0f64;
        for (key, baseline) in &self.by_key {
            let current = self.get(key.operation, key.kind, arm);
            if let (Some(current), Some(before)) = (current, baseline.floor_before_canary) {
                log_sum += (current.floor / before).ln();
                count += 1.0;
            }
        }
        (count > 0.0).then(|| (log_sum / count).exp())
    }

    fn get(&self, operation: usize, kind: MachineKindId, arm: Arm) -> Option<&LatencyBaseline> {
        self.by_key.get(&BaselineKey {
            operation,
            kind,
            arm,
        })
    }
}
