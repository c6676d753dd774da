//! The schedule of a run: its actions and their times, drawn from the seed, so that the same seed gives the same
//! schedule.

use std::fmt;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of hosts of a run.
pub const HOSTS: usize = 6;

/// The number of hosts, from the first on, that are never drained, so that some can always serve.
const UNDRAINED_HOSTS: usize = 2;

/// Every seed that is a multiple of this has extra connections: some send one request and stay open, others never
/// send a complete command.
const EXTRA_CONNECTIONS_EVERY: u64 = 3;

/// The host whose connections come up late in some of the runs. It may be drained.
pub const LATE_HOST: usize = HOSTS - 1;

/// Every seed that is a multiple of this has late connections.
const LATE_CONNECTIONS_EVERY: u64 = 2;

/// Errors per thousand commands that hosts add in runs with late connections.
const ERRORS_WITH_LATE_CONNECTIONS: u32 = 150;

/// Every seed that is a multiple of this has a crowd of clients that connect during a standstill.
const CROWD_EVERY: u64 = 4;

/// The random number stream of the disruptions, so that the rest of a seed's schedule does not depend on them.
const DISRUPTION_STREAM: u64 = 1;

/// The longest time limit of a request, in seconds.
pub const LONGEST_LIMIT: f64 = 1.2;

/// Seconds after the longest time limit at which SIGKILL comes at the earliest.
const KILL_AFTER_LIMIT: f64 = 0.7;

/// Seconds between the first SIGTERM and SIGKILL.
pub const KILL_AFTER_TERM: f64 = LONGEST_LIMIT + KILL_AFTER_LIMIT;

/// An action on the router process or on its environment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Discovery lists a host as draining.
    Drain(usize),
    /// Discovery lists a host that was draining as ready and just started, so that slow start applies.
    Return(usize),
    /// The configuration file names the other discovery address, and the router gets SIGHUP.
    Reload,
    /// The router gets SIGTERM.
    Terminate,
    /// The router process is stopped: it stands still.
    Stop,
    /// The router process goes on.
    Continue,
    /// The queue of connections of [`LATE_HOST`] is filled, so that handshakes are repeated by the kernel 1 s later.
    FillQueue,
    /// The queue of connections of [`LATE_HOST`] is emptied.
    EmptyQueue,
    /// A crowd of clients connects, each to send one request.
    Crowd,
}

/// An action and its time, in seconds since the router was ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub at: f64,
    pub action: Action,
}

/// How often hosts inject each fault, in faults per thousand commands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostFaults {
    pub hangs: u32,
    pub resets: u32,
    pub replies_twice: u32,
    /// The second copy follows some milliseconds later.
    pub replies_twice_late: u32,
    /// The second copy follows as the next command on the connection arrives, so that it crosses that command.
    pub replies_twice_crossing: u32,
    /// Bytes that are no reply follow late.
    pub noise_late: u32,
    pub busy_replies: u32,
    pub errors: u32,
    pub closes_after_reply: u32,
    /// The host that never replies from the first SIGTERM on, if there is one.
    pub hangs_after_sigterm: Option<usize>,
}

/// The schedule and the faults of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub seed: u64,
    /// Sorted by time.
    pub steps: Vec<Step>,
    pub faults: HostFaults,
    pub has_extra_connections: bool,
    pub has_late_connections: bool,
    pub has_crowd: bool,
}

impl Schedule {
    /// Draws the schedule of this seed, with or without standstills and what comes with them.
    pub fn draw(seed: u64, has_standstills: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let terminated = if rng.random_range(0..5) == 0 {
            0.05 + 0.9 * rng.random::<f64>()
        } else {
            2.0 + 1.5 * rng.random::<f64>()
        };
        let mut steps = drains(&mut rng);
        steps.extend(reloads(&mut rng, terminated));
        steps.extend(terminations(&mut rng, terminated));
        let faults = faults(&mut rng);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(DISRUPTION_STREAM);
        let has_late_connections = has_standstills && seed.is_multiple_of(LATE_CONNECTIONS_EVERY);
        let has_crowd = has_standstills && seed.is_multiple_of(CROWD_EVERY);
        let mut faults = HostFaults {
            replies_twice_late: rng.random_range(0..30),
            replies_twice_crossing: rng.random_range(0..30),
            noise_late: rng.random_range(0..10),
            ..faults
        };
        if has_late_connections {
            // More retries, so that some need a late connection; and the late host is drained during standstills only.
            faults.errors += ERRORS_WITH_LATE_CONNECTIONS;
            steps.retain(|step| {
                !matches!(
                    step.action,
                    Action::Drain(LATE_HOST) | Action::Return(LATE_HOST)
                )
            });
        }
        if has_standstills {
            steps.extend(standstills(
                &mut rng,
                terminated,
                has_late_connections,
                has_crowd,
            ));
        }
        // The process has been killed by then.
        steps.retain(|step| step.at < terminated + KILL_AFTER_TERM);
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        Schedule {
            seed,
            steps,
            faults,
            has_extra_connections: seed.is_multiple_of(EXTRA_CONNECTIONS_EVERY),
            has_late_connections,
            has_crowd,
        }
    }
}

