//! What the parsers of all files share: kinds of file, results, and errors with their places.

use std::str;

use kestreltide_datastore::{ValidationError, ValidationErrors};

use crate::read_file::Content;

/// The name of the section that ends a file.
pub(super) const END_SECTION: &str = "end";
/// The key of the generation, at the head and at the end of a file.
pub(super) const GENERATION_KEY: &str = "generation";

/// What a file holds.
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
    /// The key at the end of a file that counts its entries.
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
    /// The files are complete, belong together and are valid.
    Complete(V),
    /// Each file is complete, but they do not belong together: one may still be written.
    Mismatched(ValidationErrors),
    /// A file is not complete: it may still be written.
    Incomplete(ValidationErrors),
    /// The files are complete and not valid.
    Invalid(ValidationErrors),
}

/// Why a file has no text.
pub(super) enum TextError {
    /// It may still be written.
    Incomplete(ValidationError),
    /// It holds something else.
    Invalid(ValidationError),
}

/// The place of a file, as it is shown, and the errors found in it.
pub(super) struct FileErrors<'a> {
    pub(super) place: &'a str,
    pub(super) errors: &'a mut ValidationErrors,
}

impl FileErrors<'_> {
    /// A line of the file, as it is shown.
    pub(super) fn line(&self, line: usize) -> String {
        format!("{}:{line}", self.place)
    }

    pub(super) fn push(&mut self, error: ValidationError) {
        self.errors.push(error);
    }
}

/// The text of a file.
pub(super) fn text_of<'a>(place: &str, content: &'a Content) -> Result<&'a str, TextError> {
    let bytes = content.as_ref().map_err(|why| {
        let error = ValidationError::new(place, "cannot be read", why, "a file of text");
        TextError::Incomplete(error)
    })?;
    str::from_utf8(bytes).map_err(|e| {
        let problem = format!("is not UTF-8 from byte {}", e.valid_up_to());
        let error = ValidationError::new(place, problem, "other bytes", "UTF-8");
        // A character that is cut at the end is a file that is cut there.
        let is_cut = e.error_len().is_none();
        if is_cut {
            TextError::Incomplete(error)
        } else {
            TextError::Invalid(error)
        }
    })
}
