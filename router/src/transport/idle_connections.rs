//! A pool of idle connections, by peer.

use std::collections::BTreeMap;

use super::socket_id::SocketId;

/// An idle connection, and since when it has been idle (Unix time in seconds).
#[derive(Clone, Copy)]
struct Idle {
    id: SocketId,
    since: f64,
}

/// The idle connections to each peer, the most recently used last.
pub struct IdleConnections<K> {
    by_peer: BTreeMap<K, Vec<Idle>>,
    count: usize,
}

impl<K> Default for IdleConnections<K> {
    fn default() -> Self {
        IdleConnections {
            by_peer: BTreeMap::new(),
            count: 0,
        }
    }
}

impl<K: Ord + Copy> IdleConnections<K> {
    /// How many connections are idle, to all peers together.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Adds a connection that becomes idle at `now`.
    pub fn insert(&mut self, peer: K, id: SocketId, now: f64) {
        let idle = Idle { id, since: now };
        self.by_peer.entry(peer).or_default().push(idle);
        self.count += 1;
    }

    /// Removes the most recently used connection to `peer` that has been idle since `idle_since` or longer, and
    /// returns it with the time since when it has been idle. Where all have been idle for less and there are
    /// `max_below_min_idle` or more of them, removes the one that has been idle longest.
    pub fn take_reusable(
        &mut self,
        peer: K,
        idle_since: f64,
        max_below_min_idle: usize,
    ) -> Option<(SocketId, f64)> {
        let idle = self.by_peer.get_mut(&peer)?;
        let rested = idle.iter().rposition(|idle| idle.since <= idle_since);
        let place = rested
            .or_else(|| (!idle.is_empty() && idle.len() >= max_below_min_idle).then_some(0))?;
        self.count -= 1;
        let taken = idle.remove(place);
        Some((taken.id, taken.since))
    }

    /// All idle connections, by peer.
    pub fn ids(&self) -> Vec<SocketId> {
        self.by_peer
            .values()
            .flatten()
            .map(|idle| idle.id)
            .collect()
    }

    /// Removes one connection to `peer`, if it is idle.
    pub fn remove(&mut self, peer: K, id: SocketId) {
        if let Some(idle) = self.by_peer.get_mut(&peer) {
            let before = idle.len();
            idle.retain(|other| other.id != id);
            self.count -= before - idle.len();
        }
    }

    /// Removes all idle connections to `peer`.
    pub fn take_all(&mut self, peer: K) -> Vec<SocketId> {
        let taken = self.by_peer.remove(&peer).unwrap_or_default();
        self.count -= taken.len();
        taken.into_iter().map(|idle| idle.id).collect()
    }

    /// Removes all connections that have been idle since `time` or longer.
    pub fn take_idle_since(&mut self, time: f64) -> Vec<SocketId> {
        let mut taken = Vec::new();
        for idle in self.by_peer.values_mut() {
            let expired = idle.extract_if(.., |idle| idle.since <= time);
            taken.extend(expired.map(|idle| idle.id));
        }
        self.by_peer.retain(|_, idle| !idle.is_empty());
        self.count -= taken.len();
        taken
    }

    /// Removes the connection that has been idle longest.
    pub fn take_oldest(&mut self) -> Option<SocketId> {
        let oldest_by_peer = self
            .by_peer
            .iter()
            .filter_map(|(peer, idle)| idle.first().map(|first| (first.since, *peer)));
        let (_, peer) = oldest_by_peer.min_by(|a, b| a.0.total_cmp(&b.0))?;
        self.count -= 1;
        self.by_peer.get_mut(&peer).map(|idle| idle.remove(0).id)
    }
}
