//! How long discovery may hold a request of the watch, and when its response is late.
//!
//! What a watch that has fallen silent misses counts as known to the router after a fixed time. A repeated request must
//! therefore be answered [`DiscoveryLimits::watch_limit`] after the first one: the slower discovery responds, the
//! sooner a request is repeated and the shorter it is held, so that a response that is only slow is not yet late.

#[cfg(test)]
mod tests;

use crate::limits::{DiscoveryLimits, Limits};

/// How long discovery takes for a response. Times are in seconds.
#[derive(Default)]
pub(super) struct WatchTiming {
    /// The time that the last response took in addition to the hold time.
    response_delay: f64,
}

impl WatchTiming {
    /// Records a response that arrived `elapsed` after its request, which discovery has held for `hold`.
    pub(super) fn record_response(&mut self, elapsed: f64, hold: f64) {
        self.response_delay = (elapsed - hold).max(0.0);
    }

    /// The time for the response to a watch request in addition to the hold time, until it is late.
    pub(super) fn grace(&self, limits: &DiscoveryLimits) -> f64 {
        let grace = self.response_delay + limits.watch_grace_margin;
        grace.clamp(
            limits.watch_grace,
            limits.watch_limit - limits.watch_hold_min,
        )
    }

    /// How long a partly received response may stall, until it is late.
    pub(super) fn stall_timeout(&self, limits: &Limits) -> f64 {
        if self.response_delay <= limits.discovery.watch_grace_margin {
            return limits.message_stall_timeout;
        }
        self.grace(&limits.discovery)
    }

    /// How long discovery may hold a watch request.
    pub(super) fn hold(&self, limits: &DiscoveryLimits) -> f64 {
        if self.response_delay <= limits.watch_grace_margin {
            return limits.watch_hold;
        }
        let hold = limits.watch_limit - self.grace(limits) - self.response_delay;
        hold.clamp(limits.watch_hold_min, limits.watch_hold)
    }
}
