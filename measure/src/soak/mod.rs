//! A soak of real routers: clients, hosts, signals and changes of the endpoint list cross as a seed draws them, and an
//! oracle holds every request and attempt against the rules.

mod clients;
mod connection;
mod hosts;
mod oracle;
mod record;
mod run;
mod schedule;

use std::sync::Mutex;
use std::thread;

use argh::FromArgs;

use self::oracle::violations;
use self::record::{Outcome, RunRecord};
use self::schedule::Schedule;

/// Violations of a seed that are printed one by one.
const MAX_PRINTED: usize = 12;

/// Play real routers through what comes by chance, seed by seed, and check every request against the rules.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds, one after another
    #[argh(option, default = "6")]
    seeds: u64,
    /// how many seeds are played at once
    #[argh(option, default = "2")]
    at_once: usize,
}

/// Why a soak cannot run.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// No seed is to be played.
    #[error("--seeds: no seed is to be played (given: 0; taken: 1 at least)")]
    NoSeeds,
    /// No run may be played at a time.
    #[error("--at-once: no seed may be played at a time (given: 0; taken: 1 at least)")]
    NoneAtOnce,
    /// The last seed is beyond all numbers.
    #[error("--seed: the last seed is beyond {max} (given: {seed} and {seeds} seeds)", max = u64::MAX)]
    SeedsTooLarge {
        /// The first seed.
        seed: u64,
        /// How many.
        seeds: u64,
    },
}

/// Sums over all seeds.
#[derive(Default)]
struct Totals {
    requests: usize,
    served: usize,
    refused: usize,
    failed: usize,
    not_taken: usize,
    left: usize,
    attempts: usize,
    signals: usize,
    failed_seeds: Vec<u64>,
}

impl Totals {
    fn add(&mut self, schedule: &Schedule, run: &RunRecord) {
        let count = |outcome: &Outcome| {
            let same = run
                .requests
                .iter()
                .filter(|request| request.outcome == *outcome);
            same.count()
        };
        self.requests += run.requests.len();
        self.served += count(&Outcome::Served);
        self.refused += count(&Outcome::Refused);
        self.failed += count(&Outcome::Failed);
        self.not_taken += count(&Outcome::NotTaken);
        self.left += count(&Outcome::Left);
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
    /// Plays the seeds; whether none broke a rule.
    ///
    /// # Errors
    ///
    /// A range without a seed.
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
                scope.spawn(|| play_seeds(&next, &totals));
            }
        });
        let mut totals = totals.into_inner().expect("no panic before");
        totals.print(self.seeds);
        Ok(totals.failed_seeds.is_empty())
    }
}

fn play_seeds(next: &Mutex<std::ops::Range<u64>>, totals: &Mutex<Totals>) {
    loop {
        let seed = next.lock().expect("no panic before").next();
        let Some(seed) = seed else {
            return;
        };
        let schedule = Schedule::draw(seed);
        let run = run::play(&schedule);
        let found = violations(&run);
        let mut totals = totals.lock().expect("no panic before");
        totals.add(&schedule, &run);
        println!(
            "seed {seed}: {} requests, {} attempts, {} broken rules",
            run.requests.len(),
            run.attempts.len(),
            found.len()
        );
        if !found.is_empty() {
            totals.failed_seeds.push(seed);
            print!("{schedule}");
            println!(
                "  terminated at {:.3} s of the run's clock, {:?}",
                run.process.terminated, run.process
            );
            for violation in found.iter().take(MAX_PRINTED) {
                println!("  {violation}");
            }
        }
    }
}
