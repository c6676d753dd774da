//! A soak test of real router processes. Each run combines clients, host faults, signals and endpoint list changes as
//! drawn from a seed, and a test oracle checks every request and attempt against the rules.

mod clients;
mod connection;
mod hosts;
mod oracle;
mod record;
mod run;
mod schedule;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::thread;

use argh::FromArgs;

use self::oracle::{Violation, violations};
use self::record::{Outcome, RunRecord};
use self::schedule::Schedule;

/// The maximum number of violations that are printed per seed.
const MAX_PRINTED: usize = 12;

/// Run real routers under random clients, faults, signals and endpoint lists, seed by seed, and check every request.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds are run, counting up from the first
    #[argh(option, default = "6")]
    seeds: u64,
    /// how many seeds are run at the same time
    #[argh(option, default = "2")]
    at_once: usize,
    /// also stop the routers for 0.1 to 1 s at a time, while connections come up late, hosts are drained and a crowd of
    /// clients connects
    #[argh(switch)]
    standstills: bool,
}

/// Why a soak cannot run. In the texts, `given` is the value of the option and `taken` the values that are valid.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The number of seeds is 0.
    #[error("--seeds: no seed is to be played (given: 0; taken: 1 at least)")]
    NoSeeds,
    /// The number of seeds at the same time is 0.
    #[error("--at-once: no seed may be played at a time (given: 0; taken: 1 at least)")]
    NoneAtOnce,
    /// The last seed exceeds the largest 64-bit number.
    #[error("--seed: the last seed is beyond {max} (given: {seed} and {seeds} seeds)", max = u64::MAX)]
    SeedsTooLarge {
        /// The first seed.
        seed: u64,
        /// The number of seeds.
        seeds: u64,
    },
}

/// Totals over all seeds.
#[derive(Default)]
struct Totals {
    requests: usize,
    served: usize,
    /// Requests to which the router replied `BUSY`.
    refused: usize,
    failed: usize,
    /// Requests for which the router accepted no connection.
    not_taken: usize,
    /// Requests whose client disconnected soon after sending, without waiting for the reply.
    left: usize,
    attempts: usize,
    signals: usize,
    failed_seeds: Vec<u64>,
}

impl Totals {
    fn add(&mut self, schedule: &Schedule, run: &RunRecord) {
        let count = |outcome: &Outcome| {
            let matching = run
                .requests
                .iter()
                .filter(|request| request.outcome == *outcome);
            matching.count()
        };
        self.requests += run.requests.len();
        self.served += count(&Outcome::Served);
        self.refused += count(&Outcome::Refused);
        self.failed += count(&Outcome::Failed);
        self.not_taken += count(&Outcome::NotAccepted);
        self.left += count(&Outcome::Disconnected);
        self.attempts += run.attempts.len();
        self.signals += schedule.signals();
    }

    fn print(&mut self, seeds: u64) {
        self.failed_seeds.sort_unstable();
        let verdict = match self.failed_seeds[..] {
            [] => "ok".to_owned(),
            _ => format!("short: seeds {:?}", self.failed_seeds),
        };
        println!(
            "soak: seeds={seeds} requests={} served={} refused={} failed={} not_taken={} left={} attempts={} signals={} {verdict}",
            self.requests,
            self.served,
            self.refused,
            self.failed,
            self.not_taken,
            self.left,
            self.attempts,
            self.signals,
        );
    }
}

impl Soak {
    /// Runs the seeds; returns whether no rule was broken.
    ///
    /// # Errors
    ///
    /// The range of seeds is empty or too large, or no seed may run at a time.
    pub fn run(&self) -> Result<bool, SoakError> {
        if self.seeds == 0 {
            return Err(SoakError::NoSeeds);
        }
        if self.at_once == 0 {
            return Err(SoakError::NoneAtOnce);
        }
        let end = self.seed.checked_add(self.seeds);
        let end = end.ok_or(SoakError::SeedsTooLarge {
            seed: self.seed,
            seeds: self.seeds,
        })?;
        let next = Mutex::new(self.seed..end);
        let totals = Mutex::new(Totals::default());
        thread::scope(|scope| {
            for _ in 0..self.at_once {
                scope.spawn(|| run_seeds(&next, self.standstills, &totals));
            }
        });
        let mut totals = totals.into_inner().expect("no panic before");
        totals.print(self.seeds);
        Ok(totals.failed_seeds.is_empty())
    }
}

/// How many violations there are of each kind, as `: kind N, kind N`; empty where there are none.
fn counts_by_kind(violations: &[Violation]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for violation in violations {
        *counts.entry(violation.kind()).or_default() += 1;
    }
    let counts: Vec<_> = counts
        .into_iter()
        .map(|(kind, count)| format!("{kind} {count}"))
        .collect();
    let separator = if counts.is_empty() { "" } else { ": " };
    format!("{separator}{}", counts.join(", "))
}

/// Runs seeds until none is left.
fn run_seeds(next: &Mutex<std::ops::Range<u64>>, has_standstills: bool, totals: &Mutex<Totals>) {
    loop {
        let seed = next.lock().expect("no panic before").next();
        let Some(seed) = seed else {
            return;
        };
        let schedule = Schedule::draw(seed, has_standstills);
        let run = run::run_schedule(&schedule);
        let violations_found = violations(&run);
        let mut totals = totals.lock().expect("no panic before");
        totals.add(&schedule, &run);
        println!(
            "seed {seed}: {} requests, {} attempts, {} broken rules{}",
            run.requests.len(),
            run.attempts.len(),
            violations_found.len(),
            counts_by_kind(&violations_found)
        );
        if !violations_found.is_empty() {
            totals.failed_seeds.push(seed);
            print!("{schedule}");
            println!(
                "  terminated at {:.3} s of the run's clock, {:?}",
                run.process.terminated, run.process
            );
            for violation in violations_found.iter().take(MAX_PRINTED) {
                println!("  {violation}");
            }
        }
    }
}
