//! The records that hosts and clients make of one run. All times are in seconds since the run began.

use std::sync::Mutex;
use std::time::SystemTime;

/// The clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    epoch: SystemTime,
}

impl RunClock {
    /// Starts the clock.
    pub fn start() -> Self {
        RunClock {
            epoch: SystemTime::now(),
        }
    }

    /// Returns the seconds since the run began.
    pub fn now(&self) -> f64 {
        self.at(SystemTime::now())
    }

    /// Returns the seconds from the beginning of the run until `time`, or 0 for an earlier time.
    pub fn at(&self, time: SystemTime) -> f64 {
        time.duration_since(self.epoch)
            .map_or(0.0, |since| since.as_secs_f64())
    }
}

/// The kind of a request, which decides whether it may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// A read, which may run more than once.
    Read,
    /// A write (request class `switch`), which may run once at most.
    Write,
    /// A write with an idempotency key (request class `set`), which hosts recognise for [`KEY_WINDOW`].
    KeyedWrite,
}

/// Seconds for which hosts recognise an idempotency key.
pub const KEY_WINDOW: f64 = 0.4;

/// One attempt whose complete command reached a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The id of the request.
    pub request: String,
    /// The kind of the request.
    pub operation: Operation,
    /// The number of the host.
    pub host: usize,
    /// When the kernel received the command's bytes.
    pub arrived: f64,
    /// The time limit that the host was told, in seconds.
    pub told_limit: f64,
    /// Whether the command may have run; false where the host replied `-BUSY`.
    pub may_have_run: bool,
}

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The reply was the value for this request.
    Served,
    /// The reply was `-BUSY`.
    Refused,
    /// The reply was another error.
    Failed,
    /// The reply was this value, which no host sent for the request.
    Foreign(String),
    /// No reply came, although the client waited beyond the time at which the request counts as lost.
    Unanswered,
    /// The connection was closed without a reply, and so was the second one.
    ClosedTwice,
    /// The router did not accept a connection for the request, at the first sending or after a close without a reply.
    NotAccepted,
    /// The client disconnected without waiting for the reply.
    Disconnected,
}

/// One request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The id of the request.
    pub id: String,
    /// When the request's last byte was written or, if later, when the previous request on the connection was answered.
    pub sent_at: f64,
    /// The request's time limit, in seconds.
    pub limit: f64,
    /// When the reply came, or when the client gave up or disconnected.
    pub ended: f64,
    /// How the request ended.
    pub outcome: Outcome,
}

/// A period in which a host is listed as draining and must receive no new attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// The number of the host.
    pub host: usize,
    /// When discovery first listed the host as draining.
    pub listed_at: f64,
    /// When discovery listed the host as ready again; infinite if it never did.
    pub until: f64,
}

/// A time in which the router process was stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standstill {
    /// When it was stopped.
    pub from: f64,
    /// When it went on.
    pub until: f64,
}

/// The start and the end of the run's first router process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessRecord {
    /// Seconds from its start until it answered `PING`.
    pub ready_after: f64,
    /// When the first SIGTERM was sent.
    pub terminated: f64,
    /// When SIGKILL is due if the process is still running.
    pub kill_due: f64,
    /// The exit code; none where the process was killed.
    pub exit_code: Option<i32>,
}

/// Collects the records of a run while it goes on.
#[derive(Default)]
pub struct Recorder {
    attempts: Mutex<Vec<Attempt>>,
    requests: Mutex<Vec<RequestRecord>>,
    /// For each client that sent part of a command: the seconds until it got an error or a close, or none where it got
    /// neither.
    partial_senders: Mutex<Vec<Option<f64>>>,
}

/// The complete record of a run, which the oracle checks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunRecord {
    pub attempts: Vec<Attempt>,
    pub requests: Vec<RequestRecord>,
    pub partial_senders: Vec<Option<f64>>,
    pub drains: Vec<Drain>,
    pub standstills: Vec<Standstill>,
    pub process: ProcessRecord,
    /// Seconds from the start of the second process until it answered `PING`.
    pub restarted_after: f64,
}

impl Recorder {
    pub fn add_attempt(&self, attempt: Attempt) {
        self.attempts.lock().expect("no panic before").push(attempt);
    }

    pub fn add_request(&self, request: RequestRecord) {
        self.requests.lock().expect("no panic before").push(request);
    }

    pub fn add_partial_sender(&self, after: Option<f64>) {
        self.partial_senders
            .lock()
            .expect("no panic before")
            .push(after);
    }

    /// Returns the complete record: what clients and hosts recorded, and what the run itself knows.
    pub fn finish(
        &self,
        drains: Vec<Drain>,
        standstills: Vec<Standstill>,
        process: ProcessRecord,
        restarted_after: f64,
    ) -> RunRecord {
        RunRecord {
            attempts: self.attempts.lock().expect("no panic before").clone(),
            requests: self.requests.lock().expect("no panic before").clone(),
            partial_senders: self
                .partial_senders
                .lock()
                .expect("no panic before")
                .clone(),
            drains,
            standstills,
            process,
            restarted_after,
        }
    }
}
