//! Outlier detection: a host that fails far more often than its build's others is ejected for a while.
//!
//! A host is judged against its own build alone: a bad build is for the vote.

use super::Router;
use crate::host_index::BuildSums;
use crate::interface::{HostEntry, HostId};

/// Weight of a new outcome in a host's own figures: some six attempts.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Failure rate above its build's mean at which a host is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.3;

/// Failure rate under which a host that answers counts as recovered.
const RECOVERED_FAILURE_RATE: f64 = EJECTION_FAILURE_RATE / 3.0;

/// Seconds of a first ejection.
const MIN_EJECTION: f64 = 1.0;

/// Seconds of the longest ejection; each doubles the one before.
const MAX_EJECTION: f64 = 6.0;

/// Other hosts of its build that must run before one is ejected.
const MIN_OTHER_HOSTS: usize = 2;

/// The others must be this many times those already ejected; else all of them fail, not a few.
const MIN_OTHERS_PER_EJECTED: usize = 3;

/// Slowdown of a host before it has answered: unknown hosts get less than known ones.
const INITIAL_SLOWDOWN: f64 = 1.5;

/// Least slowdown that one answer counts for, so that a single quick one moves little.
const MIN_SLOWDOWN_SAMPLE: f64 = 0.2;

/// Largest slowdown that one answer counts for.
const MAX_SLOWDOWN_SAMPLE: f64 = 10.0;

/// Times the mean slowdown of its build's others above which a host, not the service, is slow.
pub(super) const SLOW_HOST_RATIO: f64 = 1.6;

/// Whether a host with this failure rate is no more taken for well.
pub(super) fn is_failing(failure_rate: f64) -> bool {
    failure_rate > EJECTION_FAILURE_RATE
}

/// What a host's outcomes say of it; a restart, or a new machine under a used id, begins afresh.
#[derive(Clone, Copy)]
pub(super) struct HostHealth {
    /// Smoothed fraction of attempts that came to nothing.
    pub(super) failure_rate: f64,
    /// Smoothed time of answers over the quick answers of its kind, warm-up taken off.
    pub(super) slowdown: f64,
    /// The end of its ejection, past where it is not ejected.
    pub(super) ejected_until: f64,
    /// How long its next ejection lasts, in seconds.
    next_ejection: f64,
}

/// The other hosts of a host's build.
pub(super) struct BuildAverages {
    /// Too few run, or too many are ejected, for one to stand out.
    pub(super) too_few: bool,
    mean_failure_rate: f64,
    mean_slowdown: f64,
}

/// What an outcome tells of a host.
pub(super) struct HostVerdict {
    pub(super) is_ejected: bool,
    pub(super) is_slow: bool,
}

impl HostHealth {
    /// The health of a host before its first outcome.
    pub(super) const UNKNOWN: HostHealth = HostHealth {
        failure_rate: 0.0,
        slowdown: INITIAL_SLOWDOWN,
        ejected_until: 0.0,
        next_ejection: MIN_EJECTION,
    };

    /// Records an outcome, and ejects the host where it stands out among its peers: a hang, a lost link, errors.
    /// `slowdown` is the answer's time over the quick time of its kind, where one is known.
    pub(super) fn record(
        &mut self,
        now: f64,
        succeeded: bool,
        slowdown: Option<f64>,
        averages: &BuildAverages,
    ) -> HostVerdict {
        let failure = f64::from(u8::from(!succeeded));
        self.failure_rate += SAMPLE_WEIGHT * (failure - self.failure_rate);
        let sample = slowdown.map_or(self.slowdown, |slowdown| {
            slowdown.clamp(MIN_SLOWDOWN_SAMPLE, MAX_SLOWDOWN_SAMPLE)
        });
        self.slowdown += SAMPLE_WEIGHT * (sample - self.slowdown);
        let limit = EJECTION_FAILURE_RATE + averages.mean_failure_rate;
        if !averages.too_few && self.failure_rate > limit && self.ejected_until <= now {
            self.ejected_until = now + self.next_ejection;
            self.failure_rate = limit;
            self.next_ejection = (2.0 * self.next_ejection).min(MAX_EJECTION);
        } else if succeeded && self.failure_rate < RECOVERED_FAILURE_RATE {
            self.next_ejection = MIN_EJECTION;
        }
        HostVerdict {
            is_ejected: self.ejected_until > now && !averages.too_few,
            is_slow: !averages.too_few && self.slowdown > SLOW_HOST_RATIO * averages.mean_slowdown,
        }
    }
}

impl Router {
    /// The other hosts of a host's build, as they stand.
    pub(super) fn build_averages(&self, now: f64, entry: &HostEntry) -> BuildAverages {
        let indexed = self.hosts.index.get(entry.host);
        let indexed = indexed.filter(|indexed| indexed.group.build == entry.build);
        let others: BuildSums = self.hosts.index.build(entry.build).without(indexed);
        let is_ejected_other = |id: HostId| {
            self.hosts.get(id).is_some_and(|host| {
                host.entry.build == entry.build && host.health.ejected_until > now
            })
        };
        let unsettled = self.hosts.index.unsettled();
        let ejected = unsettled
            .filter(|id| *id != entry.host && is_ejected_other(*id))
            .count();
        let count = (others.hosts as f64).max(1.0);
        BuildAverages {
            too_few: others.hosts < MIN_OTHER_HOSTS
                || ejected * MIN_OTHERS_PER_EJECTED > others.hosts,
            mean_failure_rate: others.failure_rate / count,
            mean_slowdown: others.slowdown / count,
        }
    }
}
