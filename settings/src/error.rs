//! Why settings are refused.

use thiserror::Error;

/// A value of the settings that is missing or cannot be used.
///
/// Its text begins with the path of the value and ends with the value that was found, if there was one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{path}: {problem}{}", found_suffix(.found))]
pub struct SettingsError {
    /// The name of the group of fields and the key in it, joined by a dot.
    pub path: String,
    /// What is wrong with the value.
    pub problem: SettingsProblem,
    /// The value as it was written; none where it is missing or empty.
    pub found: Option<String>,
}

/// What is wrong with a value of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsProblem {
    /// There is no such value, or it is empty.
    #[error("is missing")]
    Missing,
    /// None of the words that are known at this place.
    #[error("is none of {}", .expected.join(", "))]
    UnknownWord {
        /// The words that are.
        expected: Vec<String>,
    },
    /// No integer of the type that is wanted.
    #[error("is no whole number, or beyond all sense")]
    NotAnInteger,
    /// No number.
    #[error("is no number")]
    NotANumber,
    /// An element of a list is no number.
    #[error("is no list of numbers")]
    NotANumberList,
    /// A number outside of its range.
    #[error("is not within {minimum} and {maximum}")]
    OutOfRange {
        /// The least value, as text.
        minimum: String,
        /// The greatest value, as text.
        maximum: String,
    },
    /// A time outside of its range.
    #[error("is not within {minimum_micros} and {maximum_micros} microseconds")]
    TimeOutOfRange {
        /// The least value in microseconds, as text.
        minimum_micros: String,
        /// The greatest value in microseconds, as text.
        maximum_micros: String,
    },
    /// An earlier object of the list has the same name.
    #[error("stands at {first} already")]
    DuplicateName {
        /// The path of the first one.
        first: String,
    },
    /// The two lists of a rollout's stages are not of one length.
    #[error("has {caps} stages, extra.rings {shares}")]
    StageCountMismatch {
        /// Stages that have a cap of the share.
        caps: usize,
        /// Stages that have a share of routers.
        shares: usize,
    },
}

fn found_suffix(found: &Option<String>) -> String {
    found
        .as_ref()
        .map_or_else(String::new, |found| format!(" ({found} was given)"))
}
