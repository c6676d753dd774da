//! Adds up counters from the logs of all routers of a fleet, second by second. This shows load that is small at each
//! router but large in total.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;

use crate::log_lines::{field, parse_line};

/// Sum the counters of all routers of a fleet for each second, from a folder with one log file per router.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct CountFleet {
    /// the folder with the log files (NAME.log)
    #[argh(positional)]
    logs: PathBuf,
}

/// Counters of the `state` lines that are printed: name in the log line and column heading.
const PRINTED_COUNTERS: [(&str, &str); 10] = [
    ("taken", "taken"),
    ("dispatches", "dispat"),
    ("throttled", "thrott"),
    ("no_room", "noroom"),
    ("new_links", "newlnk"),
    ("no_connection", "refusd"),
    ("lists", "lists"),
    ("votes_away", "v.away"),
    ("told", "told"),
    ("timed_out", "t.out"),
];

/// Returns the counters of a `state` line: each word that is followed by a number, and that number.
fn state_counters(message: &str) -> impl Iterator<Item = (&str, f64)> {
    let words: Vec<_> = message
        .split([' ', ',', ':'])
        .filter(|word| !word.is_empty())
        .collect();
    let pairs: Vec<_> = words
        .windows(2)
        .filter_map(|pair| Some((pair[0], pair[1].parse().ok()?)))
        .collect();
    pairs.into_iter()
}

/// The totals of all routers for one second.
#[derive(Debug, Default, PartialEq)]
struct SecondTotals {
    counters: HashMap<&'static str, f64>,
    votes: f64,
    starts: f64,
    /// Calls to discovery and connections to the platform that failed.
    failed: f64,
    /// The number of routers whose latest vote on the newest build and stage is to promote, to roll back, or an
    /// abstention.
    latest_votes: [usize; 3],
}

/// Totals of the log lines of all routers. A `state` line counts what happened since the router's previous `state`
/// line, so its counters are spread evenly over the seconds between the two.
#[derive(Default)]
struct FleetTotals {
    /// Time of day of the first log line, in seconds.
    start: f64,
    /// Totals by whole seconds since `start`.
    seconds: BTreeMap<i64, SecondTotals>,
    /// All votes cast: time of day in seconds, router, build and stage, vote.
    votes_cast: Vec<(f64, usize, (u64, u64), String)>,
}

impl FleetTotals {
    /// Adds the log of one router.
    fn add_log(&mut self, router: usize, text: &str) {
        // The first second that the next `state` line covers.
        let mut next_covered = None;
        for (time, message) in text.lines().filter_map(parse_line) {
            let second = (time - self.start).floor() as i64;
            if message.starts_with("starting") {
                self.seconds.entry(second).or_default().starts += 1.0;
                next_covered = Some(second);
            } else if message.starts_with("discovery request failed")
                || message.contains("connection lost")
            {
                self.seconds.entry(second).or_default().failed += 1.0;
            } else if message.starts_with("vote cast") {
                self.seconds.entry(second).or_default().votes += 1.0;
                let number = |name| {
                    field(message, name)
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0)
                };
                let vote = field(message, "vote").unwrap_or_default().to_owned();
                self.votes_cast
                    .push((time, router, (number("build"), number("stage")), vote));
            } else if message.starts_with("state") {
                let first = next_covered.unwrap_or(second).min(second);
                let share = 1.0 / (second - first + 1) as f64;
                for (name, count) in state_counters(message) {
                    let Some((name, _)) = PRINTED_COUNTERS
                        .iter()
                        .find(|(printed, _)| *printed == name)
                    else {
                        continue;
                    };
                    for covered in first..=second {
                        *self
                            .seconds
                            .entry(covered)
                            .or_default()
                            .counters
                            .entry(name)
                            .or_default() += share * count;
                    }
                }
                next_covered = Some(second + 1);
            }
        }
    }

    /// Determines for the end of each second which votes are the latest of their routers.
    fn finish(&mut self) {
        self.votes_cast.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut newest_stage, mut latest_by_router, mut remaining) =
            ((0, 0), HashMap::new(), self.votes_cast.iter().peekable());
        for (second, totals) in &mut self.seconds {
            let end = self.start + (second + 1) as f64;
            while let Some((_, router, build_and_stage, vote)) =
                remaining.next_if(|vote_cast| vote_cast.0 < end)
            {
                if *build_and_stage > newest_stage {
                    newest_stage = *build_and_stage;
                    latest_by_router.clear();
                }
                if *build_and_stage == newest_stage {
                    latest_by_router.insert(router, vote.as_str());
                }
            }
            let count = |vote| {
                latest_by_router
                    .values()
                    .filter(|latest| **latest == vote)
                    .count()
            };
            totals.latest_votes = ["Promote", "RollBack", "Abstain"].map(count);
        }
    }

    fn print(&self) {
        let headings = PRINTED_COUNTERS
            .iter()
            .map(|(_, heading)| format!("{heading:>7}"))
            .collect::<String>();
        println!("     s starts failed{headings}  votes  on/back/none");
        for (second, totals) in &self.seconds {
            let count = |name| totals.counters.get(name).copied().unwrap_or(0.0);
            let counts = PRINTED_COUNTERS
                .iter()
                .map(|(name, _)| format!("{:>7.0}", count(name)))
                .collect::<String>();
            let [promote, roll_back, abstain] = totals.latest_votes;
            let (starts, failed, votes) = (totals.starts, totals.failed, totals.votes);
            println!(
                "{second:>6} {starts:>6.0} {failed:>6.0}{counts} {votes:>6.0}  {promote}/{roll_back}/{abstain}"
            );
        }
    }
}

/// Reads all files NAME.log of a folder, sorted by name.
fn read_logs(folder: &Path) -> Result<Vec<String>, String> {
    let describe = |error: std::io::Error| format!("{}: {error}", folder.display());
    let files = fs::read_dir(folder)
        .map_err(describe)?
        .filter_map(Result::ok)
        .map(|entry| entry.path());
    let mut files: Vec<_> = files
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    files.sort();
    if files.is_empty() {
        return Err(format!(
            "{}: holds no file of the form NAME.log",
            folder.display()
        ));
    }
    files
        .iter()
        .map(|file| Ok(String::from_utf8_lossy(&fs::read(file).map_err(describe)?).into_owned()))
        .collect()
}

impl CountFleet {
    /// Prints the table; returns whether the logs could be read.
    pub fn run(&self) -> bool {
        let logs = match read_logs(&self.logs) {
            Ok(logs) => logs,
            Err(error) => {
                eprintln!("kestreltide-measure: {error}");
                return false;
            }
        };
        let times = logs
            .iter()
            .flat_map(|log| log.lines().filter_map(parse_line))
            .map(|(time, _)| time);
        let mut totals = FleetTotals {
            start: times.fold(f64::INFINITY, f64::min),
            ..FleetTotals::default()
        };
        logs.iter()
            .enumerate()
            .for_each(|(router, log)| totals.add_log(router, log));
        totals.finish();
        totals.print();
        println!(
            "fleet: routers={} seconds={} ok",
            logs.len(),
            totals.seconds.len()
        );
        true
    }
}

#[cfg(test)]
mod tests;
