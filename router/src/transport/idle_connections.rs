//! The idle connections, by the peer that they lead to.

use std::collections::BTreeMap;

use super::socket_id::SocketId;

/// An idle connection.
#[derive(Clone, Copy)]
struct IdleConnection {
    id: SocketId,
    /// When the connection became idle, in Unix seconds.
    idle_since: f64,
}

/// The idle connections to each peer, ordered by when they became idle.
pub struct IdleConnections<K> {
    by_peer: BTreeMap<K, Vec<IdleConnection>>,
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
    /// The number of idle connections to all peers.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Adds a connection that became idle at `now`.
    pub fn insert(&mut self, peer: K, id: SocketId, now: f64) {
        let connection = IdleConnection {
            id,
            idle_since: now,
        };
        self.by_peer.entry(peer).or_default().push(connection);
        self.count += 1;
    }

    /// Removes the connection to `peer` that became idle last, among those that became idle at `idle_since` or earlier.
    /// Returns it with the time when it became idle. If all became idle later and there are `max_below_min_idle` or
    /// more of them, removes the one that has been idle longest.
    pub fn take_reusable(
        &mut self,
        peer: K,
        idle_since: f64,
        max_below_min_idle: usize,
    ) -> Option<(SocketId, f64)> {
        let idle = self.by_peer.get_mut(&peer)?;
        let reusable = idle
            .iter()
            .rposition(|connection| connection.idle_since <= idle_since);
        let index = reusable
            .or_else(|| (!idle.is_empty() && idle.len() >= max_below_min_idle).then_some(0))?;
        self.count -= 1;
        let taken = idle.remove(index);
        Some((taken.id, taken.idle_since))
    }

    /// The identifiers of all idle connections.
    pub fn ids(&self) -> Vec<SocketId> {
        self.by_peer
            .values()
            .flatten()
            .map(|connection| connection.id)
            .collect()
    }

    /// Removes one connection to `peer`, if it is idle.
    pub fn remove(&mut self, peer: K, id: SocketId) {
        if let Some(idle) = self.by_peer.get_mut(&peer) {
            let count_before = idle.len();
            idle.retain(|other| other.id != id);
            self.count -= count_before - idle.len();
        }
    }

    /// Removes all idle connections to `peer`.
    pub fn take_all(&mut self, peer: K) -> Vec<SocketId> {
        let taken = self.by_peer.remove(&peer).unwrap_or_default();
        self.count -= taken.len();
        taken.into_iter().map(|connection| connection.id).collect()
    }

    /// Removes all connections that became idle at `time` or earlier.
    pub fn take_idle_since(&mut self, time: f64) -> Vec<SocketId> {
        let mut taken = Vec::new();
        for idle in self.by_peer.values_mut() {
            let expired = idle.extract_if(.., |connection| connection.idle_since <= time);
            taken.extend(expired.map(|connection| connection.id));
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
            .filter_map(|(peer, idle)| idle.first().map(|first| (first.idle_since, *peer)));
        let (_, peer) = oldest_by_peer.min_by(|a, b| a.0.total_cmp(&b.0))?;
        self.count -= 1;
        self.by_peer.get_mut(&peer).map(|idle| idle.remove(0).id)
    }
}
