//! What comes out of the decisions.

use super::ids::{AttemptNumber, BuildId, HostId, RequestId, RouterId, TimerKey};
use super::rollout::{Vote, VoteEvidence};

/// On which connection an attempt may go, and by when; times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionRequirements {
    /// On none that has been idle for longer.
    pub max_idle: f64,
    /// On none whose last answer came less than this ago: answers carry no id, and a second one that comes late
    /// would be taken for this attempt's own.
    pub min_idle: f64,
    /// But where as many of a host's connections rest, the one that has rested for longest is used.
    pub max_below_min_idle: usize,
    /// What is not written to its last byte by then is given up, and has never run: it may be too late for a
    /// retry, or the host may be draining by now.
    pub write_timeout: f64,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Forward a request to a host.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The host.
        host: HostId,
        /// The time that the host has to answer, in seconds.
        timeout: f64,
        /// The connection that it may use.
        connection: ConnectionRequirements,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// A final answer: the request had no effect and may be retried, not before `retry_after`.
    ShedRequest {
        /// The request.
        request: RequestId,
        /// The time to wait, in seconds.
        retry_after: Option<f64>,
    },
    /// A final answer that promises nothing about effects.
    FailRequest {
        /// The request.
        request: RequestId,
    },
    /// Schedule a timer.
    ScheduleTimer {
        /// When it expires.
        at: f64,
        /// What comes back with it.
        key: TimerKey,
    },
    /// Check the health of a host.
    StartHealthCheck {
        /// The host.
        host: HostId,
    },
    /// Close the idle connections to a host.
    CloseIdleConnections {
        /// The host.
        host: HostId,
    },
    /// Send a gossip message to one router, or to all.
    SendGossip {
        /// The router; none: all.
        to: Option<RouterId>,
        /// The message.
        payload: Vec<u8>,
    },
    /// Vote on a canary at the platform.
    CastVote {
        /// The build.
        build: BuildId,
        /// The stage that the vote is about.
        stage: u32,
        /// The vote.
        vote: Vote,
    },
    /// Subscribe to the endpoint list, or end the subscription.
    SubscribeEndpointList {
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetch the endpoint list once.
    FetchEndpointList,
    /// Log why a vote is cast.
    LogVoteEvidence(VoteEvidence),
}
