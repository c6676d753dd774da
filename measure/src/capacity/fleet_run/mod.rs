//! The scale run: real routers beside hollow ones, loopback only, ended by itself.
//!
//! Real routers are processes of this program. Hollow ones fill the fleet up: they share one process, run the real
//! decision module and the real codecs, and draw their requests and outcomes. Hosts, discovery and the platform are
//! hollow too: states free of I/O (`host_table`, `registry`, `rollout`) behind thin shells (`net`). Hollow routers
//! are held against real ones at a small size (`comparison`), or they prove nothing.

mod budget;
mod changes;
mod comparison;
mod counters;
mod day;
mod fleet;
mod hollow;
mod host_table;
mod layout;
mod machines;
mod measures;
mod net;
mod partition;
mod plan;
mod processes;
mod real_router;
mod registry;
mod resources;
mod rollout;
mod routers;
mod rules;
mod scenario;
mod verdict;

use std::io;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};

use crate::report::Report;
use comparison::{Compared, Rounds};
use plan::Plan;
use scenario::Done;

/// Threads that serve all hollow parts.
const THREADS: usize = 6;
/// How often hollow routers are held against real ones, in a small run and in a whole one.
const ROUNDS: [Rounds; 2] = [
    Rounds {
        fleets: 4,
        good: 1,
        bad: 5,
    },
    Rounds {
        fleets: 4,
        good: 2,
        bad: 6,
    },
];
/// Seconds after which a run ends as it is, small and whole.
const ENDS_AFTER: [u64; 2] = [115, 580];

fn runtime() -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
}

/// Runs it, at the small sizes only where asked; whether all was as asked.
pub fn run(small: bool) -> bool {
    let plan = if small { Plan::small() } else { Plan::full() };
    let size = usize::from(!small);
    if let Err(why) = resources::check(&plan) {
        return cannot(&why);
    }
    resources::print(&plan);
    let complete = async {
        if small {
            // Side by side, to be done sooner.
            return tokio::try_join!(comparison::run(ROUNDS[size]), scenario::run(plan.clone()));
        }
        let compared = comparison::run(ROUNDS[size]).await?;
        Ok((compared, scenario::run(plan.clone()).await?))
    };
    let done = runtime().and_then(|runtime| {
        let limit = Duration::from_secs(ENDS_AFTER[size]);
        let done = runtime.block_on(async { tokio::time::timeout(limit, complete).await });
        runtime.shutdown_background();
        done.map_err(|_| io::Error::other("not done in its time"))?
    });
    match done {
        Ok((compared, done)) => conclude(&plan, &compared, done),
        Err(e) => cannot(&format!("files, ports or processes: {e}")),
    }
}

fn cannot(why: &str) -> bool {
    eprintln!("kestreltide-measure: the fleet cannot run: {why}");
    println!("capacity-fleet: short: {}", why.replace(' ', "-"));
    false
}

fn conclude(plan: &Plan, compared: &[Compared], done: Done) -> bool {
    comparison::print(compared);
    measures::print_table(
        &done.rows,
        &done.fleet.shared.changes.lock().expect("no panic before"),
    );
    let mut report = Report::new("capacity-fleet");
    verdict::report(&mut report, plan, compared, &done);
    report.end()
}
