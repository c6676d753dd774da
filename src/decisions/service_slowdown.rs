//! Slowdown of the whole service, which a comparison of the arms does not show because a canary can slow down both.
//!
//! Answer times are compared with those before the canary: on the baseline's hosts while any are listed, on the
//! canary's after that. Losses beyond what the canary's share of the hosts explains are attributed to another cause
//! until they end, and so is a slowdown that the canary's own hosts do not show.

use super::Router;
use super::canary_assessment::{IN_TIME_MARGIN, StageProgress};
use super::evidence::Signal;
use super::latency_baselines::REFERENCE_STEP;
use crate::arm::Arm;

/// Slowdown (times slower than before the canary) above which the canary is not promoted.
const BLOCKING_SLOWDOWN: f64 = 1.3;

/// The same limit where no baseline host is left to compare with.
const BLOCKING_SLOWDOWN_NO_BASELINE: f64 = 1.6;

/// Slowdown above which the service counts as harmed.
const HARMFUL_SLOWDOWN: f64 = 2.0;

/// Slowdown at which the delays before a roll-back apply as they are; they are shortened in inverse proportion to
/// larger slowdowns and lengthened for smaller ones.
const ROLL_BACK_REFERENCE_SLOWDOWN: f64 = 2.6;

/// Slowdown beyond 1 that a loss of all answers in time counts as; smaller losses count in proportion.
const SLOWDOWN_PER_LOST_FRACTION: f64 = 4.0;

/// Slowdown beyond 1 that a canary on all hosts can explain; a canary on part of the hosts explains it in proportion
/// to its share.
const EXPLAINED_SLOWDOWN_PER_SHARE: f64 = 12.0;

/// Fraction of the service's slowdown beyond 1 that the canary's own hosts must exceed, where theirs is known, before
/// the canary counts as the cause.
const MIN_CANARY_EXCESS_FRACTION: f64 = 0.5;

/// Fraction of the slowdown beyond 1 at the end of the previous stage that the current slowdown must exceed; a
/// smaller one does not follow the canary's growth from stage to stage.
const MIN_STAGE_EXCESS_FRACTION: f64 = 0.9;

/// Slowdown by answer times below which lost answers in a large fleet do not count as a slowdown.
const LARGE_FLEET_MIN_SLOWDOWN: f64 = 1.05;

/// Seconds that must have passed both since a slowdown began and since the latest start of a canary host before a
/// slowdown without harm no longer blocks promotion.
const NEW_SLOWDOWN_TIME: f64 = 8.0;

/// Seconds after the latest start of a canary host within which a slowdown counts as begun with the stage.
const STAGE_ONSET_WINDOW: f64 = NEW_SLOWDOWN_TIME / 2.0;

/// Seconds that a slowdown which began with the stage must last before the vote to roll back.
const STAGE_SLOWDOWN_ROLL_BACK_DELAY: f64 = 12.0;

/// Seconds that any other slowdown must last before the vote to roll back: longer than common disturbances. It also
/// applies where no baseline host is left, because rolling back then interrupts all traffic for a while.
const OTHER_SLOWDOWN_ROLL_BACK_DELAY: f64 = 16.0;

/// The state that is kept about the service's slowdown.
#[derive(Default)]
pub(super) struct ServiceSlowdown {
    /// The time since which the canary may be the cause, in seconds.
    since: f64,
    /// The losses are larger than the canary's share of the hosts explains.
    is_unrelated: bool,
    /// The slowdown at the end of the previous stage.
    pub(super) at_previous_stage: f64,
    /// The reference for the fraction of answers in time: its value at the start of the canary, raised towards better
    /// values since.
    pub(super) best_in_time: f64,
}

/// The current slowdown of the service, as a factor relative to the time before the canary.
pub(super) struct ObservedSlowdown {
    /// The slowdown, with losses counted where they may be caused by the canary.
    slowdown: f64,
    /// The slowdown with losses counted in any case.
    slowdown_with_losses: f64,
    /// The canary's own hosts show the slowdown, or theirs is not known.
    canary_is_slow: bool,
    /// The largest slowdown that a canary of this stage explains.
    max_explained: f64,
    /// The fraction of answers in time is below the reference by more than the margin.
    loses_answers: bool,
    has_baseline: bool,
}

impl ObservedSlowdown {
    fn is_harmful(&self) -> bool {
        self.loses_answers || self.has_baseline && self.slowdown > HARMFUL_SLOWDOWN
    }

    /// The slowdown above which the canary is not promoted.
    fn blocking_threshold(&self) -> f64 {
        if self.has_baseline {
            BLOCKING_SLOWDOWN
        } else {
            BLOCKING_SLOWDOWN_NO_BASELINE
        }
    }
}

/// What the service's slowdown says of the canary; times are in seconds.
pub(super) struct SlowdownAssessment {
    /// The canary may be the cause.
    may_be_canary: bool,
    is_harmful: bool,
    slowdown_with_losses: f64,
    /// For how long the canary may have been the cause.
    duration: f64,
    /// It has lasted longer than the delay before a roll-back.
    exceeds_delay: bool,
    /// It began with the stage.
    began_with_stage: bool,
}

