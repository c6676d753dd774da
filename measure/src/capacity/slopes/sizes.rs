//! The sizes and times of a whole measurement, and of the small one that CI runs.

use super::plan;

/// Seconds of each phase, and the sizes; four at least, over two powers of ten.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sizes {
    /// Where the size is the number of hosts, peers, ...
    pub(super) hosts: &'static [usize],
    /// Of the decision module alone, and its requests at each.
    pub(super) module_hosts: &'static [usize],
    pub(super) module_requests: usize,
    /// Routers of the fleet where the size is the number of hosts.
    pub(super) routers_of_hosts: usize,
    pub(super) peers: &'static [usize],
    pub(super) routers: &'static [usize],
    pub(super) routes: &'static [usize],
    pub(super) tenants: &'static [usize],
    pub(super) connections: &'static [usize],
    /// Answers take so many milliseconds: with the requests a second, how many are open.
    pub(super) answer_ms: &'static [u64],
    /// Hosts, enough that the router keeps as many requests open as are asked; client connections, and their requests
    /// a second.
    pub(super) open_hosts: usize,
    pub(super) open_connections: usize,
    pub(super) open_rate: f64,
    /// Beside each request that is served so many may be refused or lost.
    pub(super) max_lost_per_request: f64,
    pub(super) revisions: &'static [usize],
    /// How often a size is measured, where it is more than once.
    pub(super) times: usize,
    /// Seconds without requests (over 5 where a watch is to be seen, which discovery holds that long), with them, and
    /// without them where there are many routers.
    pub(super) idle_s: f64,
    pub(super) load_s: f64,
    pub(super) fleet_s: f64,
    /// Events of a kind that are averaged.
    pub(super) events: usize,
    /// All parts at once: quick, and no figures to go by.
    pub(super) all_at_once: bool,
}

pub(super) const FULL: Sizes = Sizes {
    module_hosts: &[16, 74, 150, 370, 1000, 1480, 3700, 7400],
    module_requests: 800,
    hosts: &[74, 370, 1480, 7400],
    routers_of_hosts: 760,
    peers: &[8, 76, 250, 760],
    routers: &[1, 4, 20, 100],
    routes: &[110, 1100, 3300, 11_000],
    tenants: &[40, 400, 1600, plan::MAX_TENANTS],
    connections: &[7, 70, 250, 700],
    answer_ms: &[20, 200, 800, 2000],
    open_hosts: 370,
    open_connections: 1000,
    open_rate: 350.0,
    max_lost_per_request: 0.05,
    revisions: &[10, 100, 400, 1000],
    times: 2,
    idle_s: 5.1,
    load_s: 7.0,
    fleet_s: 10.2,
    events: 20,
    all_at_once: false,
};

pub(super) const SMALL: Sizes = Sizes {
    module_hosts: &[16, 150, 1000, 1600],
    module_requests: 100,
    hosts: &[16, 74, 370, 1600],
    routers_of_hosts: 40,
    peers: &[2, 8, 40, 200],
    routers: &[1, 2, 4, 8],
    routes: &[5, 20, 100, 500],
    tenants: &[4, 40, 160, 400],
    connections: &[3, 10, 60, 300],
    answer_ms: &[20, 100, 400, 1000],
    open_hosts: 74,
    open_connections: 60,
    open_rate: 40.0,
    // A machine may be busy with anything.
    max_lost_per_request: 1.0,
    revisions: &[1, 5, 20, 100],
    times: 1,
    idle_s: 0.5,
    load_s: 1.0,
    fleet_s: 0.5,
    events: 4,
    all_at_once: true,
};
