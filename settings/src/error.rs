//! Why settings are rejected.

use thiserror::Error;

/// A value of the settings that is missing or invalid.
///
/// The message begins with the path of the value and ends with the value that was found, if there was one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {problem}{}", found_suffix(.found))]
pub struct SettingsError {
    /// The name of the object and the key in it, joined by a dot.
    pub path: String,
    /// What is wrong with the value.
    pub problem: SettingsProblem,
    /// The value as it was written; `None` if it is missing or empty.
    pub found: Option<String>,
}

/// What is wrong with a value of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsProblem {
    /// The value is missing or empty.
    #[error("is missing")]
    Missing,
    /// The value is none of the words that the key accepts.
    #[error("is none of {}", .expected.join(", "))]
    UnknownWord {
        /// The accepted words.
        expected: Vec<String>,
    },
    /// The value is not an integer, or doesn't fit the required type.
    #[error("is no whole number, or beyond all sense")]
    NotAnInteger,
    /// The value is not a number.
    #[error("is no number")]
    NotANumber,
    /// An element of the list is not a number.
    #[error("is no list of numbers")]
    NotANumberList,
    /// The number is out of range.
    #[error("is not within {minimum} and {maximum}")]
    OutOfRange {
        /// The lowest accepted value, as text.
        minimum: String,
        /// The highest accepted value, as text.
        maximum: String,
    },
    /// The time is out of range.
    #[error("is not within {minimum_micros} and {maximum_micros} microseconds")]
    TimeOutOfRange {
        /// The lowest accepted value in microseconds, as text.
        minimum_micros: String,
        /// The highest accepted value in microseconds, as text.
        maximum_micros: String,
    },
    /// An earlier object of the list has the same name.
    #[error("stands at {first} already")]
    DuplicateName {
        /// The path of the earlier object's name.
        first: String,
    },
    /// The lists of the stages' shares and caps differ in length.
    #[error("has {caps} stages, extra.rings {shares}")]
    StageCountMismatch {
        /// The number of stages with a cap on the canary's share of the requests.
        caps: usize,
        /// The number of stages with a share of the machines.
        shares: usize,
    },
}

fn found_suffix(found: &Option<String>) -> String {
    found
        .as_ref()
        .map_or_else(String::new, |found| format!(" ({found} was given)"))
}
