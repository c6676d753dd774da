//! What all parties of one fleet share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use kestreltide::interface::HostId;
use kestreltide_router::transport::Clock;
use tokio::sync::{Notify, watch};

use crate::capacity::fleet_run::budget::Budget;
use crate::capacity::fleet_run::changes::Changes;
use crate::capacity::fleet_run::counters::Counters;
use crate::capacity::fleet_run::hollow::{Moment, Surroundings};
use crate::capacity::fleet_run::host_table::HostTable;
use crate::capacity::fleet_run::partition::Partition;
use crate::capacity::fleet_run::plan::{Plan, TIME_LIMIT};
use crate::capacity::fleet_run::registry::{Registry, Scope};
use crate::capacity::fleet_run::rollout::Rollout;
use crate::capacity::fleet_run::rules::Rules;

/// The build that all hosts run at first.
pub const FIRST_BUILD: u16 = 41;
/// Seconds' worth of votes that the platform takes at once.
const VOTE_BURST: f64 = 2.0;

/// The ports of the parties, each the same at all their loopback addresses.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub hosts: u16,
    pub discovery: u16,
    pub platform: u16,
    pub peers: u16,
}

/// A figure that changes now and then.
pub struct Figure(AtomicU64);

impl Figure {
    pub fn new(value: f64) -> Self {
        Figure(AtomicU64::new(value.to_bits()))
    }

    pub fn get(&self) -> f64 {
        f64::from_bits(self.0.load(Relaxed))
    }

    pub fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Relaxed);
    }
}

pub struct DiscoveryBudgets {
    pub calls: Budget,
    pub bytes: Budget,
}

pub struct Shared {
    pub plan: Plan,
    pub clock: Clock,
    pub ports: Ports,
    pub table: Arc<HostTable>,
    pub surroundings: Arc<Surroundings>,
    /// By host: wakes its connections when its process ends.
    pub ended: Vec<Notify>,
    pub registry: Mutex<Registry>,
    pub versions: watch::Sender<u64>,
    pub rollout: Mutex<Rollout>,
    /// Counts the standings that were told.
    pub standings: watch::Sender<u64>,
    pub partition: RwLock<Partition>,
    pub rules: Mutex<Rules>,
    pub changes: Mutex<Changes>,
    pub counters: Counters,
    pub discovery: Mutex<DiscoveryBudgets>,
    pub votes: Mutex<Budget>,
    /// Requests a second at each real router, and drawn at each hollow one.
    pub rate: Figure,
    pub drawn_rate: Figure,
    /// By router: its process was ended without notice, or its machine has vanished.
    pub killed: Vec<AtomicBool>,
}

impl Shared {
    pub fn new(plan: Plan, ports: Ports) -> Self {
        let clock = Clock::start();
        let now = clock.now();
        let layout = plan.layout;
        let table = Arc::new(HostTable::new(layout.hosts, plan.hollow_list, FIRST_BUILD));
        let hosts: HashMap<_, _> = (0..layout.hosts)
            .map(|host| (HostId::from_name(&format!("h{host}")), host))
            .collect();
        let surroundings = Surroundings {
            layout,
            table: table.clone(),
            hosts,
            time_limit: TIME_LIMIT,
        };
        let capacity = plan.capacity;
        Shared {
            clock,
            ports,
            table,
            surroundings: Arc::new(surroundings),
            ended: (0..layout.hosts).map(|_| Notify::new()).collect(),
            registry: Mutex::default(),
            versions: watch::Sender::new(0),
            rollout: Mutex::new(Rollout::new(
                FIRST_BUILD,
                plan.votes_needed(),
                plan.bake,
                now,
            )),
            standings: watch::Sender::new(0),
            partition: RwLock::default(),
            rules: Mutex::default(),
            changes: Mutex::default(),
            counters: Counters::new(layout.routers),
            discovery: Mutex::new(DiscoveryBudgets {
                calls: Budget::new(capacity.discovery_calls, now),
                bytes: Budget::new(capacity.discovery_bytes, now),
            }),
            votes: Mutex::new(Budget::with_burst(capacity.votes, VOTE_BURST, now)),
            rate: Figure::new(plan.rest_rate),
            drawn_rate: Figure::new(plan.drawn_rate),
            killed: (0..layout.routers)
                .map(|_| AtomicBool::new(false))
                .collect(),
            plan,
        }
    }

    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    pub fn partition(&self) -> Partition {
        *self.partition.read().expect("no panic before")
    }

    pub fn moment(&self) -> Moment {
        Moment {
            now: self.now(),
            partition: self.partition(),
            rate: self.drawn_rate.get(),
        }
    }

    pub fn is_real(&self, router: u32) -> bool {
        self.plan.layout.is_real(router)
    }

    /// The hosts that a router is told of.
    pub fn scope(&self, router: u32) -> Scope {
        Scope(if self.is_real(router) {
            self.plan.layout.hosts
        } else {
            self.plan.hollow_list
        })
    }

    pub fn reaches_control(&self, router: u32) -> bool {
        self.partition()
            .reaches_control(self.plan.layout.router_place(router))
    }

    /// Waits until a router hears the control machines: what is sent meanwhile arrives then, as TCP resends it.
    pub async fn control_reached(&self, router: u32) {
        while !self.reaches_control(router) {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub fn host_address(&self, host: u32) -> SocketAddr {
        (
            crate::capacity::fleet_run::layout::Party::Host.address(host),
            self.ports.hosts,
        )
            .into()
    }
}
