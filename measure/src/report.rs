//! Prints the table and the last line of a measurement.

use std::fmt::{Display, Write};

/// Prints each figure as a row of the table when it is added, and collects the last line.
pub struct Report {
    name: &'static str,
    /// The `key=value` pairs of the last line.
    last_line: String,
    /// The keys of the figures that miss their requirement.
    missed_keys: Vec<String>,
}

impl Report {
    /// Starts the report of the measurement `name` and prints the heading of its table.
    pub fn new(name: &'static str) -> Self {
        println!("{:<52} {:>14}  required", "figure", "measured");
        Report {
            name,
            last_line: String::new(),
            missed_keys: vec![],
        }
    }

    /// Prints a figure without a requirement.
    pub fn record(&mut self, key: &str, description: &str, value: impl Display) {
        println!("{description:<52} {value:>14}  -");
        let _ = write!(self.last_line, " {key}={value}");
    }

    /// Prints a figure, its requirement as text, and `SHORT` where it does not hold.
    pub fn check(
        &mut self,
        key: &str,
        description: &str,
        value: impl Display,
        required: &str,
        holds: bool,
    ) {
        println!(
            "{description:<52} {value:>14}  {required}{}",
            if holds { "" } else { "   SHORT" }
        );
        let _ = write!(self.last_line, " {key}={value}");
        if !holds {
            self.missed_keys.push(key.into());
        }
    }

    /// Prints a count that must be 0.
    pub fn check_none(&mut self, key: &str, description: &str, count: u64) {
        self.check(key, description, count, "0", count == 0);
    }

    /// Prints a figure that must be at most `maximum`.
    pub fn check_at_most(&mut self, key: &str, description: &str, value: f64, maximum: f64) {
        self.check(
            key,
            description,
            format!("{value:.2}"),
            &format!("at most {maximum}"),
            value <= maximum,
        );
    }

    /// Prints the last line; returns whether all figures meet their requirements.
    pub fn end(self) -> bool {
        let verdict = if self.missed_keys.is_empty() {
            "ok".into()
        } else {
            format!("short: {}", self.missed_keys.join(","))
        };
        println!("{}:{} {verdict}", self.name, self.last_line);
        self.missed_keys.is_empty()
    }
}
