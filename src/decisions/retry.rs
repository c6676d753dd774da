//! Attempts of a request: when the first one times out or is hedged, and the budget for further attempts.

use super::Router;
use super::connections::is_idle;
use super::request_table::{Attempt, TrackedRequest};
use super::timers::TimerEvent;
use crate::interface::{Effect, HostEntry, HostId, Phase, RequestId};

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of retries in the budget.
const MAX_RETRY_TOKENS: f64 = 10.0;

/// Fraction of the time to the latency objective after which another attempt follows.
pub(super) const WAIT_OBJECTIVE_FRACTION: f64 = 0.5;

/// Minimum time before another attempt, as a multiple of the quick time of the operation and kind of machine.
const MIN_WAIT_QUICK_TIMES: f64 = 5.0;

/// Fraction of the latency objective that is used as the quick time where none is known.
const DEFAULT_QUICK_FRACTION: f64 = 0.1;

/// The budget of retries and hedged attempts.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget that is half full.
    pub(super) fn new() -> Self {
        RetryBudget {
            tokens: MAX_RETRY_TOKENS / 2.0,
        }
    }

    /// Adds the share of one request.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(MAX_RETRY_TOKENS);
    }

    /// Whether the budget allows a retry.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one retry from the budget.
    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns one retry to the budget, so that a retry after a reset costs nothing: the connection broke for a
    /// reason that is independent of the request.
    pub(super) fn refund(&mut self) {
        self.tokens += 1.0;
    }
}

/// When an attempt times out or is hedged, in seconds.
struct AttemptTimes {
    timeout: f64,
    /// When a hedged attempt follows; none if it does not.
    hedge_at: Option<f64>,
}

impl Router {
    /// Whether no retry may follow, as it could have a second effect: an earlier attempt may have had one, and the
    /// operation must not run twice or the time for which hosts recognise its idempotency key is almost over.
    pub(super) fn retry_window_is_over(&self, now: f64, request: &TrackedRequest) -> bool {
        let operation = &self.settings.operations[request.operation];
        let window = operation.idempotency_window - 2.0 * self.settings.tick;
        request
            .first_attempt_with_possible_effect()
            .is_some_and(|first| now - first.sent_at >= window)
    }

    /// Sends an attempt to a host; `useful_until` is the time after which its answer has no value, in seconds.
    pub(super) fn start_attempt(
        &mut self,
        now: f64,
        id: &RequestId,
        host: HostId,
        useful_until: f64,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(request), Some(target)) = (self.requests.get(id), self.hosts.get(host)) else {
            return;
        };
        let entry = target.entry;
        let operation = &self.settings.operations[request.operation];
        let times = self.attempt_times(now, request, &entry, useful_until);
        let connection = self.connection_requirements(now, request, operation);
        // Where hosts or networks drop idle connections without notice, the idle ones are closed before the attempt.
        let is_idle = is_idle(target, now);
        let are_dropped = self.connection_losses.idle_connections_are_dropped();
        if is_idle && are_dropped {
            effects.push(Effect::CloseIdleConnections { host });
        }
        let attempt = Attempt {
            host: entry,
            sent_at: now,
            in_flight: true,
            may_have_run: false,
            is_evidence: target.health.ejected_until <= now,
            on_idle_connection: is_idle && !are_dropped,
        };
        self.count_attempt(id, attempt);
        effects.push(Effect::StartAttempt {
            request: id.clone(),
            host,
            timeout: times.timeout,
            connection,
        });
        if let Some(at) = times.hedge_at {
            self.timers
                .schedule(at, TimerEvent::Hedge(id.clone()), effects);
        }
    }

    /// The times of an attempt. Where another attempt may follow, this one gets part of the time: it is hedged where
    /// hedging is allowed, and times out early for a retry where it is not.
    fn attempt_times(
        &self,
        now: f64,
        request: &TrackedRequest,
        host: &HostEntry,
        useful_until: f64,
    ) -> AttemptTimes {
        let operation = &self.settings.operations[request.operation];
        let quick = self
            .latency
            .quick_time(request.operation, host.kind)
            .map_or(
                DEFAULT_QUICK_FRACTION * operation.latency_objective,
                |quick| quick * request.work,
            );
        let objective_wait = WAIT_OBJECTIVE_FRACTION * (request.objective_at - now);
        let wait = objective_wait.max(MIN_WAIT_QUICK_TIMES * quick);
        let has_room = self.retry_budget.has_token() && !self.in_flight.is_under_pressure();
        let is_allowed = operation.idempotency_window > wait
            && request.attempts.len() + 1 < self.settings.max_attempts;
        let is_useful = now + wait + quick < useful_until.min(request.objective_at);
        let is_planned = has_room && is_allowed && is_useful;
        let times_out_early = is_planned && !self.settings.may_hedge;
        AttemptTimes {
            timeout: if times_out_early {
                wait
            } else {
                useful_until - now
            },
            hedge_at: (is_planned && self.settings.may_hedge).then_some(now + wait),
        }
    }

    /// Adds an attempt that starts to the host, the request and all counters.
    fn count_attempt(&mut self, id: &RequestId, attempt: Attempt) {
        let now = attempt.sent_at;
        let build = attempt.host.build;
        if let Some(host) = self.hosts.get_mut(attempt.host.host) {
            host.in_flight.push(now);
            host.last_used = now;
        }
        self.rates.attempts.add(now, 1.0);
        self.in_flight.start();
        let is_capped = self.phase_of(build) != Phase::Released;
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts.push(attempt);
            if is_capped {
                let window = self.settings.exposure_window;
                self.exposure
                    .record_canary_attempt(now, build, request.operation, window);
            }
        }
    }
}
