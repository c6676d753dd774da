//! The management interfaces of the router: NETCONF over SSH and gNMI over TLS, with the published YANG modules as the
//! data model. They never change the router directly: an edit becomes a candidate that the commit service validates and
//! commits, and reads return the data that the commit service and the event loop have published.

mod clock;
pub mod commit_service;
mod end_reason;
mod error;
pub mod gnmi;
pub mod netconf;
pub mod state;

/// The code that `build.rs` generates from the gNMI `.proto` files.
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

/// Limits of connections, sessions and subscriptions.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a NETCONF message or a gNMI request, in bytes.
    pub max_message_bytes: usize,
    /// Maximum number of open connections of each protocol.
    pub max_connections: usize,
    /// Maximum number of NETCONF sessions, and of gNMI Subscribe streams.
    pub max_sessions: usize,
    /// Time limit of each login step: for NETCONF the SSH version exchange, the SSH authentication and the client's
    /// hello, for gNMI the TLS handshake.
    pub login_timeout: Duration,
    /// Time between keepalive messages on an idle connection.
    pub keepalive_interval: Duration,
    /// Consecutive unanswered keepalive messages after which a connection is closed.
    pub max_missed_keepalives: usize,
    /// Maximum number of notifications that are queued for one session.
    pub max_queued_notifications: usize,
    /// Maximum number of concurrent requests and streams on one gNMI connection.
    pub max_streams: u32,
    /// Shortest sample interval and heartbeat interval of a subscription.
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
