//! The clock of one process: Unix time in seconds that never goes back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Reads the system clock once and counts on from there by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Unix time at the start, in seconds.
    start_time: f64,
    started_at: Instant,
}

impl Clock {
    /// Starts at the system's time; at 0 where the system's time is before 1970.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            start_time: unix.map_or(0.0, |time| time.as_secs_f64()),
            started_at: Instant::now(),
        }
    }

    /// The Unix time in seconds.
    pub fn now(&self) -> f64 {
        self.start_time + self.started_at.elapsed().as_secs_f64()
    }
}