impl SlowdownAssessment {
    /// Whether the build should be rolled back. A released build is rolled back only for a slowdown that began with
    /// its last stage.
    pub(super) fn calls_for_roll_back(&self, is_released: bool) -> bool {
        self.is_harmful && self.exceeds_delay && (self.began_with_stage || !is_released)
    }

    /// Whether the canary should not be promoted. While the service is harmed, whatever the cause, promotion is
    /// blocked for a time after each start of a canary host, because during a burst the few hosts of a canary can be
    /// quicker than the baseline's and make it look better.
    pub(super) fn blocks_promotion(
        &self,
        now: f64,
        stage: &StageProgress,
        bake_scale: f64,
    ) -> bool {
        let after_start = now - stage.latest_start;
        let is_new = self.duration.min(after_start) < NEW_SLOWDOWN_TIME;
        let is_from_canary = self.may_be_canary && (self.is_harmful || is_new);
        let is_service_wide = self.is_harmful
            && self.slowdown_with_losses > BLOCKING_SLOWDOWN
            && after_start < bake_scale * NEW_SLOWDOWN_TIME;
        is_from_canary || is_service_wide
    }
}

impl ServiceSlowdown {
    /// Updates the state by the current slowdown and assesses it.
    pub(super) fn assess(
        &mut self,
        now: f64,
        observed: &ObservedSlowdown,
        stage: &StageProgress,
        bake_scale: f64,
    ) -> SlowdownAssessment {
        let slowdown = observed.slowdown;
        let min_slowdown = 1.0 + MIN_STAGE_EXCESS_FRACTION * (self.at_previous_stage - 1.0);
        let has_grown = slowdown > min_slowdown && slowdown < observed.max_explained;
        let may_be_canary = observed.canary_is_slow
            && has_grown
            && !self.is_unrelated
            && slowdown > observed.blocking_threshold();
        if !may_be_canary {
            self.since = now;
        }
        let duration = now - self.since;
        let began_with_stage = self.since < stage.latest_start + STAGE_ONSET_WINDOW;
        let delay = if !observed.has_baseline || !began_with_stage {
            OTHER_SLOWDOWN_ROLL_BACK_DELAY
        } else {
            STAGE_SLOWDOWN_ROLL_BACK_DELAY
        };
        SlowdownAssessment {
            may_be_canary,
            is_harmful: observed.is_harmful(),
            slowdown_with_losses: observed.slowdown_with_losses,
            duration,
            exceeds_delay: duration * slowdown / ROLL_BACK_REFERENCE_SLOWDOWN > bake_scale * delay,
            began_with_stage,
        }
    }
}

impl Router {
    /// The current slowdown of the service; `stage_share` is the share of the hosts that should run the canary. Hosts
    /// that pause or are lost cost answers but leave the quick answer times of all other hosts unchanged. In a large
    /// fleet such losses alone therefore do not count as a slowdown; they still block promotion for a while.
    pub(super) fn observe_slowdown(
        &mut self,
        stage_share: f64,
        is_released: bool,
    ) -> ObservedSlowdown {
        let has_baseline = self.baseline_is_listed();
        let arm = Arm::canary_if(!has_baseline);
        let counts = self.evidence.own.counts(None, Signal::InTime, arm);
        let in_time = counts.good_fraction();
        let state = &mut self.service_slowdown;
        state.best_in_time += REFERENCE_STEP * (in_time - state.best_in_time).max(0.0);
        let time_slowdown = self.peers.shared_slowdown;
        let loss_slowdown = 1.0 + SLOWDOWN_PER_LOST_FRACTION * (state.best_in_time - in_time);
        let slowdown_with_losses = time_slowdown.max(loss_slowdown);
        let ignores_losses =
            self.settings.is_large_fleet && time_slowdown < LARGE_FLEET_MIN_SLOWDOWN;
        let slowdown = if ignores_losses {
            time_slowdown
        } else {
            slowdown_with_losses
        };
        let max_explained_losses = 1.0 + EXPLAINED_SLOWDOWN_PER_SHARE * self.rollout.canary_share;
        let is_unrelated = state.is_unrelated || loss_slowdown > max_explained_losses;
        state.is_unrelated = slowdown > BLOCKING_SLOWDOWN && is_unrelated && !is_released;
        let loses_answers = in_time < state.best_in_time - IN_TIME_MARGIN;
        let canary_slowdown = self.latency.relative_slowdown(Arm::Canary);
        let canary_is_slow = !has_baseline
            || canary_slowdown
                .is_none_or(|factor| factor > 1.0 + MIN_CANARY_EXCESS_FRACTION * (slowdown - 1.0));
        ObservedSlowdown {
            slowdown,
            slowdown_with_losses,
            canary_is_slow,
            max_explained: 1.0 + EXPLAINED_SLOWDOWN_PER_SHARE * stage_share,
            loses_answers,
            has_baseline,
        }
    }
}
