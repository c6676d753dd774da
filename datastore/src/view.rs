//! The operational view: what the router knows and did, as one immutable whole that every front reads.

use std::sync::Arc;

use kestreltide::interface::*;

use crate::check::Facts;
use crate::merge::HostRecord;

/// Counts since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestCounts {
    pub admitted: u64,
    pub succeeded: u64,
    pub shed: u64,
    pub failed: u64,
    pub attempts: u64,
}

#[derive(Clone, Debug, Default)]
pub struct View {
    /// Unix time of this view.
    pub at: f64,
    /// What discovery lists, also who is gone; `None` where it is not asked.
    pub discovery: Option<Arc<[HostRecord]>>,
    pub discovery_received: bool,
    pub rollout: Option<RolloutStatus>,
    /// In force in the loop.
    pub revision: Revision,
    /// Revisions that the loop took since the start, and its longest pause for one, in seconds.
    pub revisions_applied: u64,
    pub longest_apply_time: f64,
    /// Open invocations, clients and connections to hosts.
    pub requests_in_flight: usize,
    pub clients: usize,
    pub upstream_connections: usize,
    pub counts: RequestCounts,
}

impl View {
    pub fn facts(&self, now: f64) -> Facts {
        let View {
            discovery,
            discovery_received: heard,
            rollout: news,
            ..
        } = self;
        Facts {
            now,
            discovery: discovery.clone(),
            discovery_received: *heard,
            rollout: *news,
        }
    }
}
