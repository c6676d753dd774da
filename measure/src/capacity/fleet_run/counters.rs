//! Counts of what each router says and hears, by cause.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Whole lists of hosts.
    List,
    /// Watches and the changes that they tell.
    Watch,
    Vote,
    /// What the platform tells those that follow it.
    News,
    GossipSent,
    GossipReceived,
}

pub const CAUSES: [Cause; 6] = [
    Cause::List,
    Cause::Watch,
    Cause::Vote,
    Cause::News,
    Cause::GossipSent,
    Cause::GossipReceived,
];

/// Messages and their bytes, of questions and answers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

impl Traffic {
    pub fn since(self, before: Traffic) -> Traffic {
        Traffic {
            messages: self.messages - before.messages,
            bytes: self.bytes - before.bytes,
        }
    }
}

/// By cause, in the order of [`CAUSES`].
pub type ByCause = [Traffic; CAUSES.len()];

#[derive(Default)]
struct Cell {
    messages: AtomicU64,
    bytes: AtomicU64,
}

pub struct Counters {
    routers: Vec<[Cell; CAUSES.len()]>,
    /// Connections that came up at hosts.
    pub handshakes: AtomicU64,
    /// Calls to discovery and votes that were turned away.
    pub lists_away: AtomicU64,
    pub votes_away: AtomicU64,
}

impl Counters {
    pub fn new(routers: u32) -> Self {
        Counters {
            routers: (0..routers).map(|_| Default::default()).collect(),
            handshakes: AtomicU64::new(0),
            lists_away: AtomicU64::new(0),
            votes_away: AtomicU64::new(0),
        }
    }

    pub fn add(&self, router: u32, cause: Cause, messages: u64, bytes: usize) {
        let cell = &self.routers[router as usize][cause as usize];
        cell.messages.fetch_add(messages, Relaxed);
        cell.bytes.fetch_add(bytes as u64, Relaxed);
    }

    /// The sum over these routers.
    pub fn sum(&self, routers: impl Iterator<Item = u32>) -> ByCause {
        let mut sum = ByCause::default();
        for router in routers {
            for (cell, sum) in self.routers[router as usize].iter().zip(&mut sum) {
                sum.messages += cell.messages.load(Relaxed);
                sum.bytes += cell.bytes.load(Relaxed);
            }
        }
        sum
    }
}
