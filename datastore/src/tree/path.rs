//! The paths of leaves.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::leaf::{Container, Leaf, NAME_FORMAT};
use super::names::{HostName, NameError, RouteName};
use crate::validation::ValidationError;

/// The path of a leaf in the tree. Texts and state files name the override of a rollout "ring".
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Path {
    /// A leaf of a host.
    Host(HostName, Leaf),
    /// A guard.
    Guards(Leaf),
    /// A leaf of a route.
    Route(RouteName, Leaf),
    /// A leaf of the override of a rollout.
    #[serde(rename = "Ring")]
    Rollout(Leaf),
}

impl Path {
    /// Returns the leaf at this path.
    pub fn leaf(&self) -> Leaf {
        match self {
            Path::Host(_, leaf)
            | Path::Guards(leaf)
            | Path::Route(_, leaf)
            | Path::Rollout(leaf) => *leaf,
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Host(host, leaf) => write!(f, "hosts/{host}/{}", leaf.name()),
            Path::Guards(leaf) => write!(f, "guards/{}", leaf.name()),
            Path::Route(route, leaf) => write!(f, "routes/{route}/{}", leaf.name()),
            Path::Rollout(leaf) => write!(f, "ring/{}", leaf.name()),
        }
    }
}

impl FromStr for Path {
    type Err = ValidationError;

    fn from_str(text: &str) -> Result<Self, ValidationError> {
        let unknown =
            |problem: &str, expected: &str| ValidationError::new(text, problem, text, expected);
        let leaf = |container: Container, name: &str| {
            Leaf::by_name(container, name)
                .ok_or_else(|| unknown("no such leaf", &names_of_leaves(container)))
        };
        let invalid_name = |reason: NameError| unknown(&format!("the name {reason}"), NAME_FORMAT);
        let parts: Vec<_> = text.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["hosts", host, name] => Ok(Path::Host(
                host.parse().map_err(invalid_name)?,
                leaf(Container::Host, name)?,
            )),
            ["routes", route, name] => Ok(Path::Route(
                route.parse().map_err(invalid_name)?,
                leaf(Container::Route, name)?,
            )),
            ["guards", name] => Ok(Path::Guards(leaf(Container::Guards, name)?)),
            ["ring", name] => Ok(Path::Rollout(leaf(Container::Rollout, name)?)),
            _ => Err(unknown(
                "no such path",
                "hosts/NAME/LEAF, routes/NAME/LEAF, guards/LEAF or ring/LEAF",
            )),
        }
    }
}

fn names_of_leaves(container: Container) -> String {
    let names: Vec<&str> = Leaf::all_of(container).map(Leaf::name).collect();
    names.join(", ")
}
