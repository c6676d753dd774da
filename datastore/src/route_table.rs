//! Builds from a tree the routes that requests are matched against.

use std::collections::BTreeSet;
use std::sync::Arc;

use kestreltide::interface::{HostId, HostPool, MachineKindId, ZoneId};
use kestreltide_routes::{Route, RouteMatch};

use crate::tree::{RouteConfig, RouteName, Tree};

/// Returns the routes of a tree, each with its pool, in the order of their names.
pub(crate) fn build_routes(tree: &Tree) -> Vec<Route> {
    tree.routes
        .iter()
        .map(|(name, config)| build_route(name, config))
        .collect()
}

fn build_route(name: &RouteName, config: &RouteConfig) -> Route {
    let matcher = RouteMatch {
        operations: config.operations.clone().unwrap_or_default(),
        key_prefix: config.key_prefix.clone().unwrap_or_default(),
    };
    Route {
        name: name.shared(),
        precedence: config.precedence,
        matcher,
        pool: Arc::new(build_pool(config)),
    }
}

fn build_pool(config: &RouteConfig) -> HostPool {
    HostPool {
        zones: names_of(&config.zones).map(ZoneId::from_name).collect(),
        kinds: names_of(&config.kinds)
            .map(MachineKindId::from_name)
            .collect(),
        hosts: names_of(&config.hosts).map(HostId::from_name).collect(),
    }
}

fn names_of(names: &Option<BTreeSet<Arc<str>>>) -> impl Iterator<Item = &str> {
    names.iter().flatten().map(|name| &**name)
}
