//! The state of all hollow hosts, and what an attempt at one of them comes to. Real routers meet it on sockets,
//! hollow ones draw from it; both count.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, RwLock};

use rand::{Rng, RngExt};

use super::plan::{COLD_SHARE, COLD_TIME, FALL_MULTIPLE};

/// Seconds of a usual request, and how far its logarithm spreads.
const SERVICE_TIME: f64 = 0.008;
const SERVICE_SPREAD: f64 = 0.3;
/// Requests that a host works on at once without being slower.
const WORKERS: f64 = 4.0;
/// Draws of a uniform number whose sum is close to a normal one.
const UNIFORM_DRAWS: usize = 12;
/// Standard deviations that counts may lie above what is allowed.
const DEVIATIONS: f64 = 4.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Serving,
    /// Serves on, and is listed as being shut down.
    Draining,
    /// The process has ended: connections are reset.
    Down,
    /// The machine has vanished: connections stay open and silent.
    Vanished,
}

/// How a build behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quality {
    /// Share of its requests that end in an error.
    pub errors: f64,
    /// Times that it takes longer than a usual build.
    pub slowness: f64,
}

pub const GOOD: Quality = Quality {
    errors: 0.0,
    slowness: 1.0,
};
pub const BAD: Quality = Quality {
    errors: 0.25,
    slowness: 2.0,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Error,
    Reset,
    /// Nothing ever comes.
    Silent,
}

/// What an attempt comes to, after how many seconds, unless the process ends before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drawn {
    pub outcome: Outcome,
    pub after: f64,
    process: u32,
}

/// Whose attempt it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whose {
    Real,
    Hollow,
}

#[derive(Clone, Copy, Debug)]
pub struct HostNow {
    pub life: Life,
    pub build: u16,
    pub size: f64,
    pub started: Option<f64>,
    /// Counts the starts.
    pub process: u32,
    in_flight: u32,
    /// Attempts since this process started, while it is cold.
    got_cold: u64,
}

impl HostNow {
    fn warmth(&self, now: f64) -> f64 {
        let age = self.started.map_or(f64::INFINITY, |started| now - started);
        COLD_SHARE + (1.0 - COLD_SHARE) * (age / COLD_TIME).clamp(0.0, 1.0)
    }
}

/// A host that has started, and how many attempts all routers had made by then.
struct ColdStart {
    host: u32,
    process: u32,
    until: f64,
    attempts: [u64; 2],
}

/// A cold host's attempts and what it may have had.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    pub host: u32,
    pub got: u64,
    pub fair: f64,
    pub allowed: f64,
}

pub struct HostTable {
    hosts: Vec<Mutex<HostNow>>,
    /// Hosts in the list of hollow routers: those with lower numbers.
    hollow_list: u32,
    qualities: RwLock<BTreeMap<u16, Quality>>,
    attempts: [AtomicU64; 2],
    cold: Mutex<VecDeque<ColdStart>>,
}

/// More than this in a cold time push a host over: the fall multiple of its fair share, and what chance may add.
fn allowed(fair: f64) -> f64 {
    let maximum = FALL_MULTIPLE * fair;
    maximum + DEVIATIONS * maximum.sqrt() + DEVIATIONS
}

impl HostTable {
    pub fn new(hosts: u32, hollow_list: u32, build: u16) -> Self {
        let usual = HostNow {
            life: Life::Serving,
            build,
            size: 1.0,
            started: None,
            process: 0,
            in_flight: 0,
            got_cold: 0,
        };
        HostTable {
            hosts: (0..hosts).map(|_| Mutex::new(usual)).collect(),
            hollow_list,
            qualities: RwLock::default(),
            attempts: [AtomicU64::new(0), AtomicU64::new(0)],
            cold: Mutex::default(),
        }
    }

    pub fn set_quality(&self, build: u16, quality: Quality) {
        self.qualities
            .write()
            .expect("no panic before")
            .insert(build, quality);
    }

    pub fn now(&self, host: u32) -> HostNow {
        *self.hosts[host as usize].lock().expect("no panic before")
    }

