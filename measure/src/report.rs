//! What a measurement prints.

use std::fmt::{Display, Write};

/// A table, a line of figures, and what fell short of what was asked.
pub struct Report {
    name: &'static str,
    line: String,
    short: Vec<String>,
}

impl Report {
    pub fn new(name: &'static str) -> Self {
        println!("{:<52} {:>14}  asked", "figure", "measured");
        Report {
            name,
            line: String::new(),
            short: vec![],
        }
    }

    /// A figure that nothing is asked of.
    pub fn record(&mut self, key: &str, what: &str, value: impl Display) {
        println!("{what:<52} {value:>14}  -");
        let _ = write!(self.line, " {key}={value}");
    }

    /// A figure, and whether it is as asked.
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

    /// A count of what must never happen.
    pub fn check_none(&mut self, key: &str, what: &str, count: u64) {
        self.check(key, what, count, "0", count == 0);
    }

    pub fn check_at_most(&mut self, key: &str, what: &str, value: f64, maximum: f64) {
        self.check(
            key,
            what,
            format!("{value:.2}"),
            &format!("at most {maximum}"),
            value <= maximum,
        );
    }

    /// Prints the last line; whether all was as asked.
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
