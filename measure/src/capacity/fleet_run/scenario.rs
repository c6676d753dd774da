//! The phases of a run, in their order, and what each is asked.

use std::io;

use super::day::Day;
use super::fleet::{Fleet, Snapshot};
use super::host_table::{BAD, GOOD};
use super::layout::Place;
use super::measures::Row;
use super::plan::{MEMORY_FLOOR_KIB, MEMORY_RETURNS, Plan};
use super::rollout::Progress;

/// The longest time until all routers have their first list, at the start and after a mass restart, in seconds.
const ALL_STARTED: f64 = 60.0;
/// The rack and the zone that fail: neither has the first machines of all.
const FAILING_RACK: u32 = 3;
const FAILING_ZONE: u32 = 1;

/// Memory of a process at rest before and after, in KiB.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryThenNow {
    pub router: u32,
    pub then: u64,
    pub now: u64,
}

impl MemoryThenNow {
    pub fn has_returned(&self) -> bool {
        self.now as f64 <= MEMORY_RETURNS * self.then as f64 + MEMORY_FLOOR_KIB as f64
    }
}

pub struct Done {
    pub fleet: Fleet,
    pub rows: Vec<Row>,
    pub day: Day,
    pub memory: Vec<MemoryThenNow>,
    /// Seconds until all routers had a list, at the start and after the mass restart.
    pub started: Option<f64>,
    pub restarted: Option<f64>,
}

struct Run {
    fleet: Fleet,
    rows: Vec<Row>,
    before: Snapshot,
}

impl Run {
    fn end_phase(&mut self, name: &'static str) -> &mut Row {
        let after = self.fleet.snapshot();
        let row = Row::between(name, &self.before, &after, &self.fleet.shared.plan.layout);
        eprintln!("{name}: {:.1} s", row.seconds);
        self.before = after;
        self.rows.push(row);
        self.fleet.phase = self.rows.len();
        let place = self.rows.len() - 1;
        &mut self.rows[place]
    }

    async fn canary(&mut self, name: &'static str, good: bool, maximum: f64) {
        self.fleet.begin_canary(if good { GOOD } else { BAD });
        let converged = self.await_verdict(good, maximum).await;
        if !good {
            self.fleet
                .run_until(maximum, |fleet| fleet.progress() != Progress::Recalling)
                .await;
        }
        self.end_phase(name).converged = Some(converged);
    }

    /// Seconds until the build is let on or is voted back; the opposite of what is wanted, or neither, is an error.
    async fn await_verdict(&mut self, good: bool, maximum: f64) -> Result<f64, &'static str> {
        let begun = self.fleet.shared.now();
        self.fleet
            .run_until(maximum, |fleet| fleet.progress() != Progress::Testing)
            .await;
        let seconds = self.fleet.shared.now() - begun;
        self.say_votes();
        match (self.fleet.progress(), good) {
            (Progress::Live, true) | (Progress::Recalling | Progress::Recalled, false) => {
                Ok(seconds)
            }
            (Progress::Testing, _) => Err("undecided"),
            (Progress::Live, false) => Err("let on"),
            (_, true) => Err("voted back"),
        }
    }

    /// Says how near a vote without an end has come.
    fn say_votes(&self) {
        let rollout = self.fleet.shared.rollout.lock().expect("no panic before");
        let (standing, [on, back]) = (rollout.standing(), rollout.maximum);
        if standing.progress == Progress::Testing {
            let needed = self.fleet.shared.plan.votes_needed();
            eprintln!(
                "{standing:?}: at most {on} votes on and {back} back at once, {needed} are needed"
            );
        }
    }

    /// All machines of some places vanish at once, and come back.
    async fn outage(&mut self, name: &'static str, of: impl Fn(Place) -> bool) {
        let (layout, lengths) = (
            self.fleet.shared.plan.layout,
            self.fleet.shared.plan.lengths,
        );
        let hosts = (0..layout.hosts).filter(|host| of(layout.host_place(*host)));
        hosts.for_each(|host| self.fleet.machines.vanish(host, lengths.outage));
        let routers: Vec<_> = (0..layout.routers)
            .filter(|router| of(layout.router_place(*router)))
            .collect();
        routers
            .iter()
            .for_each(|router| self.fleet.routers.vanish(*router));
        self.fleet.run_for(lengths.outage).await;
        routers
            .iter()
            .for_each(|router| self.fleet.routers.come_back(*router));
        self.fleet.run_for(lengths.recovery).await;
        self.end_phase(name);
    }

    /// The regions lose each other during a trial, and find each other again.
    async fn split(&mut self) {
        let lengths = self.fleet.shared.plan.lengths;
        self.fleet.begin_canary(GOOD);
        let begun = self.fleet.shared.now();
        self.fleet.run_for(0.25 * lengths.split).await;
        self.fleet.part_regions(true);
        self.fleet.run_for(lengths.split).await;
        self.fleet.part_regions(false);
        let converged = self.await_verdict(true, lengths.canary).await;
        let seconds = self.fleet.shared.now() - begun;
        self.end_phase("region split").converged = Some(converged.map(|_| seconds));
    }
}

