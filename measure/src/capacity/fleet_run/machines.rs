//! The life of hollow hosts: restarts with their drains, vanished machines, rollout stages, and what discovery lists
//! of all this.

use std::sync::Arc;

use kestreltide_router::transport::Timers;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::changes::Way;
use super::host_table::Life;
use super::net::shared::Shared;
use super::registry::{Entry, Listed};
use super::rollout::Progress;

/// Seconds that a host serves on after its drain is published, and that its next process takes to come up.
const SERVES_ON: f64 = 0.8;
const COMES_UP: f64 = 0.3;
/// Seconds after which discovery no longer lists a vanished machine.
const DETECTED: f64 = 2.0;
/// Seconds between looks whether a build is recalled everywhere.
const RECALL_LOOK: f64 = 0.25;
/// Sizes that a change of configuration sets.
const SIZES: std::ops::Range<f64> = 0.8..1.2;
const TIMERS: usize = 256 * 1024;

/// What is due for a host in one of its transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// To move to the build that the rollout wants.
    Restart,
    Down,
    /// Discovery finds out that the machine has vanished.
    Lost,
    Up,
}

pub struct Machines {
    shared: Arc<Shared>,
    steps: Timers<(u32, u32, Step)>,
    /// By host: counts its transitions, so that steps of an earlier one are known.
    transitions: Vec<u32>,
    in_transition: Vec<bool>,
    /// By host: its place in every rollout, of all hosts.
    rank: Vec<f64>,
    published: f64,
    looked: f64,
    chance: ChaCha8Rng,
}

/// Places in a rollout, so that every share of it is the same share of the hollow routers' list.
fn ranks(hosts: u32, listed: u32, chance: &mut ChaCha8Rng) -> Vec<f64> {
    let mut rank = vec![0.0; hosts as usize];
    for class in [0..listed, listed..hosts] {
        let mut class: Vec<_> = class.collect();
        class.shuffle(chance);
        let count = class.len() as f64;
        for (place, host) in class.into_iter().enumerate() {
            rank[host as usize] = place as f64 / count;
        }
    }
    rank
}

impl Machines {
    pub fn start(shared: Arc<Shared>) -> Self {
        let hosts = shared.plan.layout.hosts;
        let mut chance = ChaCha8Rng::seed_from_u64(shared.plan.seed);
        let rank = ranks(hosts, shared.plan.hollow_list, &mut chance);
        let machines = Machines {
            steps: Timers::new(TIMERS),
            transitions: vec![0; hosts as usize],
            in_transition: vec![false; hosts as usize],
            rank,
            published: 0.0,
            looked: 0.0,
            chance,
            shared,
        };
        (0..hosts).for_each(|host| machines.list(host, Listed::Ready));
        machines.publish();
        machines
    }

    fn list(&self, host: u32, state: Listed) {
        let now = self.shared.table.now(host);
        let place = self.shared.plan.layout.host_place(host);
        self.shared
            .registry
            .lock()
            .expect("no panic before")
            .note(Entry {
                host,
                endpoint: self.shared.host_address(host),
                zone: place.zone,
                rack: place.rack,
                state,
                size: now.size,
                boot_ms: now.started.map_or(0, |started| (started * 1e3) as u64),
                build: now.build,
            });
    }

    fn publish(&self) {
        let version = self
            .shared
            .registry
            .lock()
            .expect("no panic before")
            .publish();
        if let Some(version) = version {
            self.shared.versions.send_replace(version);
        }
    }

    fn begin(&mut self, host: u32) {
        self.transitions[host as usize] += 1;
        self.in_transition[host as usize] = true;
    }

    fn set(&mut self, host: u32, at: f64, step: Step) {
        self.steps
            .schedule(at, (host, self.transitions[host as usize], step));
    }

    /// A planned restart: a drain that discovery tells, an end, and a cold start.
    pub fn restart(&mut self, host: u32) {
        if self.in_transition[host as usize] {
            return;
        }
        self.begin(host);
        self.shared
            .table
            .change(host, |it| it.life = Life::Draining);
        self.list(host, Listed::Terminating);
        let end = self.shared.now() + self.shared.plan.publish_every + SERVES_ON;
        self.set(host, end, Step::Down);
    }

