//! Outlier detection: a host that fails far more often than the other hosts of its build is ejected for a while.
//!
//! Hosts are compared only within a build, because a bad build is the subject of the vote.

use super::Router;
use crate::host_index::BuildSums;
use crate::interface::{HostEntry, HostId};

/// Weight of a new outcome in a host's smoothed values, which thus cover about six attempts.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Difference between a host's failure rate and the mean of its build's other hosts above which the host is ejected,
/// and the failure rate above which a host counts as failing.
const EJECTION_FAILURE_RATE: f64 = 0.3;

/// Failure rate below which a host that answers counts as recovered, which resets the duration of its next ejection.
const RECOVERED_FAILURE_RATE: f64 = EJECTION_FAILURE_RATE / 3.0;

/// Duration of a first ejection, in seconds; each further one lasts twice as long.
const MIN_EJECTION: f64 = 1.0;

/// Maximum duration of an ejection, in seconds.
const MAX_EJECTION: f64 = 6.0;

/// Number of other hosts of the build that must be listed for a host to be ejected.
const MIN_OTHER_HOSTS: usize = 2;

/// Number of other hosts that there must be for each one already ejected; with fewer, the build fails, not single
/// hosts.
const MIN_OTHERS_PER_EJECTED: usize = 3;

/// Slowdown of a host before its first answer, so that new hosts get fewer attempts than known ones.
const INITIAL_SLOWDOWN: f64 = 1.5;

/// Lower limit for the slowdown of one answer, so that a single quick answer has little effect.
const MIN_SLOWDOWN_SAMPLE: f64 = 0.2;

/// Upper limit for the slowdown of one answer.
const MAX_SLOWDOWN_SAMPLE: f64 = 10.0;

/// Ratio of a host's slowdown to the mean of its build's other hosts above which the host is slow, not the service.
pub(super) const SLOW_HOST_RATIO: f64 = 1.6;

/// Whether a host with this failure rate counts as failing.
pub(super) fn is_failing(failure_rate: f64) -> bool {
    failure_rate > EJECTION_FAILURE_RATE
}

/// The health of a host by its outcomes. A restart, or another machine under the same id, resets it.
#[derive(Clone, Copy)]
pub(super) struct HostHealth {
    /// Smoothed fraction of failed attempts.
    pub(super) failure_rate: f64,
    /// Smoothed ratio of the time of answers to the quick time of the host's kind, corrected for warm-up.
    pub(super) slowdown: f64,
    /// The end of the latest ejection, in seconds; in the past while the host is not ejected.
    pub(super) ejected_until: f64,
    /// The duration of the next ejection, in seconds.
    next_ejection: f64,
}

/// Averages over the other hosts of a host's build.
pub(super) struct BuildAverages {
    /// There are too few other hosts, or too many of them are ejected, for a host to be an outlier.
    pub(super) too_few: bool,
    mean_failure_rate: f64,
    mean_slowdown: f64,
}

/// The state of a host after an outcome.
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

    /// Records an outcome, and ejects the host if it fails more often than its build's other hosts, for example
    /// because it hangs, is unreachable or answers with errors. `slowdown` is the ratio of the answer's time to the
    /// quick time of the host's kind, where one is known.
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
    /// The averages over the other hosts of a host's build.
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
