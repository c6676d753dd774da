//! The size that the operators plan with and what they allow, from their own numbers: one place for every part of
//! the capacity measurement.

use crate::capacity::numbers;

/// Routers of the whole installation.
pub(in crate::capacity) const ROUTERS: f64 = numbers::ROUTERS as f64;
/// Hosts of all services together.
pub(in crate::capacity) const HOSTS: f64 = numbers::HOSTS as f64;
pub(in crate::capacity) const SERVICES: f64 = numbers::SERVICES as f64;
/// Requests a second of all routers together, at the peak.
pub(in crate::capacity) const PEAK_REQUESTS_PER_S: f64 = numbers::REQUESTS_PER_SECOND as f64;
pub(in crate::capacity) const ROUTES: f64 = numbers::ROUTES as f64;
pub(in crate::capacity) const TENANTS: f64 = numbers::TENANTS as f64;
/// Configuration changes a day.
pub(in crate::capacity) const CHANGES_PER_DAY: f64 = numbers::CHANGES_PER_DAY as f64;
/// Processes restarted or replaced a day.
pub(in crate::capacity) const RESTARTS_PER_DAY: f64 = numbers::RESTARTS_PER_DAY as f64;
/// Machines set aside for control.
pub(in crate::capacity) const CONTROL_MACHINES: f64 = numbers::CONTROL_MACHINES as f64;

/// Added to a request, for 99 in 100, in milliseconds.
pub(in crate::capacity) const MAX_ADDED_MS: f64 = 7.6;
/// Until a configuration change is in force everywhere, in seconds.
pub(in crate::capacity) const MAX_IN_FORCE_S: f64 = numbers::IN_FORCE_SECONDS;
/// A router's share of one core for control, in percent.
pub(in crate::capacity) const MAX_CORE_PERCENT: f64 = 3.8;
/// A router's memory for control, in MB.
pub(in crate::capacity) const MAX_MEMORY_MB: f64 = 256.0;
/// Tenants of a configuration; one with more is rejected.
pub(in crate::capacity) const MAX_TENANTS: usize = 4096;
/// A router's bytes a second for control, both directions together.
pub(in crate::capacity) const MAX_BYTES_PER_S: f64 = 3000.0;

/// Requests a second of one router at the peak.
pub(in crate::capacity) const fn requests_per_router() -> f64 {
    PEAK_REQUESTS_PER_S / ROUTERS
}

/// Processor time of one request at which a router at the peak uses all that it may, in microseconds.
pub(in crate::capacity) const fn max_request_micros() -> f64 {
    MAX_CORE_PERCENT / 100.0 * 1e6 / requests_per_router()
}
