//! The assessment of the canary: what the merged evidence and the service's slowdown say of it.

use super::Router;
use super::evidence::{Signal, SignalCounts};
use super::service_slowdown::SlowdownAssessment;
use crate::arm::Arm;
use crate::host_index::HostIndex;
use crate::interface::{BuildId, Phase, RolloutStatus};

use super::host_table::Host;

/// Routers at which half of the evidence is clumps: messages within a half-life, by peers.
const HALF_WEIGHT_ROUTERS: f64 = 430.0;

/// Peers heard in this stage before the canary is assessed, or all that live.
const MIN_PEERS_HEARD: usize = 10;

/// Outcomes of each arm before the canary is compared.
const MIN_OUTCOMES: f64 = 20.0;

/// Outcomes of each arm before one operation is compared by itself.
const MIN_SLOT_OUTCOMES: f64 = 12.0;

/// Chance of being worse, by answers in time, above which the canary is rolled back.
const ROLL_BACK_PROBABILITY: f64 = 0.95;

/// Chance of being worse, by one operation or another signal alone, above which the canary is rolled back.
const ROLL_BACK_PROBABILITY_SINGLE: f64 = 0.97;

/// Chance of being worse below which the canary is promoted.
const PROMOTE_PROBABILITY: f64 = 0.2;

/// Chance of being worse above which a vote to promote the canary is withdrawn.
const WITHDRAW_PROBABILITY: f64 = 0.8;

/// Fraction of answers in time that the canary may lack.
pub(super) const IN_TIME_MARGIN: f64 = 0.05;

/// Fraction of answers without an error that the canary may lack.
const NO_ERROR_MARGIN: f64 = 0.02;

/// Fraction of quick answers that the canary may lack.
const QUICK_MARGIN: f64 = 0.05;

/// Standard deviation of the fraction of quick answers among the hosts of one build.
const QUICK_HOST_DEVIATION: f64 = 0.15;

/// Outcomes that a merged one is worth for a vote to roll back: gossip mixes unevenly.
const ROLL_BACK_OUTCOME_WEIGHT: f64 = 0.5;

/// One in so many of the canary's hosts must fail before errors speak against the build.
const FAILING_HOSTS_DIVISOR: usize = 3;

/// Part of a stage's machines that must be listed before its canary is promoted.
const SETTLED_HOST_FRACTION: f64 = 0.9;

/// Seconds after a stage's last listed start before its canary is promoted: some builds fail only with its traffic.
const SETTLE_DELAY: f64 = 1.2;

/// Seconds of a stage after which it counts as settled, whatever is listed.
const SETTLE_TIMEOUT: f64 = 9.0;

/// Seconds after a stage's last listed start before its canary is promoted with too few outcomes.
const LOW_TRAFFIC_PROMOTE_DELAY: f64 = 3.0;

/// The same where the baseline has enough outcomes: the canary's are about to come.
const FEW_OUTCOMES_PROMOTE_DELAY: f64 = 5.0;

/// The same where the baseline has enough outcomes and the canary none: those who see it need this long to tell.
const NO_OUTCOMES_PROMOTE_DELAY: f64 = 20.0;

/// Outcomes of the canary with which a router does not wait for more for longer than [`LOW_TRAFFIC_PROMOTE_DELAY`].
const FEW_OUTCOMES_LIMIT: f64 = 5.0;

/// Outcomes below which nothing is known of the canary.
const NO_OUTCOMES_LIMIT: f64 = 1.0;

/// Seconds that a stage bakes where the times of a slowdown hold as they are.
const REFERENCE_BAKE_TIME: f64 = 3.0;

/// Least part of those times, where stages bake less: troubles and builds come and go with the stages there.
const MIN_BAKE_SCALE: f64 = 0.6;

/// Scale of a normal variate at which the logistic function is closest to its distribution function.
const LOGISTIC_SCALE: f64 = 1.702;

/// How the canary looks.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Assessment {
    /// Worse than the baseline.
    Worse,
    /// No worse than the baseline.
    NotWorse,
    /// Neither is certain.
    Inconclusive,
    /// More likely worse than not, and not certain.
    ProbablyWorse,
    /// The whole service has become slower, and the canary may be why.
    PromotionBlocked,
    /// Too few outcomes.
    InsufficientData,
}

/// How short stages that bake for so many seconds are, of those that the times of a slowdown are for.
pub(super) fn bake_scale(bake: f64) -> f64 {
    (bake / REFERENCE_BAKE_TIME).clamp(MIN_BAKE_SCALE, 1.0)
}

