//! The end of an attempt: what it shows about the host, the build and this router's limits.

use super::Router;
use super::connections::was_idle;
use super::evidence::Signal;
use super::outlier_detection::HostVerdict;
use super::request_table::FinishedAttempt;
use crate::arm::Arm;
use crate::interface::{AttemptOutcome, Effect, Phase, RequestId};

/// The end of an attempt, as reported by the adapter; times are in seconds.
pub(super) struct AttemptReport {
    pub(super) outcome: AttemptOutcome,
    /// How long the attempt took.
    pub(super) duration: f64,
    /// Whether the request needs no more attempts: the client has its final answer or no longer waits for it.
    pub(super) is_final: bool,
    /// How long its connection had been unused; none where the adapter does not know.
    pub(super) idle: Option<f64>,
}

/// The properties of an outcome.
struct OutcomeClass {
    succeeded: bool,
    /// There was no answer within the latency objective.
    is_late: bool,
    /// Its duration shows how long the host takes.
    has_latency: bool,
    /// Duration per unit of work, in seconds.
    unit_time: f64,
    /// The fraction of its work that the host could do when the attempt was sent; 1 once it was warm.
    warm_up_fraction: f64,
    /// The time that separates quick answers of the baseline from others, in seconds per unit of work, before this attempt
    /// was recorded.
    quick: Option<f64>,
}

impl OutcomeClass {
    /// The time per unit of work that a warm host would have taken, in seconds.
    fn warm_time(&self) -> f64 {
        self.unit_time * self.warm_up_fraction
    }

    fn is_warm(&self) -> bool {
        self.warm_up_fraction >= 1.0
    }
}

impl Router {
    /// Processes the end of an attempt: the request is closed or its next attempt is sent.
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
        let key = request.key;
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
            self.bind_key(key, build);
        }
        if is_final {
            self.requests.close(id);
        } else {
            self.dispatch_or_finish(now, id, false, effects);
        }
    }

    /// Records an outcome for the host's health, the limit, the latency baselines and the evidence.
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

    /// Adjusts the limit: late answers lower it, and answers in time raise it while it is in use. Errors and lost
    /// connections leave it unchanged, as they are not caused by queueing.
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

    /// Records an outcome as evidence about its build.
    fn record_signals(&mut self, finished: &FinishedAttempt, class: &OutcomeClass) {
        let outcome = finished.outcome;
        let build = finished.attempt.host.build;
        let operation = finished.operation;
        // A host that is warming up is expected to be late: its late answers are no evidence, its errors are.
        if !class.is_late || outcome == AttemptOutcome::Error || class.is_warm() {
            self.record_signal(build, operation, Signal::InTime, !class.is_late, 1.0);
        }
        // A reset connection is a fault of the host or the network, not an answer of the build.
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
