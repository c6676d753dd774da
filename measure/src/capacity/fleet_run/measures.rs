//! What a phase of a run has cost, from the counts at its beginning and its end.

use super::changes::{Changes, Way};
use super::counters::{ByCause, CAUSES, Cause};
use super::fleet::Snapshot;
use super::layout::Layout;
use super::processes::CoreTime;
use super::routers::Cost;

const KIB_A_MB: f64 = 1024.0;

/// A second and a router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    pub messages: f64,
    pub bytes: f64,
}

pub type Rates = [Rate; CAUSES.len()];

#[derive(Clone, Debug)]
pub struct Row {
    pub name: &'static str,
    pub seconds: f64,
    /// Requests a second of each real router.
    pub requests: f64,
    /// Of a core, in hundredths: the mean of the real routers, and the busiest.
    pub processor: [f64; 2],
    /// The mean of the time that a real router waited for a core, in hundredths.
    pub waited: f64,
    /// Cores that the hollow parts used, and that their threads waited for.
    pub hollow_parts: CoreTime,
    /// Resident, in MB: the mean and the largest.
    pub memory: [f64; 2],
    pub real: Rates,
    pub hollow: Rates,
    /// New connections to hosts, a second and a real router.
    pub handshakes: f64,
    pub lists_away: u64,
    pub votes_away: u64,
    /// Seconds until a vote had moved the build on for good, or back; None where none was awaited.
    pub converged: Option<Result<f64, &'static str>>,
}

fn rates(before: &ByCause, after: &ByCause, seconds: f64, routers: u32) -> Rates {
    let mut rates = Rates::default();
    let share = seconds * f64::from(routers.max(1));
    for ((rate, before), after) in rates.iter_mut().zip(before).zip(after) {
        let traffic = after.since(*before);
        *rate = Rate {
            messages: traffic.messages as f64 / share,
            bytes: traffic.bytes as f64 / share,
        };
    }
    rates
}

fn mean_and_maximum(values: impl Iterator<Item = f64>) -> [f64; 2] {
    let (sum, count, maximum) = values.fold((0.0, 0.0, 0.0f64), |(sum, count, maximum), value| {
        (sum + value, count + 1.0, maximum.max(value))
    });
    [sum / f64::max(count, 1.0), maximum]
}

impl Row {
    pub fn between(
        name: &'static str,
        before: &Snapshot,
        after: &Snapshot,
        layout: &Layout,
    ) -> Self {
        let seconds = (after.at - before.at).max(1e-3);
        // Processes that have lived through all of it.
        let cores = after.costs.iter().filter_map(|cost| {
            let same = |of: &&Cost| (of.router, of.starts) == (cost.router, cost.starts);
            let baseline = before.costs.iter().find(same)?;
            Some(cost.core_time.since(baseline.core_time))
        });
        let mut cores: Vec<_> = cores.collect();
        if cores.is_empty() {
            // All were restarted: they count from their start.
            cores.extend(after.costs.iter().map(|cost| cost.core_time));
        }
        let percent = |of: f64| 100.0 * of / seconds;
        let hollow_parts = after.hollow_parts.since(before.hollow_parts);
        let share = seconds * f64::from(layout.real.max(1));
        let since = |after: u64, before: u64| (after - before) as f64 / share;
        Row {
            name,
            seconds,
            requests: since(after.seen.requested, before.seen.requested),
            processor: mean_and_maximum(cores.iter().map(|of| percent(of.ran))),
            waited: mean_and_maximum(cores.iter().map(|of| percent(of.waited)))[0],
            hollow_parts: CoreTime {
                ran: hollow_parts.ran / seconds,
                waited: hollow_parts.waited / seconds,
            },
            memory: mean_and_maximum(
                after
                    .costs
                    .iter()
                    .map(|cost| cost.resident_kib as f64 / KIB_A_MB),
            ),
            real: rates(&before.real, &after.real, seconds, layout.real),
            hollow: rates(
                &before.hollow,
                &after.hollow,
                seconds,
                layout.routers - layout.real,
            ),
            handshakes: since(after.handshakes, before.handshakes),
            lists_away: after.lists_away - before.lists_away,
            votes_away: after.votes_away - before.votes_away,
            converged: None,
        }
    }
}

/// Of the changes that were acknowledged in a phase, how many are in force everywhere and the longest time it took.
fn in_force(changes: &Changes, phase: usize, way: Way) -> (usize, f64) {
    let of_phase = changes
        .in_force
        .iter()
        .filter(|change| (change.phase, change.way) == (phase, way));
    of_phase.fold((0, 0.0), |(count, longest), change| {
        (count + 1, longest.max(change.seconds))
    })
}

fn print_rates(name: &str, rows: &[Row], of: impl Fn(&Row) -> &Rates) {
    println!("\n{name} router, messages/s and bytes/s by cause (questions and answers together)");
    let heads: String = CAUSES
        .iter()
        .map(|cause| format!("{:>20}", format!("{cause:?}")))
        .collect();
    println!("{:<14}{heads}{:>12}", "phase", "all bytes/s");
    for row in rows {
        let cells = of(row)
            .iter()
            .map(|rate| format!("{:>8.2} {:>11.0}", rate.messages, rate.bytes));
        let bytes: f64 = of(row).iter().map(|rate| rate.bytes).sum();
        println!("{:<14}{}{bytes:>12.0}", row.name, cells.collect::<String>());
    }
}

pub fn print_table(rows: &[Row], changes: &Changes) {
    println!(
        "\n{:<14}{:>7}{:>7}{:>14}{:>8}{:>15}{:>8}{:>8}{:>8}{:>16}{:>16}{:>12}{:>18}",
        "phase",
        "s",
        "req/s",
        "core % (most)",
        "wait %",
        "MB (most)",
        "conn/s",
        "lists -",
        "votes -",
        "list in force s",
        "files in force",
        "vote s",
        "hollow ran+waited"
    );
    for (phase, row) in rows.iter().enumerate() {
        let pair = |[mean, maximum]: [f64; 2]| format!("{mean:.1} ({maximum:.1})");
        let force = |way| match in_force(changes, phase, way) {
            (0, _) => "-".to_owned(),
            (count, longest) => format!("{longest:.2} of {count}"),
        };
        let converged = match row.converged {
            None => "-".into(),
            Some(Ok(seconds)) => format!("{seconds:.1}"),
            Some(Err(why)) => why.to_owned(),
        };
        println!(
            "{:<14}{:>7.1}{:>7.1}{:>14}{:>8.1}{:>15}{:>8.2}{:>8}{:>8}{:>16}{:>16}{:>12}{:>18}",
            row.name,
            row.seconds,
            row.requests,
            pair(row.processor),
            row.waited,
            pair(row.memory),
            row.handshakes,
            row.lists_away,
            row.votes_away,
            force(Way::List),
            force(Way::Files),
            converged,
            format!("{:.1}+{:.1}", row.hollow_parts.ran, row.hollow_parts.waited)
        );
    }
    print_rates("real", rows, |row| &row.real);
    print_rates("hollow", rows, |row| &row.hollow);
}

/// Bytes a second of all causes.
pub fn control_bytes(rates: &Rates) -> f64 {
    rates.iter().map(|rate| rate.bytes).sum()
}

pub fn gossip(rates: &Rates) -> Rate {
    let [sent, received] =
        [Cause::GossipSent, Cause::GossipReceived].map(|cause| rates[cause as usize]);
    Rate {
        messages: sent.messages + received.messages,
        bytes: sent.bytes + received.bytes,
    }
}
