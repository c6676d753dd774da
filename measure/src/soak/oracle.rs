//! The test oracle of the soak: finds the rules that a recorded run breaks.

use std::collections::BTreeMap;
use std::fmt;

use super::record::{Attempt, KEY_WINDOW, Operation, Outcome, RequestRecord, RunRecord};

/// Seconds after its time limit at which a request without a reply counts as lost.
pub const LOST_AFTER: f64 = 0.5;

/// Seconds by which every time limit is extended, for delays of sockets.
pub const SOCKET_SLACK: f64 = 0.05;

/// Seconds after a host is listed as draining in which new attempts at it are still allowed.
pub const DRAIN_GRACE: f64 = 0.5;

/// Seconds that the scheduler may suspend a router between reading its clock and writing an attempt.
const SUSPENSION_ALLOWANCE: f64 = 0.15;

/// Seconds after a client has disconnected in which new attempts for its request are still allowed.
const DISCONNECT_GRACE: f64 = 0.1;

/// Seconds in which a client that sends part of a command must get an error or a close.
const PARTIAL_COMMAND_LIMIT: f64 = 3.0;

/// Seconds in which a router must be ready after its start.
const READY_LIMIT: f64 = 10.0;

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A request got no reply within its time limit and `LOST_AFTER`, or was closed without one on two connections.
    Lost(RequestRecord),
    /// A request was served with a value that no host sent for it.
    Foreign(RequestRecord),
    /// The router accepted no connection for a request although it was running.
    NotAcceptedWhileRunning(RequestRecord),
    /// A request that must not run twice may have run more than once.
    RunTwice { request: String, attempts: usize },
    /// An attempt reached a draining host after the grace period, by this many seconds.
    AfterDrain { attempt: Attempt, late_by: f64 },
    /// An attempt was sent after the time limit of its request, by this many seconds.
    AfterTimeLimit { attempt: Attempt, late_by: f64 },
    /// A host was told a time limit that ends after that of the request, by this many seconds.
    ToldTooLong { attempt: Attempt, beyond: f64 },
    /// An attempt was sent for a client that had disconnected, this many seconds after the grace period.
    ForDisconnectedClient { request: String, late_by: f64 },
    /// A client that sent part of a command got neither an error nor a close in time. Holds the seconds until it did,
    /// if it did.
    PartialCommand(Option<f64>),
    /// The router did not end by itself after SIGTERM, or its exit code was not 0.
    BadExit(Option<i32>),
    /// The router took too long to become ready; in seconds.
    NotReady(f64),
}

impl Violation {
    /// The kind of the violation, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            Violation::Lost(_) => "lost",
            Violation::Foreign(_) => "foreign",
            Violation::NotAcceptedWhileRunning(_) => "not-accepted",
            Violation::RunTwice { .. } => "duplicate",
            Violation::AfterDrain { .. } => "drain",
            Violation::AfterTimeLimit { .. } => "late-attempt",
            Violation::ToldTooLong { .. } => "told-too-long",
            Violation::ForDisconnectedClient { .. } => "disconnected-client",
            Violation::PartialCommand(_) => "partial-command",
            Violation::BadExit(_) => "bad-exit",
            Violation::NotReady(_) => "not-ready",
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Lost(request) => write!(f, "lost: {request:?}"),
            Violation::Foreign(request) => {
                write!(
                    f,
                    "served with a value that no host sent for it: {request:?}"
                )
            }
            Violation::NotAcceptedWhileRunning(request) => {
                write!(f, "not accepted while the router ran: {request:?}")
            }
            Violation::RunTwice { request, attempts } => {
                write!(f, "duplicate: {request} may have run {attempts} times")
            }
            Violation::AfterDrain { attempt, late_by } => {
                write!(
                    f,
                    "drain: attempt {late_by:.3} s after the grace period: {attempt:?}"
                )
            }
            Violation::AfterTimeLimit { attempt, late_by } => {
                write!(
                    f,
                    "lost: attempt {late_by:.3} s after the request's time limit: {attempt:?}"
                )
            }
            Violation::ToldTooLong { attempt, beyond } => {
                write!(
                    f,
                    "lost: told a time limit {beyond:.3} s beyond the request's: {attempt:?}"
                )
            }
            Violation::ForDisconnectedClient { request, late_by } => {
                write!(
                    f,
                    "lost: {request} was sent {late_by:.3} s after the grace period of its disconnected client"
                )
            }
            Violation::PartialCommand(after) => {
                write!(f, "partial command, error or close after {after:?} s")
            }
            Violation::BadExit(code) => write!(f, "SIGTERM ended with exit code {code:?}"),
            Violation::NotReady(after) => write!(f, "ready after {after:.1} s"),
        }
    }
}

