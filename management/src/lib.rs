//! The management interfaces: NETCONF over SSH and gNMI over TLS, by the published models. They never change the router
//! themselves: an edit is a candidate that the commit service checks and commits, and what clients read is what the
//! commit service has published.

mod clock;
pub mod commit_service;
mod end_reason;
mod error;
pub mod gnmi;
pub mod netconf;
pub mod state;

/// The generated code of the gNMI service.
pub mod proto {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}

use std::time::Duration;

pub use commit_service::{CommitServiceHandle, CommitServiceRequest, Notification};
pub use error::ServeError;
pub use russh::keys;

/// The limits of connections, sessions and subscriptions.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Size of a NETCONF message and of a gNMI request, in bytes.
    pub max_message_bytes: usize,
    /// Open connections of each protocol.
    pub max_connections: usize,
    /// NETCONF sessions, and gNMI streams.
    pub max_sessions: usize,
    /// Time of a client to authenticate, and to send its hello.
    pub login_timeout: Duration,
    /// Time between keepalive messages on an idle connection.
    pub keepalive_interval: Duration,
    /// Keepalive messages in a row without a reply before a connection is closed.
    pub max_missed_keepalives: usize,
    /// Notifications that are queued for one session.
    pub max_queued_notifications: usize,
    /// Concurrent requests and streams of one gNMI connection.
    pub max_streams: u32,
    /// Shortest time between samples and between heartbeats of a subscription.
    pub min_sample_interval: Duration,
}

const MEBIBYTE: usize = 1 << 20;

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_message_bytes: 4 * MEBIBYTE,
            max_connections: 1200,
            max_sessions: 1100,
            login_timeout: Duration::from_secs(10),
            keepalive_interval: Duration::from_secs(10),
            max_missed_keepalives: 3,
            max_queued_notifications: 1024,
            max_streams: 32,
            min_sample_interval: Duration::from_millis(50),
        }
    }
}
