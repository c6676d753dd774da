//! What goes into the decisions.

use std::sync::Arc;

use super::endpoints::{HostEntry, HostPool, ListScope, LoadReport};
use super::ids::{
    AttemptNumber, BuildId, HostId, KeyId, OperationId, RequestId, RouterId, TimerKey,
};
use super::operators::OperatorOverrides;
use super::rollout::RolloutStatus;

/// How an attempt, a health check or a vote ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// An answer came.
    Succeeded,
    /// The host answered with an error.
    Error,
    /// The host rejected it, with no effect.
    Rejected,
    /// No answer came in its time; it may have run.
    TimedOut,
    /// No connection was made, so it has not run.
    NoConnection,
    /// The connection was reset; it may have run.
    Reset,
    /// This router cancelled it.
    Cancelled,
    /// It did not matter any more.
    Irrelevant,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The operation that it asks for.
    pub operation: OperationId,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// The time before the client stops waiting for this request, in seconds.
    pub time_left: f64,
    /// Expected work, rough, in seconds of a standard core.
    pub work: Option<f64>,
    /// Whether the client sends it again after an earlier try.
    pub is_retry: bool,
    /// The hosts that may serve it; none: all.
    pub pool: Option<Arc<HostPool>>,
}

/// What happens to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint list has come.
    EndpointList {
        /// What it holds.
        scope: ListScope,
        /// Its entries.
        entries: Arc<[HostEntry]>,
    },
    /// Part of a long list, handed over ahead: nothing of it counts before the next `OperatorOverridesApplied` or
    /// `EndpointList`.
    EndpointsStaged {
        /// The whole list.
        entries: Arc<[HostEntry]>,
        /// The first entry of this part.
        from: usize,
        /// The end of this part, exclusive.
        to: usize,
    },
    /// A revision of the operators' settings is in force, with all that was staged for it and these entries.
    OperatorOverridesApplied {
        /// What operators have set.
        overrides: Arc<OperatorOverrides>,
        /// The changed entries.
        entries: Arc<[HostEntry]>,
    },
    /// The endpoint list could not be had, or its watch broke.
    EndpointListFailed,
    /// A client's request has come.
    RequestReceived(Request),
    /// A streamed answer has begun: the request is final.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt that is answered.
        attempt: AttemptNumber,
        /// Its host.
        host: HostId,
    },
    /// An attempt has ended.
    AttemptFinished {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
        /// Its host.
        host: HostId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whether the request has its final answer.
        request_finished: bool,
        /// The time that it took, in seconds.
        took: f64,
        /// What the host reported with its answer.
        load: LoadReport,
        /// How long its connection had been idle, in seconds, where the carrier knows; 0 for a new one.
        connection_idle: Option<f64>,
    },
    /// The client has closed its connection.
    ClientDisconnected {
        /// Its request.
        request: RequestId,
    },
    /// A timer has expired.
    TimerExpired {
        /// The key that it was scheduled with.
        key: TimerKey,
    },
    /// A health check has ended.
    HealthCheckFinished {
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The time that it took, in seconds.
        took: f64,
        /// What the host reported.
        load: LoadReport,
    },
    /// A peer's gossip message has come.
    GossipReceived {
        /// The peer.
        from: RouterId,
        /// The message.
        payload: Vec<u8>,
    },
    /// The platform has told the state of the rollout, or answered a vote.
    RolloutStatusReceived(RolloutStatus),
    /// Figures of a build, as others measured them.
    BuildMetrics {
        /// The build.
        build: BuildId,
        /// The operation.
        operation: OperationId,
        /// Attempts counted.
        attempts: f64,
        /// Attempts that failed.
        failed: f64,
        /// Their mean time, in seconds.
        mean_time: f64,
        /// How old the figures are, in seconds.
        age: f64,
    },
    /// An answer that was given turned out to be wrong.
    AnswerDisputed {
        /// The host that gave it.
        host: HostId,
        /// The operation.
        operation: OperationId,
        /// How long ago it was given, in seconds.
        age: f64,
    },
}
