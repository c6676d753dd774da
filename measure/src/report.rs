//! The table and the last line that a measurement prints.

use std::fmt::{Display, Write};

/// A table, the last line, and the keys of the figures that are not as required.
pub struct Report {
    name: &'static str,
    line: String,
    short: Vec<String>,
}

impl Report {
    /// Prints the heading of the table of the measurement of this name.
    pub fn new(name: &'static str) -> Self {
        println!("{:<52} {:>14}  asked", "figure", "measured");
        Report {
            name,
            line: String::new(),
            short: vec![],
        }
    }

    /// Prints a figure of which nothing is required.
    pub fn record(&mut self, key: &str, what: &str, value: impl Display) {
        println!("{what:<52} {value:>14}  -");
        let _ = write!(self.line, " {key}={value}");
    }

    /// Prints a figure, what is required of it, and whether that holds.
    pub fn check(
        &mut self,
        key: &str,
        what: &str,
        value: impl Display,
        required: &str,
        holds: bool,
    ) {
        println!(
            "{what:<52} {value:>14}  {required}{}",
            if holds { "" } else { "   SHORT" }
        );
        let _ = write!(self.line, " {key}={value}");
        if !holds {
            self.short.push(key.into());
        }
    }

    /// Prints a count that must be 0.
    pub fn check_none(&mut self, key: &str, what: &str, count: u64) {
        self.check(key, what, count, "0", count == 0);
    }

    /// Prints a figure that may be at most this.
    pub fn check_at_most(&mut self, key: &str, what: &str, value: f64, maximum: f64) {
        self.check(
            key,
            what,
            format!("{value:.2}"),
            &format!("at most {maximum}"),
            value <= maximum,
        );
    }

    /// Prints the last line; whether all figures are as required.
    pub fn end(self) -> bool {
        let verdict = if self.short.is_empty() {
            "ok".into()
        } else {
            format!("short: {}", self.short.join(","))
        };
        println!("{}:{} {verdict}", self.name, self.line);
        self.short.is_empty()
    }
}
