//! What the weights that operators set come to when they are used. A weight shares out traffic between hosts;
//! that of a host which has just started counts only as far as the host can carry it, whatever was well when
//! the weight was set. Pure arithmetic, the same for the check of a new set and for its use.

/// Of what makes a cold host fall over, the part that a weight may use up: two hosts are compared for each
/// dispatch, so one may get twice its share before its load shows.
pub const HEADROOM: f64 = 0.5;

/// Steps towards the level that all weights are measured by. Each is safe to stop at; three come within a
/// hundredth where one host in ten is cold.
const STEPS: usize = 3;

/// One host's part in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveWeight {
    pub size: f64,
    /// As operators set it.
    pub weight: f64,
    /// The part of its work that it can do by now; 1 once it is warm.
    pub warm_up_fraction: f64,
}

/// How many times its fair share a host may be given by weight alone: any number when warm, and before that
/// what leaves room below the fall, but always the fair share itself.
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

/// Puts in each weight's place what it counts for, 1 being an even share: no cold host's exceeds what it may
/// carry, measured by the level of all weights as they count themselves.
pub fn apply_weights(hosts: &mut [EffectiveWeight], overload_multiple: f64) {
    let size: f64 = hosts.iter().map(|host| host.size).sum();
    let first = hosts.first().map_or(1.0, |host| host.weight);
    if size <= 0.0 || hosts.iter().all(|host| host.weight == first) {
        return hosts.iter_mut().for_each(|host| host.weight = 1.0);
    }
    // From below: a level that is too low only narrows. At the least weight every host counts alike, and warm
    // hosts count in full whatever the level is.
    let least = hosts
        .iter()
        .map(|host| host.weight)
        .fold(f64::INFINITY, f64::min);
    let warm = hosts.iter().filter(|host| host.warm_up_fraction >= 1.0);
    let mut level = least.max(warm.map(|host| host.size * host.weight).sum::<f64>() / size);
    let counts = |host: &EffectiveWeight, level: f64| {
        host.weight
            .min(level * max_relative_share(host.warm_up_fraction, overload_multiple))
    };
    let mean = |level: f64| {
        hosts
            .iter()
            .map(|host| host.size * counts(host, level))
            .sum::<f64>()
            / size
    };
    for _ in 0..STEPS {
        level = mean(level).max(level);
    }
    let all = mean(level);
    hosts
        .iter_mut()
        .for_each(|host| host.weight = counts(host, level) / all);
}
