//! Common parts of the parsers: kinds of files, results, and errors with the file and line.

use std::str;

use kestreltide_datastore::{ValidationError, ValidationErrors};

use crate::read_file::Content;

/// The name of the section that ends a file.
pub(super) const END_SECTION: &str = "end";
/// The key of the generation, in the header and in the end section of a file.
pub(super) const GENERATION_KEY: &str = "generation";

/// The kind of content of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// `[host NAME]` with the leaves of each host, and `[guards]`.
    Hosts,
    /// `[weights]` and `[states]`, by the names of hosts.
    Weights,
    /// `[key NAME]` of each key, with its rights.
    Keys,
}

impl FileKind {
    /// Returns the key in the end section that holds the number of entries.
    pub(super) fn count_key(self) -> &'static str {
        match self {
            FileKind::Hosts => "hosts",
            FileKind::Weights => "entries",
            FileKind::Keys => "keys",
        }
    }
}

/// The result of parsing files.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed<V> {
    /// The files are complete, of one generation, and valid.
    Complete(V),
    /// Each file is complete, but their generations differ: one of them may not have been replaced yet.
    Mismatched(ValidationErrors),
    /// A file is not complete: it may still be being written.
    Incomplete(ValidationErrors),
    /// The files are complete but not valid.
    Invalid(ValidationErrors),
}

/// Why the content of a file is not text.
pub(super) enum TextError {
    /// The file cannot be read or is truncated, so it may still be being written.
    Incomplete(ValidationError),
    /// The file holds bytes that are not text.
    Invalid(ValidationError),
}

/// Collects the errors found in a file.
pub(super) struct FileErrors<'a> {
    /// The name of the file in errors.
    pub(super) location: &'a str,
    /// The errors found so far, in all files.
    pub(super) errors: &'a mut ValidationErrors,
}

impl FileErrors<'_> {
    /// Returns the file and line as they are shown in errors.
    pub(super) fn line(&self, line: usize) -> String {
        format!("{}:{line}", self.location)
    }

    pub(super) fn push(&mut self, error: ValidationError) {
        self.errors.push(error);
    }
}

/// Returns the text of a file; `location` names the file in errors.
pub(super) fn text_of<'a>(location: &str, content: &'a Content) -> Result<&'a str, TextError> {
    let bytes = content.as_ref().map_err(|reason| {
        let error = ValidationError::new(location, "cannot be read", reason, "a file of text");
        TextError::Incomplete(error)
    })?;
    str::from_utf8(bytes).map_err(|e| {
        let problem = format!("is not UTF-8 from byte {}", e.valid_up_to());
        let error = ValidationError::new(location, problem, "other bytes", "UTF-8");
        // Without an error length the last character is incomplete, which means that the file is truncated there.
        let is_truncated = e.error_len().is_none();
        if is_truncated {
            TextError::Incomplete(error)
        } else {
            TextError::Invalid(error)
        }
    })
}
