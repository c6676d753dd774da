//! Builds a tree leaf by leaf from text, and collects the errors.

use std::collections::BTreeMap;

use crate::tree::{HostName, Leaf, Path, Tree};
use crate::validation::{ValidationError, ValidationErrors};

/// The number of characters after which a printed text is truncated.
const MAX_PRINTED_CHARS: usize = 80;
/// The character that is printed in place of a control character.
const CONTROL_CHARACTER_REPLACEMENT: char = '\u{fffd}';

/// The tree that one or several sources make up together, and the errors found in them.
#[derive(Clone, Debug, Default)]
pub struct TreeBuilder {
    tree: Tree,
    errors: ValidationErrors,
    /// Where each leaf was set first, for error texts.
    leaf_locations: BTreeMap<Path, String>,
    /// Where the section of each host was found first, for error texts.
    host_locations: BTreeMap<HostName, String>,
}

impl TreeBuilder {
    /// Begins the section of a host; `None` if its name is not valid. A second section of the same name is an error, as
    /// it is not clear which one is meant.
    pub fn begin_host(&mut self, location: &str, name: &str) -> Option<HostName> {
        let host: HostName = match name.parse() {
            Ok(host) => host,
            Err(reason) => {
                self.push_error(ValidationError::new(
                    location,
                    format!("the host's name {reason}"),
                    name,
                    "up to 128 letters, digits and . _ : -",
                ));
                return None;
            }
        };
        if let Some(first) = self.host_locations.insert(host.clone(), location.into()) {
            self.push_error(ValidationError::new(
                location,
                format!("{host} was named before, at {first}"),
                name,
                "each id once",
            ));
        }
        Some(host)
    }

    /// Sets a leaf from text; `location` is the file and line of the text, for error texts.
    pub fn set(&mut self, location: &str, path: Path, text: &str) {
        let leaf = path.leaf();
        let value = match leaf.parse(text) {
            Ok(value) => value,
            Err(reason) => {
                return self.push_error(ValidationError::new(
                    format!("{location}: {path}"),
                    reason,
                    printable(text),
                    leaf.expected_format(),
                ));
            }
        };
        if let Some(first) = self.leaf_locations.insert(path.clone(), location.into()) {
            return self.push_error(ValidationError::new(
                location,
                format!("{path} was said before, at {first}"),
                text,
                "each leaf once",
            ));
        }
        if let Err(error) = self.tree.set(&path, Some(value)) {
            self.push_error(ValidationError {
                path: format!("{location}: {path}"),
                ..error
            });
        }
    }

    /// Sets a leaf of a host from text.
    pub fn set_host(&mut self, location: &str, host: &HostName, leaf: Leaf, text: &str) {
        self.set(location, Path::Host(host.clone(), leaf), text);
    }

    fn push_error(&mut self, error: ValidationError) {
        self.errors.push(error);
    }

    /// Returns the tree.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
    pub fn finish(self) -> Result<Tree, ValidationErrors> {
        self.errors.into_result().map(|()| self.tree)
    }
}

/// Returns a text in a form that is safe to print: truncated to a maximum length, and without control characters, which a terminal or a log
/// viewer would execute.
pub fn printable(text: &str) -> String {
    let replace_control = |c: char| {
        if c.is_control() {
            CONTROL_CHARACTER_REPLACEMENT
        } else {
            c
        }
    };
    let mut printed: String = text
        .chars()
        .take(MAX_PRINTED_CHARS)
        .map(replace_control)
        .collect();
    if text.chars().nth(MAX_PRINTED_CHARS).is_some() {
        printed.push_str("...");
    }
    printed
}
