//! Assessment of the canary, from the merged evidence and from the slowdown of the whole service.

use super::Router;
use super::evidence::{Signal, SignalCounts};
use super::service_slowdown::SlowdownAssessment;
use crate::arm::Arm;
use crate::host_index::HostIndex;
use crate::interface::{BuildId, Phase, RolloutStatus};

use super::host_table::Host;

/// Number of routers at which a merged outcome counts half. Each outcome enters the evidence with the weight of all
/// routers and spreads by gossip; the more routers there are for the messages exchanged within the evidence's
/// half-life, the more the merged counts consist of a few heavy outcomes instead of many independent ones.
const HALF_WEIGHT_ROUTERS: f64 = 430.0;

/// Number of peers whose gossip must have arrived in this stage before the arms are compared; all live peers where
/// there are fewer.
const MIN_PEERS_HEARD: usize = 10;

/// Weighted outcomes that each arm needs before the arms are compared over all operations.
const MIN_OUTCOMES: f64 = 20.0;

/// Weighted outcomes that each arm needs before the arms are compared by one slot (a group of operations).
const MIN_SLOT_OUTCOMES: f64 = 12.0;

/// Probability of being worse, by answers in time over all operations, above which the canary is rolled back.
const ROLL_BACK_PROBABILITY: f64 = 0.95;

/// Probability of being worse, by one slot or by another signal, above which the canary is rolled back.
const ROLL_BACK_PROBABILITY_SINGLE: f64 = 0.97;

/// Probability of being worse below which the canary is promoted.
const PROMOTE_PROBABILITY: f64 = 0.2;

/// Probability of being worse above which a vote to promote the canary is withdrawn.
const WITHDRAW_PROBABILITY: f64 = 0.8;

/// By how much the canary's fraction of answers in time may be below the baseline's.
pub(super) const IN_TIME_MARGIN: f64 = 0.05;

/// By how much the canary's fraction of answers without an error may be below the baseline's.
const NO_ERROR_MARGIN: f64 = 0.02;

/// By how much the canary's fraction of quick answers ([`Signal::Quick`]) may be below the baseline's.
const QUICK_MARGIN: f64 = 0.05;

/// Standard deviation of the fraction of quick answers between hosts of the same build.
const QUICK_HOST_DEVIATION: f64 = 0.15;

/// Weight of a merged outcome in the decision to roll back. It is below 1 because gossip spreads outcomes unevenly,
/// so that the merged counts of one router can overstate what all routers have seen.
const ROLL_BACK_OUTCOME_WEIGHT: f64 = 0.5;

/// At least one in this many of the canary's hosts must fail before errors count against the build.
const FAILING_HOSTS_DIVISOR: usize = 3;

/// Fraction of a stage's hosts that must be listed before the stage is settled; no canary is promoted before that.
const SETTLED_HOST_FRACTION: f64 = 0.9;

/// Seconds from the latest listed start of a canary host until the stage is settled: some builds fail only under the
/// traffic of the stage.
const SETTLE_DELAY: f64 = 1.2;

/// Seconds after which a stage is settled however many of its hosts are listed.
const SETTLE_TIMEOUT: f64 = 9.0;

/// Seconds from the latest listed start until a canary with too few outcomes is promoted, where the baseline has too
/// few outcomes as well or the canary has at least [`FEW_OUTCOMES_LIMIT`].
const LOW_TRAFFIC_PROMOTE_DELAY: f64 = 3.0;

/// The same delay, in seconds, where the baseline has enough outcomes and the canary fewer than
/// [`FEW_OUTCOMES_LIMIT`]: more of the canary's are expected soon.
const FEW_OUTCOMES_PROMOTE_DELAY: f64 = 5.0;

/// The same delay, in seconds, where the baseline has enough outcomes and the canary none: routers that have sent
/// requests to the canary need this long to report its outcomes.
const NO_OUTCOMES_PROMOTE_DELAY: f64 = 20.0;

/// Weighted outcomes of the canary from which a router waits no longer than [`LOW_TRAFFIC_PROMOTE_DELAY`] for more.
const FEW_OUTCOMES_LIMIT: f64 = 5.0;

/// Weighted outcomes below which the canary counts as having none.
const NO_OUTCOMES_LIMIT: f64 = 1.0;

/// Bake time (the minimum duration of a stage), in seconds, that the delays of the slowdown assessment are made for.
const REFERENCE_BAKE_TIME: f64 = 3.0;

