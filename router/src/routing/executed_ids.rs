//! The ids of requests that may have had their effect when their clients disconnected, so that none has it again when its
//! id comes again.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// An id that is remembered.
struct ExecutedId {
    /// When it is forgotten, in Unix seconds.
    expires_at: f64,
    hash: u64,
}

/// The ids of the requests, not idempotent ones, that may have run and whose clients disconnected a short time ago.
pub(super) struct ExecutedIds {
    /// In the order in which they expire.
    by_age: VecDeque<ExecutedId>,
    hashes: BTreeSet<u64>,
    /// The most ids that are remembered. Beyond it, the oldest is forgotten early.
    capacity: usize,
    /// How long an id is remembered, in seconds.
    retention: f64,
}

fn hash_of(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl ExecutedIds {
    pub(super) fn new(capacity: usize, retention: f64) -> Self {
        ExecutedIds {
            by_age: VecDeque::new(),
            hashes: BTreeSet::new(),
            capacity,
            retention,
        }
    }

    /// Remembers an id.
    pub(super) fn remember(&mut self, id: &[u8], now: f64) {
        let hash = hash_of(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.by_age.push_back(ExecutedId {
            expires_at: now + self.retention,
            hash,
        });
        self.expire(now);
    }

    /// Whether an id is remembered. Ids that have expired are forgotten when the next one is remembered.
    pub(super) fn contains(&self, id: &[u8]) -> bool {
        self.hashes.contains(&hash_of(id))
    }

    fn expire(&mut self, now: f64) {
        while let Some(oldest) = self.by_age.front()
            && (oldest.expires_at <= now || self.by_age.len() > self.capacity)
        {
            self.hashes.remove(&oldest.hash);
            self.by_age.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
