//! The operational view: what the router knows and did, as one immutable whole that every front reads.

use std::sync::Arc;

use kestreltide::interface::*;

use crate::check::Facts;
use crate::merge::HostRecord;

/// Counts since the start of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub taken: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub terminated: u64,
    pub attempts: u64,
}

#[derive(Clone, Debug, Default)]
pub struct View {
    /// Unix time of this view.
    pub at: f64,
    /// What discovery lists, also who is gone; `None` where it is not asked.
    pub discovery: Option<Arc<[HostRecord]>>,
    pub heard: bool,
    pub news: Option<RolloutStatus>,
    /// In force in the loop.
    pub revision: Revision,
    /// Revisions that the loop took since the start, and its longest pause for one, in seconds.
    pub taken: u64,
    pub longest_pause: f64,
    /// Open invocations, clients and connections to hosts.
    pub open: usize,
    pub clients: usize,
    pub links: usize,
    pub counts: Counts,
}

impl View {
    pub fn facts(&self, now: f64) -> Facts {
        let View {
            discovery,
            heard,
            news,
            ..
        } = self;
        Facts {
            now,
            discovery: discovery.clone(),
            heard: *heard,
            news: *news,
        }
    }
}
