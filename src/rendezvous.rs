//! Stable choices of few hosts among many: a hash with a salt gives each host a place, and a ranking remembers which
//! hosts of a build have the first places. It follows hosts that come and go, so that finding the first two does
//! not take a look at all of them. What it answers is what a look at all of them would find.

use std::collections::BTreeMap;

use crate::hashing::hash_mix;
use crate::interface::{BuildId, HostId};

/// How many of the first places a ranking remembers when it is filled. It bounds cost and memory, and changes no answer.
const REMEMBERED: usize = 32;
/// How many rankings are remembered at once.
const RANKINGS: usize = 4096;

/// A host's place for one salt; the least of such draws is a host's with a chance in proportion to its weight.
fn place(salt: u64, host: HostId, weight: f64) -> f64 {
    -(-(hash_mix(salt ^ host.0) as f64) / 2f64.powi(64)).ln_1p() / weight
}

/// The two first hosts with their places, by a look at all of them.
pub(crate) fn highest_two(
    salt: u64,
    hosts: impl Iterator<Item = (HostId, f64)>,
) -> Vec<(f64, HostId)> {
    let mut found: Vec<(f64, HostId)> = vec![];
    for (host, weight) in hosts {
        let at = place(salt, host, weight);
        let before = found.partition_point(|other| other.0 <= at);
        if before < 2 {
            found.insert(before, (at, host));
            found.truncate(2);
        }
    }
    found
}

/// The first places of one salt and build.
#[derive(Clone, Debug)]
struct Ranking {
    /// In ascending order.
    first: Vec<(f64, HostId)>,
    /// Every host with a place before this one is in `first`; none: every host is.
    complete_before: Option<f64>,
}

impl Ranking {
    fn fill(salt: u64, members: impl Iterator<Item = (HostId, f64)>) -> Self {
        let mut first: Vec<_> = members
            .map(|(host, weight)| (place(salt, host, weight), host))
            .collect();
        let mut complete_before = None;
        if first.len() > REMEMBERED {
            complete_before = Some(first.select_nth_unstable_by(REMEMBERED, order).1.0);
            first.truncate(REMEMBERED);
        }
        first.sort_by(order);
        let mut ranking = Ranking {
            first,
            complete_before,
        };
        ranking.first.shrink_to_fit();
        ranking
    }

    fn shorten(&mut self) {
        if self.first.len() > REMEMBERED {
            self.complete_before = Some(self.first[REMEMBERED].0);
            self.first.truncate(REMEMBERED);
        }
    }

    fn covers(&self, at: f64) -> bool {
        self.complete_before.is_none_or(|before| at < before)
    }

    fn insert(&mut self, at: f64, host: HostId) {
        if self.covers(at) {
            let before = self
                .first
                .partition_point(|other| order(other, &(at, host)).is_lt());
            self.first.insert(before, (at, host));
            self.shorten();
        }
    }

    fn remove(&mut self, at: f64, host: HostId) {
        if self.covers(at) {
            self.first.retain(|(_, other)| *other != host);
        }
    }
}

fn order(a: &(f64, HostId), b: &(f64, HostId)) -> std::cmp::Ordering {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
}

#[derive(Default)]
pub(crate) struct RendezvousRankings {
    by_salt: BTreeMap<(u64, BuildId), Ranking>,
}

impl RendezvousRankings {
    pub(crate) fn clear(&mut self) {
        self.by_salt.clear();
    }

    /// The first two accepted hosts of a build with their places, fewer where the build has no more; none where what
    /// is remembered does not tell.
    pub(crate) fn highest_two<M: Iterator<Item = (HostId, f64)>>(
        &mut self,
        salt: u64,
        build: BuildId,
        members: impl Fn() -> M,
        accepts: impl Fn(HostId) -> bool,
    ) -> Option<Vec<(f64, HostId)>> {
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
        let accepted = ranking.first.iter().filter(|(_, host)| accepts(*host));
        let two: Vec<_> = accepted.take(2).copied().collect();
        let all = two.len() == 2 || ranking.complete_before.is_none();
        all.then_some(two)
    }

    pub(crate) fn insert(&mut self, build: BuildId, host: HostId, weight: f64) {
        let of_build = self.by_salt.iter_mut().filter(|(key, _)| key.1 == build);
        of_build.for_each(|(key, ranking)| ranking.insert(place(key.0, host, weight), host));
    }

    pub(crate) fn remove(&mut self, build: BuildId, host: HostId, weight: f64) {
        let of_build = self.by_salt.iter_mut().filter(|(key, _)| key.1 == build);
        of_build.for_each(|(key, ranking)| ranking.remove(place(key.0, host, weight), host));
    }
}

#[cfg(test)]
mod tests;
