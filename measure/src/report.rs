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
    pub fn tell(&mut self, key: &str, what: &str, value: impl Display) {
        println!("{what:<52} {value:>14}  -");
        let _ = write!(self.line, " {key}={value}");
    }

    /// A figure, and whether it is as asked.
    pub fn ask(&mut self, key: &str, what: &str, value: impl Display, asked: &str, holds: bool) {
        println!(
            "{what:<52} {value:>14}  {asked}{}",
            if holds { "" } else { "   SHORT" }
        );
        let _ = write!(self.line, " {key}={value}");
        if !holds {
            self.short.push(key.into());
        }
    }

    /// A count of what must never happen.
    pub fn never(&mut self, key: &str, what: &str, count: u64) {
        self.ask(key, what, count, "0", count == 0);
    }

    pub fn most(&mut self, key: &str, what: &str, value: f64, most: f64) {
        self.ask(
            key,
            what,
            format!("{value:.2}"),
            &format!("at most {most}"),
            value <= most,
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
