//! One fleet: all its parties on loopback, and the turns by which its events come.

use std::collections::VecDeque;
use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use tokio::task::JoinHandle;

use super::counters::ByCause;
use super::day::{Day, DayEvent};
use super::host_table::{ColdShare, Quality};
use super::machines::Machines;
use super::net::shared::{Ports, Shared};
use super::net::{discovery, hosts, listen_on_loopback, platform, relay};
use super::partition::Partition;
use super::plan::Plan;
use super::processes::{self, CoreTime};
use super::rollout::Progress;
use super::routers::{Cost, Routers};
use super::rules::Seen;

const TURN: Duration = Duration::from_millis(20);

/// All counts at a moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub at: f64,
    pub real: ByCause,
    pub hollow: ByCause,
    pub costs: Vec<Cost>,
    /// Of this process, which holds all hollow parts.
    pub hollow_parts: CoreTime,
    pub seen: Seen,
    pub handshakes: u64,
    pub lists_away: u64,
    pub votes_away: u64,
}

pub struct Fleet {
    pub shared: Arc<Shared>,
    pub machines: Machines,
    pub routers: Routers,
    servers: Vec<JoinHandle<()>>,
    day: VecDeque<(f64, DayEvent)>,
    day_began: f64,
    /// What is counted now, by its place in the table.
    pub phase: usize,
    pub cold: Vec<ColdShare>,
}

/// A port at which no datagram socket of this range is bound, reserved as long as the socket lives.
fn datagram_port() -> io::Result<(UdpSocket, u16)> {
    let socket = UdpSocket::bind("127.12.0.1:0")?;
    let port = socket.local_addr()?.port();
    Ok((socket, port))
}

impl Fleet {
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let (of_hosts, of_discovery, of_platform) = (
            listen_on_loopback()?,
            listen_on_loopback()?,
            listen_on_loopback()?,
        );
        let (_reserved, peers) = datagram_port()?;
        let ports = Ports {
            hosts: of_hosts.local_addr()?.port(),
            discovery: of_discovery.local_addr()?.port(),
            platform: of_platform.local_addr()?.port(),
            peers,
        };
        let shared = Arc::new(Shared::new(plan, ports));
        let machines = Machines::start(shared.clone());
        let servers = vec![
            tokio::spawn(hosts::serve(of_hosts, shared.clone())),
            tokio::spawn(discovery::serve(of_discovery, shared.clone())),
            tokio::spawn(platform::serve(of_platform, shared.clone())),
        ];
        relay::start(&shared).await?;
        let routers = Routers::start(shared.clone())?;
        let (day, day_began, phase, cold) = (VecDeque::new(), 0.0, 0, vec![]);
        Ok(Fleet {
            shared,
            machines,
            routers,
            servers,
            day,
            day_began,
            phase,
            cold,
        })
    }

    pub fn begin_day(&mut self, day: &Day) {
        (self.day, self.day_began) = (day.events.iter().copied().collect(), self.shared.now());
    }

    pub fn day_is_over(&self) -> bool {
        self.day.is_empty()
    }

    fn day_events(&mut self, now: f64) {
        while let Some((_, event)) = self.day.pop_front_if(|(at, _)| self.day_began + *at <= now) {
            match event {
                DayEvent::RestartHost(host) => self.machines.restart(host),
                DayEvent::RestartRouter(router) => self.routers.restart(router),
                DayEvent::ChangeSize(host) => self.machines.change_size(host, self.phase),
                DayEvent::ChangeWeight(host) => {
                    if let Some(host) = self.machines.standing(host) {
                        self.routers.change_weight(host, self.phase);
                    }
                }
            }
        }
    }

    async fn turn(&mut self) {
        tokio::time::sleep(TURN).await;
        let now = self.shared.now();
        self.day_events(now);
        self.machines.turn();
        self.routers.turn();
        let moved = self
            .shared
            .rollout
            .lock()
            .expect("no panic before")
            .decide(now);
        if moved {
            self.rollout_moved();
        }
        let real = |router| self.shared.is_real(router);
        let concerns = |way, router| way == super::changes::Way::List || real(router);
        self.shared
            .changes
            .lock()
            .expect("no panic before")
            .settle(now, concerns);
        self.cold.extend(self.shared.table.cold_shares(now));
    }

    fn rollout_moved(&mut self) {
        self.shared.standings.send_modify(|number| *number += 1);
        self.machines.roll();
    }

    pub async fn run_for(&mut self, seconds: f64) {
        self.run_until(seconds, |_| false).await;
    }

    /// Runs until something is so, at most so many seconds; after how many it was so.
    pub async fn run_until(&mut self, maximum: f64, is_so: impl Fn(&Fleet) -> bool) -> Option<f64> {
        let begun = self.shared.now();
        loop {
            let seconds = self.shared.now() - begun;
            if is_so(self) {
                return Some(seconds);
            }
            if seconds >= maximum {
                return None;
            }
            self.turn().await;
        }
    }

    /// The next build goes on trial.
    pub fn begin_canary(&mut self, quality: Quality) {
        let now = self.shared.now();
        let build = self
            .shared
            .rollout
            .lock()
            .expect("no panic before")
            .begin(now);
        self.shared.table.set_quality(build, quality);
        self.rollout_moved();
    }

    pub fn progress(&self) -> Progress {
        self.shared
            .rollout
            .lock()
            .expect("no panic before")
            .standing()
            .progress
    }

    pub fn part_regions(&self, regions_apart: bool) {
        *self.shared.partition.write().expect("no panic before") = Partition { regions_apart };
    }

    /// Requests a second at each real router, and drawn ones at each hollow one.
    pub fn set_rates(&self, real: f64, drawn: f64) {
        self.shared.rate.set(real);
        self.shared.drawn_rate.set(drawn);
    }

    /// Whether all routers in use have this version of the list.
    pub fn all_have_list(&self) -> bool {
        self.routers.all_in_use()
            && self
                .shared
                .changes
                .lock()
                .expect("no panic before")
                .all_have_a_list()
    }

    pub fn snapshot(&self) -> Snapshot {
        let Shared { counters, plan, .. } = &*self.shared;
        Snapshot {
            at: self.shared.now(),
            real: counters.sum(plan.layout.real_routers()),
            hollow: counters.sum(plan.layout.hollow_routers()),
            costs: self.routers.costs(),
            hollow_parts: processes::core_time("self"),
            seen: self.shared.rules.lock().expect("no panic before").seen,
            handshakes: counters.handshakes.load(Relaxed),
            lists_away: counters.lists_away.load(Relaxed),
            votes_away: counters.votes_away.load(Relaxed),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.servers.iter().for_each(JoinHandle::abort);
    }
}
