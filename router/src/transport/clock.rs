//! The clock of one process: Unix time in seconds that never goes back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: f64,
    since: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            base: unix.map_or(0.0, |time| time.as_secs_f64()),
            since: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.base + self.since.elapsed().as_secs_f64()
    }
}
