//! The settings that the checks of a candidate use.

use kestreltide::interface::ServiceSettings;

/// The maximum number of items in a configuration, and the memory that they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Maximums {
    /// Maximum number of hosts that discovery or operators list.
    pub hosts: usize,
    /// Maximum number of routes.
    pub routes: usize,
    /// Maximum number of names of operations, zones, kinds and hosts in all routes together.
    pub route_names: usize,
    /// The memory that hosts and routes may take.
    pub memory: MemorySettings,
}

/// The memory for hosts and routes, and how much of it an item takes, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemorySettings {
    /// Maximum for all hosts and routes together.
    pub maximum: usize,
    /// For a host that discovery or operators list.
    pub per_host: usize,
    /// For a host that operators configure, in addition to `per_host`.
    pub per_configured_host: usize,
    /// For a route.
    pub per_route: usize,
    /// For a name in a route.
    pub per_route_name: usize,
}

/// Default of [`Maximums::hosts`].
const DEFAULT_MAX_HOSTS: usize = 16 * 1024;
/// Default of [`Maximums::routes`].
const DEFAULT_MAX_ROUTES: usize = 16 * 1024;
/// Default of [`Maximums::route_names`].
const DEFAULT_MAX_ROUTE_NAMES: usize = 64 * 1024;

impl Default for Maximums {
    fn default() -> Self {
        let memory = MemorySettings {
            maximum: usize::MAX,
            ..MemorySettings::default()
        };
        Maximums {
            hosts: DEFAULT_MAX_HOSTS,
            routes: DEFAULT_MAX_ROUTES,
            route_names: DEFAULT_MAX_ROUTE_NAMES,
            memory,
        }
    }
}

/// The part of the service's settings that the checks use.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// The names of the service's operations.
    pub operations: Vec<String>,
    /// The number of routers of the service, at least 1.
    pub routers: u32,
    /// The fraction of its capacity that a host has right after its start.
    pub slow_start_initial_fraction: f64,
    /// Seconds from a host's start until it has its full capacity.
    pub slow_start_duration: f64,
    /// The load at which a host is overloaded, as a multiple of the capacity that it has at the time.
    pub overload_multiple: f64,
    /// The largest configuration that the router accepts.
    pub maximums: Maximums,
}

impl RuleSettings {
    /// Takes from the service's settings what the checks use.
    pub fn new(settings: &ServiceSettings, operations: Vec<String>, maximums: Maximums) -> Self {
        RuleSettings {
            maximums,
            operations,
            routers: settings.routers.max(1),
            slow_start_initial_fraction: settings.slow_start_initial_fraction,
            slow_start_duration: settings.slow_start_duration,
            overload_multiple: settings.overload_multiple,
        }
    }

    /// Returns the fraction of its capacity that a host has at `now` if it started at `started` (both in Unix seconds).
    /// A host whose start is not known counts as warm.
    pub fn warm_up_fraction(&self, started: Option<f64>, now: f64) -> f64 {
        let age = started.map_or(f64::INFINITY, |started| (now - started).max(0.0));
        let progress = if self.slow_start_duration > 0.0 {
            (age / self.slow_start_duration).min(1.0)
        } else {
            1.0
        };
        self.slow_start_initial_fraction + (1.0 - self.slow_start_initial_fraction) * progress
    }
}
