//! Events: what the adapter reports to the decisions.

use std::sync::Arc;

use super::endpoints::{HostEntry, HostPool, ListScope, LoadReport};
use super::ids::{
    AttemptNumber, BuildId, HostId, KeyId, OperationId, RequestId, RouterId, TimerKey,
};
use super::operators::OperatorOverrides;
use super::rollout::RolloutStatus;

/// How an attempt, a health check or the call that casts a vote ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered without an error.
    Succeeded,
    /// It was answered with an error.
    Error,
    /// It was rejected without an effect.
    Rejected,
    /// No answer came in time; it may have taken effect.
    TimedOut,
    /// No connection was established, so it had no effect.
    NoConnection,
    /// The connection was reset; it may have taken effect.
    Reset,
    /// This router cancelled it.
    Cancelled,
    /// Its result was no longer needed.
    Irrelevant,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The id that the adapter gave the request.
    pub id: RequestId,
    /// The requested operation.
    pub operation: OperationId,
    /// The key that the request reads or changes, if it has one.
    pub key: Option<KeyId>,
    /// How much longer the client waits for the response, in seconds.
    pub time_left: f64,
    /// A rough estimate of the work, in seconds of a standard core; `None` if it is unknown.
    pub work: Option<f64>,
    /// Whether the client has sent the request before and is retrying it.
    pub is_retry: bool,
    /// The hosts that may serve the request; `None` if all hosts may.
    pub pool: Option<Arc<HostPool>>,
}

/// Something that happened to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint list has arrived.
    EndpointList {
        /// Which entries the list contains.
        scope: ListScope,
        /// The entries.
        entries: Arc<[HostEntry]>,
    },
    /// Part of a long endpoint list, delivered ahead of time. Its entries take effect with the next
    /// `OperatorOverridesApplied` or `EndpointList`.
    EndpointsStaged {
        /// The whole list.
        entries: Arc<[HostEntry]>,
        /// The index of the first entry of this part.
        from: usize,
        /// The index after the last entry of this part.
        to: usize,
    },
    /// A revision of the operators' settings takes effect, together with all entries staged for it and these.
    OperatorOverridesApplied {
        /// The operators' settings.
        overrides: Arc<OperatorOverrides>,
        /// The entries that have changed and were not staged.
        entries: Arc<[HostEntry]>,
    },
    /// The endpoint list could not be fetched, or the subscription to it broke.
    EndpointListFailed,
    /// A client has sent a request.
    RequestReceived(Request),
    /// A host has begun to stream its response, so the request can no longer be retried.
    ResponseStarted {
        /// The request that is being answered.
        request: RequestId,
        /// The attempt that is being answered.
        attempt: AttemptNumber,
        /// The host that answers.
        host: HostId,
    },
    /// An attempt has ended.
    AttemptFinished {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt that ended.
        attempt: AttemptNumber,
        /// The host that the attempt was sent to.
        host: HostId,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Whether the request needs no more attempts: the client has its final response or no longer waits for it.
        request_finished: bool,
        /// How long the attempt took, in seconds.
        took: f64,
        /// The load that the host reported with its response.
        load: LoadReport,
        /// How long the connection had been idle before the attempt, in seconds; 0 for a new connection, `None` if the
        /// adapter does not know.
        connection_idle: Option<f64>,
    },
    /// A client has closed its connection.
    ClientDisconnected {
        /// The client's request.
        request: RequestId,
    },
    /// A timer has expired.
    TimerExpired {
        /// The key that the timer was scheduled with.
        key: TimerKey,
    },
    /// A health check has ended.
    HealthCheckFinished {
        /// The host that was checked.
        host: HostId,
        /// How the check ended.
        outcome: AttemptOutcome,
        /// How long the check took, in seconds.
        took: f64,
        /// The load that the host reported with its response.
        load: LoadReport,
    },
    /// A gossip message from another router has arrived.
    GossipReceived {
        /// The sender.
        from: RouterId,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// The platform has sent the state of the rollout, or has answered a vote.
    RolloutStatusReceived(RolloutStatus),
    /// Metrics of a build, measured outside of this router.
    BuildMetrics {
        /// The build that was measured.
        build: BuildId,
        /// The operation that was measured.
        operation: OperationId,
        /// The number of attempts.
        attempts: f64,
        /// The number of attempts that failed.
        failed: f64,
        /// The mean duration of an attempt, in seconds.
        mean_time: f64,
        /// The age of the metrics, in seconds.
        age: f64,
    },
    /// A response that was delivered has turned out to be wrong.
    AnswerDisputed {
        /// The host that gave the response.
        host: HostId,
        /// The operation that the response belongs to.
        operation: OperationId,
        /// How long ago the response was given, in seconds.
        age: f64,
    },
}
