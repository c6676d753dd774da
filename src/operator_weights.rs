//! The effective weights of hosts, derived from the weights that operators set.
//!
//! A weight divides traffic between hosts. The weight of a host that is warming up only counts as far as the host can
//! carry the traffic, even if the weight was safe when it was set. This module is pure arithmetic; the check of a new
//! revision and its use share it.

/// The part of the overload multiple that weights may use on a host that is warming up. The router compares two hosts
/// for each attempt, so a host may get twice its share before its load shows.
pub const WARM_UP_HEADROOM: f64 = 0.5;

/// Iterations of the search for the mean effective weight. It is safe to stop after any of them; three come within
/// 1 % if one host in ten is warming up.
const MEAN_ITERATIONS: usize = 3;

/// The inputs and the result of the effective weight of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveWeight {
    /// The host's capacity relative to a standard machine, whose size is 1.
    pub size: f64,
    /// The weight that operators set; after [`apply_weights`], the effective weight.
    pub weight: f64,
    /// The fraction of its full load that the host can carry now; 1 once it has warmed up.
    pub warm_up_fraction: f64,
}

impl EffectiveWeight {
    fn is_warm(&self) -> bool {
        self.warm_up_fraction >= 1.0
    }

    /// Returns the host's weight, limited to what it may carry if the mean of all effective weights is `mean`.
    fn limited(&self, mean: f64, overload_multiple: f64) -> f64 {
        let limit = max_relative_share(self.warm_up_fraction, overload_multiple);
        self.weight.min(mean * limit)
    }
}

/// Returns the largest multiple of its fair share that a host may get by its weight. There is no limit for a warm host.
/// A host that is warming up must stay below the overload multiple with some headroom, but may always get its fair
/// share.
pub fn max_relative_share(warm_up_fraction: f64, overload_multiple: f64) -> f64 {
    if warm_up_fraction >= 1.0 {
        f64::INFINITY
    } else {
        (WARM_UP_HEADROOM * overload_multiple * warm_up_fraction).max(1.0)
    }
}

/// Returns the multiple of its fair share that a host gets among others if all weights count as they are.
pub fn relative_share(host: &EffectiveWeight, among: &[EffectiveWeight]) -> f64 {
    let size: f64 = among.iter().map(|other| other.size).sum();
    let weights: f64 = among.iter().map(|other| other.size * other.weight).sum();
    if weights > 0.0 && size > 0.0 {
        host.weight * size / weights
    } else {
        1.0
    }
}

/// Replaces each weight by the effective weight, so that 1 is an even share. No host that is warming up gets more than
/// it may carry, relative to the mean of the effective weights.
pub fn apply_weights(hosts: &mut [EffectiveWeight], overload_multiple: f64) {
    let size: f64 = hosts.iter().map(|host| host.size).sum();
    let first = hosts.first().map_or(1.0, |host| host.weight);
    let are_even = hosts.iter().all(|host| host.weight == first);
    if size <= 0.0 || are_even {
        for host in hosts {
            host.weight = 1.0;
        }
        return;
    }
    let mean_for = |mean: f64| {
        let weights = hosts
            .iter()
            .map(|host| host.size * host.limited(mean, overload_multiple));
        weights.sum::<f64>() / size
    };
    let mut mean = lower_bound(hosts, size);
    for _ in 0..MEAN_ITERATIONS {
        mean = mean_for(mean).max(mean);
    }
    let effective_mean = mean_for(mean);
    for host in hosts {
        host.weight = host.limited(mean, overload_multiple) / effective_mean;
    }
}

/// Returns a lower bound of the mean effective weight to start from: a mean that is too low only lowers limits. The
/// mean is at least the lowest weight, as every host may get its fair share, and at least the part of the warm hosts,
/// whose weights always count in full.
fn lower_bound(hosts: &[EffectiveWeight], size: f64) -> f64 {
    let lowest = hosts
        .iter()
        .map(|host| host.weight)
        .fold(f64::INFINITY, f64::min);
    let warm = hosts.iter().filter(|host| host.is_warm());
    let of_warm = warm.map(|host| host.size * host.weight).sum::<f64>();
    lowest.max(of_warm / size)
}
