//! Machines and the host processes on them. Each process works off what has come in its order, more slowly while
//! it is cold; what comes to a cold one is held against what it bears.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use kestreltide::interface::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::network::Place;

#[cfg(test)]
mod tests;

/// Dispatches that a process works on at once.
const PLACES: usize = 2;
/// Mean seconds of work for a dispatch at a warm process; exponential above a least part.
const WORK: f64 = 0.06;
const MIN_WORK: f64 = 0.02;

/// How well a build answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quality {
    /// Of all answers, errors.
    pub errors: f64,
    /// Times the work of a good build.
    pub slower: f64,
}

pub const GOOD: Quality = Quality {
    errors: 0.0,
    slower: 1.0,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Running,
    /// It ended in good order: its port refuses connections.
    Ended,
    /// Its machine is lost: it keeps silent.
    Lost,
}

/// What becomes of a dispatch, seen from its host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// After so many seconds.
    Served {
        after: f64,
        error: bool,
    },
    Refused,
    Silence,
}

/// What cold hosts bear.
#[derive(Clone, Copy, Debug)]
pub struct ColdTerms {
    /// Part of its work that a host can do at its start.
    pub share: f64,
    /// Seconds until it is warm.
    pub time: f64,
    /// Times its fair part of all traffic, by its warmth, that a cold host bears ...
    pub overload_multiple: f64,
    /// ... within so many seconds.
    pub overload_duration: f64,
    /// Dispatches a second that are a host's fair part.
    pub fair: f64,
}

struct Process {
    entry: HostEntry,
    machine: usize,
    life: Life,
    lost_at: f64,
    quality: Quality,
    busy: BinaryHeap<Reverse<u64>>,
    /// Times of the latest dispatches, while cold.
    cold: VecDeque<f64>,
}

struct Machine {
    place: Place,
    up: bool,
    /// The newest process on it.
    process: usize,
}

pub struct Hosts {
    machines: Vec<Machine>,
    /// By the number of the host's id.
    processes: Vec<Process>,
    cold: ColdTerms,
    /// The most dispatches that came to a cold host, over what it bears.
    pub worst_cold: f64,
}

impl Hosts {
    pub fn new(cold: ColdTerms) -> Self {
        Hosts {
            machines: vec![],
            processes: vec![],
            cold,
            worst_cold: 0.0,
        }
    }

    /// A machine with a process that has run for long.
    pub fn add_machine(&mut self, place: Place, build: BuildId) {
        self.machines.push(Machine {
            place,
            up: true,
            process: 0,
        });
        self.begin(self.machines.len() - 1, build, GOOD, None);
    }

    fn begin(
        &mut self,
        machine: usize,
        build: BuildId,
        quality: Quality,
        started: Option<f64>,
    ) -> HostEntry {
        let number = self.processes.len();
        let entry = HostEntry {
            host: HostId(number as u64),
            build,
            zone: ZoneId(self.machines[machine].place.zone as u64),
            cell: CellId(0),
            kind: MachineKindId(0),
            size: 1.0,
            started,
            state: HostState::Running,
        };
        let (busy, cold) = (BinaryHeap::new(), VecDeque::new());
        let (life, lost_at) = (Life::Running, f64::NEG_INFINITY);
        self.processes.push(Process {
            entry,
            machine,
            life,
            lost_at,
            quality,
            busy,
            cold,
        });
        self.machines[machine].process = number;
        entry
    }

    /// Starts a process on a machine; the one before it runs on until it is drained.
    pub fn start(
        &mut self,
        machine: usize,
        build: BuildId,
        quality: Quality,
        now: f64,
    ) -> HostEntry {
        self.begin(machine, build, quality, Some(now))
    }

    pub fn machines(&self) -> usize {
        self.machines.len()
    }

    pub fn place(&self, machine: usize) -> Place {
        self.machines[machine].place
    }

    pub fn place_of(&self, host: HostId) -> Place {
        self.place(self.processes[host.0 as usize].machine)
    }

    pub fn is_up(&self, machine: usize) -> bool {
        self.machines[machine].up
    }

