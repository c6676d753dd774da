//! Admission: how many attempts a router keeps in flight, and what it sheds beyond that.
//!
//! The limit follows additive increase and decrease by answers in and out of time; work that waits behind time-outs
//! would otherwise pile up unseen at the hosts.

use rand::RngExt;

use super::Router;
use super::request_table::TrackedRequest;
use crate::interface::{Effect, IdempotencyScope, Request, RequestId};

/// Attempts in flight for each host, of all routers together, at first.
const INITIAL_PER_HOST: f64 = 8.0;

/// Attempts in flight for each host that are always allowed: fewer would not make slow hosts quick.
const MIN_PER_HOST: f64 = 2.0;

/// Attempts in flight for each host that are never exceeded.
const MAX_PER_HOST: f64 = 12.0;

/// What an answer in time adds to the limit.
const LIMIT_INCREASE: f64 = 0.1;

/// What a late answer takes off the limit: it holds with one late answer in six.
const LIMIT_DECREASE: f64 = 0.5;

/// Part of the limit that must be in use for it to grow.
const GROWTH_UTILIZATION: f64 = 0.5;

/// Part of the limit that operations of low priority may use.
const LOW_PRIORITY_PART: f64 = 0.85;

/// Part of the limit that hedged attempts and hopeless client retries may use; above it a router is under pressure.
const PRESSURE_PART: f64 = 0.6;

/// Fraction of the best operation's value for its time under which an operation is of low priority.
const LOW_PRIORITY_VALUE: f64 = 0.5;

/// Seconds that a shed client is asked to stay away at least, up to twice that.
const RETRY_AFTER_BASE: f64 = 0.4;

/// Least expected work of a request, so that times can be divided by it.
const MIN_WORK: f64 = 1e-6;

/// Whether an operation of this value for its time is of low priority beside the best one.
pub(super) fn is_low_priority(value_rate: f64, best: f64) -> bool {
    value_rate < LOW_PRIORITY_VALUE * best
}

/// The attempts in flight, and how many a router allows.
#[derive(Default)]
pub(super) struct InFlightLimit {
    count: usize,
    limit: f64,
}

impl InFlightLimit {
    /// The attempts in flight.
    pub(super) fn count(&self) -> f64 {
        self.count as f64
    }

    /// Sets the first limit, by the hosts listed and this router's share of the traffic.
    pub(super) fn reset(&mut self, hosts: usize, traffic_share: f64) {
        self.limit = INITIAL_PER_HOST * hosts as f64 * traffic_share;
    }

    /// Counts an attempt that starts.
    pub(super) fn start(&mut self) {
        self.count += 1;
    }

    /// Counts an attempt that ended.
    pub(super) fn finish(&mut self) {
        self.count -= 1;
    }

    /// Whether so much is in flight that only what matters most should be added.
    pub(super) fn is_under_pressure(&self) -> bool {
        self.count() > PRESSURE_PART * self.limit
    }

    /// Whether one more attempt fits in this part of the limit and chance arrivals, its root. A limit of less than
    /// one lets that part of the requests in: `draw`, from 0 to 1, decides on the last one.
    fn has_room(&self, part: f64, draw: f64) -> bool {
        let most = (self.limit + self.limit.sqrt()) * part;
        self.count() + draw <= most
    }

    /// Moves the limit by an answer; `fair_hosts` is the hosts times this router's share of the traffic.
    pub(super) fn adjust(&mut self, is_late: bool, fair_hosts: f64) {
        let is_in_use = self.count() + 1.0 > GROWTH_UTILIZATION * self.limit;
        if !is_late && !is_in_use {
            return;
        }
        let step = if is_late {
            -LIMIT_DECREASE
        } else {
            LIMIT_INCREASE
        };
        let least = fair_hosts * MIN_PER_HOST;
        let most = fair_hosts * MAX_PER_HOST;
        self.limit = (self.limit + step).clamp(least, most);
    }
}

/// Whether and how a request's next attempt may be sent.
struct AttemptPlan {
    /// All conditions hold but room within the limit.
    may_start: bool,
    is_first: bool,
    /// The part of the limit that it may use.
    limit_part: f64,
    /// When the answer is worth nothing any more, in seconds.
    end: f64,
    /// It has had no effect that a client's retry could repeat.
    may_shed: bool,
    /// Another attempt may still answer.
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
        let is_bound_to_canary = self
            .sticky_builds
            .get(request.key.as_ref())
            .is_some_and(|build| self.is_canary(build));
        self.exposure
            .admit(now, request.operation.0, is_bound_to_canary);
        let tracked = TrackedRequest {
            operation: request.operation.0,
            key: request.key,
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

    /// Sends a request's next attempt; where there is none to send, the final answer goes out at once (rule 1).
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
        let has_room = self.in_flight.has_room(plan.limit_part, draw);
        let host = if plan.may_start && has_room {
            self.select_endpoint(now, id)
        } else {
            None
        };
        if let Some(host) = host {
            if !plan.is_first {
                self.retry_budget.spend();
            }
            self.start_attempt(now, id, host, plan.end, effects);
        } else if !plan.is_in_flight {
            self.finish_unanswered(id, plan.may_shed, effects);
        }
    }

    /// What the rules and budgets say of a request's next attempt.
    fn plan_attempt(&self, now: f64, request: &TrackedRequest, is_hedge: bool) -> AttemptPlan {
        let operation = &self.settings.operations[request.operation];
        let has_effect = request.first_effect().is_some();
        let is_binding = self.retry_window_is_over(now, request);
        let is_first = request.attempts.is_empty();
        let end = if operation.late_is_worthless {
            request.deadline.min(request.objective_at)
        } else {
            request.deadline
        };
        let is_timely = end - now > 2.0 * self.settings.tick;
        let is_paid = is_first || self.retry_budget.has_token();
        let in_flight = request.in_flight();
        let may_add = in_flight == 0 || is_hedge && self.settings.may_hedge && in_flight == 1;
        let attempts_left = request.attempts.len() < self.settings.max_attempts;
        // Under pressure hedges go first, and client retries (their objective is past); then low priorities.
        let is_dispensable = is_hedge || request.is_client_retry && operation.late_is_worthless;
        let limit_part = if is_dispensable {
            PRESSURE_PART
        } else if operation.low_priority {
            LOW_PRIORITY_PART
        } else {
            1.0
        };
        let is_known_everywhere = operation.idempotency_scope == IdempotencyScope::All;
        AttemptPlan {
            may_start: !is_binding && is_timely && is_paid && may_add && attempts_left,
            is_first,
            limit_part,
            end,
            may_shed: !is_binding && (!has_effect || is_known_everywhere),
            is_in_flight: in_flight > 0,
        }
    }

    /// Gives a request its final answer without a host's.
    fn finish_unanswered(&mut self, id: &RequestId, may_shed: bool, effects: &mut Vec<Effect>) {
        self.requests.close(id);
        let wait = RETRY_AFTER_BASE * (1.0 + self.rng.random::<f64>());
        let retry_after = self.settings.max_retry_after.map(|most| wait.min(most));
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
