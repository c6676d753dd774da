//! Rule 5: the canary's attempts stay within its cap, counted over a sliding window.

use std::collections::VecDeque;

use super::Router;
use crate::interface::{BuildId, Phase};

/// Part of the cap beyond which no new key is bound to the canary: its later requests must still fit.
const NEW_KEY_CAP_PART: f64 = 0.85;

/// Part of the spare attempts that new keys may use.
const NEW_KEY_SPARE_PART: f64 = 0.5;

/// A request that was admitted.
struct AdmittedRequest {
    at: f64,
    operation: usize,
    /// Its key may go to the canary alone.
    is_bound_to_canary: bool,
}

/// An attempt at a build under a cap.
struct CanaryAttempt {
    at: f64,
    build: BuildId,
    operation: usize,
}

/// The requests and the canary's attempts within the window.
#[derive(Default)]
pub(super) struct ExposureWindow {
    admitted: VecDeque<AdmittedRequest>,
    canary_attempts: VecDeque<CanaryAttempt>,
}

impl ExposureWindow {
    /// Drops what is older than the window, in seconds.
    pub(super) fn expire(&mut self, now: f64, window: f64) {
        self.admitted.retain(|of| now - of.at <= window);
        self.canary_attempts.retain(|of| now - of.at <= window);
    }

    /// Counts a request.
    pub(super) fn admit(&mut self, now: f64, operation: usize, is_bound_to_canary: bool) {
        self.admitted.push_back(AdmittedRequest {
            at: now,
            operation,
            is_bound_to_canary,
        });
    }

    /// Counts an attempt at a build under a cap.
    pub(super) fn expose(&mut self, now: f64, build: BuildId, operation: usize) {
        self.canary_attempts.push_back(CanaryAttempt {
            at: now,
            build,
            operation,
        });
    }

    /// The number of requests in the window.
    pub(super) fn admitted(&self) -> f64 {
        self.admitted.len() as f64
    }

    /// The fraction of requests whose keys may go to the canary alone.
    pub(super) fn bound_fraction(&self) -> f64 {
        let bound = self.admitted.iter().filter(|of| of.is_bound_to_canary);
        bound.count() as f64 / self.admitted().max(1.0)
    }
}

impl Router {
    /// Whether one more attempt at this build stays within its cap.
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
            .map_or(cap, |asked| cap.min(asked.cap));
        let is_idempotent = self.settings.operations[operation]
            .idempotency_window
            .is_infinite();
        let is_guarded = stage < self.settings.idempotent_only_stages && !is_idempotent;
        if phase != Phase::Canary || cap <= 0.0 || is_guarded {
            return phase == Phase::Released;
        }
        let counts = |of: usize| !self.settings.exposure_by_operation || of == operation;
        let window = self.settings.exposure_window - 2.0 * self.settings.tick;
        let admitted = self
            .exposure
            .admitted
            .iter()
            .filter(|of| now - of.at < window && counts(of.operation))
            .count();
        let sent = self
            .exposure
            .canary_attempts
            .iter()
            .filter(|of| of.build == build && counts(of.operation))
            .count();
        let keeps_room = binds_new_key && self.settings.sticky_keys && cap < 1.0;
        let part = if keeps_room { NEW_KEY_CAP_PART } else { 1.0 };
        let spare_part = if keeps_room { NEW_KEY_SPARE_PART } else { 1.0 };
        let allowed = spare_part * self.settings.exposure_allowance + part * cap * admitted as f64;
        sent as f64 + 1.0 <= allowed
    }
}
