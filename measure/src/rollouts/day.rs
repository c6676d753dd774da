//! One played day: its builds, what was paid for running behind, and which rules were broken.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use crate::log_lines;

/// The file of a day's folder that holds what the bench printed.
const PRINTED_DAY: &str = "day.txt";

/// Why a day cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// No folder was given.
    #[error("no folder of a played day is given")]
    NoDays,
    /// A file or folder cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The printed day does not tell of any build, or not how it ended.
    #[error("{}: {problem}", path.display())]
    Incomplete {
        /// The printed day.
        path: PathBuf,
        /// What is missing.
        problem: &'static str,
    },
}

/// What became of one build; times are in seconds of the day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Build {
    /// When each stage began.
    pub stages: BTreeMap<u32, f64>,
    /// When it was released.
    pub released: Option<f64>,
    /// When it began to be taken off.
    pub taken_off: Option<f64>,
    /// Votes to roll it back that routers have cast.
    pub roll_back_votes: usize,
}

/// A played day.
#[derive(Debug, PartialEq)]
pub struct Day {
    /// The name of its folder.
    pub name: String,
    /// By number.
    pub builds: BTreeMap<u64, Build>,
    /// The price of running behind the newest good build.
    pub behind: f64,
    /// Whether the bench saw every rule kept.
    pub rules_kept: bool,
}

impl Day {
    /// Reads a day's folder.
    ///
    /// # Errors
    ///
    /// Files that cannot be read, and a printed day that has no end.
    pub fn read(folder: &Path) -> Result<Self, DayError> {
        let path = folder.join(PRINTED_DAY);
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

    /// Parses what the bench printed; the error says what is missing.
    pub fn parse(printed: &str) -> Result<Self, &'static str> {
        let mut day = Day {
            name: String::new(),
            builds: BTreeMap::new(),
            behind: behind_price(printed).unwrap_or(0.0),
            rules_kept: !printed.contains("RULE BROKEN"),
        };
        for line in printed.lines() {
            day.take_line(line);
        }
        if !printed.lines().any(|line| line.starts_with("prices: ")) {
            return Err("tells no prices: the day did not end");
        }
        if day.builds.is_empty() {
            return Err("tells of no build");
        }
        Ok(day)
    }

    /// Takes a line of the form `12.50 s  stage 1 of build 8 begins (25% of all places)`, if it is of a build.
    fn take_line(&mut self, line: &str) -> Option<()> {
        let (at, event) = line.trim_start().split_once(" s  ")?;
        let at = at.parse().ok()?;
        let words: Vec<_> = event.split(' ').collect();
        match words[..] {
            ["stage", stage, "of", "build", build, "begins", ..] => {
                let stage = stage.parse().ok()?;
                self.build(build)?.stages.insert(stage, at);
            }
            ["build", build, "is", "out"] => self.build(build)?.released = Some(at),
            ["build", build, "is", "being", "taken", "off"] => {
                self.build(build)?.taken_off = Some(at);
            }
            _ => {}
        }
        Some(())
    }

    fn build(&mut self, number: &str) -> Option<&mut Build> {
        Some(self.builds.entry(number.parse().ok()?).or_default())
    }

    /// Counts the votes to roll back that one router's log tells of.
    pub fn count_votes(&mut self, log: &str) {
        for (_, rest) in log.lines().filter_map(log_lines::line) {
            let is_roll_back =
                rest.starts_with("vote cast") && log_lines::value(rest, "vote") == Some("RollBack");
            let number = log_lines::value(rest, "build").and_then(|text| text.parse().ok());
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

/// The price of `behind` among the prices; none where nothing was paid for it.
fn behind_price(printed: &str) -> Option<f64> {
    let prices = printed
        .lines()
        .find_map(|line| line.strip_prefix("prices: "))?;
    let price = prices
        .split(", ")
        .find_map(|price| price.strip_prefix("behind "))?;
    price.trim().parse().ok()
}

#[cfg(test)]
mod tests;
