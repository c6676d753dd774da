//! Rates of events that fade over time.

/// Seconds over which a rate is taken: longer than a short jam.
const RATE_TIME_CONSTANT: f64 = 4.0;

/// Events a second, exponentially smoothed.
#[derive(Clone, Copy)]
pub(super) struct SmoothedRate {
    per_second: f64,
    updated_at: f64,
}

impl SmoothedRate {
    /// A rate of none, as of a time.
    pub(super) fn new(now: f64) -> Self {
        SmoothedRate {
            per_second: 0.0,
            updated_at: now,
        }
    }

    /// Lets it fade until now and adds a number of events.
    pub(super) fn add(&mut self, now: f64, events: f64) {
        let faded = self.per_second * (-(now - self.updated_at) / RATE_TIME_CONSTANT).exp();
        self.per_second = faded + events / RATE_TIME_CONSTANT;
        self.updated_at = now;
    }

    /// What the rate would be with one more event now.
    pub(super) fn with_event(mut self, now: f64) -> f64 {
        self.add(now, 1.0);
        self.per_second
    }
}

/// The rates of a router's own traffic.
pub(super) struct TrafficRates {
    /// Attempts that were answered in time.
    pub(super) successes: SmoothedRate,
    /// All attempts.
    pub(super) attempts: SmoothedRate,
    /// Requests that clients sent, whether admitted or not.
    pub(super) offered: SmoothedRate,
}

impl TrafficRates {
    /// Rates of none, as of a time.
    pub(super) fn new(now: f64) -> Self {
        TrafficRates {
            successes: SmoothedRate::new(now),
            attempts: SmoothedRate::new(now),
            offered: SmoothedRate::new(now),
        }
    }
}
