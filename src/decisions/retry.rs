//! Attempts of a request: when the first is given up or hedged, and what pays for more.

use super::Router;
use super::connections::is_idle;
use super::request_table::{Attempt, TrackedRequest};
use super::timers::TimerEvent;
use crate::interface::{Effect, HostEntry, HostId, Phase, RequestId};

/// Retries that each request adds to the budget.
const BUDGET_PER_REQUEST: f64 = 0.1;

/// Retries that the budget holds at most.
const BUDGET_MAX: f64 = 10.0;

/// Part of the time to the latency objective that an attempt gets before another is sent.
pub(super) const WAIT_PART_OF_OBJECTIVE: f64 = 0.5;

/// Quick times that an attempt gets at least before another is sent.
const WAIT_IN_QUICK_TIMES: f64 = 5.0;

/// Part of the latency objective that counts as the quick time where none is known.
const DEFAULT_QUICK_PART: f64 = 0.1;

/// Retries and hedged attempts that a router may still send.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A budget that is half full.
    pub(super) fn new() -> Self {
        RetryBudget {
            tokens: BUDGET_MAX / 2.0,
        }
    }

    /// Adds a request's part.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_REQUEST).min(BUDGET_MAX);
    }

    /// Whether a retry can be paid for.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Pays for a retry.
    pub(super) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Makes the retry after a reset free: an open connection broke, which the request had no part in.
    pub(super) fn refund(&mut self) {
        self.tokens += 1.0;
    }
}

/// How an attempt is given up or hedged; times are in seconds.
struct AttemptTimes {
    timeout: f64,
    /// When a hedged attempt follows.
    hedge_at: Option<f64>,
}

impl Router {
    /// Rule 2: whether nothing may follow the attempt any more that may have had an effect.
    pub(super) fn retry_window_is_over(&self, now: f64, request: &TrackedRequest) -> bool {
        let operation = &self.settings.operations[request.operation];
        let window = operation.idempotency_window - 2.0 * self.settings.tick;
        request
            .first_effect()
            .is_some_and(|first| now - first.sent_at >= window)
    }

    /// Sends an attempt to a host; `end` is when its answer is worth nothing any more.
    pub(super) fn start_attempt(
        &mut self,
        now: f64,
        id: &RequestId,
        host: HostId,
        end: f64,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(request), Some(known)) = (self.requests.get(id), self.hosts.get(host)) else {
            return;
        };
        let entry = known.entry;
        let operation = &self.settings.operations[request.operation];
        let times = self.attempt_times(now, request, &entry, end);
        let connection = self.connection_requirements(now, request, operation);
        // Connections may be dropped unseen after some time without use: then the idle ones are closed first.
        let is_idle = is_idle(known, now);
        let are_dropped = self.connection_losses.idle_ones_are_dropped();
        if is_idle && are_dropped {
            effects.push(Effect::CloseIdleConnections { host });
        }
        let attempt = Attempt {
            host: entry,
            sent_at: now,
            in_flight: true,
            may_have_run: false,
            is_evidence: known.health.ejected_until <= now,
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

    /// Where another attempt could follow, this one gets part of the time: it is hedged where that is allowed, and
    /// given up for a retry where it is not.
    fn attempt_times(
        &self,
        now: f64,
        request: &TrackedRequest,
        host: &HostEntry,
        end: f64,
    ) -> AttemptTimes {
        let operation = &self.settings.operations[request.operation];
        let quick = self
            .latency
            .quick_time(request.operation, host.kind)
            .map_or(DEFAULT_QUICK_PART * operation.latency_objective, |quick| {
                quick * request.work
            });
        let of_objective = WAIT_PART_OF_OBJECTIVE * (request.objective_at - now);
        let wait = of_objective.max(WAIT_IN_QUICK_TIMES * quick);
        let has_room = self.retry_budget.has_token() && !self.in_flight.is_under_pressure();
        let is_allowed = operation.idempotency_window > wait
            && request.attempts.len() + 1 < self.settings.max_attempts;
        let is_useful = now + wait + quick < end.min(request.objective_at);
        let is_planned = has_room && is_allowed && is_useful;
        let is_given_up = is_planned && !self.settings.may_hedge;
        AttemptTimes {
            timeout: if is_given_up { wait } else { end - now },
            hedge_at: (is_planned && self.settings.may_hedge).then_some(now + wait),
        }
    }

    /// Counts an attempt that starts, wherever attempts are counted.
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
                self.exposure.expose(now, build, request.operation);
            }
        }
    }
}
