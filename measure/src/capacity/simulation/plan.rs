//! The size that operators plan with, and the installation that is simulated at it.

/// Routers of the installation, one in each client process.
pub const ROUTERS: usize = 760;
/// Hosts of all services together.
pub const HOSTS: usize = 7_400;
pub const SERVICES: usize = 140;
/// Requests a second of all services together, at the peak.
pub const REQUESTS_A_SECOND: f64 = 53_000.0;
pub const REGIONS: usize = 2;
pub const ZONES_A_REGION: usize = 5;
/// One in so many of all machines stands in one rack.
pub const RACKS: usize = 40;
/// Machines restarted or replaced on an ordinary day.
pub const RESTARTS_A_DAY: f64 = 3_000.0;
/// Changes of configuration on an ordinary day.
pub const CHANGES_A_DAY: f64 = 440.0;
pub const SECONDS_A_DAY: f64 = 86_400.0;

/// Hosts of a service of mean size.
pub const HOSTS_A_SERVICE: usize = HOSTS.div_ceil(SERVICES);
/// Requests a second of a service of mean size, at all routers together.
pub const REQUESTS_A_SERVICE: f64 = REQUESTS_A_SECOND / SERVICES as f64;
/// Requests a second of a host, by the mean.
pub const REQUESTS_A_HOST: f64 = REQUESTS_A_SECOND / HOSTS as f64;
