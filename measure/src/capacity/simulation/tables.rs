//! What the simulation prints.

use kestreltide::interface::Phase;

use super::evidence_probe::{Probe, Reached};
use super::exposure::Worst;
use super::scenario::{CanaryRun, Played};
use crate::report::Report;

/// Bytes a second that a router may spend on messages, both ways.
const BYTES_A_SECOND: f64 = 3_000.0;

fn seconds(time: Option<f64>) -> String {
    time.map_or("never".into(), |time| format!("{time:.1}"))
}

fn all_seconds(times: &[Option<f64>]) -> String {
    times
        .iter()
        .map(|time| format!("{:>6}", seconds(*time)))
        .collect()
}

/// A table by scenario, with a line for each build that was offered.
pub fn scenarios(all: &[Played]) {
    for played in all {
        scenario(played);
    }
}

fn scenario(played: &Played) {
    let (scenario, counts) = (&played.scenario, &played.counts);
    let fleet = &scenario.fleet;
    println!(
        "\n{}, {} builds: {} routers, {} hosts, {:.0} requests/s, seed {}; {:.0} s simulated in {:.1} s",
        scenario.name,
        if scenario.bad { "bad" } else { "good" },
        fleet.routers,
        fleet.machines,
        fleet.rate,
        fleet.seed,
        played.simulated,
        played.took
    );
    println!(
        "  {:<12} {:>7} {:>10} {:>7} {:>5} {:>9} {:>9} {:>6} {:>6} {:>7} {:>5} {:>5}  evidence at 50/90/99/100%   worst window",
        "offered",
        "at s",
        "became",
        "s",
        "stage",
        "exposure",
        "each",
        "cast",
        "away",
        "unheard",
        "on",
        "back"
    );
    played
        .canary_runs
        .iter()
        .for_each(|canary| print_canary_run(canary, scenario.bad));
    for when in &played.left_out {
        println!(
            "  {:<12} not offered: the build before was not done with",
            format!("{when:?}")
        );
    }
    let a_second = |count: u64| count as f64 / counts.router_seconds.max(1.0);
    println!(
        "  a router a second: {:.2} messages and {:.0} bytes sent, {:.2} and {:.0} received; {:.4} in time, {:.4} throttled",
        a_second(counts.messages_sent),
        a_second(counts.bytes_sent),
        a_second(counts.messages_received),
        a_second(counts.bytes_received),
        counts.in_time as f64 / counts.accepted.max(1) as f64,
        counts.throttled as f64 / counts.accepted.max(1) as f64
    );
    println!(
        "  cold hosts at most {:.2} of what they bear; at builds taken back: {} by routers told, {} not yet told, {} cut off; {} restarts; {} routers differ at the end",
        played.worst_cold,
        counts.after_back[0],
        counts.after_back[1],
        counts.after_back[2],
        counts.restarts,
        played.differing
    );
}

fn print_canary_run(canary: &CanaryRun, bad: bool) {
    let became = match canary.decided {
        Some((Phase::Released, _)) => "let on",
        Some(_) => "back",
        None => "undecided",
    };
    println!(
        "  {:<12} {:>7.1} {:>10} {:>7} {:>5} {:>9.2} {:>9.2} {:>6} {:>6} {:>7} {:>5} {:>5} {}   {}{}",
        format!("{:?}", canary.when),
        canary.offered,
        became,
        seconds(canary.decided.map(|(_, time)| time)),
        canary.stage,
        canary.exposure_once.ratio,
        canary.exposure_each.ratio,
        canary.cast,
        canary.turned_away,
        canary.unheard,
        canary.standing[0],
        canary.standing[1],
        all_seconds(&canary.reached),
        worst(&canary.exposure_once),
        if canary.is_right(bad) { "" } else { "   SHORT" }
    );
}

fn worst(worst: &Worst) -> String {
    format!("{}/{} cap {}", worst.sent, worst.accepted, worst.cap)
}

/// A table of how long evidence takes to reach everyone.
pub fn probes(all: &[(Probe, Reached)]) {
    println!(
        "\nseconds until 50/90/99/100% of all routers have seen evidence, any and half of an even share"
    );
    println!(
        "  {:<34} {:>8} {:>24} {:>24}",
        "routers, of them with evidence", "outcomes", "any", "half"
    );
    for (probe, reached) in all {
        let apart = probe
            .apart
            .map_or(String::new(), |apart| format!(", apart for {apart:.0} s"));
        let name = format!("{}, {}{apart}", probe.routers, probe.injected);
        println!(
            "  {name:<34} {:>8} {:>24} {:>24}",
            reached.outcomes,
            all_seconds(&reached.any),
            all_seconds(&reached.half)
        );
    }
    println!();
}

