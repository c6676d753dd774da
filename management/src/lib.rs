//! Management fronts: NETCONF over SSH and gNMI over TLS, by the published models. Nothing here writes to the
//! router: every edit is a candidate that the commit service checks and commits, and what is read is what it has
//! published.
//!
//! Both fronts run in a thread of their own, with a runtime of their own.

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
    pub message: usize,
    /// Open connections of one front.
    pub connections: usize,
    /// Sessions and streams of one front whose client has proved who it is.
    pub sessions: usize,
    /// To prove who one is, and to say hello.
    pub enter: f64,
    /// Between keepalive messages on a quiet connection.
    pub alive: f64,
    /// Keepalive messages in a row that may stay without an answer.
    pub missed: usize,
    /// Notifications that wait for one session.
    pub notifications: usize,
    /// Requests and streams of one gNMI connection.
    pub streams: u32,
    /// The least time between samples.
    pub sample: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            message: 4 << 20,
            connections: 1200,
            sessions: 1100,
            enter: 10.0,
            alive: 10.0,
            missed: 3,
            notifications: 1024,
            streams: 32,
            sample: 0.05,
        }
    }
}
