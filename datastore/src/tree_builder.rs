//! A tree as it is being written down by somebody: text by text, with every fault kept and none hidden by
//! another.

use std::collections::BTreeMap;

use crate::tree::{HostName, Leaf, Path, Tree};
use crate::validation::{ValidationError, ValidationErrors};

/// What was read of one or several sources that belong together.
#[derive(Clone, Debug, Default)]
pub struct TreeBuilder {
    tree: Tree,
    errors: ValidationErrors,
    /// Where each leaf was said first.
    said: BTreeMap<Path, String>,
    places: BTreeMap<HostName, String>,
}

impl TreeBuilder {
    /// A host's own section begins here; naming one id twice is an error, of which either could be meant.
    pub fn begin_host(&mut self, place: &str, name: &str) -> Option<HostName> {
        let host: HostName = match name.parse() {
            Ok(host) => host,
            Err(why) => {
                let takes = "up to 128 letters, digits and . _ : -";
                self.error(ValidationError::new(
                    place,
                    format!("the host's name {why}"),
                    name,
                    takes,
                ));
                return None;
            }
        };
        if let Some(first) = self.places.insert(host.clone(), place.into()) {
            self.error(ValidationError::new(
                place,
                format!("{host} was named before, at {first}"),
                name,
                "each id once",
            ));
        }
        Some(host)
    }

    /// A leaf and its text; where it stands is for those who read what is wrong.
    pub fn set(&mut self, place: &str, path: Path, text: &str) {
        let leaf = path.leaf();
        match leaf.parse(text) {
            Ok(value) => {
                if let Some(first) = self.said.insert(path.clone(), place.into()) {
                    let what = format!("{path} was said before, at {first}");
                    return self.error(ValidationError::new(place, what, text, "each leaf once"));
                }
                if let Err(error) = self.tree.set(&path, Some(value)) {
                    self.error(ValidationError {
                        path: format!("{place}: {path}"),
                        ..error
                    });
                }
            }
            Err(why) => {
                self.error(ValidationError::new(
                    format!("{place}: {path}"),
                    why,
                    printable(text),
                    leaf.expected_format(),
                ));
            }
        }
    }

    /// A host's leaf by its name.
    pub fn set_host(&mut self, place: &str, host: &HostName, leaf: Leaf, text: &str) {
        self.set(place, Path::Host(host.clone(), leaf), text);
    }

    pub fn error(&mut self, error: ValidationError) {
        self.errors.push(error);
    }

    /// The tree, or everything that was wrong.
    pub fn finish(self) -> Result<Tree, ValidationErrors> {
        self.errors.into_result().map(|()| self.tree)
    }
}

/// A text as it may be shown: nobody's terminal or log is at the mercy of a file.
pub fn printable(text: &str) -> String {
    const MOST: usize = 80;
    let plain = |c: char| if c.is_control() { '\u{fffd}' } else { c };
    let mut short: String = text.chars().take(MOST).map(plain).collect();
    if text.chars().nth(MOST).is_some() {
        short.push_str("...");
    }
    short
}
