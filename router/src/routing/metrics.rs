//! Counters for the log and the management interfaces, and the rate limit on warnings about malformed input.

use std::fmt::Write;

use kestreltide::interface::AttemptOutcome;
use kestreltide_datastore::operational_state::RequestCounts;

/// Seconds over which warnings are counted for their rate limit.
const WARNING_WINDOW_SECONDS: f64 = 1.0;

/// What is counted, in the order of the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Counter {
    ClientsAccepted,
    RequestsAdmitted,
    /// Rejected before their admission, for lack of capacity or at the end of a shutdown.
    RequestsRejected,
    RequestsSucceeded,
    RequestsShed,
    RequestsFailed,
    /// Their clients disconnected before they were sent a response.
    RequestsAbandoned,
    MalformedMessages,
    AttemptsStarted,
    /// Commands that were not or not fully written, as their requests had their responses or it was too late.
    CommandsWithdrawn,
    UpstreamsOpened,
    /// Idle connections to hosts that were used again.
    UpstreamsReused,
    /// Of these, connections that had not been idle for the requested minimum.
    UpstreamsReusedEarly,
    /// Idle connections to hosts that were closed because of input that no request or health check was waiting for.
    UpstreamsWithSurplusInput,
    /// Responses of hosts that might have been surplus ones to earlier commands, so that a barrier was written.
    BarriersWritten,
    /// Surplus responses of hosts that were received after the next command was written, and discarded.
    SurplusResponsesDiscarded,
    EndpointListRequests,
    VotesCast,
    VotesNotCounted,
    GossipSent,
    GossipReceived,
    /// Warnings that exceeded the rate limit.
    WarningsSuppressed,
}

/// The counters with their names in the log line.
const COUNTERS: [(Counter, &str); 22] = [
    (Counter::ClientsAccepted, "clients"),
    (Counter::RequestsAdmitted, "taken"),
    (Counter::RequestsRejected, "no_room"),
    (Counter::RequestsSucceeded, "succeeded"),
    (Counter::RequestsShed, "throttled"),
    (Counter::RequestsFailed, "terminated"),
    (Counter::RequestsAbandoned, "left"),
    (Counter::MalformedMessages, "malformed"),
    (Counter::AttemptsStarted, "dispatches"),
    (Counter::CommandsWithdrawn, "withdrawn"),
    (Counter::UpstreamsOpened, "new_links"),
    (Counter::UpstreamsReused, "reused"),
    (Counter::UpstreamsReusedEarly, "reused_early"),
    (Counter::UpstreamsWithSurplusInput, "surplus"),
    (Counter::BarriersWritten, "barriers"),
    (Counter::SurplusResponsesDiscarded, "crossed"),
    (Counter::EndpointListRequests, "lists"),
    (Counter::VotesCast, "votes"),
    (Counter::VotesNotCounted, "votes_away"),
    (Counter::GossipSent, "told"),
    (Counter::GossipReceived, "heard"),
    (Counter::WarningsSuppressed, "unlogged"),
];

/// The outcomes of attempts with their names in the log line.
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

/// Counts since the last log line, and of requests also since the program's start.
#[derive(Default)]
pub(super) struct Metrics {
    /// When the last log line was taken, in Unix seconds.
    logged_at: f64,
    counts: [u64; COUNTERS.len()],
    outcomes: [u64; OUTCOMES.len()],
    /// Requests counted until the last log line.
    requests_before_line: RequestCounts,
    /// In Unix seconds.
    warning_window_start: f64,
    /// Including suppressed ones.
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

    /// Whether one more warning may be logged in this window; a suppressed one is counted.
    pub(super) fn may_warn(&mut self, now: f64, warnings_per_second: u64) -> bool {
        if now - self.warning_window_start >= WARNING_WINDOW_SECONDS {
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

    /// Returns the counts as a log line and resets them, if `interval` seconds have passed since the last line.
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

    /// The counters, then after `ends:` the outcomes of attempts that occurred.
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
