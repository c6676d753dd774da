//! The differences between two trees, leaf by leaf.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::leaf::{Container, Leaf};
use super::path::Path;
use super::value::Value;

/// A leaf that differs between two trees.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The path of the leaf.
    pub path: Path,
    /// The value in the old tree; `None` if not set.
    pub old: Option<Value>,
    /// The value in the new tree; `None` if not set.
    pub new: Option<Value>,
}

impl Difference {
    /// Returns the old value as text.
    pub fn old_text(&self) -> String {
        text_of(&self.old)
    }

    /// Returns the new value as text.
    pub fn new_text(&self) -> String {
        text_of(&self.new)
    }
}

/// Returns a value as text. Operators see and match "nothing", which stands for a leaf that is not set.
fn text_of(value: &Option<Value>) -> String {
    value.as_ref().map_or("nothing".into(), Value::to_string)
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} -> {}",
            self.path,
            self.old_text(),
            self.new_text()
        )
    }
}

/// Adds a difference to `found` for each leaf of a container that differs. `path`, `old` and `new` return the path of a
/// leaf and its values.
pub(super) fn add_differences(
    found: &mut Vec<Difference>,
    container: Container,
    path: impl Fn(Leaf) -> Path,
    old: impl Fn(Leaf) -> Option<Value>,
    new: impl Fn(Leaf) -> Option<Value>,
) {
    for leaf in Leaf::all_of(container) {
        let old = old(leaf);
        let new = new(leaf);
        if old != new {
            let path = path(leaf);
            found.push(Difference { path, old, new });
        }
    }
}

/// Walks two maps in the order of their keys and visits each key whose values differ. A missing key counts as the
/// default value.
pub(super) fn for_each_changed<K: Ord, V: Default + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    mut visit: impl FnMut(&K, &V, &V),
) {
    let unset = V::default();
    let mut old_entries = old.iter().peekable();
    let mut new_entries = new.iter().peekable();
    loop {
        let order = match (old_entries.peek(), new_entries.peek()) {
            (Some((old_key, _)), Some((new_key, _))) => old_key.cmp(new_key),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => return,
        };
        let old_entry = old_entries.next_if(|_| order != Ordering::Greater);
        let new_entry = new_entries.next_if(|_| order != Ordering::Less);
        let Some((key, _)) = old_entry.or(new_entry) else {
            return;
        };
        let old_value = old_entry.map_or(&unset, |(_, value)| value);
        let new_value = new_entry.map_or(&unset, |(_, value)| value);
        if old_value != new_value {
            visit(key, old_value, new_value);
        }
    }
}
