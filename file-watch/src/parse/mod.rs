//! What operators' files give.
//!
//! Every file names its generation at its head and again at its end, with the count of what it holds: a file that was
//! cut, or is being overwritten, is recognized by its ends. Files that belong together are one version where they name
//! the same generation.

mod configuration;
mod frame;
mod keys;

use std::str;

use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{Tree, TreeBuilder, ValidationError, ValidationErrors};

use self::frame::Generation;
pub use self::keys::parse_keys;
use crate::read_file::Content;

/// The name of the section that ends a file.
const END_SECTION: &str = "end";
/// The key of the generation, at the head and at the end of a file.
const GENERATION_KEY: &str = "generation";

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
    fn count_key(self) -> &'static str {
        match self {
            FileKind::Hosts => "hosts",
            FileKind::Weights => "entries",
            FileKind::Keys => "keys",
        }
    }
}

/// What all files together give.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// The generation that all files name.
    pub generation: String,
    /// The hosts and guards that they set.
    pub tree: Tree,
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
enum TextError {
    /// It may still be written.
    Incomplete(ValidationError),
    /// It holds something else.
    Invalid(ValidationError),
}

/// The place of a file, as it is shown, and the errors found in it.
struct FileErrors<'a> {
    place: &'a str,
    errors: &'a mut ValidationErrors,
}

impl FileErrors<'_> {
    /// A line of the file, as it is shown.
    fn line(&self, line: usize) -> String {
        format!("{}:{line}", self.place)
    }

    fn push(&mut self, error: ValidationError) {
        self.errors.push(error);
    }
}

/// What these files give together; each with the place by which it is shown.
pub fn parse_version(files: &[(FileKind, &str, &Content)]) -> Parsed<Version> {
    let mut tree = TreeBuilder::default();
    let mut incomplete = ValidationErrors::default();
    let mut invalid = ValidationErrors::default();
    let mut generations: Vec<(&str, String)> = vec![];
    for (kind, place, content) in files {
        let text = match text_of(place, content) {
            Ok(text) => text,
            Err(TextError::Incomplete(error)) => {
                incomplete.push(error);
                continue;
            }
            Err(TextError::Invalid(error)) => {
                invalid.push(error);
                continue;
            }
        };
        let mut errors = FileErrors {
            place,
            errors: &mut invalid,
        };
        match configuration::parse_file(*kind, text, &mut tree, &mut errors) {
            Ok(Generation(generation)) => {
                generations.extend(generation.map(|generation| (*place, generation)));
            }
            Err(error) => incomplete.push(error),
        }
    }
    if !incomplete.is_empty() {
        return Parsed::Incomplete(incomplete);
    }
    let tree = tree.finish();
    if let Err(errors) = &tree {
        invalid.extend(errors.first.iter().cloned());
        invalid.more += errors.more;
    }
    let Some((_, generation)) = generations.first().cloned() else {
        return Parsed::Invalid(invalid);
    };
    if let Some(error) = other_generation(&generations) {
        return Parsed::Mismatched(error.into());
    }
    match tree {
        Ok(tree) if invalid.is_empty() => Parsed::Complete(Version { generation, tree }),
        _ => Parsed::Invalid(invalid),
    }
}

/// The error of the first file that is of another generation than the first one.
fn other_generation(generations: &[(&str, String)]) -> Option<ValidationError> {
    let (first_place, first) = generations.first()?;
    let (place, other) = generations.iter().find(|(_, other)| other != first)?;
    Some(ValidationError::new(
        format!("{place}: generation"),
        format!(
            "is of another generation than {first_place}, which names {}",
            printable(first)
        ),
        printable(other),
        "one generation for all files",
    ))
}

/// The text of a file.
fn text_of<'a>(place: &str, content: &'a Content) -> Result<&'a str, TextError> {
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
