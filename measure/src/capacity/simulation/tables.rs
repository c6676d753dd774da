//! What the simulation prints.

use kestreltide::interface::Phase;

use super::evidence_probe::{Probe, Reached};
use super::exposure::Worst;
use super::scenario::{Played, Trial};
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
        .trials
        .iter()
        .for_each(|trial| print_trial(trial, scenario.bad));
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
        counts.in_time as f64 / counts.taken.max(1) as f64,
        counts.throttled as f64 / counts.taken.max(1) as f64
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

fn print_trial(trial: &Trial, bad: bool) {
    let became = match trial.decided {
        Some((Phase::Released, _)) => "let on",
        Some(_) => "back",
        None => "undecided",
    };
    println!(
        "  {:<12} {:>7.1} {:>10} {:>7} {:>5} {:>9.2} {:>9.2} {:>6} {:>6} {:>7} {:>5} {:>5} {}   {}{}",
        format!("{:?}", trial.when),
        trial.offered,
        became,
        seconds(trial.decided.map(|(_, time)| time)),
        trial.stage,
        trial.exposure_once.ratio,
        trial.exposure_each.ratio,
        trial.cast,
        trial.turned_away,
        trial.unheard,
        trial.standing[0],
        trial.standing[1],
        all_seconds(&trial.reached),
        worst(&trial.exposure_once),
        if trial.is_right(bad) { "" } else { "   SHORT" }
    );
}

fn worst(worst: &Worst) -> String {
    format!("{}/{} cap {}", worst.sent, worst.taken, worst.cap)
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
    report.tell(
        "routers",
        "routers",
        fleets().map(|fleet| fleet.routers).max().unwrap_or(0),
    );
    report.tell(
        "hosts",
        "hosts",
        fleets().map(|fleet| fleet.machines).min().unwrap_or(0),
    );
    report.tell(
        "long_list",
        "hosts of the longest list",
        fleets().map(|fleet| fleet.machines).max().unwrap_or(0),
    );
    report.tell("scenarios", "scenarios", all.len());
    report.never(
        "left_out",
        "scenarios and probes left out, as the time was up",
        left_out as u64,
    );
    judged(&mut report, all, false);
    judged(&mut report, all, true);
    let trials = || all.iter().flat_map(|played| &played.trials);
    let moved_on = |played: &&Played| played.scenario.bad;
    let moved_on = all
        .iter()
        .filter(moved_on)
        .flat_map(|played| &played.trials)
        .filter(|trial| trial.stage > 0);
    report.tell(
        "bad_moved_on",
        "bad builds that were moved on before they were voted back",
        moved_on.count(),
    );
    let waited = |played: &Played| {
        played
            .trials
            .iter()
            .filter(|trial| played.waited(trial))
            .count()
    };
    report.tell(
        "waited",
        "builds that were decided on only after the failure",
        all.iter().map(waited).sum::<usize>(),
    );
    let most = |of: fn(&Trial) -> f64| trials().map(of).fold(0.0, f64::max);
    report.most(
        "exposure_each",
        "exposure over the cap, spare for each router",
        most(|t| t.exposure_each.ratio),
        1.0,
    );
    report.most(
        "exposure_router",
        "exposure over the cap, of the worst router",
        most(|t| t.exposure_router.ratio),
        1.0,
    );
    report.tell(
        "exposure_once",
        "exposure over the cap, spare counted once for all",
        format!("{:.2}", most(|t| t.exposure_once.ratio)),
    );
    let back = all.iter().map(|played| played.counts.after_back[0]).sum();
    report.never(
        "after_back",
        "dispatches at a build by routers told of its end",
        back,
    );
    let differing = all.iter().map(|played| played.differing as u64).sum();
    report.never(
        "differing",
        "routers that differ from the platform at the end",
        differing,
    );
    let cold = all
        .iter()
        .map(|played| played.worst_cold)
        .fold(0.0, f64::max);
    report.most(
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
    report.most(
        "bytes",
        "bytes a router a second, both ways",
        bytes,
        BYTES_A_SECOND,
    );
    let cast = trials().map(|trial| trial.cast).sum::<usize>();
    let away = trials().map(|trial| trial.turned_away).sum::<usize>();
    report.tell("votes", "votes cast", cast);
    report.tell("votes_away", "of them turned away", away);
    let whole = probes
        .iter()
        .filter(|(probe, _)| probe.apart.is_none() && probe.injected == 1);
    if let Some((probe, reached)) = whole.max_by_key(|(probe, _)| probe.routers) {
        report.tell(
            "evidence_routers",
            "routers of the widest probe",
            probe.routers,
        );
        report.tell(
            "evidence_99",
            "s until evidence of one has reached 99 in 100",
            seconds(reached.half[2]),
        );
        report.tell(
            "evidence_100",
            "s until it has reached all",
            seconds(reached.half[3]),
        );
    }
    let throttled =
        |played: &Played| played.counts.throttled as f64 / played.counts.taken.max(1) as f64;
    let throttled = all.iter().map(throttled).fold(0.0, f64::max);
    report.tell(
        "throttled",
        "of all invocations throttled, at most",
        format!("{throttled:.4}"),
    );
    report.end()
}

fn judged(report: &mut Report, all: &[Played], bad: bool) {
    let of = all.iter().filter(|played| played.scenario.bad == bad);
    let trials: Vec<_> = of.flat_map(|played| &played.trials).collect();
    let right = trials.iter().filter(|trial| trial.is_right(bad));
    let slowest = right
        .clone()
        .filter_map(|trial| trial.decided)
        .map(|(_, time)| time)
        .fold(0.0, f64::max);
    let (right, offered) = (right.count(), trials.len());
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
    report.ask(
        key,
        what,
        format!("{right}/{offered}"),
        "all",
        right == offered,
    );
    report.tell(slow_key, slow, format!("{slowest:.1}"));
}