/// The figures over all scenarios, and whether they are as asked.
pub fn verdict(all: &[Played], probes: &[(Probe, Reached)], left_out: usize) -> bool {
    let mut report = Report::new("capacity-simulation");
    let fleets = || all.iter().map(|played| &played.scenario.fleet);
    report.record(
        "routers",
        "routers",
        fleets().map(|fleet| fleet.routers).max().unwrap_or(0),
    );
    report.record(
        "hosts",
        "hosts",
        fleets().map(|fleet| fleet.machines).min().unwrap_or(0),
    );
    report.record(
        "long_list",
        "hosts of the longest list",
        fleets().map(|fleet| fleet.machines).max().unwrap_or(0),
    );
    report.record("scenarios", "scenarios", all.len());
    report.check_none(
        "left_out",
        "scenarios and probes left out, as the time was up",
        left_out as u64,
    );
    judged(&mut report, all, false);
    judged(&mut report, all, true);
    let canary_runs = || all.iter().flat_map(|played| &played.canary_runs);
    let moved_on = |played: &&Played| played.scenario.bad;
    let moved_on = all
        .iter()
        .filter(moved_on)
        .flat_map(|played| &played.canary_runs)
        .filter(|canary| canary.stage > 0);
    report.record(
        "bad_moved_on",
        "bad builds that were moved on before they were voted back",
        moved_on.count(),
    );
    let waited = |played: &Played| {
        played
            .canary_runs
            .iter()
            .filter(|canary| played.waited(canary))
            .count()
    };
    report.record(
        "waited",
        "builds that were decided on only after the failure",
        all.iter().map(waited).sum::<usize>(),
    );
    let maximum = |of: fn(&CanaryRun) -> f64| canary_runs().map(of).fold(0.0, f64::max);
    report.check_at_most(
        "exposure_each",
        "exposure over the cap, spare for each router",
        maximum(|t| t.exposure_each.ratio),
        1.0,
    );
    report.check_at_most(
        "exposure_router",
        "exposure over the cap, of the worst router",
        maximum(|t| t.exposure_router.ratio),
        1.0,
    );
    report.record(
        "exposure_once",
        "exposure over the cap, spare counted once for all",
        format!("{:.2}", maximum(|t| t.exposure_once.ratio)),
    );
    let back = all.iter().map(|played| played.counts.after_back[0]).sum();
    report.check_none(
        "after_back",
        "dispatches at a build by routers told of its end",
        back,
    );
    let differing = all.iter().map(|played| played.differing as u64).sum();
    report.check_none(
        "differing",
        "routers that differ from the platform at the end",
        differing,
    );
    let cold = all
        .iter()
        .map(|played| played.worst_cold)
        .fold(0.0, f64::max);
    report.check_at_most(
        "cold",
        "dispatches at a cold host over what it bears",
        cold,
        1.0,
    );
    let bytes = |played: &Played| {
        let counts = &played.counts;
        (counts.bytes_sent + counts.bytes_received) as f64 / counts.router_seconds.max(1.0)
    };
    let bytes = all.iter().map(bytes).fold(0.0, f64::max);
    report.check_at_most(
        "bytes",
        "bytes a router a second, both ways",
        bytes,
        BYTES_A_SECOND,
    );
    let cast = canary_runs().map(|canary| canary.cast).sum::<usize>();
    let away = canary_runs()
        .map(|canary| canary.turned_away)
        .sum::<usize>();
    report.record("votes", "votes cast", cast);
    report.record("votes_away", "of them turned away", away);
    let complete = probes
        .iter()
        .filter(|(probe, _)| probe.apart.is_none() && probe.injected == 1);
    if let Some((probe, reached)) = complete.max_by_key(|(probe, _)| probe.routers) {
        report.record(
            "evidence_routers",
            "routers of the widest probe",
            probe.routers,
        );
        report.record(
            "evidence_99",
            "s until evidence of one has reached 99 in 100",
            seconds(reached.half[2]),
        );
        report.record(
            "evidence_100",
            "s until it has reached all",
            seconds(reached.half[3]),
        );
    }
    let throttled =
        |played: &Played| played.counts.throttled as f64 / played.counts.accepted.max(1) as f64;
    let throttled = all.iter().map(throttled).fold(0.0, f64::max);
    report.record(
        "throttled",
        "of all invocations throttled, at most",
        format!("{throttled:.4}"),
    );
    report.end()
}

fn judged(report: &mut Report, all: &[Played], bad: bool) {
    let of = all.iter().filter(|played| played.scenario.bad == bad);
    let canary_runs: Vec<_> = of.flat_map(|played| &played.canary_runs).collect();
    let right = canary_runs.iter().filter(|canary| canary.is_right(bad));
    let slowest = right
        .clone()
        .filter_map(|canary| canary.decided)
        .map(|(_, time)| time)
        .fold(0.0, f64::max);
    let (right, offered) = (right.count(), canary_runs.len());
    let (key, what, slow_key, slow) = if bad {
        (
            "voted_back",
            "bad builds voted back",
            "slowest_back",
            "s until the slowest of them was",
        )
    } else {
        (
            "let_on",
            "good builds let on",
            "slowest_on",
            "s until the slowest of them was",
        )
    };
    report.check(
        key,
        what,
        format!("{right}/{offered}"),
        "all",
        right == offered,
    );
    report.record(slow_key, slow, format!("{slowest:.1}"));
}