/// Smallest factor by which those delays are shortened where stages bake for less time: disturbances and new builds
/// follow each other faster there.
const MIN_BAKE_SCALE: f64 = 0.6;

/// Scale at which the logistic function best approximates the standard normal distribution function.
const LOGISTIC_SCALE: f64 = 1.702;

/// The result of assessing the canary.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Assessment {
    /// Worse than the baseline.
    Worse,
    /// No worse than the baseline, or nothing speaks against it and the delay for too few outcomes is over.
    NotWorse,
    /// The stage is not settled yet, or the comparison is not conclusive.
    Inconclusive,
    /// Worse with a probability above [`WITHDRAW_PROBABILITY`], or found worse for too short a time to roll back.
    ProbablyWorse,
    /// The whole service has become slower and the canary may be the cause, or an operator holds the canary.
    PromotionBlocked,
    /// Too few outcomes to compare, or the build is already released.
    InsufficientData,
}

/// Factor by which the delays of the slowdown assessment are shortened for stages that bake for `bake` seconds.
pub(super) fn bake_scale(bake: f64) -> f64 {
    (bake / REFERENCE_BAKE_TIME).clamp(MIN_BAKE_SCALE, 1.0)
}

/// By how much the canary's fraction of good outcomes may be below the baseline's.
fn non_inferiority_margin(signal: Signal) -> f64 {
    match signal {
        Signal::InTime => IN_TIME_MARGIN,
        Signal::NoError => NO_ERROR_MARGIN,
        Signal::Quick => QUICK_MARGIN,
    }
}

/// Standard deviation of a signal's fraction of good outcomes between hosts of the same build.
fn host_deviation(signal: Signal) -> f64 {
    match signal {
        Signal::InTime | Signal::NoError => 0.0,
        Signal::Quick => QUICK_HOST_DEVIATION,
    }
}

/// Mean and variance of a Beta distribution.
struct BetaMoments {
    mean: f64,
    variance: f64,
}

impl BetaMoments {
    /// Moments of the posterior for these counts, with the uniform prior Beta(1, 1).
    fn posterior(counts: &SignalCounts) -> Self {
        let alpha = counts.good + 1.0;
        let total = counts.total() + 2.0;
        BetaMoments {
            mean: alpha / total,
            variance: alpha * (total - alpha) / (total * total * (total + 1.0)),
        }
    }
}

/// Probability that the canary's fraction of answers in time is below the baseline's by more than the margin, by a
/// normal approximation without a prior: the uniform prior would count against any canary with few outcomes.
fn probability_worse_than_expected(baseline: &SignalCounts, canary: &SignalCounts) -> f64 {
    let expected = baseline.good_fraction() - IN_TIME_MARGIN;
    let deviation = (expected * (1.0 - expected) / canary.total()).sqrt();
    probability_positive(expected - canary.good_fraction(), deviation)
}

/// Probability that a normally distributed difference with this mean and standard deviation is above zero.
fn probability_positive(difference: f64, deviation: f64) -> f64 {
    1.0 / (1.0 + (-LOGISTIC_SCALE * difference / deviation).exp())
}

/// A comparison of the arms by part of the evidence.
struct Comparison {
    /// One group of operations; none for all operations.
    slot: Option<usize>,
    signal: Signal,
    /// Factor for the counts of the merged evidence.
    weight: f64,
}

impl Comparison {
    /// Weighted outcomes that each arm needs.
    fn min_outcomes(&self) -> f64 {
        if self.slot.is_some() {
            MIN_SLOT_OUTCOMES
        } else {
            MIN_OUTCOMES
        }
    }
}

/// How far a stage has come; times are in seconds.
pub(super) struct StageProgress {
    /// The share of the hosts that should run the canary in this stage.
    pub(super) share: f64,
    /// The latest listed start of a canary host, or the start of the stage if that is later.
    pub(super) latest_start: f64,
    /// Enough of the stage's hosts have been listed for long enough, or [`SETTLE_TIMEOUT`] is over.
    is_settled: bool,
}

/// The number of hosts whose build matches.
fn host_count(index: &HostIndex, is_counted: impl Fn(BuildId) -> bool) -> usize {
    index.sum(is_counted).hosts
}