/// The fraction of good outcomes that the canary may lack.
fn non_inferiority_margin(signal: Signal) -> f64 {
    match signal {
        Signal::InTime => IN_TIME_MARGIN,
        Signal::NoError => NO_ERROR_MARGIN,
        Signal::Quick => QUICK_MARGIN,
    }
}

/// The standard deviation of a signal's fraction among the hosts of one build.
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
    /// Of the posterior of these counts, from Beta(1, 1).
    fn posterior(counts: &SignalCounts) -> Self {
        let alpha = counts.good + 1.0;
        let total = counts.total() + 2.0;
        BetaMoments {
            mean: alpha / total,
            variance: alpha * (total - alpha) / (total * total * (total + 1.0)),
        }
    }
}

/// The chance that so few outcomes of the canary come from a fraction in time that is lower by over the margin. The
/// uniform prior would speak against whatever has few.
fn probability_worse_than_expected(baseline: &SignalCounts, canary: &SignalCounts) -> f64 {
    let expected = baseline.good_fraction() - IN_TIME_MARGIN;
    let deviation = (expected * (1.0 - expected) / canary.total()).sqrt();
    probability_positive(expected - canary.good_fraction(), deviation)
}

/// The chance that a difference with this standard deviation is above zero.
fn probability_positive(difference: f64, deviation: f64) -> f64 {
    1.0 / (1.0 + (-LOGISTIC_SCALE * difference / deviation).exp())
}

/// Which evidence is compared.
struct Comparison {
    /// None: all operations.
    slot: Option<usize>,
    signal: Signal,
    /// What a merged outcome is worth.
    weight: f64,
}

impl Comparison {
    /// Outcomes of each arm that it needs.
    fn min_outcomes(&self) -> f64 {
        if self.slot.is_some() {
            MIN_SLOT_OUTCOMES
        } else {
            MIN_OUTCOMES
        }
    }
}

/// How far a stage has come.
pub(super) struct StageProgress {
    /// The share of the machines that the stage should have.
    pub(super) share: f64,
    /// The last listed start of the canary's hosts, or the stage's own, in seconds.
    pub(super) latest_start: f64,
    is_settled: bool,
}

/// The number of hosts of some builds.
fn host_count(index: &HostIndex, is_counted: impl Fn(BuildId) -> bool) -> usize {
    index.sum(is_counted).hosts
}

impl Router {
    /// Assesses the canary, or the build that was released last.
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

    /// What the evidence says of a canary whose stage is settled.
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

    /// What too few outcomes say: a canary that they do not speak against is promoted in time, later the fewer they are.
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

    /// The outcomes of an arm that this router or its peers have seen, by answers in time.
    fn known_outcomes(&self, arm: Arm) -> SignalCounts {
        let merged = self.evidence.merged.counts(None, Signal::InTime, arm);
        let own = self.evidence.own.counts(None, Signal::InTime, arm);
        if own.total() > merged.total() {
            own
        } else {
            merged
        }
    }

    /// Whether enough peers were heard in this stage.
    fn has_heard_enough_peers(&self) -> bool {
        let heard = self.peers.heard_since(self.rollout.stage_since);
        heard >= self.peers.live_count().min(MIN_PEERS_HEARD)
    }

    /// The chance that the canary is worse by over the margin, by the merged evidence; none with too few outcomes.
    /// The more routers, the more evidence comes in clumps.
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

    /// Whether the merged evidence speaks for rolling the canary back. One operation may fail alone, or a build be
    /// slow yet in time; errors of a few hosts are theirs.
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

    /// The canary's hosts.
    fn canary_hosts(&self, status: &RolloutStatus) -> impl Iterator<Item = &Host> {
        let build = status.build;
        self.hosts
            .usable()
            .filter(move |host| host.entry.build >= build)
    }

    /// Whether so many of the canary's hosts fail that it is the build.
    fn errors_are_widespread(&self, status: &RolloutStatus) -> bool {
        let used = || self.canary_hosts(status).filter(|host| host.was_used());
        let failing = used().filter(|host| host.health.failure_rate > NO_ERROR_MARGIN);
        failing.count() * FAILING_HOSTS_DIVISOR >= used().count()
    }

    /// How far the stage has come. Its machines must run before it is moved on: some builds fail only then.
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
        // The stage's places: all machines, or the baseline's alone where those stay until the release.
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

    /// See [`SlowdownAssessment`].
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
