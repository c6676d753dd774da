//! Latency baselines: low quantiles of the times that attempts take, by operation, kind of machine and arm.
//!
//! Times are in seconds for each unit of expected work. Only warm hosts that do not stand out as slow count.

use std::collections::BTreeMap;

use crate::arm::Arm;
use crate::interface::MachineKindId;

/// Quantile of the times that divides quick answers from others.
const QUICK_QUANTILE: f64 = 0.4;

/// Quantile of the times that shows slowness but hardly any queueing.
const FLOOR_QUANTILE: f64 = 0.12;

/// Step of both quantiles for each attempt, of their size: some forty attempts move them.
const QUANTILE_STEP: f64 = 0.08;

/// Fraction of the way to a lower level that the level before a canary goes at each gossip interval, five seconds
/// in all: what came before the canary may have been a slow spell.
pub(super) const RECOVERY_STEP: f64 = 0.04;

/// What a baseline is kept for; the order is that of the sums over all.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BaselineKey {
    operation: usize,
    kind: MachineKindId,
    arm: Arm,
}

/// The quantiles of one operation on one kind of machine.
struct LatencyBaseline {
    /// Divides quick answers from others.
    quick: f64,
    /// Shows slowness but hardly queues.
    floor: f64,
    /// The floor before the canary; none where no canary came since.
    floor_before: Option<f64>,
}

impl LatencyBaseline {
    /// Moves both quantiles by one attempt; an attempt without an answer counts as slow.
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
    /// The time that divides quick answers of the baseline build from others, for a unit of work.
    pub(super) fn quick_time(&self, operation: usize, kind: MachineKindId) -> Option<f64> {
        self.get(operation, kind, Arm::Baseline)
            .map(|baseline| baseline.quick)
    }

    /// The time that even quick answers of the baseline build take, for a unit of work.
    pub(super) fn floor_time(&self, operation: usize, kind: MachineKindId) -> Option<f64> {
        self.get(operation, kind, Arm::Baseline)
            .map(|baseline| baseline.floor)
    }

    /// Records the time of an attempt for a unit of work.
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
        let first = LatencyBaseline {
            quick: time,
            floor: time,
            floor_before: None,
        };
        self.by_key
            .entry(key)
            .or_insert(first)
            .record(time, succeeded);
    }

    /// Begins a canary: the baseline's present floors are what it is compared with, where a build was known before.
    pub(super) fn begin_canary(&mut self, after_known_build: bool) {
        self.by_key.retain(|key, _| key.arm == Arm::Baseline);
        for baseline in self.by_key.values_mut() {
            baseline.floor_before = after_known_build.then_some(baseline.floor);
        }
    }

    /// Lets the levels before the canary follow times that have been lower since.
    pub(super) fn recover(&mut self) {
        for baseline in self.by_key.values_mut() {
            let fall = |before: f64| RECOVERY_STEP * (baseline.floor - before).min(0.0);
            baseline.floor_before = baseline.floor_before.map(|before| before + fall(before));
        }
    }

    /// How many times slower an arm's hosts are than before the canary, the geometric mean over operations and
    /// kinds; none where nothing can be compared.
    pub(super) fn relative_slowdown(&self, arm: Arm) -> Option<f64> {
        let mut log_sum = 0.0;
        let mut count = 0.0f64;
        for (key, baseline) in &self.by_key {
            let present = self.get(key.operation, key.kind, arm);
            if let (Some(present), Some(before)) = (present, baseline.floor_before) {
                log_sum += (present.floor / before).ln();
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
