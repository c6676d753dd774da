//! The typed tree of what operators configure: hosts, guards, routes and the override of a rollout.
//!
//! Every value is at a leaf, which has a path. The difference between two trees is a list of leaves.

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

use self::difference::{add_differences, for_each_changed};
use crate::validation::{ValidationError, ValidationErrors};

/// Everything that operators have configured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// The configuration of each host.
    pub hosts: BTreeMap<HostName, HostConfig>,
    /// Limits on what a single revision may change.
    pub guards: Guards,
    /// The configuration of each route.
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RouteConfig>,
    /// The override of the canary's rollout.
    // State files name the override "ring".
    #[serde(default)]
    #[serde(rename = "ring")]
    pub rollout: RolloutConfig,
}

impl Tree {
    /// Returns the value of a leaf, if it is set.
    pub fn get(&self, path: &Path) -> Option<Value> {
        match path {
            Path::Host(host, leaf) => self.hosts.get(host)?.get(*leaf),
            Path::Guards(leaf) => self.guards.get(*leaf),
            Path::Route(route, leaf) => self.routes.get(route)?.get(*leaf),
            Path::Rollout(leaf) => self.rollout.get(*leaf),
        }
    }

    /// Sets a leaf, or removes its value if `value` is `None`. A host or route that has no values left is removed from
    /// the tree.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not of the leaf's type.
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

    /// Returns the leaves that differ from `new`, in the order of their paths.
    pub fn differences(&self, new: &Tree) -> Vec<Difference> {
        let mut found = Vec::new();
        for_each_changed(&self.hosts, &new.hosts, |name, old, new| {
            add_differences(
                &mut found,
                Container::Host,
                |leaf| Path::Host(name.clone(), leaf),
                |leaf| old.get(leaf),
                |leaf| new.get(leaf),
            );
        });
        add_differences(
            &mut found,
            Container::Guards,
            Path::Guards,
            |leaf| self.guards.get(leaf),
            |leaf| new.guards.get(leaf),
        );
        for_each_changed(&self.routes, &new.routes, |name, old, new| {
            add_differences(
                &mut found,
                Container::Route,
                |leaf| Path::Route(name.clone(), leaf),
                |leaf| old.get(leaf),
                |leaf| new.get(leaf),
            );
        });
        add_differences(
            &mut found,
            Container::Rollout,
            Path::Rollout,
            |leaf| self.rollout.get(leaf),
            |leaf| new.rollout.get(leaf),
        );
        found
    }

    /// Returns the tree after these changes.
    ///
    /// # Errors
    ///
    /// Returns an error for each value that is not of its leaf's type.
    pub fn with_changes(&self, changes: &[Difference]) -> Result<Tree, ValidationErrors> {
        self.with_values(changes.iter().map(|change| (&change.path, &change.new)))
    }

    /// Returns the tree before these changes.
    ///
    /// # Errors
    ///
    /// Returns an error for each value that is not of its leaf's type.
    pub fn without_changes(&self, changes: &[Difference]) -> Result<Tree, ValidationErrors> {
        self.with_values(changes.iter().map(|change| (&change.path, &change.old)))
    }

    /// Returns the tree with these leaves set to these values.
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
