//! Parses the files of operators.
//!
//! Every file has a frame: a header, which names its generation, and an end section, which names the generation again and
//! holds the number of entries. A file that is truncated or being overwritten is recognized by its frame. Several files
//! make up one version if they name the same generation.

mod configuration;
mod file;
mod frame;
mod keys;

use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{Tree, TreeBuilder, ValidationError, ValidationErrors};

pub use self::file::{FileKind, Parsed};
pub use self::keys::parse_keys;

use self::file::{FileErrors, TextError, text_of};
use self::frame::Generation;
use crate::read_file::Content;

/// The version that all files make up together.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// The generation that all files name.
    pub generation: String,
    /// The hosts that the files set, and the guards: limits on what a single revision may change.
    pub tree: Tree,
}

/// Parses files that make up a version together. Each has a kind, a name for errors, and its content.
///
/// If files have several kinds of errors, only one kind is reported: first incomplete files, since the other errors may
/// disappear once they are written completely; then different generations, since the files are not one version; then
/// invalid content.
pub fn parse_version(files: &[(FileKind, &str, &Content)]) -> Parsed<Version> {
    let mut tree = TreeBuilder::default();
    let mut incomplete = ValidationErrors::default();
    let mut invalid = ValidationErrors::default();
    let mut generations: Vec<(&str, String)> = vec![];
    for (kind, location, content) in files {
        let text = match text_of(location, content) {
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
            location,
            errors: &mut invalid,
        };
        match configuration::parse_file(*kind, text, &mut tree, &mut errors) {
            Ok(Generation(generation)) => {
                generations.extend(generation.map(|generation| (*location, generation)));
            }
            Err(error) => incomplete.push(error),
        }
    }
    if !incomplete.is_empty() {
        return Parsed::Incomplete(incomplete);
    }
    let tree = tree.finish();
    if let Err(errors) = &tree {
        // `first` are the errors that are kept, and `more` the number of further errors.
        invalid.extend(errors.first.iter().cloned());
        invalid.more += errors.more;
    }
    // There is none only if no file is text, which is reported in `invalid`.
    let Some((_, generation)) = generations.first().cloned() else {
        return Parsed::Invalid(invalid);
    };
    if let Some(error) = generation_mismatch_error(&generations) {
        return Parsed::Mismatched(error.into());
    }
    match tree {
        Ok(tree) if invalid.is_empty() => Parsed::Complete(Version { generation, tree }),
        _ => Parsed::Invalid(invalid),
    }
}

/// Returns an error for the first file whose generation differs from that of the first one.
fn generation_mismatch_error(generations: &[(&str, String)]) -> Option<ValidationError> {
    let (first_location, first) = generations.first()?;
    let (location, other) = generations.iter().find(|(_, other)| other != first)?;
    Some(ValidationError::new(
        format!("{location}: generation"),
        format!(
            "is of another generation than {first_location}, which names {}",
            printable(first)
        ),
        printable(other),
        "one generation for all files",
    ))
}
