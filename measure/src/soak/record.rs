//! What hosts and clients record of one run; all times are in seconds since it began.

use std::sync::Mutex;
use std::time::SystemTime;

/// The clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    epoch: SystemTime,
}

impl RunClock {
    /// A clock that begins now.
    pub fn start() -> Self {
        RunClock {
            epoch: SystemTime::now(),
        }
    }

    /// Now.
    pub fn now(&self) -> f64 {
        self.at(SystemTime::now())
    }

    /// A point in time.
    pub fn at(&self, time: SystemTime) -> f64 {
        time.duration_since(self.epoch)
            .map_or(0.0, |since| since.as_secs_f64())
    }
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// It may.
    Read,
    /// It may not.
    Switch,
}

/// One attempt that reached a host whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The request's id.
    pub request: String,
    /// Whether it may run twice.
    pub operation: Operation,
    /// The host's number.
    pub host: usize,
    /// When the machine received it.
    pub arrived: f64,
    /// Whether it may have run: not where it was turned away.
    pub may_have_run: bool,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A value came that was made for this request.
    Served,
    /// `-BUSY`.
    Refused,
    /// Any other error.
    Failed,
    /// A value came that no host made for it.
    Foreign(String),
    /// Nothing came until well after its time.
    Unanswered,
    /// Its connection was closed without an answer, and a second one as well.
    ClosedTwice,
    /// Its connection was closed without an answer, and nobody took it on a new one.
    NotTaken,
    /// The client left before an answer.
    Left,
}

/// One request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// When its last byte was written, or the one before it on its connection was answered, if that was later.
    pub since: f64,
    /// The time that the client waits, in seconds.
    pub limit: f64,
    /// When it was answered, or when the client gave up or left.
    pub ended: f64,
    /// What became of it.
    pub outcome: Outcome,
}

/// A change after which a host takes nothing new.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// The host's number.
    pub host: usize,
    /// When discovery had it.
    pub told: f64,
    /// When the host was listed as running again.
    pub until: f64,
}

/// The life of a router process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessRecord {
    /// Seconds from its start until it answered `PING`.
    pub ready_after: f64,
    /// When the first SIGTERM was sent.
    pub terminated: f64,
    /// When SIGKILL was due.
    pub kill_due: f64,
    /// Its exit code; none where it was killed.
    pub exit_code: Option<i32>,
}

/// Everything that was recorded of a run.
#[derive(Default)]
pub struct Recorder {
    attempts: Mutex<Vec<Attempt>>,
    requests: Mutex<Vec<RequestRecord>>,
    /// Seconds until each client that never sent a whole request got its error or close; none: it did not.
    half_senders: Mutex<Vec<Option<f64>>>,
}

/// A run as the oracle sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunRecord {
    pub attempts: Vec<Attempt>,
    pub requests: Vec<RequestRecord>,
    pub half_senders: Vec<Option<f64>>,
    pub drains: Vec<Drain>,
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

    pub fn add_half_sender(&self, after: Option<f64>) {
        self.half_senders
            .lock()
            .expect("no panic before")
            .push(after);
    }

    /// All that was recorded, with what the run itself knows.
    pub fn finish(
        &self,
        drains: Vec<Drain>,
        process: ProcessRecord,
        restarted_after: f64,
    ) -> RunRecord {
        RunRecord {
            attempts: self.attempts.lock().expect("no panic before").clone(),
            requests: self.requests.lock().expect("no panic before").clone(),
            half_senders: self.half_senders.lock().expect("no panic before").clone(),
            drains,
            process,
            restarted_after,
        }
    }
}
