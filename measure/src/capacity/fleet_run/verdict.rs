//! What a run is asked, and whether it holds.

use super::comparison::Compared;
use super::layout::Layout;
use super::measures::{Row, control_bytes, gossip};
use super::plan::{IN_FORCE_WITHIN, Plan};
use super::scenario::Done;
use crate::report::Report;

/// Examples of each kind that are named.
const NAMED: usize = 8;

fn worst_in_force(done: &Done) -> f64 {
    let changes = done.fleet.shared.changes.lock().expect("no panic before");
    changes
        .in_force
        .iter()
        .map(|change| change.seconds)
        .fold(0.0, f64::max)
}

fn row<'a>(done: &'a Done, name: &str) -> Option<&'a Row> {
    done.rows.iter().find(|row| row.name == name)
}

fn sizes(report: &mut Report, layout: &Layout, done: &Done) {
    report.record("routers", "routers", layout.routers);
    report.record("real", "of them real", layout.real);
    report.record("hosts", "hosts", layout.hosts);
    report.record(
        "factor",
        "a day's seconds in one of the run",
        format!("{:.0}", done.day.factor),
    );
    report.record("restarts", "restarts of the day", done.day.restarts);
    report.record(
        "changes",
        "changes of configuration of the day",
        done.day.changes,
    );
}

fn requests(report: &mut Report, done: &Done) {
    let mut rules = done.fleet.shared.rules.lock().expect("no panic before");
    let seen = rules.seen;
    report.record("asked", "requests at real routers", seen.requested);
    report.record("served", "served", seen.served);
    report.record("refused", "refused", seen.refused);
    report.record("failed", "failed", seen.failed);
    report.record("died", "gone with a machine that vanished", seen.died);
    report.check_none("lost", "requests without a final answer", seen.lost);
    report.check_none("late", "answers half a second after their time", seen.late);
    report.check_none(
        "answered_twice",
        "answers that nobody waited for",
        seen.answered_twice,
    );
    report.check_none(
        "ran_twice",
        "requests with side effects that ran twice",
        seen.ran_twice,
    );
    report.check_none(
        "past_drain",
        "attempts past the drain grace",
        seen.past_drain,
    );
    report.record("exposed", "attempts at builds on trial", seen.exposed);
    report.check_none("over_cap", "attempts over the exposure cap", seen.over_cap);
    rules
        .examples
        .drain(..)
        .for_each(|line| println!("    {line}"));
}

fn cold(report: &mut Report, done: &Done) {
    let over: Vec<_> = done
        .fleet
        .cold
        .iter()
        .filter(|share| share.got as f64 > share.allowed)
        .collect();
    report.record("cold", "cold starts of hosts", done.fleet.cold.len());
    report.check_none(
        "cold_over",
        "cold hosts over their allowance",
        over.len() as u64,
    );
    over.iter()
        .take(NAMED)
        .for_each(|share| println!("    {share:?}"));
}

fn changes(report: &mut Report, done: &Done) {
    let changes = done.fleet.shared.changes.lock().expect("no panic before");
    report.record(
        "in_force",
        "changes in force at every router",
        changes.in_force.len(),
    );
    drop(changes);
    report.check_at_most(
        "in_force_s",
        "longest until in force at the last, s",
        worst_in_force(done),
        IN_FORCE_WITHIN,
    );
    let changes = done.fleet.shared.changes.lock().expect("no panic before");
    report.check_none(
        "missed",
        "routers that missed a change",
        changes.missed.len() as u64,
    );
    let first = format!("{:.1}", changes.first_list);
    report.record(
        "first_list_s",
        "longest from a router's start to its first list, s",
        first,
    );
    changes
        .missed
        .iter()
        .take(NAMED)
        .for_each(|missed| println!("    {missed:?}"));
}

fn votes(report: &mut Report, done: &Done) {
    let asks = [
        ("good_trial_s", "good trial", "a good build let on, s"),
        ("bad_trial_s", "bad trial", "a bad build voted back, s"),
        (
            "split_trial_s",
            "region split",
            "let on though regions parted, s",
        ),
    ];
    for (key, name, what) in asks {
        let converged = row(done, name).and_then(|row| row.converged);
        let (said, holds) = match converged {
            Some(Ok(seconds)) => (format!("{seconds:.1}"), true),
            Some(Err(why)) => (why.replace(' ', "-"), false),
            None => ("not-run".into(), false),
        };
        report.check(key, what, said, "decided so", holds);
    }
}

