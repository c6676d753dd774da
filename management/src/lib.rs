//! Management fronts: NETCONF over SSH and gNMI over TLS, by the published models. Nothing here writes to the
//! router: every edit is a candidate that the commit service checks and commits, and what is read is what it has
//! published.
//!
//! Both fronts run in a thread of their own, with a runtime of their own.

mod clock;
pub mod commit_service;
mod error;
pub mod gnmi;
pub mod netconf;
pub mod state;

/// The gNMI service as its published specification describes it.
pub mod proto {
    #![allow(missing_docs, clippy::all)]
    pub mod gnmi {
        tonic::include_proto!("gnmi");
    }
    pub mod gnmi_ext {
        tonic::include_proto!("gnmi_ext");
    }
}

pub use commit_service::{CommitServiceHandle, CommitServiceRequest, Notification};
pub use error::ServeError;
pub use russh::keys;

/// What sessions may hold. Sizes in bytes, times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Of one message, and of one gNMI request.
    pub max_message_bytes: usize,
    /// Open connections of one front.
    pub max_connections: usize,
    /// Sessions and streams of one front whose client has proved who it is.
    pub max_sessions: usize,
    /// To prove who one is, and to say hello.
    pub login_timeout: f64,
    /// Between keepalive messages on a quiet connection.
    pub keepalive_interval: f64,
    /// Keepalive messages in a row that may stay without an answer.
    pub max_missed_keepalives: usize,
    /// Notifications that wait for one session.
    pub max_queued_notifications: usize,
    /// Requests and streams of one gNMI connection.
    pub max_streams: u32,
    /// The least time between samples.
    pub min_sample_interval: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_message_bytes: 4 << 20,
            max_connections: 1200,
            max_sessions: 1100,
            login_timeout: 10.0,
            keepalive_interval: 10.0,
            max_missed_keepalives: 3,
            max_queued_notifications: 1024,
            max_streams: 32,
            min_sample_interval: 0.05,
        }
    }
}
