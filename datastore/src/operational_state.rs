//! The operational state: what the router observes and did, as one immutable value that every management interface
//! reads.

use std::sync::Arc;

use kestreltide::interface::{Revision, RolloutStatus};

use crate::facts::Facts;
use crate::host_record::HostRecord;

/// Counts of requests since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounts {
    /// Admitted.
    pub admitted: u64,
    /// Answered with success.
    pub succeeded: u64,
    /// Rejected as the load was too high.
    pub shed: u64,
    /// Given up without an answer of a host.
    pub failed: u64,
    /// Attempts of all requests.
    pub attempts: u64,
}

/// The state of a router at one time.
#[derive(Clone, Debug, Default)]
pub struct OperationalState {
    /// Unix seconds.
    pub at: f64,
    /// The endpoint list of discovery, with hosts that are gone; `None` where no discovery is configured.
    pub discovery: Option<Arc<[HostRecord]>>,
    /// Whether discovery has sent its list, or is not configured.
    pub discovery_received: bool,
    /// The platform's last rollout status.
    pub rollout: Option<RolloutStatus>,
    /// The revision that the event loop applied last.
    pub revision: Revision,
    /// Revisions that the event loop applied since the start.
    pub revisions_applied: u64,
    /// The longest time that the event loop took to apply a revision, in seconds.
    pub longest_apply_time: f64,
    /// Requests in flight.
    pub requests_in_flight: usize,
    /// Connected clients.
    pub clients: usize,
    /// Connections to hosts.
    pub upstream_connections: usize,
    /// Counts since the start.
    pub counts: RequestCounts,
}

impl OperationalState {
    /// The facts that a check at `now` (Unix seconds) goes by.
    pub fn facts(&self, now: f64) -> Facts {
        Facts {
            now,
            discovery: self.discovery.clone(),
            discovery_received: self.discovery_received,
            rollout: self.rollout,
        }
    }
}
