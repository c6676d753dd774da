//! Why something is not taken, in the one form that every front shows:
//! `PATH: what is wrong (what was given; what would be taken)`.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The five rules of the service, as operators know them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    OneAnswer,
    NoEffectTwice,
    DrainsKept,
    ColdHostsCarried,
    ExposureCapped,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "rule 1, one final answer in time",
            Rule::NoEffectTwice => "rule 2, no effect twice",
            Rule::DrainsKept => "rule 3, drains are kept",
            Rule::ColdHostsCarried => "rule 4, no cold host is pushed over",
            Rule::ExposureCapped => "rule 5, exposure within the cap",
        })
    }
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Where: a leaf, or the place in a file.
    pub path: String,
    pub what: String,
    pub given: String,
    pub taken: String,
    /// The rule that is why, where one is.
    pub rule: Option<Rule>,
    /// When it may have passed by itself, in Unix seconds; `None`: never.
    pub passes_at: Option<f64>,
}

impl Fault {
    pub fn new(
        path: impl fmt::Display,
        what: impl Into<String>,
        given: impl fmt::Display,
        taken: impl fmt::Display,
    ) -> Self {
        Fault {
            path: path.to_string(),
            what: what.into(),
            given: given.to_string(),
            taken: taken.to_string(),
            rule: None,
            passes_at: None,
        }
    }

    pub fn by(self, rule: Rule) -> Self {
        Fault {
            rule: Some(rule),
            ..self
        }
    }

    pub fn passing(self, at: f64) -> Self {
        Fault {
            passes_at: Some(at),
            ..self
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} (given: {}; taken: {}",
            self.path, self.what, self.given, self.taken
        )?;
        self.rule
            .iter()
            .try_for_each(|rule| write!(f, "; {rule}"))?;
        f.write_str(")")
    }
}

/// All that is wrong, of which so many are kept: a list of nothing but faults is no reason for a long log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    pub first: Vec<Fault>,
    /// How many more there were.
    pub more: usize,
    /// Whether each of them, kept or not, may pass by itself.
    all_pass: bool,
}

/// Faults that are kept of one candidate.
pub const KEPT: usize = 100;

impl Faults {
    pub fn push(&mut self, fault: Fault) {
        self.all_pass = (self.is_empty() || self.all_pass) && fault.passes_at.is_some();
        if self.first.len() < KEPT {
            self.first.push(fault)
        } else {
            self.more += 1
        }
    }

    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// When all of it may have passed by itself; `None` where something never will.
    pub fn pass_at(&self) -> Option<f64> {
        let times = self.first.iter().filter_map(|fault| fault.passes_at);
        self.all_pass.then(|| times.fold(f64::MIN, f64::max))
    }

    pub fn into_result(self) -> Result<(), Faults> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        let mut faults = Faults::default();
        faults.push(fault);
        faults
    }
}

impl Extend<Fault> for Faults {
    fn extend<I: IntoIterator<Item = Fault>>(&mut self, faults: I) {
        faults.into_iter().for_each(|fault| self.push(fault));
    }
}

impl fmt::Display for Faults {
    /// A line each.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, fault) in self.first.iter().enumerate() {
            write!(f, "{}{fault}", if place == 0 { "" } else { "\n" })?;
        }
        if self.more > 0 {
            write!(f, "\nand {} more", self.more)
        } else {
            Ok(())
        }
    }
}
