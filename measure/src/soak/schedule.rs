//! What happens in a run, and when: drawn from its seed, so that a seed plays the same schedule again.

use std::fmt;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Hosts of a run.
pub const HOSTS: usize = 6;

/// Hosts that are never drained, so that somebody can serve.
const KEPT_HOSTS: usize = 2;

/// One in so many runs has a crowd.
const CROWD_RATIO: u64 = 3;

/// The longest time limit of a request, in seconds.
pub const LONGEST_LIMIT: f64 = 1.2;

/// Seconds that SIGKILL comes after the longest time limit, at the earliest.
const KILL_AFTER_LIMIT: f64 = 0.7;

/// Seconds between the first SIGTERM and SIGKILL.
pub const KILL_AFTER_TERM: f64 = LONGEST_LIMIT + KILL_AFTER_LIMIT;

/// Something that is done to the router or its surroundings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Discovery lists a host as draining.
    Drain(usize),
    /// Discovery lists a host that has drained as started anew, cold.
    Return(usize),
    /// The configuration moves discovery to its other address, and SIGHUP is sent.
    Reload,
    /// SIGTERM.
    Terminate,
}

/// An action and its time, in seconds since the router was ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub at: f64,
    pub action: Action,
}

/// How often hosts misbehave; out of a thousand commands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostFaults {
    pub hangs: u32,
    pub resets: u32,
    pub answers_twice: u32,
    pub turns_away: u32,
    pub errors: u32,
    pub closes_when_idle: u32,
    /// The host that answers nothing from the first SIGTERM on.
    pub hangs_at_the_end: Option<usize>,
}

/// A drawn run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub seed: u64,
    /// In the order of their times.
    pub steps: Vec<Step>,
    pub faults: HostFaults,
    pub has_crowd: bool,
}

impl Schedule {
    /// Draws the schedule of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let terminated = if rng.random_range(0..5) == 0 {
            0.05 + 0.9 * rng.random::<f64>()
        } else {
            2.0 + 1.5 * rng.random::<f64>()
        };
        let mut steps = drains(&mut rng);
        steps.extend(reloads(&mut rng, terminated));
        steps.extend(terminations(&mut rng, terminated));
        // Nothing is done to a process that has been killed.
        steps.retain(|step| step.at < terminated + KILL_AFTER_TERM);
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        Schedule {
            seed,
            steps,
            faults: faults(&mut rng),
            has_crowd: seed.is_multiple_of(CROWD_RATIO),
        }
    }
}

impl Schedule {
    /// The number of signals.
    pub fn signals(&self) -> usize {
        let is_signal = |step: &&Step| matches!(step.action, Action::Reload | Action::Terminate);
        self.steps.iter().filter(is_signal).count()
    }
}

/// Each host that may drain does so in half of the runs, and comes back in half of those.
fn drains(rng: &mut ChaCha8Rng) -> Vec<Step> {
    let mut steps = vec![];
    for host in KEPT_HOSTS..HOSTS {
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

/// Two reloads within a second in half of the runs, and one just before the end in a third.
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

/// SIGTERM, and a second one in half of the runs.
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

fn faults(rng: &mut ChaCha8Rng) -> HostFaults {
    HostFaults {
        hangs: rng.random_range(0..40),
        resets: rng.random_range(0..30),
        answers_twice: rng.random_range(0..10),
        turns_away: rng.random_range(0..40),
        errors: rng.random_range(0..30),
        closes_when_idle: rng.random_range(0..60),
        hangs_at_the_end: (rng.random_range(0..3) == 0).then(|| rng.random_range(0..HOSTS)),
    }
}

/// Written as a timeline, a line a step.
impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {:?}, crowd: {}",
            self.seed, self.faults, self.has_crowd
        )?;
        for step in &self.steps {
            writeln!(f, "  {:.3} s  {:?}", step.at, step.action)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