fn starts(report: &mut Report, done: &Done) {
    for (key, what, seconds) in [
        (
            "start_s",
            "all routers have a list after the start, s",
            done.started,
        ),
        (
            "mass_restart_s",
            "and after the mass restart, s",
            done.restarted,
        ),
    ] {
        let said = seconds.map_or("never".into(), |seconds| format!("{seconds:.1}"));
        report.check(key, what, said, "in a minute", seconds.is_some());
    }
    report.check_none(
        "sigkill",
        "real routers that SIGKILL had to end",
        done.fleet.routers.killed_late.into(),
    );
    report.check_none(
        "ended",
        "routers that ended by themselves",
        done.fleet.routers.failed.len() as u64,
    );
    done.fleet
        .routers
        .failed
        .iter()
        .take(NAMED)
        .for_each(|line| println!("    {line}"));
}

fn memory(report: &mut Report, done: &Done) {
    let over = done.memory.iter().filter(|of| !of.has_returned()).count();
    let ratios = done
        .memory
        .iter()
        .map(|of| of.now as f64 / of.then.max(1) as f64);
    let maximum = ratios.fold(0.0, f64::max);
    report.record(
        "memory_of",
        "real routers that ran from rest to rest",
        done.memory.len(),
    );
    report.record(
        "memory_ratio",
        "most memory at rest after over before",
        format!("{maximum:.2}"),
    );
    report.check_none(
        "memory_over",
        "of them, not returned to where it was",
        over as u64,
    );
}

fn comparison(report: &mut Report, compared: &[Compared]) {
    let off: Vec<_> = compared
        .iter()
        .filter(|of| !of.is_alike())
        .map(|of| of.what)
        .collect();
    let ratios = compared
        .iter()
        .map(|of| (of.ratio() - 1.0).abs())
        .fold(0.0, f64::max);
    report.record(
        "hollow_farthest",
        "hollow over real figures, farthest from 1 by",
        format!("{ratios:.3}"),
    );
    report.check_none(
        "hollow_off",
        "hollow figures over a tenth from real ones",
        off.len() as u64,
    );
    off.iter().for_each(|what| println!("    {what}"));
}

/// What a reader of the figures has to know, and what the run does not have.
const NOTES: [&str; 9] = [
    "not run: services divided among routers (53 hosts a service, 5 to 6 routers each)",
    "not run: 70 requests a second at a real router, and all hosts in the list of a hollow one",
    "trials and the region split run in true time, outside the compressed day",
    "outages last seconds: discovery lists vanished machines as gone after 2 s, the other region's hosts stay listed",
    "discovery and the platform stand in region 0 and outlive all failures; routers start without a known list",
    "half of the changes are of discovery's list, at all routers; half are of operators' files, at real ones alone",
    "a host that has ended accepts and resets, one that has vanished accepts and keeps silent, for both kinds",
    "all hollow parts share one process; hosts are not probed",
    "the rules are counted over requests of real routers, cold hosts' attempts over those of all",
];

pub fn report(report: &mut Report, plan: &Plan, compared: &[Compared], done: &Done) {
    NOTES.iter().for_each(|note| println!("note: {note}"));
    sizes(report, &plan.layout, done);
    requests(report, done);
    cold(report, done);
    changes(report, done);
    votes(report, done);
    starts(report, done);
    memory(report, done);
    comparison(report, compared);
    if let Some(rest) = row(done, "at rest") {
        let ratio = gossip(&rest.hollow).messages / gossip(&rest.real).messages;
        report.record(
            "mesh_gossip",
            "gossip of hollow over real ones, at rest",
            format!("{ratio:.3}"),
        );
    }
    if let Some(peak) = row(done, "peak") {
        report.record(
            "peak_core_percent",
            "a real router at the peak, % of a core",
            format!("{:.2}", peak.processor[0]),
        );
        report.record(
            "peak_mb",
            "its memory, MB",
            format!("{:.1}", peak.memory[0]),
        );
        report.record(
            "peak_bytes_s",
            "its control traffic, bytes/s",
            format!("{:.0}", control_bytes(&peak.real)),
        );
    }
}
