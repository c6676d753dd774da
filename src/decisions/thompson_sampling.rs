//! Thompson sampling: which arm gets a request.
//!
//! Each arm's chance of an answer in time is drawn from its Beta posterior (Decentralized Thompson Sampling). The
//! canary always gets a minimum share, and by won draws little more: going up to the cap would load a build into
//! looking bad.

use rand::RngExt;
use rand_distr::{Beta, Distribution};

use super::evidence::Signal;
use super::outlier_detection::SLOW_HOST_RATIO;
use super::{MIN_DIVISOR, Router};
use crate::arm::{Arm, PerArm};

/// Times its machines' share that the canary may get by won draws.
const MAX_CANARY_SHARE_MULTIPLE: f64 = 1.25;

/// Part of its share of the machines beyond which bound keys alone fill the canary's minimum share.
const MAX_BOUND_FRACTION_OF_SHARE: f64 = 0.6;

impl Router {
    /// The arm of a request that both arms can serve; `shares` are what their hosts can carry.
    pub(super) fn sample_arm(&mut self, now: f64, shares: &PerArm<f64>) -> Arm {
        let minimum = self.minimum_canary_share(shares);
        let dispatched = self.dispatched_fraction(now);
        let draw = self.rng.random::<f64>();
        let maximum = MAX_CANARY_SHARE_MULTIPLE * minimum / dispatched.clamp(MIN_DIVISOR, 1.0);
        let is_won = draw < maximum
            && self.thompson_sample(Arm::Canary) > self.thompson_sample(Arm::Baseline);
        Arm::canary_if(draw < minimum || is_won)
    }

    /// Whether the canary holds no more than its machines' part of what is in flight. It matters under pressure
    /// where keys may not return: bound keys come again and again.
    pub(super) fn canary_may_take_more(&self) -> bool {
        if !self.settings.sticky_keys || !self.in_flight.is_under_pressure() {
            return true;
        }
        let canaries = self
            .hosts
            .usable()
            .filter(|host| self.is_canary(host.entry.build));
        let canary_in_flight: usize = canaries.map(|host| host.in_flight.len()).sum();
        let limit = MAX_CANARY_SHARE_MULTIPLE * self.rollout.canary_share * self.in_flight.count();
        canary_in_flight as f64 <= 1.0 + limit
    }

    /// The share of the requests that the canary gets without a draw: its machines' part, less what comes with
    /// bound keys.
    fn minimum_canary_share(&self, shares: &PerArm<f64>) -> f64 {
        let all = shares.baseline + shares.canary;
        let share = shares.canary / all.max(MIN_DIVISOR);
        if !self.settings.sticky_keys {
            return share;
        }
        let bound = self.exposure.bound_fraction();
        if bound > MAX_BOUND_FRACTION_OF_SHARE * share {
            0.0
        } else {
            (share - bound) / (1.0 - bound)
        }
    }

    /// The fraction of offered requests that is let in, while the canary is far quicker: then it goes by all that
    /// came, so that a slow baseline keeps none of its hosts idle. 1 otherwise.
    fn dispatched_fraction(&self, now: f64) -> f64 {
        let baseline = self.latency.relative_slowdown(Arm::Baseline);
        let canary = self.latency.relative_slowdown(Arm::Canary);
        let is_quicker = baseline
            .zip(canary)
            .is_some_and(|(baseline, canary)| baseline > SLOW_HOST_RATIO * canary);
        if is_quicker {
            self.rates.attempts.with_event(now) / self.rates.offered.with_event(now)
        } else {
            1.0
        }
    }

    /// Draws an arm's chance of an answer in time from its posterior.
    fn thompson_sample(&mut self, arm: Arm) -> f64 {
        let counts = self.evidence.own.counts(None, Signal::InTime, arm);
        Beta::new(1.0 + counts.good, 1.0 + counts.bad)
            .map_or(0.5, |beta| beta.sample(&mut self.rng))
    }
}
