//! The size that operators plan with, and the installation that is simulated at it.

use crate::capacity::numbers;

/// Routers of the installation, one in each client process.
pub const ROUTERS: usize = numbers::ROUTERS as usize;
/// Hosts of all services together.
pub const HOSTS: usize = numbers::HOSTS as usize;
pub const SERVICES: usize = numbers::SERVICES as usize;
/// Requests a second of all services together, at the peak.
pub const REQUESTS_A_SECOND: f64 = numbers::REQUESTS_PER_SECOND as f64;
pub const REGIONS: usize = numbers::REGIONS as usize;
pub const ZONES_A_REGION: usize = numbers::ZONES_PER_REGION as usize;
/// One in so many of all machines stands in one rack.
pub const RACKS: usize = numbers::RACKS as usize;
/// Machines restarted or replaced on an ordinary day.
pub const RESTARTS_A_DAY: f64 = numbers::RESTARTS_PER_DAY as f64;
/// Changes of configuration on an ordinary day.
pub const CHANGES_A_DAY: f64 = numbers::CHANGES_PER_DAY as f64;
pub const SECONDS_A_DAY: f64 = numbers::SECONDS_PER_DAY;

/// Hosts of a service of mean size.
pub const HOSTS_A_SERVICE: usize = HOSTS.div_ceil(SERVICES);
/// Requests a second of a service of mean size, at all routers together.
pub const REQUESTS_A_SERVICE: f64 = REQUESTS_A_SECOND / SERVICES as f64;
/// Requests a second of a host, by the mean.
pub const REQUESTS_A_HOST: f64 = REQUESTS_A_SECOND / HOSTS as f64;
