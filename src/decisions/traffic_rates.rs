//! Exponentially smoothed rates of events.

/// Time constant of the rates, in seconds: longer than a short burst.
const RATE_TIME_CONSTANT: f64 = 4.0;

/// An exponentially smoothed rate, in events per second.
#[derive(Clone, Copy)]
pub(super) struct SmoothedRate {
    per_second: f64,
    updated_at: f64,
}

impl SmoothedRate {
    /// A rate of zero at time `now`, in seconds.
    pub(super) fn new(now: f64) -> Self {
        SmoothedRate {
            per_second: 0.0,
            updated_at: now,
        }
    }

    /// Decays the rate until `now` and adds a number of events.
    pub(super) fn add(&mut self, now: f64, events: f64) {
        let faded = self.per_second * (-(now - self.updated_at) / RATE_TIME_CONSTANT).exp();
        self.per_second = faded + events / RATE_TIME_CONSTANT;
        self.updated_at = now;
    }

    /// The rate with one more event at `now`.
    pub(super) fn with_event(mut self, now: f64) -> f64 {
        self.add(now, 1.0);
        self.per_second
    }
}

/// The rates of this router's own traffic.
pub(super) struct TrafficRates {
    /// Attempts answered within the latency objective.
    pub(super) successes: SmoothedRate,
    /// All attempts.
    pub(super) attempts: SmoothedRate,
    /// Requests that clients have sent, including those that were shed.
    pub(super) offered: SmoothedRate,
}

impl TrafficRates {
    /// Rates of zero at time `now`, in seconds.
    pub(super) fn new(now: f64) -> Self {
        TrafficRates {
            successes: SmoothedRate::new(now),
            attempts: SmoothedRate::new(now),
            offered: SmoothedRate::new(now),
        }
    }
}
