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
    #[serde(rename = "ColdHostsCarried")]
    WarmUpRespected,
    ExposureCapped,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "rule 1, one final answer in time",
            Rule::NoEffectTwice => "rule 2, no effect twice",
            Rule::DrainsKept => "rule 3, drains are kept",
            Rule::WarmUpRespected => "rule 4, no cold host is pushed over",
            Rule::ExposureCapped => "rule 5, exposure within the cap",
        })
    }
}

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Where: a leaf, or the place in a file.
    pub path: String,
    #[serde(rename = "what")]
    pub problem: String,
    #[serde(rename = "given")]
    pub found: String,
    #[serde(rename = "taken")]
    pub expected: String,
    /// The rule that is why, where one is.
    pub rule: Option<Rule>,
    /// When it may have passed by itself, in Unix seconds; `None`: never.
    #[serde(rename = "passes_at")]
    pub retry_at: Option<f64>,
}

impl ValidationError {
    pub fn new(
        path: impl fmt::Display,
        problem: impl Into<String>,
        found: impl fmt::Display,
        expected: impl fmt::Display,
    ) -> Self {
        ValidationError {
            path: path.to_string(),
            problem: problem.into(),
            found: found.to_string(),
            expected: expected.to_string(),
            rule: None,
            retry_at: None,
        }
    }

    pub fn with_rule(self, rule: Rule) -> Self {
        ValidationError {
            rule: Some(rule),
            ..self
        }
    }

    pub fn with_retry_at(self, at: f64) -> Self {
        ValidationError {
            retry_at: Some(at),
            ..self
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} (given: {}; taken: {}",
            self.path, self.problem, self.found, self.expected
        )?;
        self.rule
            .iter()
            .try_for_each(|rule| write!(f, "; {rule}"))?;
        f.write_str(")")
    }
}

/// All that is wrong, of which so many are kept: a list of nothing but faults is no reason for a long log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ValidationErrors {
    pub first: Vec<ValidationError>,
    /// How many more there were.
    pub more: usize,
    /// Whether each of them, kept or not, may pass by itself.
    #[serde(rename = "all_pass")]
    all_retryable: bool,
}

/// Faults that are kept of one candidate.
pub const MAX_KEPT_ERRORS: usize = 100;

impl ValidationErrors {
    pub fn push(&mut self, error: ValidationError) {
        self.all_retryable = (self.is_empty() || self.all_retryable) && error.retry_at.is_some();
        if self.first.len() < MAX_KEPT_ERRORS {
            self.first.push(error)
        } else {
            self.more += 1
        }
    }

    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// When all of it may have passed by itself; `None` where something never will.
    pub fn retry_at(&self) -> Option<f64> {
        let times = self.first.iter().filter_map(|error| error.retry_at);
        self.all_retryable.then(|| times.fold(f64::MIN, f64::max))
    }

    pub fn into_result(self) -> Result<(), ValidationErrors> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl From<ValidationError> for ValidationErrors {
    fn from(error: ValidationError) -> Self {
        let mut errors = ValidationErrors::default();
        errors.push(error);
        errors
    }
}

impl Extend<ValidationError> for ValidationErrors {
    fn extend<I: IntoIterator<Item = ValidationError>>(&mut self, errors: I) {
        errors.into_iter().for_each(|error| self.push(error));
    }
}

impl fmt::Display for ValidationErrors {
    /// A line each.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, error) in self.first.iter().enumerate() {
            write!(f, "{}{error}", if place == 0 { "" } else { "\n" })?;
        }
        if self.more > 0 {
            write!(f, "\nand {} more", self.more)
        } else {
            Ok(())
        }
    }
}