/// Returns all violations of a run.
pub fn violations(run: &RunRecord) -> Vec<Violation> {
    let mut found = vec![];
    found.extend(
        run.requests
            .iter()
            .filter_map(|request| check_reply(run, request)),
    );
    found.extend(check_duplicates(run));
    found.extend(
        run.attempts
            .iter()
            .filter_map(|attempt| check_drain(run, attempt)),
    );
    found.extend(check_time_limits(run));
    found.extend(check_disconnected_clients(run));
    found.extend(check_partial_senders(run));
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

/// Checks that a request got one reply of its own in time, unless the router had ended.
fn check_reply(run: &RunRecord, request: &RequestRecord) -> Option<Violation> {
    let is_late = request.ended > lost_at(run, request) + SOCKET_SLACK;
    match &request.outcome {
        Outcome::Foreign(_) => Some(Violation::Foreign(request.clone())),
        Outcome::Unanswered | Outcome::ClosedTwice => Some(Violation::Lost(request.clone())),
        Outcome::Served | Outcome::Refused | Outcome::Failed if is_late => {
            Some(Violation::Lost(request.clone()))
        }
        Outcome::NotAccepted if request.ended < run.process.terminated => {
            Some(Violation::NotAcceptedWhileRunning(request.clone()))
        }
        _ => None,
    }
}

/// When a request without a reply counts as lost. A process that is stopped cannot reply: it has until it goes on.
fn lost_at(run: &RunRecord, request: &RequestRecord) -> f64 {
    let lost_at = request.sent_at + request.limit + LOST_AFTER;
    let standstill = run
        .standstills
        .iter()
        .find(|standstill| standstill.from <= lost_at && lost_at < standstill.until);
    standstill.map_or(lost_at, |standstill| {
        standstill.until + SUSPENSION_ALLOWANCE
    })
}

/// Checks that requests that must not run twice have at most one attempt that may have run; those with a key may have
/// more within the time for which hosts recognise it.
fn check_duplicates(run: &RunRecord) -> Vec<Violation> {
    let mut attempts: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    let may_have_run = run
        .attempts
        .iter()
        .filter(|attempt| attempt.operation != Operation::Read && attempt.may_have_run);
    for attempt in may_have_run {
        attempts.entry(&attempt.request).or_default().push(attempt);
    }
    attempts
        .into_iter()
        .filter(|(_, attempts)| have_run_twice(attempts))
        .map(|(request, attempts)| Violation::RunTwice {
            request: request.into(),
            attempts: attempts.len(),
        })
        .collect()
}

/// Whether attempts of a request that may have run had their effect more than once.
fn have_run_twice(attempts: &[&Attempt]) -> bool {
    let is_keyed = attempts
        .iter()
        .all(|attempt| attempt.operation == Operation::KeyedWrite);
    if !is_keyed {
        return attempts.len() > 1;
    }
    let arrivals = attempts.iter().map(|attempt| attempt.arrived);
    let first = arrivals.clone().fold(f64::INFINITY, f64::min);
    let last = arrivals.fold(f64::NEG_INFINITY, f64::max);
    last - first > KEY_WINDOW + SOCKET_SLACK
}

/// Checks that hosts get no attempt after the time limit of its request, and no longer time limit.
fn check_time_limits(run: &RunRecord) -> Vec<Violation> {
    let limits: BTreeMap<&str, f64> = run
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request.sent_at + request.limit))
        .collect();
    let violations = run.attempts.iter().filter_map(|attempt| {
        let limit = limits.get(attempt.request.as_str())?;
        let late_by = attempt.arrived - limit - SOCKET_SLACK - SUSPENSION_ALLOWANCE;
        let beyond = late_by + attempt.told_limit;
        let attempt = attempt.clone();
        if late_by > 0.0 {
            Some(Violation::AfterTimeLimit { attempt, late_by })
        } else {
            (beyond > 0.0).then_some(Violation::ToldTooLong { attempt, beyond })
        }
    });
    violations.collect()
}

/// Checks that an attempt did not reach a draining host after the grace period.
fn check_drain(run: &RunRecord, attempt: &Attempt) -> Option<Violation> {
    let allowed = DRAIN_GRACE + SOCKET_SLACK + SUSPENSION_ALLOWANCE;
    let drain = run.drains.iter().find(|drain| {
        let is_after_grace = attempt.arrived > drain.listed_at + allowed;
        drain.host == attempt.host && is_after_grace && attempt.arrived < drain.until
    })?;
    Some(Violation::AfterDrain {
        attempt: attempt.clone(),
        late_by: attempt.arrived - drain.listed_at - allowed,
    })
}

/// Checks that no attempts were sent for clients that had disconnected.
fn check_disconnected_clients(run: &RunRecord) -> Vec<Violation> {
    let disconnected_requests = run
        .requests
        .iter()
        .filter(|request| request.outcome == Outcome::Disconnected);
    let disconnected_at: BTreeMap<&str, f64> = disconnected_requests
        .map(|request| (request.id.as_str(), request.ended))
        .collect();
    let violations = run.attempts.iter().filter_map(|attempt| {
        let disconnected = disconnected_at.get(attempt.request.as_str())?;
        let late_by = attempt.arrived - disconnected - DISCONNECT_GRACE - SOCKET_SLACK;
        (late_by > 0.0).then(|| Violation::ForDisconnectedClient {
            request: attempt.request.clone(),
            late_by,
        })
    });
    violations.collect()
}

/// Checks that clients that sent part of a command got an error or a close in time.
fn check_partial_senders(run: &RunRecord) -> Vec<Violation> {
    // A process that is stopped cannot close a connection.
    let standing_still: f64 = run
        .standstills
        .iter()
        .map(|standstill| standstill.until - standstill.from)
        .sum();
    let limit = PARTIAL_COMMAND_LIMIT + standing_still + SOCKET_SLACK;
    run.partial_senders
        .iter()
        .filter(|after| after.is_none_or(|after| after > limit))
        .map(|after| Violation::PartialCommand(*after))
        .collect()
}

#[cfg(test)]
mod tests;
