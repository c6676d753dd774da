//! Hollow routers held against real ones: the same small fleets side by side, all real and all hollow.

use std::io;

use super::counters::Cause;
use tokio::task::JoinSet;

use super::fleet::{Fleet, Snapshot};
use super::host_table::{BAD, GOOD};
use super::layout::Layout;
use super::measures::{Rates, Row, control_bytes, gossip};
use super::plan::{ALIKE, Plan};
use super::rollout::Progress;

/// Seconds until all routers have a list, and until one vote is through.
const ALL_STARTED: f64 = 30.0;
const VERDICT: f64 = 40.0;
/// Seconds of rest before the first trial and between two, in which earlier figures fade.
const REST: f64 = 2.0;

/// How often real and hollow routers are compared. The time until a vote differs by some six hundredths from one
/// trial to the next, so that its mean is within a tenth by more than chance only over a score of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rounds {
    /// Fleets of each kind at the same time, each with a seed of its own.
    pub fleets: u32,
    /// Trials of good and of bad builds in each.
    pub good: u32,
    pub bad: u32,
}

/// What the fleets of one kind have come to.
#[derive(Clone, Debug, Default, PartialEq)]
struct Result {
    /// Means of the seconds until a good build was let on and a bad one was voted back.
    let_on: f64,
    voted_back: f64,
    rates: Rates,
    votes: f64,
    undecided: u32,
}

/// One figure of both kinds.
#[derive(Clone, Debug, PartialEq)]
pub struct Compared {
    pub what: &'static str,
    pub real: f64,
    pub hollow: f64,
}

impl Compared {
    pub fn ratio(&self) -> f64 {
        if self.real == self.hollow {
            1.0
        } else {
            self.hollow / self.real
        }
    }

    pub fn is_alike(&self) -> bool {
        (self.ratio() - 1.0).abs() <= ALIKE
    }
}

/// Seconds until a build is decided on, and whether that is not as wanted.
async fn verdict(fleet: &mut Fleet, good: bool) -> (f64, bool) {
    fleet.begin_canary(if good { GOOD } else { BAD });
    let seconds = fleet
        .run_until(VERDICT, |fleet| fleet.progress() != Progress::Testing)
        .await;
    let wanted = if good {
        fleet.progress() == Progress::Live
    } else {
        fleet.progress() != Progress::Live
    };
    let wrong = seconds.is_none() || !wanted;
    fleet
        .run_until(VERDICT, |fleet| fleet.progress() != Progress::Recalling)
        .await;
    fleet.run_for(REST).await;
    (seconds.unwrap_or(VERDICT), wrong)
}

async fn fleet(plan: Plan, rounds: Rounds) -> io::Result<Result> {
    let layout = plan.layout;
    let mut fleet = Fleet::start(plan).await?;
    fleet.run_until(ALL_STARTED, Fleet::all_have_list).await;
    fleet.run_for(REST).await;
    let before = fleet.snapshot();
    let mut result = Result::default();
    for good in (0..rounds.good)
        .map(|_| true)
        .chain((0..rounds.bad).map(|_| false))
    {
        let (seconds, wrong) = verdict(&mut fleet, good).await;
        let (sum, count) = if good {
            (&mut result.let_on, rounds.good)
        } else {
            (&mut result.voted_back, rounds.bad)
        };
        *sum += seconds / f64::from(count);
        result.undecided += u32::from(wrong);
    }
    let after = fleet.snapshot();
    Ok(finish(result, &before, &after, &layout))
}

fn finish(mut result: Result, before: &Snapshot, after: &Snapshot, layout: &Layout) -> Result {
    let row = Row::between("rounds", before, after, layout);
    result.rates = if layout.real > 0 {
        row.real
    } else {
        row.hollow
    };
    result.votes =
        result.rates[Cause::Vote as usize].messages * row.seconds * f64::from(layout.routers);
    result
}

/// The mean over all fleets of one kind.
fn mean(results: &[Result], of: impl Fn(&Result) -> f64) -> f64 {
    results.iter().map(of).sum::<f64>() / results.len().max(1) as f64
}

/// All fleets of one kind, at the same time.
async fn kind(real: bool, rounds: Rounds) -> io::Result<Vec<Result>> {
    let mut fleets = JoinSet::new();
    for number in 0..rounds.fleets {
        let plan = Plan::held_against(real);
        fleets.spawn(fleet(
            Plan {
                seed: plan.seed + u64::from(number),
                ..plan
            },
            rounds,
        ));
    }
    fleets.join_all().await.into_iter().collect()
}

/// Fleets of both kinds side by side.
pub async fn run(rounds: Rounds) -> io::Result<Vec<Compared>> {
    let (real, hollow) = tokio::try_join!(kind(true, rounds), kind(false, rounds))?;
    let compared = |what, of: &dyn Fn(&Result) -> f64| Compared {
        what,
        real: mean(&real, of),
        hollow: mean(&hollow, of),
    };
    let canary_runs = f64::from(rounds.good + rounds.bad);
    Ok(vec![
        compared("gossip messages/s a router", &|of| {
            gossip(&of.rates).messages
        }),
        compared("gossip bytes/s a router", &|of| gossip(&of.rates).bytes),
        compared("list and watch calls/s a router", &|of| {
            of.rates[Cause::List as usize].messages + of.rates[Cause::Watch as usize].messages
        }),
        compared("control bytes/s a router", &|of| control_bytes(&of.rates)),
        compared("votes cast a trial", &|of| of.votes / canary_runs),
        compared("s until a good build is let on", &|of| of.let_on),
        compared("s until a bad build is voted back", &|of| of.voted_back),
        compared("undecided or wrongly decided", &|of| {
            f64::from(of.undecided)
        }),
    ])
}

pub fn print(compared: &[Compared]) {
    println!(
        "\n{:<36}{:>12}{:>12}{:>8}",
        "12 routers, 24 hosts", "real", "hollow", "ratio"
    );
    for of in compared {
        let mark = if of.is_alike() { "" } else { "   OFF" };
        println!(
            "{:<36}{:>12.2}{:>12.2}{:>8.3}{mark}",
            of.what,
            of.real,
            of.hollow,
            of.ratio()
        );
    }
}

#[cfg(test)]
mod tests;