pub async fn run(plan: Plan) -> io::Result<Done> {
    let (lengths, layout) = (plan.lengths, plan.layout);
    let day = Day::draw(
        plan.seed,
        &layout,
        plan.hollow_list,
        lengths.day,
        plan.files,
    );
    let mut fleet = Fleet::start(plan.clone()).await?;
    let started = fleet.run_until(ALL_STARTED, Fleet::all_have_list).await;
    fleet.run_for(lengths.recovery).await;
    let before = fleet.snapshot();
    let mut run = Run {
        fleet,
        rows: vec![],
        before,
    };

    run.fleet.run_for(lengths.rest).await;
    run.end_phase("at rest");
    let then = run.before.costs.clone();
    // Trials run in true time, so they stand outside the compressed day: in it hosts start so often that the
    // seconds without a start, which a stage has to have, would hardly come.
    run.fleet.set_rates(plan.peak_rate, plan.drawn_rate);
    run.canary("good trial", true, lengths.canary).await;
    run.canary("bad trial", false, lengths.canary).await;
    run.split().await;
    run.fleet.begin_day(&day);
    run.fleet.run_for(lengths.peak).await;
    run.end_phase("peak");
    run.outage("rack", |place| place.rack == FAILING_RACK).await;
    run.outage("zone", |place| place.zone == FAILING_ZONE).await;
    if !run.fleet.day_is_over() {
        run.fleet.run_until(lengths.day, Fleet::day_is_over).await;
        run.end_phase("rest of day");
    }
    run.fleet.set_rates(plan.rest_rate, plan.drawn_rate);
    run.fleet.run_for(lengths.rest).await;
    run.end_phase("at rest again");
    let now = run.before.costs.clone();
    let memory = then.iter().filter_map(|then| {
        let same = now
            .iter()
            .find(|now| (now.router, now.starts) == (then.router, then.starts))?;
        Some(MemoryThenNow {
            router: then.router,
            then: then.resident_kib,
            now: same.resident_kib,
        })
    });
    let memory = memory.collect();

    (0..layout.routers).for_each(|router| run.fleet.routers.restart(router));
    // Until the processes have ended, the old ones are still in use.
    run.fleet
        .run_until(ALL_STARTED, |fleet| !fleet.routers.all_in_use())
        .await;
    let restarted = run.fleet.run_until(ALL_STARTED, Fleet::all_have_list).await;
    run.fleet.run_for(lengths.recovery).await;
    run.end_phase("mass restart");
    // Changes that are on their way may still arrive.
    let settled = |fleet: &Fleet| fleet.shared.changes.lock().expect("no panic before").open() == 0;
    run.fleet
        .run_until(super::plan::IN_FORCE_WITHIN + 1.0, settled)
        .await;
    Ok(Done {
        fleet: run.fleet,
        rows: run.rows,
        day,
        memory,
        started,
        restarted,
    })
}

#[cfg(test)]
mod tests;
