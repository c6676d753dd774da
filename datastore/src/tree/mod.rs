//! The typed tree of what operators set: hosts, guards, routes and the override of a rollout.
//!
//! Every value stands at a leaf with a path; two trees differ by leaves, and a change is a list of them.

mod config;
mod difference;
mod leaf;
mod names;
mod path;
mod value;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use self::config::{EffectiveGuards, Guards, HostConfig, RolloutConfig, RouteConfig};
pub use self::difference::Difference;
pub use self::leaf::{Container, Leaf};
pub use self::names::{HostName, NameError, RouteName};
pub use self::path::Path;
pub use self::value::{AdminState, MAX_WEIGHT, MIN_WEIGHT, Value, ValueError};

use self::difference::{add_leaves, for_each_changed};
use crate::validation::{ValidationError, ValidationErrors};

/// All that operators have set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// What is set of each host.
    pub hosts: BTreeMap<HostName, HostConfig>,
    /// What a single change may do at most.
    pub guards: Guards,
    /// What is set of each route.
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RouteConfig>,
    /// What is asked of the canary's rollout.
    #[serde(default)]
    #[serde(rename = "ring")]
    pub rollout: RolloutConfig,
}

impl Tree {
    /// The value of a leaf, where it is set.
    pub fn get(&self, path: &Path) -> Option<Value> {
        match path {
            Path::Host(host, leaf) => self.hosts.get(host)?.get(*leaf),
            Path::Guards(leaf) => self.guards.get(*leaf),
            Path::Route(route, leaf) => self.routes.get(route)?.get(*leaf),
            Path::Rollout(leaf) => self.rollout.get(*leaf),
        }
    }

    /// Sets a leaf, or removes it where there is no value. A host or route of which nothing is set any more is no
    /// longer in the tree.
    ///
    /// # Errors
    ///
    /// The value is not of the leaf's type.
    pub fn set(&mut self, path: &Path, value: Option<Value>) -> Result<(), ValidationError> {
        let found = value.as_ref().map(Value::to_string).unwrap_or_default();
        let is_of_type = match path {
            Path::Host(host, leaf) => {
                let config = self.hosts.entry(host.clone()).or_default();
                let is_of_type = config.set(*leaf, value);
                if *config == HostConfig::default() {
                    self.hosts.remove(host);
                }
                is_of_type
            }
            Path::Route(route, leaf) => {
                let config = self.routes.entry(route.clone()).or_default();
                let is_of_type = config.set(*leaf, value);
                if *config == RouteConfig::default() {
                    self.routes.remove(route);
                }
                is_of_type
            }
            Path::Guards(leaf) => self.guards.set(*leaf, value),
            Path::Rollout(leaf) => self.rollout.set(*leaf, value),
        };
        if is_of_type {
            Ok(())
        } else {
            Err(ValidationError::new(
                path,
                "is of another type",
                found,
                path.leaf().expected_format(),
            ))
        }
    }

    /// The leaves that differ, in the order of their paths.
    pub fn differences(&self, new: &Tree) -> Vec<Difference> {
        let mut found = Vec::new();
        for_each_changed(&self.hosts, &new.hosts, |name, old, new| {
            add_leaves(
                &mut found,
                Container::Host,
                |leaf| Path::Host(name.clone(), leaf),
                |leaf| old.get(leaf),
                |leaf| new.get(leaf),
            );
        });
        add_leaves(
            &mut found,
            Container::Guards,
            Path::Guards,
            |leaf| self.guards.get(leaf),
            |leaf| new.guards.get(leaf),
        );
        for_each_changed(&self.routes, &new.routes, |name, old, new| {
            add_leaves(
                &mut found,
                Container::Route,
                |leaf| Path::Route(name.clone(), leaf),
                |leaf| old.get(leaf),
                |leaf| new.get(leaf),
            );
        });
        add_leaves(
            &mut found,
            Container::Rollout,
            Path::Rollout,
            |leaf| self.rollout.get(leaf),
            |leaf| new.rollout.get(leaf),
        );
        found
    }

    /// The tree after these changes.
    ///
    /// # Errors
    ///
    /// The values that are not of their leaf's type.
    pub fn with_changes(&self, changes: &[Difference]) -> Result<Tree, ValidationErrors> {
        self.with_values(changes.iter().map(|change| (&change.path, &change.new)))
    }

    /// The tree before these changes.
    ///
    /// # Errors
    ///
    /// The values that are not of their leaf's type.
    pub fn without_changes(&self, changes: &[Difference]) -> Result<Tree, ValidationErrors> {
        self.with_values(changes.iter().map(|change| (&change.path, &change.old)))
    }

    fn with_values<'a>(
        &self,
        values: impl Iterator<Item = (&'a Path, &'a Option<Value>)>,
    ) -> Result<Tree, ValidationErrors> {
        let mut tree = self.clone();
        let mut errors = ValidationErrors::default();
        for (path, value) in values {
            errors.extend(tree.set(path, value.clone()).err());
        }
        errors.into_result().map(|()| tree)
    }
}
