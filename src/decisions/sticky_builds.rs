//! The builds that sticky keys are bound to, in bounded memory.
//!
//! Once a build has answered a key, the requests with this key go to no earlier build until that build is rolled back.
//! Forgetting a binding would break this, so bindings are generalized instead: where there are too many, all keys count
//! as bound to the lowest build that any key is bound to. This can only exclude more hosts, and none at all while no
//! earlier build is listed.

use std::collections::{BTreeMap, BTreeSet};

use super::Router;
use crate::hashing::hash_mix;
use crate::interface::{BuildId, KeyId};

/// Number of keys that are bound individually.
const MAX_BOUND_KEYS: usize = 32 * 1024;

/// Bytes of memory that the bindings of a router take at most, reckoned with 24 bytes a key.
pub const STICKY_BUILDS_BYTES: usize = 24 * MAX_BOUND_KEYS;

/// The hash of a key, which is the same at every router. Keys with the same hash share their binding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KeyHash(pub(super) u64);

impl KeyHash {
    /// The hash of a key.
    pub(super) fn of(key: &KeyId) -> Self {
        let hash = key
            .0
            .bytes()
            .fold(0, |hash, byte| hash_mix(hash ^ u64::from(byte)));
        KeyHash(hash)
    }
}

/// The build that each sticky key is bound to.
#[derive(Default)]
pub(super) struct StickyBuilds {
    by_key: BTreeMap<KeyHash, BuildId>,
    /// The number of keys that are bound to each build individually.
    bound_keys: BTreeMap<BuildId, usize>,
    /// The builds that all keys count as bound to.
    of_all_keys: BTreeSet<BuildId>,
}

impl StickyBuilds {
    /// The newest build that a key is bound to.
    pub(super) fn get(&self, key: Option<KeyHash>) -> Option<BuildId> {
        let bound = self.by_key.get(&key?).copied();
        bound.max(self.of_all_keys.last().copied())
    }

    /// Binds a key to a build, or keeps its binding to a newer one.
    pub(super) fn bind(&mut self, key: KeyHash, build: BuildId) {
        if self.get(Some(key)).is_some_and(|bound| bound >= build) {
            return;
        }
        if let Some(earlier) = self.by_key.insert(key, build) {
            self.count_removed(earlier);
        }
        *self.bound_keys.entry(build).or_default() += 1;
    }

    /// Whether as many keys are bound as are bound individually.
    pub(super) fn is_full(&self) -> bool {
        self.by_key.len() >= MAX_BOUND_KEYS
    }

    /// The lowest build that a key is bound to individually.
    pub(super) fn lowest_build(&self) -> Option<BuildId> {
        self.bound_keys.keys().next().copied()
    }

    /// Has all keys count as bound to a build, and forgets the bindings that this includes.
    pub(super) fn bind_all_keys(&mut self, build: BuildId) {
        self.of_all_keys.insert(build);
        self.by_key.retain(|_, bound| *bound > build);
        self.bound_keys.retain(|bound, _| *bound > build);
    }

    /// Removes the bindings to a build that is rolled back.
    pub(super) fn unbind(&mut self, build: BuildId) {
        self.by_key.retain(|_, bound| *bound != build);
        self.bound_keys.remove(&build);
        self.of_all_keys.remove(&build);
    }

    /// Keeps only the newest of the builds that all keys count as bound to and that cannot be rolled back any more,
    /// because `newest_build` has been offered after them.
    pub(super) fn merge_settled(&mut self, newest_build: BuildId) {
        let mut to_come = self.of_all_keys.split_off(&newest_build);
        to_come.extend(self.of_all_keys.last().copied());
        self.of_all_keys = to_come;
    }

    fn count_removed(&mut self, build: BuildId) {
        if let Some(count) = self.bound_keys.get_mut(&build) {
            *count -= 1;
            if *count == 0 {
                self.bound_keys.remove(&build);
            }
        }
    }
}

impl Router {
    /// Binds the key of an answered request to the build that answered it.
    pub(super) fn bind_key(&mut self, key: KeyHash, build: BuildId) {
        self.sticky_builds.bind(key, build);
        if self.sticky_builds.is_full()
            && let Some(lowest) = self.generalizable_build()
        {
            self.sticky_builds.bind_all_keys(lowest);
        }
    }

    /// Whether a key that is not bound yet may be bound to this build. Without room, new keys get no more attempts at a
    /// canary beside earlier builds, so that only the attempts in flight bind further ones.
    pub(super) fn may_bind_key(&self, build: BuildId) -> bool {
        !self.is_canary(build)
            || !self.sticky_builds.is_full()
            || self.generalizable_build().is_some()
            || !self.hosts.lists_older_than(build)
    }

    /// The lowest build that keys are bound to, if all keys may be bound to it: a canary beside earlier builds may get
    /// no more than its cap.
    fn generalizable_build(&self) -> Option<BuildId> {
        self.sticky_builds
            .lowest_build()
            .filter(|lowest| !self.is_canary(*lowest) || !self.hosts.lists_older_than(*lowest))
    }
}

#[cfg(test)]
mod tests;
