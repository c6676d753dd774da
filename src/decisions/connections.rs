//! On which connections attempts may go: hosts and networks drop idle ones unseen.

use super::Router;
use super::host_table::Host;
use super::latency_baselines::RECOVERY_STEP;
use super::request_table::TrackedRequest;
use super::{MIN_WINDOW, settings::Operation};
use crate::interface::{AttemptOutcome, ConnectionRequirements};

/// Seconds without an attempt after which a host's connections are taken for idle, where the carrier does not tell.
const IDLE_BY_HOST: f64 = 0.3;

/// Seconds without use after which a connection may have been dropped.
const IDLE_BY_CONNECTION: f64 = 0.1;

/// Weight of one attempt in the fractions of lost attempts.
const LOSS_WEIGHT: f64 = 0.08;

/// Fraction by which more attempts must be lost on idle connections than on others for none of them to be used.
const LOSS_EXCESS: f64 = 0.2;

/// Of the step in which levels recover, the part by which losses on idle connections are forgotten.
const LOSS_RECOVERY_DIVISOR: f64 = 4.0;

/// Seconds before a connection's next use: second answers were seen to come up to 4 ms after the first.
const MIN_REST: f64 = 0.02;

/// A host's connections at rest beyond which the oldest is used: hosts bear few connections.
const MAX_RESTING: usize = 8;

/// Part of the drain grace in which an attempt must be written, so that no notice overtakes it.
const WRITE_PART_OF_DRAIN: f64 = 0.8;

/// Smoothed fractions of attempts without an answer.
#[derive(Default)]
pub(super) struct ConnectionLosses {
    on_idle: f64,
    /// On connections in use, or new ones.
    on_others: f64,
}

impl ConnectionLosses {
    /// Records an attempt's outcome.
    pub(super) fn record(&mut self, outcome: AttemptOutcome, on_idle_connection: bool) {
        let lost = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset);
        let fraction = if on_idle_connection {
            &mut self.on_idle
        } else {
            &mut self.on_others
        };
        *fraction += LOSS_WEIGHT * (f64::from(u8::from(lost)) - *fraction);
    }

    /// Forgets losses on idle connections slowly, so that they are tried again.
    pub(super) fn recover(&mut self) {
        let excess = (self.on_idle - self.on_others).max(0.0);
        self.on_idle -= RECOVERY_STEP / LOSS_RECOVERY_DIVISOR * excess;
    }

    /// Whether idle connections are dropped so often that none may be used.
    pub(super) fn idle_ones_are_dropped(&self) -> bool {
        self.on_idle > LOSS_EXCESS + self.on_others
    }
}

/// Whether a connection that had been idle for this time, in seconds, counts as idle.
pub(super) fn was_idle(idle: f64) -> bool {
    idle > IDLE_BY_CONNECTION
}

/// Whether a host has been without attempts for so long that its connections count as idle.
pub(super) fn is_idle(host: &Host, now: f64) -> bool {
    host.in_flight.is_empty() && host.was_used() && now - host.last_used > IDLE_BY_HOST
}

impl Router {
    /// The connection that an attempt of this request may use. Rules 2, 3 and 5 hold when the last byte is written,
    /// not when it is decided: connecting takes time.
    pub(super) fn connection_requirements(
        &self,
        now: f64,
        request: &TrackedRequest,
        operation: &Operation,
    ) -> ConnectionRequirements {
        let window = operation.idempotency_window;
        let left = request.first_effect().map_or(f64::INFINITY, |first| {
            window - 2.0 * self.settings.tick - (now - first.sent_at)
        });
        let drain = WRITE_PART_OF_DRAIN * self.settings.drain_grace;
        let max_idle = if self.connection_losses.idle_ones_are_dropped() {
            IDLE_BY_CONNECTION
        } else {
            f64::INFINITY
        };
        ConnectionRequirements {
            max_idle,
            min_idle: MIN_REST,
            max_below_min_idle: MAX_RESTING,
            write_timeout: left.min(drain).max(MIN_WINDOW),
        }
    }
}
