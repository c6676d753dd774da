//! Exposure: the canary's attempts stay within its cap, a fraction of the requests in a sliding window.

use std::collections::BTreeMap;

use super::Router;
use super::sliding_count::{CountFrom, SlidingCount};
use crate::interface::{BuildId, Phase};

/// Fraction of the cap up to which new keys are bound to the canary; the rest is kept for later requests of bound
/// keys.
const NEW_KEY_CAP_FRACTION: f64 = 0.85;

/// Fraction of the exposure allowance (attempts beyond the cap) that new keys may use.
const NEW_KEY_ALLOWANCE_FRACTION: f64 = 0.5;

/// What an attempt at a canary counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CanaryOperation {
    build: BuildId,
    operation: usize,
}

/// The requests and the canary's attempts within the window. Requests count early and attempts late, so that the cap
/// holds whatever the rate.
#[derive(Default)]
pub(super) struct ExposureWindow {
    /// Requests by operation.
    received: BTreeMap<usize, SlidingCount>,
    /// Requests whose keys are bound to the canary.
    bound_to_canary: Option<SlidingCount>,
    canary_attempts: BTreeMap<CanaryOperation, SlidingCount>,
}

impl ExposureWindow {
    /// Drops entries older than the window, in seconds.
    pub(super) fn expire(&mut self, now: f64, window: f64) {
        let is_over = |at: f64| now - at > window;
        let received = self.received.values_mut();
        received
            .chain(&mut self.bound_to_canary)
            .for_each(|count| count.expire(is_over));
        self.canary_attempts.retain(|_, count| {
            count.expire(is_over);
            count.total() > 0
        });
    }

    /// Counts a request.
    pub(super) fn record_request(
        &mut self,
        now: f64,
        operation: usize,
        is_bound_to_canary: bool,
        window: f64,
    ) {
        self.received
            .entry(operation)
            .or_insert_with(|| SlidingCount::new(CountFrom::First))
            .add(now, window);
        if is_bound_to_canary {
            self.bound_to_canary
                .get_or_insert_with(|| SlidingCount::new(CountFrom::First))
                .add(now, window);
        }
    }

    /// Counts an attempt at a build that is not released.
    pub(super) fn record_canary_attempt(
        &mut self,
        now: f64,
        build: BuildId,
        operation: usize,
        window: f64,
    ) {
        self.canary_attempts
            .entry(CanaryOperation { build, operation })
            .or_insert_with(|| SlidingCount::new(CountFrom::Last))
            .add(now, window);
    }

    /// The number of requests in the window.
    pub(super) fn received(&self) -> f64 {
        self.received
            .values()
            .map(SlidingCount::total)
            .sum::<usize>() as f64
    }

    /// The fraction of requests whose key is bound to the canary.
    pub(super) fn bound_fraction(&self) -> f64 {
        let bound = self.bound_to_canary.as_ref().map_or(0, SlidingCount::total);
        bound as f64 / self.received().max(1.0)
    }
}

impl Router {
    /// Whether a build may get one more attempt: always where it is released, and within its cap where it is the
    /// canary. `is_unbound` states that the request's sticky key, if it has one, is not bound to this or a newer build;
    /// such requests get only part of the cap.
    pub(super) fn has_exposure_room(
        &self,
        now: f64,
        build: BuildId,
        operation: usize,
        is_unbound: bool,
    ) -> bool {
        let phase = self.phase_of(build);
        let status = self.rollout.status.filter(|status| status.build == build);
        let cap = status.map_or(self.settings.first_cap, |status| status.cap);
        let stage = status.map_or(0, |status| status.stage);
        let cap = self
            .override_of(build)
            .map_or(cap, |requested| cap.min(requested.cap));
        let is_idempotent = self.settings.operations[operation]
            .idempotency_window
            .is_infinite();
        let is_guarded = stage < self.settings.idempotent_only_stages && !is_idempotent;
        if phase != Phase::Canary || cap <= 0.0 || is_guarded {
            return phase == Phase::Released;
        }
        let is_counted = |other: usize| !self.settings.exposure_by_operation || other == operation;
        let window = self.settings.exposure_window - 2.0 * self.settings.tick;
        let received: usize = self
            .exposure
            .received
            .iter()
            .filter(|(operation, _)| is_counted(**operation))
            .map(|(_, count)| count.count_without(|at| now - at >= window))
            .sum();
        let sent: usize = self
            .exposure
            .canary_attempts
            .iter()
            .filter(|(key, _)| key.build == build && is_counted(key.operation))
            .map(|(_, count)| count.total())
            .sum();
        let reserves_headroom = is_unbound && self.settings.sticky_keys && cap < 1.0;
        let cap_fraction = if reserves_headroom {
            NEW_KEY_CAP_FRACTION
        } else {
            1.0
        };
        let allowance_fraction = if reserves_headroom {
            NEW_KEY_ALLOWANCE_FRACTION
        } else {
            1.0
        };
        let allowed = allowance_fraction * self.settings.exposure_allowance
            + cap_fraction * cap * received as f64;
        sent as f64 + 1.0 <= allowed
    }
}
