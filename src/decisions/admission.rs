//! Admission: how many attempts a router keeps in flight, and what it sheds above that limit.
//!
//! The limit follows additive increase for answers within the latency objective and additive decrease for late ones.
//! Without it, work would pile up at the hosts unnoticed while the router waits for time-outs.

use rand::RngExt;

use super::Router;
use super::request_table::TrackedRequest;
use super::sticky_builds::KeyHash;
use crate::interface::{Effect, IdempotencyScope, Request, RequestId};

/// Initial limit, in attempts in flight per host over all routers.
const INITIAL_IN_FLIGHT_PER_HOST: f64 = 8.0;

/// Minimum limit, in attempts in flight per host: a lower one would not make slow hosts quicker.
const MIN_IN_FLIGHT_PER_HOST: f64 = 2.0;

/// Maximum limit, in attempts in flight per host.
const MAX_IN_FLIGHT_PER_HOST: f64 = 12.0;

/// Attempts by which an answer in time raises the limit.
const LIMIT_INCREASE: f64 = 0.1;

/// Attempts by which a late answer lowers the limit. With [`LIMIT_INCREASE`], the limit is stable when one answer in
/// six is late.
const LIMIT_DECREASE: f64 = 0.5;

/// Fraction of the limit that must be in use for the limit to grow.
const MIN_GROWTH_UTILIZATION: f64 = 0.5;

/// Fraction of the limit that operations of low priority may use.
const LOW_PRIORITY_FRACTION: f64 = 0.85;

/// Fraction of the limit above which a router is under pressure. Hedged attempts may use only this fraction, and so
/// may retries by clients of operations whose late answers have no value.
const PRESSURE_FRACTION: f64 = 0.6;

/// An operation has low priority if its value per unit of time is below this fraction of the best operation's.
const LOW_PRIORITY_VALUE_RATIO: f64 = 0.5;

/// Minimum time, in seconds, that a shed client is asked to wait; the maximum is twice that.
const MIN_RETRY_AFTER: f64 = 0.4;

/// Lower bound of a request's expected work, in CPU seconds on a core of a standard machine, as times are
/// divided by it.
const MIN_WORK: f64 = 1e-6;

/// Whether an operation with this value per unit of time has low priority compared to the best one.
pub(super) fn is_low_priority(value_rate: f64, best: f64) -> bool {
    value_rate < LOW_PRIORITY_VALUE_RATIO * best
}

/// The number of attempts in flight and its limit.
#[derive(Default)]
pub(super) struct InFlightLimit {
    count: usize,
    limit: f64,
}

impl InFlightLimit {
    /// The number of attempts in flight.
    pub(super) fn count(&self) -> f64 {
        self.count as f64
    }

    /// Sets the initial limit by the number of listed hosts and this router's share of the traffic.
    pub(super) fn reset(&mut self, hosts: usize, traffic_share: f64) {
        self.limit = INITIAL_IN_FLIGHT_PER_HOST * hosts as f64 * traffic_share;
    }

    /// Counts an attempt that starts.
    pub(super) fn start(&mut self) {
        self.count += 1;
    }

    /// Counts an attempt that has ended.
    pub(super) fn finish(&mut self) {
        self.count -= 1;
    }

    /// Whether so many attempts are in flight that less important ones should not be added.
    pub(super) fn is_under_pressure(&self) -> bool {
        self.count() > PRESSURE_FRACTION * self.limit
    }

    /// Whether one more attempt fits into a fraction of the limit. The square root of the limit is added to allow for
    /// random arrivals. `draw`, uniform between 0 and 1, decides on the last attempt, so that a limit below 1 admits
    /// that fraction of the requests.
    fn has_room(&self, fraction: f64, draw: f64) -> bool {
        let max = (self.limit + self.limit.sqrt()) * fraction;
        self.count() + draw <= max
    }

    /// Adjusts the limit by an answer; `fair_hosts` is the number of hosts times this router's share of the traffic.
    pub(super) fn adjust(&mut self, is_late: bool, fair_hosts: f64) {
        let is_in_use = self.count() + 1.0 > MIN_GROWTH_UTILIZATION * self.limit;
        if !is_late && !is_in_use {
            return;
        }
        let step = if is_late {
            -LIMIT_DECREASE
        } else {
            LIMIT_INCREASE
        };
        let min = fair_hosts * MIN_IN_FLIGHT_PER_HOST;
        let max = fair_hosts * MAX_IN_FLIGHT_PER_HOST;
        self.limit = (self.limit + step).clamp(min, max);
    }
}

/// Whether and how a request's next attempt may be sent.
struct AttemptPlan {
    /// All conditions are met, except room within the limit.
    may_start: bool,
    is_first: bool,
    /// The fraction of the limit that it may use.
    limit_fraction: f64,
    /// The time after which its answer has no value, in seconds.
    useful_until: f64,
    /// A retry by the client would have no second effect.
    may_shed: bool,
    /// Another attempt of the request is in flight and may still be answered.
    is_in_flight: bool,
}

