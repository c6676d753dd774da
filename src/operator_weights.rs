//! What the weights that operators set come to when they are used.
//!
//! A weight shares out traffic between hosts; that of a host which warms up counts only as far as the host can carry
//! it, whatever was well when the weight was set. Pure arithmetic, the same for the check of a new revision and for
//! its use.

/// Of the load multiple at which a host that warms up falls over, the part that a weight may use: two hosts are
/// compared for each attempt, so one may get twice its share before its load shows.
pub const HEADROOM: f64 = 0.5;

/// Steps towards the level that all weights are measured by. Each is safe to stop at; three come within a
/// hundredth where one host in ten warms up.
const STEPS: usize = 3;

/// One host's part in the sharing of traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveWeight {
    /// The host's capacity, 1 being a standard machine.
    pub size: f64,
    /// As operators set it; after [`apply_weights`], what it counts for.
    pub weight: f64,
    /// The fraction of its work that it can do by now; 1 once it is warm.
    pub warm_up_fraction: f64,
}

impl EffectiveWeight {
    fn is_warm(&self) -> bool {
        self.warm_up_fraction >= 1.0
    }

    /// What it counts for beside a level of all weights.
    fn at_level(&self, level: f64, overload_multiple: f64) -> f64 {
        let most = max_relative_share(self.warm_up_fraction, overload_multiple);
        self.weight.min(level * most)
    }
}

/// How many times its fair share a host may be given by weight alone: any number when warm, and before that what
/// leaves room below the overload multiple, but always the fair share itself.
pub fn max_relative_share(warm_up_fraction: f64, overload_multiple: f64) -> f64 {
    if warm_up_fraction >= 1.0 {
        f64::INFINITY
    } else {
        (HEADROOM * overload_multiple * warm_up_fraction).max(1.0)
    }
}

/// How many times its fair share a host gets by its weight among others, as the weights stand.
pub fn relative_share(host: &EffectiveWeight, among: &[EffectiveWeight]) -> f64 {
    let size: f64 = among.iter().map(|other| other.size).sum();
    let weights: f64 = among.iter().map(|other| other.size * other.weight).sum();
    if weights > 0.0 && size > 0.0 {
        host.weight * size / weights
    } else {
        1.0
    }
}

/// Puts in each weight's place what it counts for, 1 being an even share: the weight of no host that warms up
/// exceeds what it may carry, measured by the level of all weights as they count themselves.
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
    let mean = |level: f64| {
        let counts = hosts
            .iter()
            .map(|host| host.size * host.at_level(level, overload_multiple));
        counts.sum::<f64>() / size
    };
    let mut level = lowest_level(hosts, size);
    for _ in 0..STEPS {
        level = mean(level).max(level);
    }
    let all = mean(level);
    for host in hosts {
        host.weight = host.at_level(level, overload_multiple) / all;
    }
}

/// The level to start from, below the true one: a level that is too low only narrows. At the least weight every
/// host counts alike, and warm hosts count in full whatever the level is.
fn lowest_level(hosts: &[EffectiveWeight], size: f64) -> f64 {
    let least = hosts
        .iter()
        .map(|host| host.weight)
        .fold(f64::INFINITY, f64::min);
    let warm = hosts.iter().filter(|host| host.is_warm());
    let of_warm = warm.map(|host| host.size * host.weight).sum::<f64>();
    least.max(of_warm / size)
}
