//! The connections that attempts may use: hosts and networks drop idle connections without notice.

use super::Router;
use super::host_table::Host;
use super::latency_baselines::REFERENCE_STEP;
use super::request_table::TrackedRequest;
use super::{MIN_DURATION, settings::Operation};
use crate::interface::{AttemptOutcome, ConnectionRequirements};

/// Seconds without an attempt after which a host's connections count as idle, where the adapter does not report it.
const IDLE_BY_HOST: f64 = 0.3;

/// Seconds without use after which a connection counts as idle and may have been dropped.
const IDLE_BY_CONNECTION: f64 = 0.1;

/// Weight of one attempt in the smoothed fractions of lost attempts.
const LOSS_WEIGHT: f64 = 0.08;

/// Difference between the fractions of lost attempts on idle and on other connections above which idle ones are not
/// used.
const MAX_LOSS_EXCESS: f64 = 0.2;

/// How many times more slowly than other reference levels ([`REFERENCE_STEP`]) losses on idle connections are
/// forgotten.
const LOSS_DECAY_DIVISOR: f64 = 4.0;

/// Seconds between an answer and the next use of its connection: noise can come up to 4 ms after an answer, and would
/// fail the next attempt if it crossed it. Whose answer is whose does not depend on this time.
const MIN_IDLE: f64 = 0.02;

/// Number of a host's connections unused for less than [`MIN_IDLE`] from which the one unused for longest is used all
/// the same, as hosts accept few connections.
const MAX_BELOW_MIN_IDLE: usize = 8;

/// Fraction of the drain grace within which an attempt must be written, so that it arrives before the host has
/// drained.
const WRITE_DRAIN_FRACTION: f64 = 0.8;

/// Smoothed fractions of attempts without an answer.
#[derive(Default)]
pub(super) struct ConnectionLosses {
    /// On connections that counted as idle.
    on_idle: f64,
    /// On connections in use and on new ones.
    on_others: f64,
}

impl ConnectionLosses {
    /// Records the outcome of an attempt.
    pub(super) fn record(&mut self, outcome: AttemptOutcome, on_idle_connection: bool) {
        let lost = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset);
        let fraction = if on_idle_connection {
            &mut self.on_idle
        } else {
            &mut self.on_others
        };
        *fraction += LOSS_WEIGHT * (f64::from(u8::from(lost)) - *fraction);
    }

    /// Slowly forgets losses on idle connections, so that they are used again.
    pub(super) fn decay(&mut self) {
        let excess = (self.on_idle - self.on_others).max(0.0);
        self.on_idle -= REFERENCE_STEP / LOSS_DECAY_DIVISOR * excess;
    }

    /// Whether idle connections are dropped so often that none should be used.
    pub(super) fn idle_connections_are_dropped(&self) -> bool {
        self.on_idle > MAX_LOSS_EXCESS + self.on_others
    }
}

/// Whether a connection that was unused for this time, in seconds, counts as idle.
pub(super) fn was_idle(idle: f64) -> bool {
    idle > IDLE_BY_CONNECTION
}

/// Whether a host has had no attempts for so long that its connections count as idle.
pub(super) fn is_idle(host: &Host, now: f64) -> bool {
    host.in_flight.is_empty() && host.was_used() && now - host.last_used > IDLE_BY_HOST
}

impl Router {
    /// The connection that an attempt of this request may use, and by when the attempt must be written. The limits on
    /// retries, drained hosts and exposure apply when the last byte is written, not when the attempt is decided, as
    /// connecting takes time.
    pub(super) fn connection_requirements(
        &self,
        now: f64,
        request: &TrackedRequest,
        operation: &Operation,
    ) -> ConnectionRequirements {
        let window = operation.idempotency_window;
        let window_left = request
            .first_attempt_with_possible_effect()
            .map_or(f64::INFINITY, |first| {
                window - 2.0 * self.settings.tick - (now - first.sent_at)
            });
        let drain_limit = WRITE_DRAIN_FRACTION * self.settings.drain_grace;
        let max_idle = if self.connection_losses.idle_connections_are_dropped() {
            IDLE_BY_CONNECTION
        } else {
            f64::INFINITY
        };
        ConnectionRequirements {
            max_idle,
            min_idle: MIN_IDLE,
            max_below_min_idle: MAX_BELOW_MIN_IDLE,
            write_timeout: window_left.min(drain_limit).max(MIN_DURATION),
        }
    }
}
