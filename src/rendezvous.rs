//! Rendezvous hashing: stable choices of few hosts among many.
//!
//! A hash with a salt gives each host a place, in proportion to its weight. A ranking remembers which hosts of a
//! build have the first places, and follows hosts that come and go, so that finding the first two does not take a
//! look at all of them. What it answers is what a look at all of them would find.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::hashing::hash_mix;
use crate::interface::{BuildId, HostId};

/// How many of the first places a ranking remembers when it is filled. It bounds cost and memory, and changes no
/// answer.
const REMEMBERED: usize = 32;

/// How many rankings are remembered at once.
const RANKINGS: usize = 4096;

/// 2 to the power of 64, the number of values of a hash.
const HASH_VALUES: f64 = 18_446_744_073_709_551_616.0;

/// A host with its weight among others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightedHost {
    pub(crate) host: HostId,
    pub(crate) weight: f64,
}

/// A host with its place for one salt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankedHost {
    /// The lowest place ranks highest.
    pub(crate) place: f64,
    pub(crate) host: HostId,
}

impl RankedHost {
    /// Draws the place from an exponential distribution whose rate is the weight: each host has the lowest with a
    /// chance in proportion to its weight.
    fn new(salt: u64, of: WeightedHost) -> Self {
        let uniform = hash_mix(salt ^ of.host.0) as f64 / HASH_VALUES;
        RankedHost {
            place: -(-uniform).ln_1p() / of.weight,
            host: of.host,
        }
    }

    /// The order of ranking: by place, then by id.
    pub(crate) fn order(&self, other: &RankedHost) -> Ordering {
        self.place
            .total_cmp(&other.place)
            .then(self.host.cmp(&other.host))
    }
}

/// The two hosts that rank highest, by a look at all of them.
pub(crate) fn highest_two(salt: u64, hosts: impl Iterator<Item = WeightedHost>) -> Vec<RankedHost> {
    let mut found: Vec<RankedHost> = vec![];
    for host in hosts {
        let ranked = RankedHost::new(salt, host);
        let before = found.partition_point(|other| other.place <= ranked.place);
        if before < 2 {
            found.insert(before, ranked);
            found.truncate(2);
        }
    }
    found
}

/// The first places of one salt and build.
#[derive(Clone, Debug)]
struct Ranking {
    /// In the order of ranking.
    first: Vec<RankedHost>,
    /// Every host with a place before this one is in `first`; none: every host is.
    complete_before: Option<f64>,
}

impl Ranking {
    fn fill(salt: u64, members: impl Iterator<Item = WeightedHost>) -> Self {
        let mut first: Vec<_> = members.map(|host| RankedHost::new(salt, host)).collect();
        let mut complete_before = None;
        if first.len() > REMEMBERED {
            let (_, last, _) = first.select_nth_unstable_by(REMEMBERED, RankedHost::order);
            complete_before = Some(last.place);
            first.truncate(REMEMBERED);
        }
        first.sort_by(RankedHost::order);
        first.shrink_to_fit();
        Ranking {
            first,
            complete_before,
        }
    }

    fn shorten(&mut self) {
        if self.first.len() > REMEMBERED {
            self.complete_before = Some(self.first[REMEMBERED].place);
            self.first.truncate(REMEMBERED);
        }
    }

    fn covers(&self, host: &RankedHost) -> bool {
        self.complete_before
            .is_none_or(|before| host.place < before)
    }

    fn insert(&mut self, host: RankedHost) {
        if self.covers(&host) {
            let before = self
                .first
                .partition_point(|other| other.order(&host).is_lt());
            self.first.insert(before, host);
            self.shorten();
        }
    }

    fn remove(&mut self, host: &RankedHost) {
        if self.covers(host) {
            self.first.retain(|other| other.host != host.host);
        }
    }
}

/// The rankings of all salts in use.
#[derive(Default)]
pub(crate) struct RendezvousRankings {
    by_salt: BTreeMap<(u64, BuildId), Ranking>,
}

impl RendezvousRankings {
    /// Forgets all rankings; they are filled anew as they are needed.
    pub(crate) fn clear(&mut self) {
        self.by_salt.clear();
    }

    /// The accepted hosts of a build that rank highest, fewer than two where the build has no more; none where what
    /// is remembered does not tell.
    pub(crate) fn highest_two<M: Iterator<Item = WeightedHost>>(
        &mut self,
        salt: u64,
        build: BuildId,
        members: impl Fn() -> M,
        accepts: impl Fn(HostId) -> bool,
    ) -> Option<Vec<RankedHost>> {
        if self.by_salt.len() >= RANKINGS && !self.by_salt.contains_key(&(salt, build)) {
            self.clear();
        }
        let ranking = self
            .by_salt
            .entry((salt, build))
            .or_insert_with(|| Ranking::fill(salt, members()));
        if ranking.first.len() < 2 && ranking.complete_before.is_some() {
            *ranking = Ranking::fill(salt, members());
        }
        let accepted = ranking.first.iter().filter(|ranked| accepts(ranked.host));
        let two: Vec<_> = accepted.take(2).copied().collect();
        let is_answer = two.len() == 2 || ranking.complete_before.is_none();
        is_answer.then_some(two)
    }

    /// Adds a host that has come to a build.
    pub(crate) fn insert(&mut self, build: BuildId, host: WeightedHost) {
        for (salt, ranking) in self.of_build(build) {
            ranking.insert(RankedHost::new(salt, host));
        }
    }

    /// Removes a host that has left a build.
    pub(crate) fn remove(&mut self, build: BuildId, host: WeightedHost) {
        for (salt, ranking) in self.of_build(build) {
            ranking.remove(&RankedHost::new(salt, host));
        }
    }

    fn of_build(&mut self, build: BuildId) -> impl Iterator<Item = (u64, &mut Ranking)> {
        self.by_salt
            .iter_mut()
            .filter(move |(key, _)| key.1 == build)
            .map(|(key, ranking)| (key.0, ranking))
    }
}

#[cfg(test)]
mod tests;
