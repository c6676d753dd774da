//! The operational state: what the router observes and has done, as one immutable value that every management interface
//! reads.

use std::sync::Arc;

use kestreltide::interface::{Revision, RolloutStatus};

use crate::facts::Facts;
use crate::host_record::HostRecord;

/// Numbers of requests since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were answered with success.
    pub succeeded: u64,
    /// Requests that were rejected because the load was too high.
    pub shed: u64,
    /// Requests that failed without an answer of a host.
    pub failed: u64,
    /// Attempts of all requests together.
    pub attempts: u64,
}

/// The operational state of a router at one time.
#[derive(Clone, Debug, Default)]
pub struct OperationalState {
    /// The time of this state, in Unix seconds.
    pub at: f64,
    /// The endpoint list of discovery, including hosts that are removed; `None` if no discovery is configured.
    pub discovery: Option<Arc<[HostRecord]>>,
    /// Whether discovery has sent its list, or is not configured.
    pub discovery_received: bool,
    /// The latest rollout status of the platform.
    pub rollout: Option<RolloutStatus>,
    /// The revision that the event loop applied last.
    pub revision: Revision,
    /// The number of revisions that the event loop has applied since the start.
    pub revisions_applied: u64,
    /// The longest time that the event loop took to apply a revision, in seconds.
    pub longest_apply_time: f64,
    /// The number of requests in flight.
    pub requests_in_flight: usize,
    /// The number of connected clients.
    pub clients: usize,
    /// The number of connections to hosts.
    pub upstream_connections: usize,
    /// Numbers of requests since the start.
    pub counts: RequestCounts,
}

impl OperationalState {
    /// Returns the facts for a check at `now` (Unix seconds).
    pub fn facts(&self, now: f64) -> Facts {
        Facts {
            now,
            discovery: self.discovery.clone(),
            discovery_received: self.discovery_received,
            rollout: self.rollout,
        }
    }
}
