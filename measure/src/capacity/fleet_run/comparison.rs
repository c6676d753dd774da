//! Hollow routers held against real ones: the same small fleet twice at the same time, all real and all hollow.

use std::io;

use super::counters::Cause;
use super::fleet::{Fleet, Snapshot};
use super::host_table::{BAD, GOOD};
use super::measures::{Rates, Row, control_bytes, gossip};
use super::plan::{ALIKE, Plan};
use super::rollout::Progress;

/// Seconds until all routers have a list, and until one vote is through.
const ALL_STARTED: f64 = 30.0;
const VERDICT: f64 = 40.0;
/// Seconds of rest before the first trial and between two, in which earlier figures fade.
const REST: f64 = 3.0;

/// What a fleet of one kind has come to.
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
        if self.real == self.hollow { 1.0 } else { self.hollow / self.real }
    }

    pub fn is_alike(&self) -> bool {
        (self.ratio() - 1.0).abs() <= ALIKE
    }
}

/// Seconds until a build is decided on, and whether that is not as wanted.
async fn verdict(fleet: &mut Fleet, good: bool) -> (f64, bool) {
    fleet.begin_trial(if good { GOOD } else { BAD });
    let seconds = fleet.run_until(VERDICT, |fleet| fleet.progress() != Progress::Testing).await;
    let wanted = if good { fleet.progress() == Progress::Live } else { fleet.progress() != Progress::Live };
    let wrong = seconds.is_none() || !wanted;
    fleet.run_until(VERDICT, |fleet| fleet.progress() != Progress::Recalling).await;
    fleet.run_for(REST).await;
    let kind = if fleet.shared.plan.layout.real > 0 { "real" } else { "hollow" };
    eprintln!("{kind} routers, good build {good}: {:?} after {seconds:?} s", fleet.progress());
    (seconds.unwrap_or(VERDICT), wrong)
}

async fn rounds(plan: Plan, rounds: u32) -> io::Result<Result> {
    let layout = plan.layout;
    let mut fleet = Fleet::start(plan).await?;
    fleet.run_until(ALL_STARTED, Fleet::all_have_list).await;
    fleet.run_for(REST).await;
    let before = fleet.snapshot();
    let mut result = Result::default();
    for _ in 0..rounds {
        let (seconds, wrong) = verdict(&mut fleet, true).await;
        result.let_on += seconds / f64::from(rounds);
        result.undecided += u32::from(wrong);
        let (seconds, wrong) = verdict(&mut fleet, false).await;
        result.voted_back += seconds / f64::from(rounds);
        result.undecided += u32::from(wrong);
    }
    let after = fleet.snapshot();
    Ok(finish(result, &before, &after, &layout))
}

fn finish(mut result: Result, before: &Snapshot, after: &Snapshot, layout: &super::layout::Layout) -> Result {
    let row = Row::between("rounds", before, after, layout);
    result.rates = if layout.real > 0 { row.real } else { row.hollow };
    result.votes = result.rates[Cause::Vote as usize].messages * row.seconds * f64::from(layout.routers);
    result
}

/// Both fleets side by side, for so many rounds of a good and a bad build each.
pub async fn run(count: u32) -> io::Result<Vec<Compared>> {
    let (real, hollow) =
        tokio::join!(rounds(Plan::held_against(true), count), rounds(Plan::held_against(false), count));
    let (real, hollow) = (real?, hollow?);
    let compared =
        |what, of: &dyn Fn(&Result) -> f64| Compared { what, real: of(&real), hollow: of(&hollow) };
    Ok(vec![
        compared("gossip messages/s a router", &|of| gossip(&of.rates).messages),
        compared("gossip bytes/s a router", &|of| gossip(&of.rates).bytes),
        compared("list and watch calls/s a router", &|of| {
            of.rates[Cause::List as usize].messages + of.rates[Cause::Watch as usize].messages
        }),
        compared("control bytes/s a router", &|of| control_bytes(&of.rates)),
        compared("votes cast a round", &|of| of.votes / f64::from(count)),
        compared("s until a good build is let on", &|of| of.let_on),
        compared("s until a bad build is voted back", &|of| of.voted_back),
        compared("undecided or wrongly decided", &|of| f64::from(of.undecided)),
    ])
}

pub fn print(compared: &[Compared]) {
    println!("\n{:<36}{:>12}{:>12}{:>8}", "12 routers, 24 hosts", "real", "hollow", "ratio");
    for of in compared {
        let mark = if of.is_alike() { "" } else { "   OFF" };
        println!("{:<36}{:>12.2}{:>12.2}{:>8.3}{mark}", of.what, of.real, of.hollow, of.ratio());
    }
}
