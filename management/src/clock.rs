//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// The current time in seconds since the Unix epoch; 0 if the system clock is before the epoch.
pub(crate) fn unix_seconds() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |elapsed| elapsed.as_secs_f64())
}
