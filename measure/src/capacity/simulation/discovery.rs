//! A region's discovery: the hosts as this region knows them, changes that wait to be pushed, and calls for the
//! whole list that are served in turn.

use std::collections::BTreeMap;
use std::sync::Arc;

use kestreltide::interface::*;

#[cfg(test)]
mod tests;

/// Seconds of discovery's time for each entry of a whole list.
const EACH_ENTRY: f64 = 0.000_02;

#[derive(Default)]
pub struct Discovery {
    known: BTreeMap<HostId, HostEntry>,
    changed: BTreeMap<HostId, HostEntry>,
    /// When it has served all calls that came.
    free_at: f64,
}

impl Discovery {
    /// Takes note of what a host is now; told with the next push.
    pub fn note(&mut self, entry: HostEntry) {
        if entry.state == HostState::Removed {
            if self.known.remove(&entry.host).is_none() {
                return;
            }
        } else if self.known.insert(entry.host, entry) == Some(entry) {
            return;
        }
        self.changed.insert(entry.host, entry);
    }

    /// What changed since the last push; none: nothing.
    pub fn push(&mut self) -> Option<Arc<[HostEntry]>> {
        let changed = std::mem::take(&mut self.changed);
        (!changed.is_empty()).then(|| changed.into_values().collect())
    }

    pub fn complete(&self) -> Arc<[HostEntry]> {
        self.known.values().copied().collect()
    }

    /// Takes a call for the whole list; seconds until it is served.
    pub fn call(&mut self, now: f64) -> f64 {
        self.free_at = self.free_at.max(now) + EACH_ENTRY * self.known.len() as f64;
        self.free_at - now
    }
}
