//! Why something is not accepted, in the one form that every management interface shows:
//! `PATH: problem (given: what was found; taken: what would be accepted; the rule)`.

use std::error::Error;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Errors that are kept of one candidate; of any more only the count is.
pub const MAX_KEPT_ERRORS: usize = 100;

/// The five rules of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// Rule 1: each request has one final answer in time.
    OneAnswer,
    /// Rule 2: no request takes effect twice.
    NoEffectTwice,
    /// Rule 3: drained hosts get nothing new.
    DrainsKept,
    /// Rule 4: a host that is warming up is not overloaded.
    #[serde(rename = "ColdHostsCarried")]
    WarmUpRespected,
    /// Rule 5: the canary's share stays within its cap.
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
    /// Where: a leaf's path, or the place in a file.
    pub path: String,
    /// What is wrong.
    #[serde(rename = "what")]
    pub problem: String,
    /// The value that was found.
    #[serde(rename = "given")]
    pub found: String,
    /// What would be accepted.
    #[serde(rename = "taken")]
    pub expected: String,
    /// The rule that would be broken, where one would.
    pub rule: Option<Rule>,
    /// When the same may be accepted, in Unix seconds; `None`: never.
    #[serde(rename = "passes_at")]
    pub retry_at: Option<f64>,
}

impl ValidationError {
    /// An error that no rule is behind and that waiting does not mend.
    pub fn new(
        path: impl fmt::Display,
        problem: impl fmt::Display,
        found: impl fmt::Display,
        expected: impl fmt::Display,
    ) -> Self {
        ValidationError {
            path: path.to_string(),
            problem: problem.to_string(),
            found: found.to_string(),
            expected: expected.to_string(),
            rule: None,
            retry_at: None,
        }
    }

    /// Adds the rule that would be broken.
    pub fn with_rule(self, rule: Rule) -> Self {
        ValidationError {
            rule: Some(rule),
            ..self
        }
    }

    /// Adds when the same may be accepted, in Unix seconds.
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
        if let Some(rule) = &self.rule {
            write!(f, "; {rule}")?;
        }
        f.write_str(")")
    }
}

impl Error for ValidationError {}

/// All that is wrong, of which the first [`MAX_KEPT_ERRORS`] are kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ValidationErrors {
    /// The errors that are kept.
    pub first: Vec<ValidationError>,
    /// How many more there were.
    pub more: usize,
    /// Whether each of them, kept or not, may be accepted later.
    #[serde(rename = "all_pass")]
    all_retryable: bool,
}

impl ValidationErrors {
    /// Adds an error, or counts it where enough are kept.
    pub fn push(&mut self, error: ValidationError) {
        self.all_retryable = (self.is_empty() || self.all_retryable) && error.retry_at.is_some();
        if self.first.len() < MAX_KEPT_ERRORS {
            self.first.push(error);
        } else {
            self.more += 1;
        }
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// When all of it may be accepted, in Unix seconds; `None` where something never will.
    pub fn retry_at(&self) -> Option<f64> {
        let times = self.first.iter().filter_map(|error| error.retry_at);
        self.all_retryable.then(|| times.fold(f64::MIN, f64::max))
    }

    /// Nothing where nothing is wrong.
    ///
    /// # Errors
    ///
    /// Itself where something is wrong.
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
        for (position, error) in self.first.iter().enumerate() {
            let separator = if position == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        if self.more > 0 {
            write!(f, "\nand {} more", self.more)
        } else {
            Ok(())
        }
    }
}

impl Error for ValidationErrors {}
