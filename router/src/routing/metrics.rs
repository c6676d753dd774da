//! Counters of what the router did, and the limit on warnings about what others do wrong.

use std::fmt::Write;

use kestreltide::interface::AttemptOutcome;
use kestreltide_datastore::view::RequestCounts;

/// Seconds over which warnings are limited.
const WARNING_WINDOW: f64 = 1.0;

/// What is counted, in the order in which the log names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Counter {
    ClientsAccepted,
    RequestsAdmitted,
    /// Rejected before they were admitted: there was no capacity.
    RequestsRejected,
    RequestsSucceeded,
    RequestsShed,
    RequestsFailed,
    /// Their clients disconnected before the response.
    RequestsAbandoned,
    MalformedMessages,
    AttemptsStarted,
    UpstreamsOpened,
    EndpointListRequests,
    VotesCast,
    VotesNotCounted,
    GossipSent,
    GossipReceived,
    /// Warnings that were not written: there were too many in a second.
    WarningsSuppressed,
}

/// The counters with their names in the log.
const COUNTERS: [(Counter, &str); 16] = [
    (Counter::ClientsAccepted, "clients"),
    (Counter::RequestsAdmitted, "taken"),
    (Counter::RequestsRejected, "no_room"),
    (Counter::RequestsSucceeded, "succeeded"),
    (Counter::RequestsShed, "throttled"),
    (Counter::RequestsFailed, "terminated"),
    (Counter::RequestsAbandoned, "left"),
    (Counter::MalformedMessages, "malformed"),
    (Counter::AttemptsStarted, "dispatches"),
    (Counter::UpstreamsOpened, "new_links"),
    (Counter::EndpointListRequests, "lists"),
    (Counter::VotesCast, "votes"),
    (Counter::VotesNotCounted, "votes_away"),
    (Counter::GossipSent, "told"),
    (Counter::GossipReceived, "heard"),
    (Counter::WarningsSuppressed, "unlogged"),
];

/// The outcomes of attempts with their names in the log.
const OUTCOMES: [(AttemptOutcome, &str); 8] = [
    (AttemptOutcome::Succeeded, "succeeded"),
    (AttemptOutcome::Error, "error"),
    (AttemptOutcome::Rejected, "full"),
    (AttemptOutcome::TimedOut, "timed_out"),
    (AttemptOutcome::NoConnection, "no_connection"),
    (AttemptOutcome::Reset, "reset"),
    (AttemptOutcome::Cancelled, "recalled"),
    (AttemptOutcome::Irrelevant, "moot"),
];

/// Counts since they were last logged, and of requests since the program's start.
#[derive(Default)]
pub(super) struct Metrics {
    logged_at: f64,
    counts: [u64; COUNTERS.len()],
    outcomes: [u64; OUTCOMES.len()],
    /// Requests counted before the last line of the log.
    requests_before_line: RequestCounts,
    warning_window_start: f64,
    warnings_in_window: u64,
}

impl Metrics {
    pub(super) fn increment(&mut self, counter: Counter) {
        self.counts[counter as usize] += 1;
    }

    pub(super) fn count_attempt(&mut self, outcome: AttemptOutcome) {
        if let Some(index) = OUTCOMES.iter().position(|(named, _)| *named == outcome) {
            self.outcomes[index] += 1;
        }
    }

    /// Requests and attempts since the program's start.
    pub(super) fn requests_since_start(&self) -> RequestCounts {
        let before = &self.requests_before_line;
        RequestCounts {
            admitted: before.admitted + self.count(Counter::RequestsAdmitted),
            succeeded: before.succeeded + self.count(Counter::RequestsSucceeded),
            shed: before.shed + self.count(Counter::RequestsShed),
            failed: before.failed + self.count(Counter::RequestsFailed),
            attempts: before.attempts + self.count(Counter::AttemptsStarted),
        }
    }

    /// Whether one more warning may be written in this second; one that may not is counted.
    pub(super) fn may_warn(&mut self, now: f64, warnings_per_second: u64) -> bool {
        if now - self.warning_window_start >= WARNING_WINDOW {
            self.warning_window_start = now;
            self.warnings_in_window = 0;
        }
        self.warnings_in_window += 1;
        let may_warn = self.warnings_in_window <= warnings_per_second;
        if !may_warn {
            self.increment(Counter::WarningsSuppressed);
        }
        may_warn
    }

    /// The counts as one line of the log, once the interval (seconds) is over; the counts then start again.
    pub(super) fn take_line(&mut self, now: f64, interval: f64) -> Option<String> {
        if now - self.logged_at < interval {
            return None;
        }
        let line = self.format_line();
        *self = Metrics {
            logged_at: now,
            requests_before_line: self.requests_since_start(),
            warning_window_start: self.warning_window_start,
            warnings_in_window: self.warnings_in_window,
            ..Metrics::default()
        };
        Some(line)
    }

    fn format_line(&self) -> String {
        let mut line = String::new();
        for (counter, name) in COUNTERS {
            let _ = write!(line, "{name} {} ", self.count(counter));
        }
        line.push_str("ends:");
        for ((_, name), count) in OUTCOMES.iter().zip(self.outcomes) {
            if count > 0 {
                let _ = write!(line, " {name} {count}");
            }
        }
        line
    }

    fn count(&self, counter: Counter) -> u64 {
        self.counts[counter as usize]
    }
}
