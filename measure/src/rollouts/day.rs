//! One recorded bench run, called a day: its builds, the price paid for running an outdated build, and whether the
//! bench found a broken rule.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use crate::log_lines;

/// The file in a day's folder that holds the bench's output.
const BENCH_OUTPUT_FILE: &str = "day.txt";

/// Why a recorded day cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// No folder was given.
    #[error("no folder of a recorded day is given")]
    NoDays,
    /// A file or folder cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The bench's output names no build, or lacks the line of prices that is printed at the end of the day.
    #[error("{}: {problem}", path.display())]
    Incomplete {
        /// The path of the bench's output.
        path: PathBuf,
        /// What is missing.
        problem: &'static str,
    },
}

/// The rollout of one build. Times are in seconds since the start of the day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Build {
    /// When each stage began, by stage number.
    pub stages: BTreeMap<u32, f64>,
    /// When the build was released.
    pub released: Option<f64>,
    /// When the platform began to remove the build from its hosts.
    pub removal_began: Option<f64>,
    /// The number of votes to roll the build back that routers cast.
    pub roll_back_votes: usize,
}

/// A recorded day.
#[derive(Debug, PartialEq)]
pub struct Day {
    /// The name of the day's folder.
    pub name: String,
    /// The builds, by build number.
    pub builds: BTreeMap<u64, Build>,
    /// The price that the bench charged for running an older build than the newest good one.
    pub behind_price: f64,
    /// Whether the bench found no broken rule.
    pub rules_kept: bool,
}

impl Day {
    /// Reads a day's folder.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or the bench's output is incomplete.
    pub fn read(folder: &Path) -> Result<Self, DayError> {
        let path = folder.join(BENCH_OUTPUT_FILE);
        let mut day = Day::parse(&read_text(&path)?)
            .map_err(|problem| DayError::Incomplete { path, problem })?;
        day.name = folder
            .file_name()
            .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        let unreadable = |source| DayError::Unreadable {
            path: folder.into(),
            source,
        };
        for entry in fs::read_dir(folder).map_err(unreadable)? {
            let path = entry.map_err(unreadable)?.path();
            if path.extension().is_some_and(|extension| extension == "log") {
                day.count_votes(&read_text(&path)?);
            }
        }
        Ok(day)
    }

    /// Parses the bench's output; the error says what is missing.
    pub fn parse(output: &str) -> Result<Self, &'static str> {
        let mut day = Day {
            name: String::new(),
            builds: BTreeMap::new(),
            behind_price: behind_price(output).unwrap_or(0.0),
            rules_kept: !output.contains("RULE BROKEN"),
        };
        for line in output.lines() {
            day.record_event(line);
        }
        if !output.lines().any(|line| line.starts_with("prices: ")) {
            return Err("has no line of prices: the day did not end");
        }
        if day.builds.is_empty() {
            return Err("names no build");
        }
        Ok(day)
    }

    /// Records an event of a build, such as `12.50 s  stage 1 of build 8 begins (25% of all places)`. Other lines are
    /// ignored; none is returned where the time or a number cannot be parsed.
    fn record_event(&mut self, line: &str) -> Option<()> {
        let (time, event) = line.trim_start().split_once(" s  ")?;
        let time = time.parse().ok()?;
        let words: Vec<_> = event.split(' ').collect();
        match words[..] {
            ["stage", stage, "of", "build", build, "begins", ..] => {
                let stage = stage.parse().ok()?;
                self.build(build)?.stages.insert(stage, time);
            }
            ["build", build, "is", "out"] => self.build(build)?.released = Some(time),
            ["build", build, "is", "being", "taken", "off"] => {
                self.build(build)?.removal_began = Some(time);
            }
            _ => {}
        }
        Some(())
    }

    /// Returns the build with this number, and adds it where it is new.
    fn build(&mut self, number: &str) -> Option<&mut Build> {
        Some(self.builds.entry(number.parse().ok()?).or_default())
    }

    /// Adds the votes to roll back from one router's log.
    pub fn count_votes(&mut self, log: &str) {
        for (_, message) in log.lines().filter_map(log_lines::parse_line) {
            let is_roll_back = message.starts_with("vote cast")
                && log_lines::field(message, "vote") == Some("RollBack");
            let number = log_lines::field(message, "build").and_then(|text| text.parse().ok());
            let build = number.and_then(|number: u64| self.builds.get_mut(&number));
            if let Some(build) = build.filter(|_| is_roll_back) {
                build.roll_back_votes += 1;
            }
        }
    }
}

fn read_text(path: &Path) -> Result<String, DayError> {
    let bytes = fs::read(path).map_err(|source| DayError::Unreadable {
        path: path.into(),
        source,
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Returns the price named `behind` from the line of prices, or none where that line lists no such price.
fn behind_price(output: &str) -> Option<f64> {
    let prices = output
        .lines()
        .find_map(|line| line.strip_prefix("prices: "))?;
    let price = prices
        .split(", ")
        .find_map(|price| price.strip_prefix("behind "))?;
    price.trim().parse().ok()
}

#[cfg(test)]
mod tests;
