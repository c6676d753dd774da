//! A slowdown of the whole service, which no comparison of the arms shows: a canary may slow both.
//!
//! Times are compared with those before the canary, on the baseline's hosts while any is left. Losses beyond what
//! the canary's machines explain are other trouble until they end, as is a quicker canary.

use super::Router;
use super::canary_assessment::{IN_TIME_MARGIN, StageProgress};
use super::evidence::Signal;
use super::latency_baselines::REFERENCE_STEP;
use crate::arm::Arm;

/// Times slower than before above which the canary is not promoted.
const BLOCKING_SLOWDOWN: f64 = 1.3;

/// The same, where no baseline host is left to compare with.
const BLOCKING_SLOWDOWN_NO_BASELINE: f64 = 1.6;

/// Times slower than before above which the service is harmed.
const HARMFUL_SLOWDOWN: f64 = 2.0;

/// Times slower than before at which the delays to a roll-back hold; in proportion less where it is slower.
const ROLL_BACK_REFERENCE_SLOWDOWN: f64 = 2.6;

/// Times slower that losing all answers in time counts for, beyond 1.
const SLOWDOWN_PER_LOST_FRACTION: f64 = 4.0;

/// Times slower, for its share of the machines, that a canary may make all others.
const EXPLAINED_SLOWDOWN_PER_SHARE: f64 = 12.0;

/// Part of the service's slowdown that the canary's own hosts must show, where theirs is known.
const MIN_CANARY_EXCESS_FRACTION: f64 = 0.5;

/// Part of the slowdown of the stage before that it must have: else it is not in step with the stages.
const MIN_STAGE_EXCESS_FRACTION: f64 = 0.9;

/// Times slower under which losses in a large fleet are not a canary's slowdown.
const LARGE_FLEET_MIN_SLOWDOWN: f64 = 1.05;

/// Seconds of a stage for which a slowdown without harm holds the canary.
const NEW_SLOWDOWN_TIME: f64 = 8.0;

/// Seconds after a stage's last start within which a slowdown came with the stage.
const STAGE_ONSET_WINDOW: f64 = NEW_SLOWDOWN_TIME / 2.0;

/// Seconds of a slowdown that came with the stage before the vote to roll back.
const STAGE_SLOWDOWN_ROLL_BACK_DELAY: f64 = 12.0;

/// Seconds of any other slowdown before the vote to roll back: it must outlast common troubles. The same where no
/// baseline host is left, as going back stops all for a while.
const OTHER_SLOWDOWN_ROLL_BACK_DELAY: f64 = 16.0;

/// What a router remembers of the service's slowdown.
#[derive(Default)]
pub(super) struct ServiceSlowdown {
    /// Since when it could be the canary's, in seconds.
    since: f64,
    /// It is more than the canary's part of the machines explains.
    is_unrelated: bool,
    /// The slowdown when the stage before ended.
    pub(super) at_previous_stage: f64,
    /// The fraction of answers in time, as good as it was lately, before or during the canary.
    pub(super) best_in_time: f64,
}

/// The service's slowdown as it is now, in times slower than before the canary.
pub(super) struct ObservedSlowdown {
    /// Losses counted where they may be the canary's.
    slowdown: f64,
    /// Losses counted in any case.
    slowdown_with_losses: f64,
    /// The canary's own hosts show their part of it.
    canary_is_slow: bool,
    /// The largest that a canary of this stage explains.
    max_explained: f64,
    /// Answers in time are lost.
    loses_answers: bool,
    has_baseline: bool,
}

impl ObservedSlowdown {
    fn is_harmful(&self) -> bool {
        self.loses_answers || self.has_baseline && self.slowdown > HARMFUL_SLOWDOWN
    }

    /// Times slower above which the canary is not promoted.
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
    /// It may be the canary's.
    may_be_canary: bool,
    is_harmful: bool,
    slowdown_with_losses: f64,
    /// How long it has lasted.
    duration: f64,
    exceeds_delay: bool,
    /// It came with the stage.
    began_with_stage: bool,
}

impl SlowdownAssessment {
    /// Whether the build should be rolled back; a released one only for a slowdown that came with its last stage.
    pub(super) fn calls_for_roll_back(&self, is_released: bool) -> bool {
        self.is_harmful && self.exceeds_delay && (self.began_with_stage || !is_released)
    }

    /// Whether the canary should not be promoted. While the service is harmed, whoever causes it, that holds for a
    /// time after each start: in a burst a canary's few hosts may be quicker than the baseline's.
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
    /// Takes in the slowdown as it is now.
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
    /// The service's slowdown as it is now; `stage_share` is the share of the machines that the stage should have.
    /// Hosts that pause or are lost cost answers, and leave the quick times of all others as they were: what a large
    /// fleet loses beside them holds a build for a while, but is not its slowdown.
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