impl Schedule {
    /// Returns the number of SIGHUP and SIGTERM signals that are sent.
    pub fn signals(&self) -> usize {
        let is_signal = |step: &&Step| matches!(step.action, Action::Reload | Action::Terminate);
        self.steps.iter().filter(is_signal).count()
    }
}

/// Each host that may be drained is drained in half of the runs, and returns in half of those.
fn drains(rng: &mut ChaCha8Rng) -> Vec<Step> {
    let mut steps = vec![];
    for host in UNDRAINED_HOSTS..HOSTS {
        let at = 0.2 + 2.5 * rng.random::<f64>();
        if rng.random() {
            steps.push(Step {
                at,
                action: Action::Drain(host),
            });
            if rng.random() {
                steps.push(Step {
                    at: at + 0.8 + rng.random::<f64>(),
                    action: Action::Return(host),
                });
            }
        }
    }
    steps
}

/// Two reloads within 0.9 s in half of the runs, and one in the 50 ms before SIGTERM in a third.
fn reloads(rng: &mut ChaCha8Rng, terminated: f64) -> Vec<Step> {
    let mut times = vec![];
    if rng.random() {
        let first = 0.1 + 1.2 * rng.random::<f64>();
        times.extend([first, first + 0.9 * rng.random::<f64>()]);
    }
    if rng.random_range(0..3) == 0 {
        times.push((terminated - 0.05 * rng.random::<f64>()).max(0.0));
    }
    let step = |at| Step {
        at,
        action: Action::Reload,
    };
    times.into_iter().map(step).collect()
}

/// One SIGTERM, and a second one up to 0.6 s later in half of the runs.
fn terminations(rng: &mut ChaCha8Rng, terminated: f64) -> Vec<Step> {
    let mut times = vec![terminated];
    if rng.random() {
        times.push(terminated + 0.6 * rng.random::<f64>());
    }
    let step = |at| Step {
        at,
        action: Action::Terminate,
    };
    times.into_iter().map(step).collect()
}

/// One standstill of 0.1 to 1 s after another, each at least 0.2 s after the one before, until the first SIGTERM. With
/// late connections, the queue of a host is full for 0.2 s or more before each, and empty again during it, so that
/// connections are established while the router stands still; in half of the cases the host is drained meanwhile.
fn standstills(
    rng: &mut ChaCha8Rng,
    terminated: f64,
    has_late_connections: bool,
    has_crowd: bool,
) -> Vec<Step> {
    /// Seconds that filling a queue takes at least.
    const FILLING: f64 = 0.2;
    let mut steps = vec![];
    let mut add = |at, action| steps.push(Step { at, action });
    let mut free_at = 0.1;
    loop {
        let filled_at = free_at + 0.5 * rng.random::<f64>();
        let stopped_at = filled_at + FILLING + 0.25 * rng.random::<f64>();
        let length = 0.1 + 0.9 * rng.random::<f64>();
        let continued_at = stopped_at + length.max(if has_late_connections { 0.9 } else { 0.0 });
        if continued_at > terminated {
            return steps;
        }
        if has_late_connections {
            add(filled_at, Action::FillQueue);
            add(stopped_at + 0.05, Action::EmptyQueue);
        }
        add(stopped_at, Action::Stop);
        if has_crowd {
            add(stopped_at + 0.02, Action::Crowd);
        }
        add(continued_at, Action::Continue);
        free_at = continued_at + 0.2;
        if has_late_connections && rng.random() {
            add(stopped_at + 0.01, Action::Drain(LATE_HOST));
            add(free_at, Action::Return(LATE_HOST));
        }
    }
}

/// Draws how often hosts inject faults.
fn faults(rng: &mut ChaCha8Rng) -> HostFaults {
    HostFaults {
        hangs: rng.random_range(0..40),
        resets: rng.random_range(0..30),
        replies_twice: rng.random_range(0..10),
        replies_twice_late: 0,
        replies_twice_crossing: 0,
        noise_late: 0,
        busy_replies: rng.random_range(0..40),
        errors: rng.random_range(0..30),
        closes_after_reply: rng.random_range(0..60),
        hangs_after_sigterm: (rng.random_range(0..3) == 0).then(|| rng.random_range(0..HOSTS)),
    }
}

/// Prints the seed, the faults, and one line per step.
impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {:?}, extra connections: {}, late connections: {}, crowd: {}",
            self.seed,
            self.faults,
            self.has_extra_connections,
            self.has_late_connections,
            self.has_crowd
        )?;
        for step in &self.steps {
            writeln!(f, "  {:.3} s  {:?}", step.at, step.action)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