    pub fn change(&self, host: u32, change: impl FnOnce(&mut HostNow)) {
        change(&mut self.hosts[host as usize].lock().expect("no panic before"));
    }

    /// A new process, cold.
    pub fn start(&self, host: u32, build: u16, now: f64) {
        let process = {
            let mut it = self.hosts[host as usize].lock().expect("no panic before");
            (it.life, it.build, it.started) = (Life::Serving, build, Some(now));
            (it.process, it.in_flight, it.got_cold) = (it.process + 1, 0, 0);
            it.process
        };
        let attempts = [0, 1].map(|of| self.attempts[of].load(Relaxed));
        let start = ColdStart {
            host,
            process,
            until: now + COLD_TIME,
            attempts,
        };
        self.cold.lock().expect("no panic before").push_back(start);
    }

    /// An attempt begins; `reaches` is whether its network path holds.
    pub fn begin(
        &self,
        host: u32,
        now: f64,
        whose: Whose,
        reaches: bool,
        chance: &mut impl Rng,
    ) -> Drawn {
        let of = usize::from(whose == Whose::Hollow);
        self.attempts[of].fetch_add(1, Relaxed);
        let mut it = self.hosts[host as usize].lock().expect("no panic before");
        let process = it.process;
        if !reaches || it.life == Life::Vanished {
            return Drawn {
                outcome: Outcome::Silent,
                after: 0.0,
                process,
            };
        }
        if it.life == Life::Down {
            return Drawn {
                outcome: Outcome::Reset,
                after: 0.0,
                process,
            };
        }
        let warmth = it.warmth(now);
        it.got_cold += u64::from(warmth < 1.0);
        it.in_flight += 1;
        let quality = self
            .qualities
            .read()
            .expect("no panic before")
            .get(&it.build)
            .copied()
            .unwrap_or(GOOD);
        let crowd = (f64::from(it.in_flight) / WORKERS).max(1.0);
        let normal = (0..UNIFORM_DRAWS)
            .map(|_| chance.random::<f64>())
            .sum::<f64>()
            - UNIFORM_DRAWS as f64 / 2.0;
        let time = SERVICE_TIME * (SERVICE_SPREAD * normal).exp();
        let after = time * quality.slowness * crowd / (it.size * warmth);
        let failed = chance.random::<f64>() < quality.errors;
        Drawn {
            outcome: if failed {
                Outcome::Error
            } else {
                Outcome::Served
            },
            after,
            process,
        }
    }

    /// An attempt ends; what has become of it by then.
    pub fn end(&self, host: u32, drawn: &Drawn) -> Outcome {
        let mut it = self.hosts[host as usize].lock().expect("no panic before");
        if matches!(drawn.outcome, Outcome::Silent | Outcome::Reset) {
            return drawn.outcome;
        }
        if it.process != drawn.process || it.life == Life::Down {
            return Outcome::Reset;
        }
        it.in_flight = it.in_flight.saturating_sub(1);
        if it.life == Life::Vanished {
            Outcome::Silent
        } else {
            drawn.outcome
        }
    }

    /// What hosts have had whose cold time is over by now.
    pub fn cold_shares(&self, now: f64) -> Vec<ColdShare> {
        let mut cold = self.cold.lock().expect("no panic before");
        let mut shares = vec![];
        while let Some(start) = cold.pop_front_if(|start| start.until <= now) {
            let it = self.now(start.host);
            if it.process != start.process {
                continue;
            }
            let [real, hollow] =
                [0, 1].map(|of| (self.attempts[of].load(Relaxed) - start.attempts[of]) as f64);
            let listed = start.host < self.hollow_list;
            let of_hollow = if listed {
                hollow / f64::from(self.hollow_list)
            } else {
                0.0
            };
            let fair = real / self.hosts.len() as f64 + of_hollow;
            shares.push(ColdShare {
                host: start.host,
                got: it.got_cold,
                fair,
                allowed: allowed(fair),
            });
        }
        shares
    }
}

#[cfg(test)]
mod tests;
