//! The time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// The time in Unix seconds.
pub(crate) fn unix_seconds() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}