    /// The machine vanishes for so many seconds, without a sign.
    pub fn vanish(&mut self, host: u32, seconds: f64) {
        self.begin(host);
        self.shared
            .table
            .change(host, |it| it.life = Life::Vanished);
        let now = self.shared.now();
        self.set(host, now + DETECTED, Step::Lost);
        self.set(host, now + seconds.max(DETECTED + COMES_UP), Step::Up);
    }

    /// A change of configuration: another size for this host, or for the next one that stands.
    pub fn change_size(&mut self, host: u32, phase: usize) {
        let listed = self.shared.plan.hollow_list;
        let hosts = (0..listed).map(|further| (host + further) % listed);
        let Some(host) = hosts
            .into_iter()
            .find(|host| !self.in_transition[*host as usize])
        else {
            return;
        };
        let size = (self.chance.random_range(SIZES) * 100.0).round() / 100.0;
        self.shared.table.change(host, |it| it.size = size);
        self.list(host, Listed::Ready);
        let version = self
            .shared
            .registry
            .lock()
            .expect("no panic before")
            .next_version();
        let now = self.shared.now();
        let mut changes = self.shared.changes.lock().expect("no panic before");
        changes.acknowledged(Way::List, version, phase, now);
    }

    /// This host, or the next one that has stood for long.
    pub fn standing(&self, host: u32) -> Option<u32> {
        let listed = self.shared.plan.hollow_list;
        let mut hosts = (0..listed).map(|further| (host + further) % listed);
        let now = self.shared.now();
        let stands = |host: &u32| {
            let started = self.shared.table.now(*host).started;
            !self.in_transition[*host as usize] && started.is_none_or(|started| now - started > 5.0)
        };
        hosts.find(stands)
    }

    /// The build that the rollout wants at this host.
    fn wanted(&self, host: u32) -> u16 {
        let rollout = self.shared.rollout.lock().expect("no panic before");
        let newest = self.rank[host as usize] < rollout.share();
        if newest {
            rollout.standing().build
        } else {
            rollout.baseline
        }
    }

    /// Hosts move to the builds that the rollout wants, spread over its time.
    pub fn roll(&mut self) {
        let (now, spread) = (self.shared.now(), self.shared.plan.stage_spread);
        for host in 0..self.shared.plan.layout.hosts {
            if self.shared.table.now(host).build != self.wanted(host)
                && !self.in_transition[host as usize]
            {
                let at = now + spread * self.chance.random::<f64>();
                self.set(host, at, Step::Restart);
            }
        }
    }

    /// Does what is due, and publishes what has changed.
    pub fn turn(&mut self) {
        let now = self.shared.now();
        while let Some((host, transition, step)) = self.steps.pop_due(now) {
            if self.transitions[host as usize] == transition {
                self.step(host, step, now);
            }
        }
        if now - self.published >= self.shared.plan.publish_every {
            self.published = now;
            self.publish();
        }
        if now - self.looked >= RECALL_LOOK {
            self.looked = now;
            self.look_for_recalled(now);
        }
    }

    fn step(&mut self, host: u32, step: Step, now: f64) {
        match step {
            Step::Restart => {
                if self.shared.table.now(host).build != self.wanted(host) {
                    self.restart(host);
                }
            }
            Step::Down => {
                self.shared.table.change(host, |it| it.life = Life::Down);
                self.shared.ended[host as usize].notify_waiters();
                self.list(host, Listed::Gone);
                self.set(host, now + COMES_UP, Step::Up);
            }
            Step::Lost => self.list(host, Listed::Gone),
            Step::Up => {
                self.shared.table.start(host, self.wanted(host), now);
                self.shared.ended[host as usize].notify_waiters();
                self.list(host, Listed::Ready);
                self.in_transition[host as usize] = false;
            }
        }
    }

    fn look_for_recalled(&self, now: f64) {
        let standing = self
            .shared
            .rollout
            .lock()
            .expect("no panic before")
            .standing();
        let runs = |host| self.shared.table.now(host).build == standing.build;
        if standing.progress != Progress::Recalling || (0..self.shared.plan.layout.hosts).any(runs)
        {
            return;
        }
        self.shared
            .rollout
            .lock()
            .expect("no panic before")
            .recalled(now);
        self.shared.standings.send_modify(|number| *number += 1);
    }
}
