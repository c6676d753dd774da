//! The table of builds over all days, and its sums.

use super::day::{Build, Day};

/// How a build ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It was released and stayed.
    Released,
    /// Votes rolled it back, released or not.
    RolledBack,
    /// It was a canary when it was taken off for the next build, or when the day ended.
    Undecided,
}

/// One build of one day; times are in seconds.
struct Row<'a> {
    day: &'a str,
    build: u64,
    fate: Fate,
    /// The last stage that it reached.
    last_stage: u32,
    /// From its offer to its release.
    until_released: Option<f64>,
    /// From the beginning of the last of all stages to when it was taken off.
    at_all_machines: Option<f64>,
}

/// The builds of all days.
pub struct Table<'a> {
    rows: Vec<Row<'a>>,
    days: usize,
    days_with_broken_rules: usize,
    behind: f64,
}

fn fate(build: &Build) -> Fate {
    match (build.released, build.taken_off) {
        (_, Some(_)) if build.roll_back_votes > 0 => Fate::RolledBack,
        (Some(_), None) => Fate::Released,
        _ => Fate::Undecided,
    }
}

fn row<'a>(day: &'a Day, number: u64, build: &Build, stages: u32) -> Option<Row<'a>> {
    let offered = build.stages.values().copied().reduce(f64::min)?;
    let (last_stage, last_began) = build.stages.last_key_value()?;
    let is_last = last_stage + 1 == stages;
    Some(Row {
        day: &day.name,
        build: number,
        fate: fate(build),
        last_stage: *last_stage,
        until_released: build.released.map(|at| at - offered),
        at_all_machines: build
            .taken_off
            .filter(|_| is_last)
            .map(|at| at - last_began),
    })
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), value| (sum + value, count + 1));
    sum / f64::from(count.max(1))
}

impl<'a> Table<'a> {
    /// The table of these days, whose builds all have the same number of stages.
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
            behind: mean(days.iter().map(|day| day.behind)),
        }
    }

    fn of_fate(&self, fate: Fate) -> impl Iterator<Item = &Row<'a>> {
        self.rows.iter().filter(move |row| row.fate == fate)
    }

    /// Prints a line a build.
    pub fn print_builds(&self) {
        println!(
            "{:<36} {:>6} {:<11} {:>5} {:>9} {:>7}",
            "day", "build", "fate", "stage", "released", "at all"
        );
        let seconds = |time: Option<f64>| time.map_or("-".into(), |time| format!("{time:.2}"));
        for row in &self.rows {
            println!(
                "{:<36} {:>6} {:<11} {:>5} {:>9} {:>7}",
                row.day,
                row.build,
                format!("{:?}", row.fate),
                row.last_stage,
                seconds(row.until_released),
                seconds(row.at_all_machines),
            );
        }
    }

    /// Prints the sums, and the last line.
    pub fn print_sums(&self) {
        let rolled_back = self.of_fate(Fate::RolledBack).count();
        let released = self.of_fate(Fate::Released).count();
        let undecided = self.of_fate(Fate::Undecided).count();
        let let_on = || {
            self.of_fate(Fate::RolledBack)
                .filter_map(|row| row.at_all_machines)
        };
        let seconds = mean(let_on());
        let until_released = mean(
            self.of_fate(Fate::Released)
                .filter_map(|row| row.until_released),
        );
        println!(
            "days, of them with a broken rule: {}, {}",
            self.days, self.days_with_broken_rules
        );
        println!("builds: {}", self.rows.len());
        println!("  rolled back by votes: {rolled_back}");
        println!(
            "    of them let on to all machines, mean seconds there: {}, {seconds:.1}",
            let_on().count()
        );
        println!("  released, mean seconds until then: {released}, {until_released:.1}");
        println!("  neither: {undecided}");
        println!("mean price of running behind: {:.3}", self.behind);
        println!(
            "rollouts: days={} broken={} rolled_back={rolled_back} let_on={} let_on_s={seconds:.1} released={released} released_s={until_released:.1} undecided={undecided} behind={:.3} ok",
            self.days,
            self.days_with_broken_rules,
            let_on().count(),
            self.behind,
        );
    }
}

#[cfg(test)]
mod tests;
