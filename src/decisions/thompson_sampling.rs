//! Thompson sampling: the arm that gets a request.
//!
//! A probability of an answer in time is drawn from each arm's Beta posterior (Decentralized Thompson Sampling), and
//! the higher one wins. The canary always gets a minimum share of the requests and only little more by won draws:
//! filling its cap would load the canary until it looks worse.

use rand::RngExt;
use rand_distr::{Beta, Distribution};

use super::evidence::Signal;
use super::outlier_detection::SLOW_HOST_RATIO;
use super::{MIN_DIVISOR, Router};
use crate::arm::{Arm, PerArm};

/// Maximum share of the requests that the canary may get by won draws, as a multiple of its minimum share.
const MAX_CANARY_SHARE_MULTIPLE: f64 = 1.25;

/// Fraction of the canary's share of the hosts beyond which bound keys alone make up its minimum share.
const MAX_BOUND_FRACTION_OF_SHARE: f64 = 0.6;

impl Router {
    /// The arm for a request that both arms can serve; `shares` are the sums of what their hosts can carry.
    pub(super) fn sample_arm(&mut self, now: f64, shares: &PerArm<f64>) -> Arm {
        let minimum = self.minimum_canary_share(shares);
        let dispatched = self.dispatched_fraction(now);
        let draw = self.rng.random::<f64>();
        let maximum = MAX_CANARY_SHARE_MULTIPLE * minimum / dispatched.clamp(MIN_DIVISOR, 1.0);
        let is_won = draw < maximum
            && self.thompson_sample(Arm::Canary) > self.thompson_sample(Arm::Baseline);
        Arm::canary_if(draw < minimum || is_won)
    }

    /// Whether the canary may get another request under pressure: it must not hold more of the attempts in flight
    /// than its share of the hosts allows. The check applies only with sticky keys, whose requests keep returning to
    /// the canary.
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

    /// The share of the requests that the canary gets without a draw: its share of what hosts can carry, less the
    /// requests of bound keys.
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

    /// The ratio of attempts to requests offered by clients, while the canary is much quicker than the baseline;
    /// otherwise the value is 1. With this ratio the canary's share refers to all requests offered, so that a slow
    /// baseline does not leave the canary's hosts idle.
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

    /// Draws a probability of an answer in time from an arm's posterior.
    fn thompson_sample(&mut self, arm: Arm) -> f64 {
        let counts = self.evidence.own.counts(None, Signal::InTime, arm);
        Beta::new(1.0 + counts.good, 1.0 + counts.bad)
            .map_or(0.5, |beta| beta.sample(&mut self.rng))
    }
}
