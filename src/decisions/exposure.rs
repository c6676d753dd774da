//! Exposure: the canary's attempts stay within its cap, a fraction of the requests in a sliding window.

use std::collections::VecDeque;

use super::Router;
use crate::interface::{BuildId, Phase};

/// Fraction of the cap up to which new keys are bound to the canary; the rest is kept for later requests of bound
/// keys.
const NEW_KEY_CAP_FRACTION: f64 = 0.85;

/// Fraction of the exposure allowance (attempts beyond the cap) that new keys may use.
const NEW_KEY_ALLOWANCE_FRACTION: f64 = 0.5;

/// A request that was received.
struct ReceivedRequest {
    /// When it was received, in seconds.
    at: f64,
    operation: usize,
    /// Its key is bound to the canary.
    is_bound_to_canary: bool,
}

/// An attempt at a build that is not released.
struct CanaryAttempt {
    /// When it was sent, in seconds.
    at: f64,
    build: BuildId,
    operation: usize,
}

/// The requests and the canary's attempts within the window.
#[derive(Default)]
pub(super) struct ExposureWindow {
    received: VecDeque<ReceivedRequest>,
    canary_attempts: VecDeque<CanaryAttempt>,
}

impl ExposureWindow {
    /// Drops entries older than the window, in seconds.
    pub(super) fn expire(&mut self, now: f64, window: f64) {
        self.received.retain(|entry| now - entry.at <= window);
        self.canary_attempts
            .retain(|entry| now - entry.at <= window);
    }

    /// Counts a request.
    pub(super) fn record_request(&mut self, now: f64, operation: usize, is_bound_to_canary: bool) {
        self.received.push_back(ReceivedRequest {
            at: now,
            operation,
            is_bound_to_canary,
        });
    }

    /// Counts an attempt at a build that is not released.
    pub(super) fn record_canary_attempt(&mut self, now: f64, build: BuildId, operation: usize) {
        self.canary_attempts.push_back(CanaryAttempt {
            at: now,
            build,
            operation,
        });
    }

    /// The number of requests in the window.
    pub(super) fn received(&self) -> f64 {
        self.received.len() as f64
    }

    /// The fraction of requests whose key is bound to the canary.
    pub(super) fn bound_fraction(&self) -> f64 {
        let bound = self
            .received
            .iter()
            .filter(|entry| entry.is_bound_to_canary);
        bound.count() as f64 / self.received().max(1.0)
    }
}

impl Router {
    /// Whether a build may get one more attempt: always where it is released, and within its cap where it is the
    /// canary.
    pub(super) fn has_exposure_room(
        &self,
        now: f64,
        build: BuildId,
        operation: usize,
        binds_new_key: bool,
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
        let received = self
            .exposure
            .received
            .iter()
            .filter(|entry| now - entry.at < window && is_counted(entry.operation))
            .count();
        let sent = self
            .exposure
            .canary_attempts
            .iter()
            .filter(|entry| entry.build == build && is_counted(entry.operation))
            .count();
        let reserves_headroom = binds_new_key && self.settings.sticky_keys && cap < 1.0;
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