impl Router {
    /// Assesses the canary, or the newest build after its release, which only a slowdown can make worse.
    pub(super) fn assess_canary(&mut self, now: f64, status: &RolloutStatus) -> Assessment {
        let stage = self.stage_progress(now, status);
        let looks_worse = self.looks_worse(status);
        let slowdown = self.assess_slowdown(now, status, &stage);
        let is_released = status.phase == Phase::Released;
        if looks_worse && !is_released || slowdown.calls_for_roll_back(is_released) {
            return Assessment::Worse;
        }
        if is_released {
            return Assessment::InsufficientData;
        }
        if slowdown.blocks_promotion(now, &stage, self.settings.bake_scale) {
            return Assessment::PromotionBlocked;
        }
        if !stage.is_settled {
            return Assessment::Inconclusive;
        }
        self.assess_settled_stage(now, &stage)
    }

    /// Assesses a canary whose stage is settled, by answers in time over all operations.
    fn assess_settled_stage(&self, now: f64, stage: &StageProgress) -> Assessment {
        let probability = self.probability_worse(&Comparison {
            slot: None,
            signal: Signal::InTime,
            weight: 1.0,
        });
        let has_heard_enough = self.has_heard_enough_peers();
        match probability {
            Some(probability) if has_heard_enough => {
                if probability < PROMOTE_PROBABILITY || !self.baseline_is_listed() {
                    Assessment::NotWorse
                } else if probability > WITHDRAW_PROBABILITY {
                    Assessment::ProbablyWorse
                } else {
                    Assessment::Inconclusive
                }
            }
            _ => self.assess_insufficient_data(now, stage),
        }
    }

    /// Assesses a canary with too few outcomes or too few peers heard. Unless its outcomes count against it, it is
    /// promoted after a delay, which is longer where the baseline has outcomes and the canary few or none.
    fn assess_insufficient_data(&self, now: f64, stage: &StageProgress) -> Assessment {
        let baseline = self.known_outcomes(Arm::Baseline);
        let canary = self.known_outcomes(Arm::Canary);
        let has_baseline_outcomes = baseline.total() >= MIN_OUTCOMES;
        let has_canary_outcomes = canary.total() >= NO_OUTCOMES_LIMIT;
        if has_baseline_outcomes
            && has_canary_outcomes
            && probability_worse_than_expected(&baseline, &canary) > WITHDRAW_PROBABILITY
        {
            return Assessment::ProbablyWorse;
        }
        let delay = if !has_baseline_outcomes || canary.total() >= FEW_OUTCOMES_LIMIT {
            LOW_TRAFFIC_PROMOTE_DELAY
        } else if has_canary_outcomes {
            FEW_OUTCOMES_PROMOTE_DELAY
        } else {
            NO_OUTCOMES_PROMOTE_DELAY
        };
        if now - stage.latest_start > delay {
            Assessment::NotWorse
        } else {
            Assessment::InsufficientData
        }
    }

    /// The counts of answers in time of an arm, by this router's evidence or the merged one, whichever holds more.
    fn known_outcomes(&self, arm: Arm) -> SignalCounts {
        let merged = self.evidence.merged.counts(None, Signal::InTime, arm);
        let own = self.evidence.own.counts(None, Signal::InTime, arm);
        if own.total() > merged.total() {
            own
        } else {
            merged
        }
    }

    /// Whether gossip from enough peers has arrived in this stage.
    fn has_heard_enough_peers(&self) -> bool {
        let heard = self.peers.heard_since(self.rollout.stage_since);
        heard >= self.peers.live_count().min(MIN_PEERS_HEARD)
    }

    /// Probability that the canary's fraction of good outcomes is below the baseline's by more than the margin, by
    /// the merged evidence; none where an arm has too few outcomes. Outcomes weigh less the more routers there are,
    /// see [`HALF_WEIGHT_ROUTERS`].
    fn probability_worse(&self, comparison: &Comparison) -> Option<f64> {
        let weight =
            comparison.weight / (1.0 + f64::from(self.settings.routers) / HALF_WEIGHT_ROUTERS);
        let counts = |arm| {
            self.evidence
                .merged
                .counts(comparison.slot, comparison.signal, arm)
                .scaled(weight)
        };
        let baseline = counts(Arm::Baseline);
        let canary = counts(Arm::Canary);
        let min_total = comparison.min_outcomes() * weight;
        if baseline.total() < min_total || canary.total() < min_total {
            return None;
        }
        let baseline = BetaMoments::posterior(&baseline);
        let canary = BetaMoments::posterior(&canary);
        let host_variance =
            host_deviation(comparison.signal).powi(2) / self.rollout.canary_hosts.max(1.0);
        let deviation = (baseline.variance + canary.variance + host_variance).sqrt();
        let difference = baseline.mean - canary.mean - non_inferiority_margin(comparison.signal);
        Some(probability_positive(difference, deviation))
    }

