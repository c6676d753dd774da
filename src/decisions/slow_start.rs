//! Slow start: hosts that are warming up get no more attempts than they can carry.

use rand::RngExt;

use super::settings::DecisionSettings;
use super::{MIN_DIVISOR, Router};
use crate::candidates::Candidates;
use crate::interface::HostEntry;

/// Maximum number of attempts for a host that is warming up, as a multiple of its fair share.
const MAX_ALLOWANCE: f64 = 1.6;

/// Fraction of the overload multiple that the allowance may use. That multiple is the load at which a host that is
/// warming up fails, relative to what it can do.
const ALLOWANCE_OVERLOAD_FRACTION: f64 = 0.5;

/// The attempts that a host may get while it is warming up, as a multiple of its fair share.
pub(super) fn slow_start_allowance(overload_multiple: f64) -> f64 {
    MAX_ALLOWANCE.min(ALLOWANCE_OVERLOAD_FRACTION * overload_multiple)
}

impl DecisionSettings {
    /// The fraction of its full work that a host can do at time `now`; 1 once it is warm.
    pub(super) fn warm_up_fraction(&self, host: &HostEntry, now: f64) -> f64 {
        let age = host.started.map_or(f64::INFINITY, |started| now - started);
        let progress = (age / self.slow_start_duration).clamp(0.0, 1.0);
        self.slow_start_initial_fraction + (1.0 - self.slow_start_initial_fraction) * progress
    }
}

impl Router {
    /// Removes the hosts that are warming up from the candidates unless a random draw admits them. The probability is
    /// such that a host gets, from all routers together, no more than its fair share of the successful attempts times
    /// the allowance, which keeps it from being overloaded.
    ///
    /// None where there is no candidate.
    pub(super) fn apply_slow_start(&mut self, now: f64, candidates: &mut Candidates) -> Option<()> {
        let share = candidates.share(candidates.lowest_tier()?);
        let successes = self.rates.successes.with_event(now);
        let attempts = self.rates.attempts.with_event(now);
        let success_ratio = (successes / attempts).min(1.0);
        let fair_share = share / self.hosts.largest_listed_size.max(MIN_DIVISOR) * success_ratio;
        if self.rng.random::<f64>() >= self.settings.slow_start_allowance * fair_share {
            candidates.remove_warming_up();
        }
        Some(())
    }
}
