//! The operators' numbers to plan with, in one place for the slopes, the scale run and the simulation.

pub const ROUTERS: u32 = 760;
/// Hosts of all services together.
pub const HOSTS: u32 = 7_400;
pub const SERVICES: u32 = 140;
/// Requests a second of all routers together, at the peak.
pub const REQUESTS_PER_SECOND: u32 = 53_000;
pub const ROUTES: u32 = 11_000;
pub const TENANTS: u32 = 53_000;
pub const REGIONS: u32 = 2;
pub const ZONES_PER_REGION: u32 = 5;
/// One in so many of all machines stands in one rack.
pub const RACKS: u32 = 40;
/// Changes of configuration on an ordinary day.
pub const CHANGES_PER_DAY: u32 = 440;
/// Machines restarted or replaced on an ordinary day.
pub const RESTARTS_PER_DAY: u32 = 3_000;
/// Machines set aside for control.
pub const CONTROL_MACHINES: u32 = 9;
/// Seconds until a change of configuration is in force everywhere.
pub const IN_FORCE_SECONDS: f64 = 19.0;
pub const SECONDS_PER_DAY: f64 = 86_400.0;
