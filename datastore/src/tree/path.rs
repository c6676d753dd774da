//! Paths: where a leaf stands.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::leaf::{Container, Leaf, NAMED};
use super::names::{HostName, RouteName};
use crate::validation::ValidationError;

/// Where a leaf stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Path {
    Host(HostName, Leaf),
    Guards(Leaf),
    Route(RouteName, Leaf),
    #[serde(rename = "Ring")]
    Rollout(Leaf),
}

impl Path {
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
        let unknown = |what: &str, takes: &str| ValidationError::new(text, what, text, takes);
        let leaf = |place: Container, name: &str| {
            let names = || {
                Leaf::all_of(place)
                    .map(Leaf::name)
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            Leaf::by_name(place, name).ok_or_else(|| unknown("no such leaf", &names()))
        };
        let well = |why: String| unknown(&format!("the name {why}"), NAMED);
        let parts: Vec<_> = text.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["hosts", host, name] => Ok(Path::Host(
                host.parse().map_err(well)?,
                leaf(Container::Host, name)?,
            )),
            ["routes", route, name] => Ok(Path::Route(
                route.parse().map_err(well)?,
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
