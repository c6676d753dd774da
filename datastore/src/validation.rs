//! Validation errors, in the form that every management interface shows:
//! `PATH: problem (given: what was found; taken: what would be accepted; the rule)`.

use std::error::Error;
use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of errors that are kept of one candidate; further errors are only counted.
pub const MAX_KEPT_ERRORS: usize = 100;

/// The five rules of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// Rule 1: each request gets exactly one final answer, in time.
    OneAnswer,
    /// Rule 2: no request takes effect twice.
    NoEffectTwice,
    /// Rule 3: drained hosts get no new requests.
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
            Rule::WarmUpRespected => "rule 4, no warming host is overloaded",
            Rule::ExposureCapped => "rule 5, exposure within the cap",
        })
    }
}

/// A validation error.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Where the error is: the path of a leaf, or a file and line.
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
    /// The rule that would be broken, if there is one.
    pub rule: Option<Rule>,
    /// When the same input may be accepted, in Unix seconds; `None` if waiting does not help.
    #[serde(rename = "passes_at")]
    pub retry_at: Option<f64>,
}

impl ValidationError {
    /// Creates an error that breaks no rule and that waiting does not resolve.
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

    /// Adds the time when the same input may be accepted, in Unix seconds.
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

/// All errors of an input, of which the first [`MAX_KEPT_ERRORS`] are kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ValidationErrors {
    /// The errors that are kept.
    pub first: Vec<ValidationError>,
    /// The number of errors that are not kept.
    pub more: usize,
    /// Whether waiting may resolve each of the errors, kept or not.
    #[serde(rename = "all_pass")]
    all_retryable: bool,
}

impl ValidationErrors {
    /// Adds an error, or only counts it if [`MAX_KEPT_ERRORS`] are kept already.
    pub fn push(&mut self, error: ValidationError) {
        self.all_retryable = (self.is_empty() || self.all_retryable) && error.retry_at.is_some();
        if self.first.len() < MAX_KEPT_ERRORS {
            self.first.push(error);
        } else {
            self.more += 1;
        }
    }

    /// Returns whether there are no errors.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// Returns when the same input may be accepted, in Unix seconds; `None` if waiting does not resolve every error.
    pub fn retry_at(&self) -> Option<f64> {
        let times = self.first.iter().filter_map(|error| error.retry_at);
        self.all_retryable.then(|| times.fold(f64::MIN, f64::max))
    }

    /// Converts to a result that is `Ok` if there are no errors.
    ///
    /// # Errors
    ///
    /// Returns `self` if there are errors.
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
    /// Writes one line per error.
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
