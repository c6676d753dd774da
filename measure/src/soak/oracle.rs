//! The oracle of a soak: which rules a recorded run breaks, by request.

use std::collections::BTreeMap;
use std::fmt;

use super::record::{Attempt, Operation, Outcome, RequestRecord, RunRecord};

/// Seconds after its time at which a request without an answer is lost.
pub const LOST_AFTER: f64 = 0.5;

/// Seconds by which every time limit is longer on sockets.
pub const SOCKET_SLACK: f64 = 0.05;

/// Seconds after a drain was told in which attempts may still begin.
pub const DRAIN_GRACE: f64 = 0.5;

/// Seconds that a router may be held up between reading its clock and writing.
const HELD_UP: f64 = 0.15;

/// Seconds after a client has gone in which an attempt for it may still begin.
const GONE_GRACE: f64 = 0.1;

/// Seconds in which a client that sends half a command gets its error or close.
const HALF_SENDER_LIMIT: f64 = 3.0;

/// Seconds in which a router is ready.
const READY_LIMIT: f64 = 10.0;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A request got no answer in its time, or half a second later.
    Lost(RequestRecord),
    /// A request was served with something that no host made for it.
    Foreign(RequestRecord),
    /// Nobody took a request though the router was running.
    NotTakenWhileRunning(RequestRecord),
    /// A request that must not run twice may have.
    RunTwice { request: String, attempts: usize },
    /// An attempt at a host that had drained.
    AfterDrain { attempt: Attempt, late_by: f64 },
    /// An attempt for a client that had gone.
    ForGoneClient { request: String, late_by: f64 },
    /// Who sent half a command got neither error nor close in time.
    HalfSender(Option<f64>),
    /// The router did not end by itself after SIGTERM, or not well.
    BadExit(Option<i32>),
    /// A start that took too long, in seconds.
    NotReady(f64),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Lost(request) => write!(f, "lost: {request:?}"),
            Violation::Foreign(request) => write!(f, "served by something else: {request:?}"),
            Violation::NotTakenWhileRunning(request) => {
                write!(f, "not taken while the router ran: {request:?}")
            }
            Violation::RunTwice { request, attempts } => {
                write!(f, "duplicate: {request} may have run {attempts} times")
            }
            Violation::AfterDrain { attempt, late_by } => {
                write!(f, "drain: {late_by:.3} s past the grace: {attempt:?}")
            }
            Violation::ForGoneClient { request, late_by } => {
                write!(
                    f,
                    "lost: {request} was sent {late_by:.3} s after its client had gone"
                )
            }
            Violation::HalfSender(after) => {
                write!(f, "half a command, error or close after {after:?} s")
            }
            Violation::BadExit(code) => write!(f, "SIGTERM ended with exit code {code:?}"),
            Violation::NotReady(after) => write!(f, "ready after {after:.1} s"),
        }
    }
}

/// All rules that a run breaks.
pub fn violations(run: &RunRecord) -> Vec<Violation> {
    let mut found = vec![];
    found.extend(
        run.requests
            .iter()
            .filter_map(|request| check_answer(run, request)),
    );
    found.extend(check_duplicates(run));
    found.extend(
        run.attempts
            .iter()
            .filter_map(|attempt| check_drain(run, attempt)),
    );
    found.extend(check_gone_clients(run));
    found.extend(check_half_senders(run));
    if run.process.exit_code != Some(0) {
        found.push(Violation::BadExit(run.process.exit_code));
    }
    let starts = [run.process.ready_after, run.restarted_after];
    found.extend(
        starts
            .into_iter()
            .filter(|after| *after > READY_LIMIT)
            .map(Violation::NotReady),
    );
    found
}

/// One final answer in time.
fn check_answer(run: &RunRecord, request: &RequestRecord) -> Option<Violation> {
    let is_late = request.ended - request.since > request.limit + LOST_AFTER + SOCKET_SLACK;
    match &request.outcome {
        Outcome::Foreign(_) => Some(Violation::Foreign(request.clone())),
        Outcome::Unanswered | Outcome::ClosedTwice => Some(Violation::Lost(request.clone())),
        Outcome::Served | Outcome::Refused | Outcome::Failed if is_late => {
            Some(Violation::Lost(request.clone()))
        }
        Outcome::NotTaken if request.ended < run.process.terminated => {
            Some(Violation::NotTakenWhileRunning(request.clone()))
        }
        _ => None,
    }
}

/// At most one attempt that may have run, for requests that must not run twice.
fn check_duplicates(run: &RunRecord) -> Vec<Violation> {
    let mut attempts: BTreeMap<&str, usize> = BTreeMap::new();
    let may_have_run = run
        .attempts
        .iter()
        .filter(|attempt| attempt.operation == Operation::Switch && attempt.may_have_run);
    for attempt in may_have_run {
        *attempts.entry(&attempt.request).or_default() += 1;
    }
    attempts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(request, attempts)| Violation::RunTwice {
            request: request.into(),
            attempts,
        })
        .collect()
}

/// Nothing new past the drain grace.
fn check_drain(run: &RunRecord, attempt: &Attempt) -> Option<Violation> {
    let allowed = DRAIN_GRACE + SOCKET_SLACK + HELD_UP;
    let drain = run.drains.iter().find(|drain| {
        let is_past = attempt.arrived > drain.told + allowed;
        drain.host == attempt.host && is_past && attempt.arrived < drain.until
    })?;
    Some(Violation::AfterDrain {
        attempt: attempt.clone(),
        late_by: attempt.arrived - drain.told - allowed,
    })
}

/// No attempt for a client that has gone.
fn check_gone_clients(run: &RunRecord) -> Vec<Violation> {
    let gone = run
        .requests
        .iter()
        .filter(|request| request.outcome == Outcome::Left);
    let gone: BTreeMap<&str, f64> = gone
        .map(|request| (request.id.as_str(), request.ended))
        .collect();
    let late = run.attempts.iter().filter_map(|attempt| {
        let left = gone.get(attempt.request.as_str())?;
        let late_by = attempt.arrived - left - GONE_GRACE - SOCKET_SLACK;
        (late_by > 0.0).then(|| Violation::ForGoneClient {
            request: attempt.request.clone(),
            late_by,
        })
    });
    late.collect()
}

fn check_half_senders(run: &RunRecord) -> Vec<Violation> {
    let limit = HALF_SENDER_LIMIT + SOCKET_SLACK;
    run.half_senders
        .iter()
        .filter(|after| after.is_none_or(|after| after > limit))
        .map(|after| Violation::HalfSender(*after))
        .collect()
}

#[cfg(test)]
mod tests;
