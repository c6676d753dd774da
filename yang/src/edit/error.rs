//! Errors of reading and applying edits.

use std::fmt;

use kestreltide_datastore::ValidationError;
use thiserror::Error;

use crate::data::InstancePath;

/// The `error-tag` of an error (RFC 6241, appendix A).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorTag {
    /// `unknown-element`.
    UnknownElement,
    /// `unknown-namespace`.
    UnknownNamespace,
    /// `unknown-attribute`.
    UnknownAttribute,
    /// `bad-attribute`.
    BadAttribute,
    /// `missing-element`.
    MissingElement,
    /// `invalid-value`.
    InvalidValue,
    /// `data-exists`.
    DataExists,
    /// `data-missing`.
    DataMissing,
    /// `operation-not-supported`.
    OperationNotSupported,
}

impl fmt::Display for ErrorTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ErrorTag::UnknownElement => "unknown-element",
            ErrorTag::UnknownNamespace => "unknown-namespace",
            ErrorTag::UnknownAttribute => "unknown-attribute",
            ErrorTag::BadAttribute => "bad-attribute",
            ErrorTag::MissingElement => "missing-element",
            ErrorTag::InvalidValue => "invalid-value",
            ErrorTag::DataExists => "data-exists",
            ErrorTag::DataMissing => "data-missing",
            ErrorTag::OperationNotSupported => "operation-not-supported",
        })
    }
}

/// Why an edit is invalid or cannot be applied.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{validation}")]
pub struct EditError {
    /// The error tag.
    pub tag: ErrorTag,
    /// The name of the invalid element or attribute, for the `error-info` of the tags that require it.
    pub subject: String,
    /// The path of the instance that the error concerns.
    pub path: InstancePath,
    /// The problem, with the value found and the values expected.
    pub validation: ValidationError,
}

impl EditError {
    pub(super) fn new(
        tag: ErrorTag,
        subject: &str,
        path: &InstancePath,
        problem: impl fmt::Display,
        found: impl fmt::Display,
        expected: impl fmt::Display,
    ) -> Self {
        EditError {
            tag,
            subject: subject.into(),
            path: path.clone(),
            validation: ValidationError::new(path, problem, found, expected),
        }
    }
}