    /// The newest process of a machine.
    pub fn newest(&self, machine: usize) -> &HostEntry {
        &self.processes[self.machines[machine].process].entry
    }

    pub fn entry(&self, host: HostId) -> &HostEntry {
        &self.processes[host.0 as usize].entry
    }

    pub fn entries(&self) -> impl Iterator<Item = &HostEntry> {
        self.processes.iter().map(|process| &process.entry)
    }

    /// Whether any process of this build runs on a machine that is up.
    pub fn runs(&self, build: BuildId) -> bool {
        self.processes
            .iter()
            .any(|process| process.life == Life::Running && process.entry.build == build)
    }

    /// The process takes nothing new: from here on it is told so.
    pub fn drain(&mut self, host: HostId) -> HostEntry {
        let entry = &mut self.processes[host.0 as usize].entry;
        entry.state = HostState::Stopping;
        *entry
    }

    pub fn end(&mut self, host: HostId) -> HostEntry {
        let process = &mut self.processes[host.0 as usize];
        if process.life == Life::Running {
            process.life = Life::Ended;
        }
        process.entry.state = HostState::Removed;
        process.entry
    }

    /// The machine is lost with all that runs on it, whose entries are returned as gone.
    pub fn lose(&mut self, machine: usize, now: f64) -> Vec<HostEntry> {
        self.machines[machine].up = false;
        let on_it =
            |process: &&mut Process| process.machine == machine && process.life == Life::Running;
        let lost = self.processes.iter_mut().filter(on_it).map(|process| {
            (process.life, process.lost_at) = (Life::Lost, now);
            process.entry.state = HostState::Removed;
            process.entry
        });
        lost.collect()
    }

    /// The machine is back, without any process.
    pub fn restore(&mut self, machine: usize) {
        self.machines[machine].up = true;
    }

    /// Whether the host was lost at or after this time.
    pub fn lost_since(&self, host: HostId, since: f64) -> bool {
        let process = &self.processes[host.0 as usize];
        process.life == Life::Lost && process.lost_at >= since
    }

    pub fn start_attempt(&mut self, host: HostId, now: f64, random: &mut ChaCha8Rng) -> Answer {
        let cold = self.cold;
        let Some(process) = self.processes.get_mut(host.0 as usize) else {
            return Answer::Refused;
        };
        let warmth = cold.warmth(now - process.entry.started.unwrap_or(f64::NEG_INFINITY));
        if warmth < 1.0 {
            self.worst_cold = self.worst_cold.max(process.came_cold(now, warmth, &cold));
        }
        match process.life {
            Life::Lost => return Answer::Silence,
            Life::Ended => return Answer::Refused,
            Life::Running => {}
        }
        let now_nanos = (now * 1e9) as u64;
        while process.busy.peek().is_some_and(|done| done.0 <= now_nanos) {
            process.busy.pop();
        }
        let drawn = MIN_WORK - (WORK - MIN_WORK) * (1.0 - random.random::<f64>()).ln();
        let work = drawn * process.quality.slower / warmth;
        // Places are taken up in their order: the earliest to fall free is the next one's.
        let free = process.busy.len() < PLACES;
        let begins = if free {
            now_nanos
        } else {
            process.busy.pop().map_or(now_nanos, |done| done.0)
        };
        let done = begins + (work * 1e9) as u64;
        process.busy.push(Reverse(done));
        let error = random.random::<f64>() < process.quality.errors;
        Answer::Served {
            after: (done - now_nanos) as f64 / 1e9,
            error,
        }
    }
}

impl ColdTerms {
    fn warmth(&self, age: f64) -> f64 {
        self.share + (1.0 - self.share) * (age / self.time).clamp(0.0, 1.0)
    }
}

impl Process {
    /// Counts one more dispatch; what came lately over what is borne.
    fn came_cold(&mut self, now: f64, warmth: f64, terms: &ColdTerms) -> f64 {
        self.cold.push_back(now);
        while self
            .cold
            .front()
            .is_some_and(|at| now - at > terms.overload_duration)
        {
            self.cold.pop_front();
        }
        self.cold.len() as f64
            / (terms.overload_multiple * warmth * terms.fair * terms.overload_duration)
    }
}
