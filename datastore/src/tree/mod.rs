//! The typed tree of what operators set: hosts (entries, weights, administrative states) and guards. Every
//! value stands at a leaf with a path; two trees differ by leaves, and a change is a list of them.

mod config;
mod difference;
mod leaf;
mod names;
mod path;
mod value;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use self::config::{Guards, HostConfig, RolloutConfig, RouteConfig};
pub use self::difference::Difference;
pub use self::leaf::{Container, Leaf};
pub use self::names::{HostName, RouteName};
pub use self::path::Path;
pub use self::value::{AdminState, Value, WEIGHTS};

use self::difference::{both, differ};
use crate::validation::{ValidationError, ValidationErrors};

/// All that operators have set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    pub hosts: BTreeMap<HostName, HostConfig>,
    pub guards: Guards,
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RouteConfig>,
    #[serde(default)]
    #[serde(rename = "ring")]
    pub rollout: RolloutConfig,
}

impl Tree {
    pub fn get(&self, path: &Path) -> Option<Value> {
        match path {
            Path::Host(host, leaf) => self.hosts.get(host)?.get(*leaf),
            Path::Guards(leaf) => self.guards.get(*leaf),
            Path::Route(route, leaf) => self.routes.get(route)?.get(*leaf),
            Path::Rollout(leaf) => self.rollout.get(*leaf),
        }
    }

    /// Sets a leaf, or takes it away. A host or route of which nothing is set any more is no longer in the tree.
    pub fn set(&mut self, path: &Path, value: Option<Value>) -> Result<(), ValidationError> {
        let given = value.as_ref().map(Value::to_string).unwrap_or_default();
        let well = match path {
            Path::Host(host, leaf) => {
                let set = self.hosts.entry(host.clone()).or_default();
                let well = set.set(*leaf, value);
                if *set == HostConfig::default() {
                    self.hosts.remove(host);
                }
                well
            }
            Path::Route(route, leaf) => {
                let set = self.routes.entry(route.clone()).or_default();
                let well = set.set(*leaf, value);
                if *set == RouteConfig::default() {
                    self.routes.remove(route);
                }
                well
            }
            Path::Guards(leaf) => self.guards.set(*leaf, value),
            Path::Rollout(leaf) => self.rollout.set(*leaf, value),
        };
        if well {
            Ok(())
        } else {
            Err(ValidationError::new(
                path,
                "is of another type",
                given,
                path.leaf().expected_format(),
            ))
        }
    }

    /// The leaves that differ, in the order of their paths.
    pub fn differences(&self, new: &Tree) -> Vec<Difference> {
        let mut found = Vec::new();
        both(&self.hosts, &new.hosts, |name, old, new| {
            differ(
                Container::Host,
                |leaf| (old.get(leaf), new.get(leaf)),
                |leaf| Path::Host(name.clone(), leaf),
                &mut found,
            );
        });
        differ(
            Container::Guards,
            |leaf| (self.guards.get(leaf), new.guards.get(leaf)),
            Path::Guards,
            &mut found,
        );
        both(&self.routes, &new.routes, |name, old, new| {
            differ(
                Container::Route,
                |leaf| (old.get(leaf), new.get(leaf)),
                |leaf| Path::Route(name.clone(), leaf),
                &mut found,
            );
        });
        differ(
            Container::Rollout,
            |leaf| (self.rollout.get(leaf), new.rollout.get(leaf)),
            Path::Rollout,
            &mut found,
        );
        found
    }

    /// The tree after these changes, or before them.
    pub fn patched(
        &self,
        differences: &[Difference],
        back: bool,
    ) -> Result<Tree, ValidationErrors> {
        let (mut tree, mut errors) = (self.clone(), ValidationErrors::default());
        for difference in differences {
            let value = if back {
                &difference.old
            } else {
                &difference.new
            };
            errors.extend(tree.set(&difference.path, value.clone()).err());
        }
        errors.into_result().map(|()| tree)
    }
}
