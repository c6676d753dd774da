//! Weighted rendezvous hashing: stable choices of a few hosts among many.
//!
//! A hash of the host's id and a salt gives each host a score, and the lowest score ranks highest. A host ranks highest
//! with a probability in proportion to its weight. For each salt, a ranking caches the highest hosts of a build and is
//! updated when hosts are added or removed, so that finding the highest two doesn't scan all hosts. The result is the
//! same as that of a full scan.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::hashing::hash_mix;
use crate::interface::{BuildId, HostId};

/// The largest number of hosts that a ranking caches. It bounds cost and memory, and doesn't affect the result.
const MAX_RANKED_HOSTS: usize = 32;

/// The largest number of rankings that are cached at once.
const MAX_RANKINGS: usize = 4096;

/// The number of values of a 64-bit hash: 2 to the power of 64.
const HASH_VALUES: f64 = 18_446_744_073_709_551_616.0;

/// A host with its weight relative to other hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightedHost {
    pub(crate) host: HostId,
    pub(crate) weight: f64,
}

/// A host with its score for one salt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankedHost {
    /// The host with the lowest score ranks highest.
    pub(crate) score: f64,
    pub(crate) host: HostId,
}

impl RankedHost {
    /// Computes the score as an exponentially distributed value whose rate is the weight. A host then has the lowest
    /// score with a probability in proportion to its weight.
    fn new(salt: u64, weighted: WeightedHost) -> Self {
        let uniform = hash_mix(salt ^ weighted.host.0) as f64 / HASH_VALUES;
        RankedHost {
            score: -(-uniform).ln_1p() / weighted.weight,
            host: weighted.host,
        }
    }

    /// Compares by score and then by host id; the lesser ranks higher.
    pub(crate) fn order(&self, other: &RankedHost) -> Ordering {
        self.score
            .total_cmp(&other.score)
            .then(self.host.cmp(&other.host))
    }
}

/// Returns the two hosts that rank highest, by a scan of all of them.
pub(crate) fn highest_two(salt: u64, hosts: impl Iterator<Item = WeightedHost>) -> Vec<RankedHost> {
    let mut found: Vec<RankedHost> = vec![];
    for host in hosts {
        let ranked = RankedHost::new(salt, host);
        let before = found.partition_point(|other| other.score <= ranked.score);
        if before < 2 {
            found.insert(before, ranked);
            found.truncate(2);
        }
    }
    found
}

/// The highest-ranking hosts of one build for one salt.
#[derive(Clone, Debug)]
struct Ranking {
    /// The cached hosts, the highest-ranking first.
    highest: Vec<RankedHost>,
    /// Every host of the build with a lower score than this is in `highest`; `None` if every host of the build is.
    complete_below: Option<f64>,
}

impl Ranking {
    /// Builds the ranking from all hosts of the build.
    fn fill(salt: u64, members: impl Iterator<Item = WeightedHost>) -> Self {
        let mut highest: Vec<_> = members.map(|host| RankedHost::new(salt, host)).collect();
        let mut complete_below = None;
        if highest.len() > MAX_RANKED_HOSTS {
            let (_, last, _) = highest.select_nth_unstable_by(MAX_RANKED_HOSTS, RankedHost::order);
            complete_below = Some(last.score);
            highest.truncate(MAX_RANKED_HOSTS);
        }
        highest.sort_by(RankedHost::order);
        highest.shrink_to_fit();
        Ranking {
            highest,
            complete_below,
        }
    }

    /// Drops the lowest-ranking hosts beyond the maximum.
    fn truncate(&mut self) {
        if self.highest.len() > MAX_RANKED_HOSTS {
            self.complete_below = Some(self.highest[MAX_RANKED_HOSTS].score);
            self.highest.truncate(MAX_RANKED_HOSTS);
        }
    }

    /// Whether a host with this score has to be in the ranking.
    fn covers(&self, host: &RankedHost) -> bool {
        self.complete_below.is_none_or(|bound| host.score < bound)
    }

    fn insert(&mut self, host: RankedHost) {
        if self.covers(&host) {
            let before = self
                .highest
                .partition_point(|other| other.order(&host).is_lt());
            self.highest.insert(before, host);
            self.truncate();
        }
    }

    fn remove(&mut self, host: &RankedHost) {
        if self.covers(host) {
            self.highest.retain(|other| other.host != host.host);
        }
    }
}

/// The cached rankings, by salt and build.
#[derive(Default)]
pub(crate) struct RendezvousRankings {
    by_salt_and_build: BTreeMap<(u64, BuildId), Ranking>,
}

impl RendezvousRankings {
    /// Drops all rankings. They are rebuilt as they are needed.
    pub(crate) fn clear(&mut self) {
        self.by_salt_and_build.clear();
    }

    /// Returns the two accepted hosts of a build that rank highest, or fewer if the build has fewer. Returns `None` if
    /// the cached hosts do not determine the result.
    pub(crate) fn highest_two<M: Iterator<Item = WeightedHost>>(
        &mut self,
        salt: u64,
        build: BuildId,
        members: impl Fn() -> M,
        accepts: impl Fn(HostId) -> bool,
    ) -> Option<Vec<RankedHost>> {
        if self.by_salt_and_build.len() >= MAX_RANKINGS
            && !self.by_salt_and_build.contains_key(&(salt, build))
        {
            self.clear();
        }
        let ranking = self
            .by_salt_and_build
            .entry((salt, build))
            .or_insert_with(|| Ranking::fill(salt, members()));
        if ranking.highest.len() < 2 && ranking.complete_below.is_some() {
            *ranking = Ranking::fill(salt, members());
        }
        let accepted = ranking.highest.iter().filter(|ranked| accepts(ranked.host));
        let two: Vec<_> = accepted.take(2).copied().collect();
        let is_determined = two.len() == 2 || ranking.complete_below.is_none();
        is_determined.then_some(two)
    }

    /// Adds a host to the rankings of its build.
    pub(crate) fn insert(&mut self, build: BuildId, host: WeightedHost) {
        for (salt, ranking) in self.of_build(build) {
            ranking.insert(RankedHost::new(salt, host));
        }
    }

    /// Removes a host from the rankings of its build.
    pub(crate) fn remove(&mut self, build: BuildId, host: WeightedHost) {
        for (salt, ranking) in self.of_build(build) {
            ranking.remove(&RankedHost::new(salt, host));
        }
    }

    fn of_build(&mut self, build: BuildId) -> impl Iterator<Item = (u64, &mut Ranking)> {
        self.by_salt_and_build
            .iter_mut()
            .filter(move |(key, _)| key.1 == build)
            .map(|(key, ranking)| (key.0, ranking))
    }
}

#[cfg(test)]
mod tests;
