//! Connections without use, kept by whom they lead to.

use std::collections::BTreeMap;

use super::net::SocketId;

/// For each party the connections without use, the freshest last.
pub struct Pools<K> {
    idle: BTreeMap<K, Vec<(SocketId, f64)>>,
    count: usize,
}

impl<K> Default for Pools<K> {
    fn default() -> Self {
        Pools {
            idle: BTreeMap::new(),
            count: 0,
        }
    }
}

impl<K: Ord + Copy> Pools<K> {
    pub fn count(&self) -> usize {
        self.count
    }

    pub fn put(&mut self, to: K, id: SocketId, now: f64) {
        self.idle.entry(to).or_default().push((id, now));
        self.count += 1;
    }

    /// The freshest that has been without use since this time or before, and since when: the others may be closed
    /// for want of it. Where all are fresher and there are so many, the oldest.
    pub fn take(&mut self, to: K, since: f64, most: usize) -> Option<(SocketId, f64)> {
        let idle = self.idle.get_mut(&to)?;
        let rested = idle.iter().rposition(|(_, put)| *put <= since);
        let place = rested.or_else(|| (!idle.is_empty() && idle.len() >= most).then_some(0))?;
        self.count -= 1;
        Some(idle.remove(place))
    }

    pub fn ids(&self) -> Vec<SocketId> {
        self.idle.values().flatten().map(|(id, _)| *id).collect()
    }

    pub fn forget(&mut self, to: K, id: SocketId) {
        if let Some(ids) = self.idle.get_mut(&to) {
            let before = ids.len();
            ids.retain(|(other, _)| *other != id);
            self.count -= before - ids.len();
        }
    }

    pub fn take_all(&mut self, to: K) -> Vec<SocketId> {
        let taken = self.idle.remove(&to).unwrap_or_default();
        self.count -= taken.len();
        taken.into_iter().map(|(id, _)| id).collect()
    }

    pub fn take_unused_since(&mut self, time: f64) -> Vec<SocketId> {
        self.remove(|_, (_, since)| *since <= time)
    }

    pub fn take_oldest(&mut self) -> Option<SocketId> {
        let firsts = self
            .idle
            .iter()
            .filter_map(|(key, ids)| ids.first().map(|first| (first.1, *key)));
        let (_, key) = firsts.min_by(|a, b| a.0.total_cmp(&b.0))?;
        self.count -= 1;
        self.idle.get_mut(&key).map(|ids| ids.remove(0).0)
    }

    fn remove(&mut self, unwanted: impl Fn(&K, &(SocketId, f64)) -> bool) -> Vec<SocketId> {
        let mut taken = Vec::new();
        for (key, ids) in &mut self.idle {
            taken.extend(
                ids.extract_if(.., |idle| unwanted(key, idle))
                    .map(|idle| idle.0),
            );
        }
        self.idle.retain(|_, ids| !ids.is_empty());
        self.count -= taken.len();
        taken
    }
}
