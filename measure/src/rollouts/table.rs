//! The table of all builds of all recorded days, and its totals.

use super::day::{Build, Day};

/// How a build ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BuildOutcome {
    /// It was released and not removed afterwards.
    Released,
    /// It was removed after routers had voted to roll it back, before or after its release.
    RolledBack,
    /// It was removed without a vote to roll it back, or was still a canary when the day ended.
    Undecided,
}

/// One build of one day. Durations are in seconds.
struct Row<'a> {
    day: &'a str,
    build: u64,
    outcome: BuildOutcome,
    /// The last stage that the build reached.
    last_stage: u32,
    /// From the start of its first stage to its release.
    seconds_until_release: Option<f64>,
    /// From the start of the rollout's last stage, which covers all machines, to the start of the build's removal.
    seconds_at_all_machines: Option<f64>,
}

/// The builds of all days.
pub struct Table<'a> {
    rows: Vec<Row<'a>>,
    days: usize,
    days_with_broken_rules: usize,
    mean_behind_price: f64,
}

fn outcome(build: &Build) -> BuildOutcome {
    match (build.released, build.removal_began) {
        (_, Some(_)) if build.roll_back_votes > 0 => BuildOutcome::RolledBack,
        (Some(_), None) => BuildOutcome::Released,
        _ => BuildOutcome::Undecided,
    }
}

/// Makes the row of a build; none where no stage of it began. `stages` is the number of stages of a complete rollout.
fn row<'a>(day: &'a Day, number: u64, build: &Build, stages: u32) -> Option<Row<'a>> {
    let first_stage_began = build.stages.values().copied().reduce(f64::min)?;
    let (last_stage, last_stage_began) = build.stages.last_key_value()?;
    let is_final_stage = last_stage + 1 == stages;
    Some(Row {
        day: &day.name,
        build: number,
        outcome: outcome(build),
        last_stage: *last_stage,
        seconds_until_release: build.released.map(|released| released - first_stage_began),
        seconds_at_all_machines: build
            .removal_began
            .filter(|_| is_final_stage)
            .map(|removal_began| removal_began - last_stage_began),
    })
}

/// Returns the mean, or 0 where there are no values.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    sum / f64::from(count.max(1))
}

impl<'a> Table<'a> {
    /// Makes the table of these days. All their builds must have the same number of stages.
    pub fn new(days: &'a [Day]) -> Self {
        let builds = || days.iter().flat_map(|day| &day.builds);
        let stages = builds()
            .filter_map(|(_, build)| build.stages.keys().last())
            .max()
            .map_or(0, |last| last + 1);
        let rows_of = |day: &'a Day| {
            let rows = day.builds.iter();
            rows.filter_map(move |(number, build)| row(day, *number, build, stages))
        };
        Table {
            rows: days.iter().flat_map(rows_of).collect(),
            days: days.len(),
            days_with_broken_rules: days.iter().filter(|day| !day.rules_kept).count(),
            mean_behind_price: mean(days.iter().map(|day| day.behind_price)),
        }
    }

    fn with_outcome(&self, outcome: BuildOutcome) -> impl Iterator<Item = &Row<'a>> {
        self.rows.iter().filter(move |row| row.outcome == outcome)
    }

    /// Prints one line per build.
    pub fn print_builds(&self) {
        println!(
            "{:<36} {:>6} {:<11} {:>5} {:>9} {:>7}",
            "day", "build", "outcome", "stage", "released", "at all"
        );
        let seconds = |time: Option<f64>| time.map_or("-".into(), |time| format!("{time:.2}"));
        for row in &self.rows {
            println!(
                "{:<36} {:>6} {:<11} {:>5} {:>9} {:>7}",
                row.day,
                row.build,
                format!("{:?}", row.outcome),
                row.last_stage,
                seconds(row.seconds_until_release),
                seconds(row.seconds_at_all_machines),
            );
        }
    }

    /// Prints the totals and the last line.
    pub fn print_totals(&self) {
        let rolled_back = self.with_outcome(BuildOutcome::RolledBack).count();
        let released = self.with_outcome(BuildOutcome::Released).count();
        let undecided = self.with_outcome(BuildOutcome::Undecided).count();
        let rolled_back_at_all_machines = || {
            self.with_outcome(BuildOutcome::RolledBack)
                .filter_map(|row| row.seconds_at_all_machines)
        };
        let mean_seconds_at_all = mean(rolled_back_at_all_machines());
        let mean_until_release = mean(
            self.with_outcome(BuildOutcome::Released)
                .filter_map(|row| row.seconds_until_release),
        );
        println!(
            "days, days with a broken rule: {}, {}",
            self.days, self.days_with_broken_rules
        );
        println!("builds: {}", self.rows.len());
        println!("  rolled back by votes: {rolled_back}");
        println!(
            "    of them after reaching all machines, mean seconds there: {}, {mean_seconds_at_all:.1}",
            rolled_back_at_all_machines().count()
        );
        println!("  released, mean seconds until the release: {released}, {mean_until_release:.1}");
        println!("  undecided: {undecided}");
        println!(
            "mean price of running an outdated build: {:.3}",
            self.mean_behind_price
        );
        println!(
            "rollouts: days={} broken={} rolled_back={rolled_back} let_on={} let_on_s={mean_seconds_at_all:.1} released={released} released_s={mean_until_release:.1} undecided={undecided} behind={:.3} ok",
            self.days,
            self.days_with_broken_rules,
            rolled_back_at_all_machines().count(),
            self.mean_behind_price,
        );
    }
}

#[cfg(test)]
mod tests;