    /// Whether the merged evidence calls for a roll-back. Slots are compared one by one as well, because a build can
    /// fail in one operation only. Quick answers show a build that is slower though its answers are in time; they are
    /// ignored where hosts are faster for keys they have served, since new hosts have served none. Errors count only
    /// where they are widespread, as a few hosts can fail for their own reasons.
    fn looks_worse(&self, status: &RolloutStatus) -> bool {
        let has_baseline = self.baseline_is_listed();
        let exceeds = |slot, signal, limit: f64| {
            let comparison = Comparison {
                slot,
                signal,
                weight: ROLL_BACK_OUTCOME_WEIGHT,
            };
            self.probability_worse(&comparison)
                .is_some_and(|probability| probability > limit)
        };
        let in_any_slot = |signal| {
            (0..self.settings.signal_slots)
                .any(|slot| exceeds(Some(slot), signal, ROLL_BACK_PROBABILITY_SINGLE))
        };
        let over_all_slots = |signal| exceeds(None, signal, ROLL_BACK_PROBABILITY_SINGLE);
        let by_time = has_baseline
            && (exceeds(None, Signal::InTime, ROLL_BACK_PROBABILITY)
                || in_any_slot(Signal::InTime)
                || over_all_slots(Signal::InTime));
        let by_errors = self.errors_are_widespread(status)
            && (in_any_slot(Signal::NoError) || over_all_slots(Signal::NoError));
        let by_quickness =
            has_baseline && !self.settings.key_affinity && over_all_slots(Signal::Quick);
        by_time || by_errors || by_quickness
    }

    /// The usable hosts that run the canary or a later build.
    fn canary_hosts(&self, status: &RolloutStatus) -> impl Iterator<Item = &Host> {
        let build = status.build;
        self.hosts
            .usable()
            .filter(move |host| host.entry.build >= build)
    }

    /// Whether so many of the canary's used hosts fail that the build must be the cause.
    fn errors_are_widespread(&self, status: &RolloutStatus) -> bool {
        let used = || self.canary_hosts(status).filter(|host| host.was_used());
        let failing = used().filter(|host| host.health.failure_rate > NO_ERROR_MARGIN);
        failing.count() * FAILING_HOSTS_DIVISOR >= used().count()
    }

    /// How far the stage has come. A stage is promoted only once its hosts run, because some builds fail only then.
    fn stage_progress(&self, now: f64, status: &RolloutStatus) -> StageProgress {
        let is_released = status.phase == Phase::Released;
        let share = self
            .settings
            .stage_shares
            .get(status.stage as usize)
            .filter(|_| !is_released)
            .copied()
            .unwrap_or(1.0);
        let latest_start = self
            .canary_hosts(status)
            .filter_map(|host| host.entry.started)
            .fold(self.rollout.stage_since, f64::max);
        // The stage's share is of all hosts, or of the baseline's alone where those stay until the release.
        let canary_hosts = host_count(&self.hosts.index, |build| build >= status.build);
        let all_hosts = host_count(&self.hosts.index, |_| true);
        let stage_hosts = if self.settings.baseline_stays {
            all_hosts - canary_hosts
        } else {
            all_hosts
        };
        let is_listed = canary_hosts as f64 >= SETTLED_HOST_FRACTION * share * stage_hosts as f64;
        let is_settled = is_listed && now - latest_start > SETTLE_DELAY
            || now - self.rollout.stage_since > SETTLE_TIMEOUT;
        StageProgress {
            share,
            latest_start,
            is_settled,
        }
    }

    /// Observes the slowdown of the service and assesses it, see [`SlowdownAssessment`].
    fn assess_slowdown(
        &mut self,
        now: f64,
        status: &RolloutStatus,
        stage: &StageProgress,
    ) -> SlowdownAssessment {
        let is_released = status.phase == Phase::Released;
        let observed = self.observe_slowdown(stage.share, is_released);
        self.service_slowdown
            .assess(now, &observed, stage, self.settings.bake_scale)
    }
}
