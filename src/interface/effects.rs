//! Effects: the actions that the decisions ask the adapter to carry out.
//!
//! The adapter is the program around the decisions, which does all input and output: the router, or the simulator's
//! adapter.

use super::ids::{AttemptNumber, BuildId, HostId, RequestId, RouterId, TimerKey};
use super::rollout::{Vote, VoteEvidence};

/// Which connection an attempt may use, and how long writing the request may take. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionRequirements {
    /// A connection that has been idle for longer than this is not used.
    pub max_idle: f64,
    /// A connection whose last response came less than this ago is not used, so that surplus input after that response
    /// is received and the connection closed before its next use. Input that comes later still is told apart by the
    /// adapter, but may cost the attempt.
    pub min_idle: f64,
    /// The largest number of idle connections to a host that are kept waiting for `min_idle`, because hosts accept few
    /// connections. Where a host has this many idle connections or more, none of them idle for `min_idle`, the one that
    /// has been idle longest is used all the same.
    pub max_below_min_idle: usize,
    /// The time within which the last byte of the request must be written. After that the adapter closes the connection
    /// and reports [`NoConnection`](super::AttemptOutcome::NoConnection), as the host cannot have run the request: the
    /// time within which hosts recognise an idempotency key may be over, or the host may have finished draining.
    pub write_timeout: f64,
}

/// An action that a router's decisions ask the adapter to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Forward a request to a host.
    StartAttempt {
        /// The request to forward.
        request: RequestId,
        /// The host to forward it to.
        host: HostId,
        /// How long to wait for the response, in seconds.
        timeout: f64,
        /// Which connection to the host may be used.
        connection: ConnectionRequirements,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptNumber,
    },
    /// Reply to the client that its request had no effect and may be retried, no earlier than after `retry_after`.
    ShedRequest {
        /// The request to shed.
        request: RequestId,
        /// How long the client should wait before it retries, in seconds; `None` to leave this open.
        retry_after: Option<f64>,
    },
    /// Reply to the client that its request failed; it may have had an effect.
    FailRequest {
        /// The request that failed.
        request: RequestId,
    },
    /// Schedule a timer.
    ScheduleTimer {
        /// The point in time at which the timer expires, in seconds.
        at: f64,
        /// The key to return with [`Event::TimerExpired`](super::Event::TimerExpired).
        key: TimerKey,
    },
    /// Check the health of a host.
    StartHealthCheck {
        /// The host to check.
        host: HostId,
    },
    /// Close the idle connections to a host.
    CloseIdleConnections {
        /// The host that the connections lead to.
        host: HostId,
    },
    /// Send a gossip message to one router or to all others.
    SendGossip {
        /// The receiving router; `None` to send it to all other routers.
        to: Option<RouterId>,
        /// The encoded message.
        payload: Vec<u8>,
    },
    /// Send a vote on a canary to the platform.
    CastVote {
        /// The canary build.
        build: BuildId,
        /// The stage of the rollout that the vote applies to, from 0.
        stage: u32,
        /// The vote to cast.
        vote: Vote,
    },
    /// Subscribe to the endpoint list, or end the subscription.
    SubscribeEndpointList {
        /// `true` to subscribe, `false` to unsubscribe.
        on: bool,
    },
    /// Fetch the endpoint list once, without a subscription.
    FetchEndpointList,
    /// Log the evidence for a vote that is being cast.
    LogVoteEvidence(VoteEvidence),
}
