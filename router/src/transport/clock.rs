//! The clock of the process: monotonic Unix time in seconds.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at the system time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at the start of the clock, in seconds.
    start_time: f64,
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at the system time, or at 0 if the system time is before 1970.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            start_time: unix.map_or(0.0, |time| time.as_secs_f64()),
            started_at: Instant::now(),
        }
    }

    /// The current Unix time in seconds.
    pub fn now(&self) -> f64 {
        self.start_time + self.started_at.elapsed().as_secs_f64()
    }
}
