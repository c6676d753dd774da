//! The settings that the checks of a candidate go by.

use kestreltide::interface::ServiceSettings;

/// The most that a router keeps of each thing that operators list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Maximums {
    /// Hosts, listed by discovery or by operators.
    pub hosts: usize,
    /// Routes.
    pub routes: usize,
    /// Names of operations, zones, kinds and hosts in all routes together.
    pub route_names: usize,
    /// The memory that all of these may take.
    pub memory: MemorySettings,
}

/// The memory for hosts and routes, and what each of them takes of it, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemorySettings {
    /// The memory that there is for all hosts and routes together.
    pub maximum: usize,
    /// For a host, whoever lists it.
    pub per_host: usize,
    /// For what operators set of a host, in addition.
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

/// The part of the service's settings that the checks go by.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleSettings {
    /// Names of the service's operations.
    pub operations: Vec<String>,
    /// Routers of the service, at least 1.
    pub routers: u32,
    /// The fraction of its work that a host can do at its start.
    pub slow_start_initial_fraction: f64,
    /// Seconds from a host's start until it can do all of its work.
    pub slow_start_duration: f64,
    /// A host is overloaded by this many times the work that it can do.
    pub overload_multiple: f64,
    /// What the router keeps at most.
    pub maximums: Maximums,
}

impl RuleSettings {
    /// Takes from the service's settings what the checks go by.
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

    /// The fraction of its work that a host can do at `now`, where it started at `started` (Unix seconds; `None`:
    /// long ago).
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