impl Router {
    /// Tracks a client's request and sends its first attempt.
    pub(super) fn on_request(&mut self, now: f64, request: Request, effects: &mut Vec<Effect>) {
        let Some(operation) = self.settings.operations.get(request.operation.0) else {
            effects.push(Effect::FailRequest {
                request: request.id,
            });
            return;
        };
        let objective_at = now + operation.latency_objective;
        self.exposure.expire(now, self.settings.exposure_window);
        self.retry_budget.earn();
        let depends_on_keys = self.settings.key_affinity || self.settings.sticky_keys;
        let key = request
            .key
            .filter(|_| depends_on_keys)
            .map(|key| KeyHash::of(&key));
        let is_bound_to_canary = self
            .sticky_builds
            .get(key)
            .is_some_and(|build| self.is_canary(build));
        self.exposure.record_request(
            now,
            request.operation.0,
            is_bound_to_canary,
            self.settings.exposure_window,
        );
        let tracked = TrackedRequest {
            operation: request.operation.0,
            key,
            work: request.work.unwrap_or(1.0).max(MIN_WORK),
            is_client_retry: request.is_retry,
            objective_at,
            deadline: now + request.time_left,
            attempts: vec![],
            has_final_answer: false,
            pool: request.pool,
            overrides: self.overrides.clone(),
        };
        self.requests.insert(request.id.clone(), tracked);
        self.rates.offered.add(now, 1.0);
        self.dispatch_or_finish(now, &request.id, false, effects);
    }

    /// Sends a request's next attempt. If none can be sent and none is in flight, the client gets a final answer at
    /// once.
    pub(super) fn dispatch_or_finish(
        &mut self,
        now: f64,
        id: &RequestId,
        is_hedge: bool,
        effects: &mut Vec<Effect>,
    ) {
        let request = self.requests.get(id);
        let Some(request) = request.filter(|request| !request.has_final_answer) else {
            return;
        };
        let plan = self.plan_attempt(now, request, is_hedge);
        let draw = self.rng.random::<f64>();
        let has_room = self.in_flight.has_room(plan.limit_fraction, draw);
        let host = if plan.may_start && has_room {
            self.select_endpoint(now, id)
        } else {
            None
        };
        if let Some(host) = host {
            if !plan.is_first {
                self.retry_budget.spend();
            }
            self.start_attempt(now, id, host, plan.useful_until, effects);
        } else if !plan.is_in_flight {
            self.finish_without_answer(id, plan.may_shed, effects);
        }
    }

    /// Plans a request's next attempt by the limits on retries and the budgets.
    fn plan_attempt(&self, now: f64, request: &TrackedRequest, is_hedge: bool) -> AttemptPlan {
        let operation = &self.settings.operations[request.operation];
        let may_have_effect = request.first_attempt_with_possible_effect().is_some();
        let window_is_over = self.retry_window_is_over(now, request);
        let is_first = request.attempts.is_empty();
        let useful_until = if operation.late_is_worthless {
            request.deadline.min(request.objective_at)
        } else {
            request.deadline
        };
        let has_time = useful_until - now > 2.0 * self.settings.tick;
        let has_budget = is_first || self.retry_budget.has_token();
        let in_flight = request.in_flight();
        let may_add = in_flight == 0 || is_hedge && self.settings.may_hedge && in_flight == 1;
        let attempts_left = request.attempts.len() < self.settings.max_attempts;
        // Under pressure, hedged attempts and client retries past their objective are shed first, then operations of
        // low priority.
        let is_dispensable = is_hedge || request.is_client_retry && operation.late_is_worthless;
        let limit_fraction = if is_dispensable {
            PRESSURE_FRACTION
        } else if operation.low_priority {
            LOW_PRIORITY_FRACTION
        } else {
            1.0
        };
        let all_hosts_know_idempotency_key = operation.idempotency_scope == IdempotencyScope::All;
        AttemptPlan {
            may_start: !window_is_over && has_time && has_budget && may_add && attempts_left,
            is_first,
            limit_fraction,
            useful_until,
            may_shed: !window_is_over && (!may_have_effect || all_hosts_know_idempotency_key),
            is_in_flight: in_flight > 0,
        }
    }

    /// Gives a request its final answer where no host has answered it.
    fn finish_without_answer(&mut self, id: &RequestId, may_shed: bool, effects: &mut Vec<Effect>) {
        self.requests.close(id);
        let wait = MIN_RETRY_AFTER * (1.0 + self.rng.random::<f64>());
        let retry_after = self.settings.max_retry_after.map(|max| wait.min(max));
        let request = id.clone();
        effects.push(if may_shed {
            Effect::ShedRequest {
                request,
                retry_after,
            }
        } else {
            Effect::FailRequest { request }
        });
    }
}
