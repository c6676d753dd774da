//! What the end of an attempt tells of its host, its build and this router's limits.

use super::Router;
use super::connections::was_idle;
use super::evidence::Signal;
use super::outlier_detection::HostVerdict;
use super::request_table::FinishedAttempt;
use crate::arm::Arm;
use crate::interface::{AttemptOutcome, Effect, Phase, RequestId};

/// The end of an attempt, as the carrier reports it; times are in seconds.
pub(super) struct AttemptReport {
    pub(super) outcome: AttemptOutcome,
    /// The time that it took.
    pub(super) duration: f64,
    /// Whether the request has its final answer.
    pub(super) is_final: bool,
    /// How long its connection had been idle, where the carrier knows.
    pub(super) idle: Option<f64>,
}

/// What an outcome counts as.
struct OutcomeClass {
    succeeded: bool,
    /// No answer within the latency objective.
    is_late: bool,
    /// It tells of the time that the host takes.
    has_latency: bool,
    /// Time for a unit of work, in seconds.
    unit_time: f64,
    /// Of the host, when the attempt was sent.
    warm_up_fraction: f64,
    /// Time of quick answers of the baseline, for a unit of work, before this attempt.
    quick: Option<f64>,
}

impl OutcomeClass {
    /// The time that a warm host would have taken, for a unit of work, in seconds.
    fn warm_time(&self) -> f64 {
        self.unit_time * self.warm_up_fraction
    }

    fn is_warm(&self) -> bool {
        self.warm_up_fraction >= 1.0
    }
}

impl Router {
    /// Takes note of the end of an attempt; the request is answered, or its next attempt sent.
    pub(super) fn on_attempt_finished(
        &mut self,
        now: f64,
        id: &RequestId,
        attempt: u32,
        report: &AttemptReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let attempt = request.attempts.get_mut(attempt as usize);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else {
            return;
        };
        let outcome = report.outcome;
        attempt.in_flight = false;
        attempt.on_idle_connection = report.idle.map_or(attempt.on_idle_connection, was_idle);
        attempt.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::NoConnection | AttemptOutcome::Irrelevant
        );
        let finished = FinishedAttempt {
            attempt: *attempt,
            operation: request.operation,
            work: request.work,
            outcome,
            duration: report.duration,
        };
        let key = request.key.clone();
        let is_final = report.is_final || request.has_final_answer;
        self.in_flight.finish();
        if outcome == AttemptOutcome::Reset {
            self.retry_budget.refund();
        }
        self.record_outcome(now, &finished);
        let build = finished.attempt.host.build;
        let binds_key = outcome == AttemptOutcome::Succeeded && self.settings.sticky_keys;
        let build_is_active = matches!(self.phase_of(build), Phase::Canary | Phase::Released);
        if let Some(key) = key.filter(|_| binds_key && build_is_active) {
            self.sticky_builds.bind(key, build);
        }
        if is_final {
            self.requests.close(id);
        } else {
            self.dispatch_or_finish(now, id, false, effects);
        }
    }

    /// Records an attempt's outcome: the host's health, the limit, latency baselines and evidence.
    fn record_outcome(&mut self, now: f64, finished: &FinishedAttempt) {
        let attempt = &finished.attempt;
        let outcome = finished.outcome;
        let class = self.classify(finished);
        let averages = self.build_averages(now, &attempt.host);
        let Some(host) = self.hosts.process_mut(&attempt.host) else {
            return;
        };
        let in_flight = host.in_flight.iter().position(|at| *at == attempt.sent_at);
        if let Some(position) = in_flight {
            host.in_flight.swap_remove(position);
        }
        if matches!(
            outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::Irrelevant
        ) {
            return;
        }
        self.connection_losses
            .record(outcome, attempt.on_idle_connection);
        let slowdown = class.quick.map(|quick| class.warm_time() / quick);
        let verdict = host
            .health
            .record(now, class.succeeded, slowdown, &averages);
        let in_time = f64::from(u8::from(!class.is_late));
        self.rates.successes.add(now, in_time);
        self.adjust_limit(outcome, class.is_late, &verdict);
        self.update_index(now, vec![attempt.host.host]);
        if class.has_latency && class.is_warm() && !verdict.is_ejected && !verdict.is_slow {
            let is_released = self.phase_of(attempt.host.build) == Phase::Released;
            self.latency.record(
                finished.operation,
                attempt.host.kind,
                Arm::canary_if(!is_released),
                class.unit_time,
                class.succeeded,
            );
        }
        let never_ran = matches!(
            outcome,
            AttemptOutcome::NoConnection | AttemptOutcome::Rejected
        );
        if attempt.is_evidence && !verdict.is_ejected && !never_ran {
            self.record_signals(finished, &class);
        }
    }

    fn classify(&self, finished: &FinishedAttempt) -> OutcomeClass {
        let host = &finished.attempt.host;
        let objective = self.settings.operations[finished.operation].latency_objective;
        let succeeded = finished.outcome == AttemptOutcome::Succeeded;
        OutcomeClass {
            succeeded,
            is_late: !succeeded || finished.duration > objective,
            has_latency: succeeded || finished.outcome == AttemptOutcome::TimedOut,
            unit_time: finished.duration / finished.work,
            warm_up_fraction: self
                .settings
                .warm_up_fraction(host, finished.attempt.sent_at),
            quick: self.latency.quick_time(finished.operation, host.kind),
        }
    }

    /// Late answers lower the limit, timely ones raise it while it is in use, errors and lost connections neither:
    /// they tell of no queue.
    fn adjust_limit(&mut self, outcome: AttemptOutcome, is_late: bool, verdict: &HostVerdict) {
        let is_failure = matches!(
            outcome,
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::NoConnection
        );
        if !verdict.is_ejected && !is_failure {
            let fair_hosts = self.hosts.index.len() as f64 * self.peers.traffic_share;
            self.in_flight.adjust(is_late, fair_hosts);
        }
    }

    /// Records an outcome as evidence of its build.
    fn record_signals(&mut self, finished: &FinishedAttempt, class: &OutcomeClass) {
        let outcome = finished.outcome;
        let build = finished.attempt.host.build;
        let operation = finished.operation;
        // A host that warms up is late by nature: its late answers are no evidence, its errors are.
        if !class.is_late || outcome == AttemptOutcome::Error || class.is_warm() {
            self.record_signal(build, operation, Signal::InTime, !class.is_late, 1.0);
        }
        // A broken connection is its host's or its link's, not a build's own answer.
        if outcome != AttemptOutcome::Reset {
            let no_error = outcome != AttemptOutcome::Error;
            self.record_signal(build, operation, Signal::NoError, no_error, 1.0);
        }
        if let Some(quick) = class.quick.filter(|_| class.has_latency) {
            let is_quick = class.succeeded && class.warm_time() <= quick;
            self.record_signal(build, operation, Signal::Quick, is_quick, 1.0);
        }
    }
}
