//! Leaves that differ between two trees.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::leaf::{Container, Leaf};
use super::path::Path;
use super::value::Value;

/// A leaf that differs: what it was, and what it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    pub path: Path,
    pub old: Option<Value>,
    pub new: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text =
            |value: &Option<Value>| value.as_ref().map_or("nothing".into(), Value::to_string);
        write!(
            f,
            "{}: {} -> {}",
            self.path,
            text(&self.old),
            text(&self.new)
        )
    }
}

/// Walks two maps by their keys, where what stands there differs.
pub(super) fn both<K: Ord, V: Default + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    mut differs: impl FnMut(&K, &V, &V),
) {
    let nothing = V::default();
    let (mut olds, mut news) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let order = match (olds.peek(), news.peek()) {
            (Some((a, _)), Some((b, _))) => a.cmp(b),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => return,
        };
        let old = if order == Ordering::Greater {
            None
        } else {
            olds.next()
        };
        let new = if order == Ordering::Less {
            None
        } else {
            news.next()
        };
        let Some((key, _)) = old.or(new) else { return };
        let (old, new) = (
            old.map_or(&nothing, |old| old.1),
            new.map_or(&nothing, |new| new.1),
        );
        if old != new {
            differs(key, old, new);
        }
    }
}

pub(super) fn differ(
    place: Container,
    values: impl Fn(Leaf) -> (Option<Value>, Option<Value>),
    path: impl Fn(Leaf) -> Path,
    found: &mut Vec<Difference>,
) {
    for leaf in Leaf::all_of(place) {
        let (old, new) = values(leaf);
        if old != new {
            found.push(Difference {
                path: path(leaf),
                old,
                new,
            });
        }
    }
}
