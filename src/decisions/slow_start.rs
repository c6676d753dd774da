//! Slow start: hosts that warm up get no more than they can carry.

use rand::RngExt;

use super::settings::DecisionSettings;
use super::{MIN_DIVISOR, Router};
use crate::candidates::Candidates;
use crate::interface::HostEntry;

/// Times its fair share that a host may get while it warms up.
const MAX_ALLOWANCE: f64 = 1.6;

/// Of the load multiple at which a host that warms up falls over, the part that the allowance may use.
const ALLOWANCE_OVERLOAD_FRACTION: f64 = 0.5;

/// Times its fair share that a host which warms up may get under these settings.
pub(super) fn slow_start_allowance(overload_multiple: f64) -> f64 {
    MAX_ALLOWANCE.min(ALLOWANCE_OVERLOAD_FRACTION * overload_multiple)
}

impl DecisionSettings {
    /// The fraction of its work that a host can do by now; 1 once it is warm.
    pub(super) fn warm_up_fraction(&self, host: &HostEntry, now: f64) -> f64 {
        let age = host.started.map_or(f64::INFINITY, |started| now - started);
        let progress = (age / self.slow_start_duration).clamp(0.0, 1.0);
        self.slow_start_initial_fraction + (1.0 - self.slow_start_initial_fraction) * progress
    }
}

impl Router {
    /// Rule 4: one draw for each attempt lets hosts that warm up be chosen at all, so that of all routers together
    /// such a host gets its fair share of what succeeds, times the allowance, and no more.
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
