//! Checks that a tree does not exceed the numbers of items and the memory that a router allows.

use std::collections::BTreeSet;

use super::context::Context;
use crate::settings::{Maximums, MemorySettings};
use crate::tree::{RouteConfig, Tree};
use crate::validation::{ValidationError, ValidationErrors};

/// The number of items of each kind in a tree.
struct Sizes {
    /// Hosts that discovery or operators list.
    hosts: usize,
    /// Hosts for which operators set a leaf.
    configured_hosts: usize,
    routes: usize,
    /// Names of operations, zones, kinds and hosts in all routes together.
    route_names: usize,
}

impl Sizes {
    fn new(tree: &Tree, listed_hosts: usize) -> Self {
        Sizes {
            hosts: listed_hosts.max(tree.hosts.len()),
            configured_hosts: tree.hosts.len(),
            routes: tree.routes.len(),
            route_names: tree.routes.values().map(count_names).sum(),
        }
    }
}

fn count_names(route: &RouteConfig) -> usize {
    [&route.operations, &route.zones, &route.kinds, &route.hosts]
        .into_iter()
        .flatten()
        .map(BTreeSet::len)
        .sum()
}

/// Returns an error for each maximum that a tree exceeds, where discovery and operators together list `listed_hosts`
/// hosts.
pub fn exceeded_maximums(
    tree: &Tree,
    listed_hosts: usize,
    maximums: &Maximums,
) -> ValidationErrors {
    let sizes = Sizes::new(tree, listed_hosts);
    let mut errors = ValidationErrors::default();
    let mut check = |path: &str, problem: &str, found: usize, maximum: usize| {
        if found > maximum {
            let expected = format!("{maximum} at most");
            errors.push(ValidationError::new(path, problem, found, expected));
        }
    };
    check(
        "hosts",
        "are more than a router keeps",
        sizes.hosts,
        maximums.hosts,
    );
    check(
        "routes",
        "are more than a router keeps",
        sizes.routes,
        maximums.routes,
    );
    check(
        "routes",
        "name more than a router keeps",
        sizes.route_names,
        maximums.route_names,
    );
    errors.extend(exceeded_memory_error(&sizes, &maximums.memory));
    errors
}

fn exceeded_memory_error(sizes: &Sizes, memory: &MemorySettings) -> Option<ValidationError> {
    let for_hosts =
        sizes.hosts * memory.per_host + sizes.configured_hosts * memory.per_configured_host;
    let for_routes = sizes.routes * memory.per_route + sizes.route_names * memory.per_route_name;
    if for_hosts + for_routes <= memory.maximum {
        return None;
    }
    let larger = if for_hosts >= for_routes {
        "hosts"
    } else {
        "routes"
    };
    Some(ValidationError::new(
        larger,
        "take more memory than the router has for them",
        format!(
            "{} bytes for {} hosts and {} routes",
            for_hosts + for_routes,
            sizes.hosts,
            sizes.routes
        ),
        format!("{} bytes at most", memory.maximum),
    ))
}

/// Reports the maximums that the candidate exceeds.
pub(super) fn check_maximums(context: &Context, errors: &mut ValidationErrors) {
    let listed_hosts = context.after.hosts.len();
    let exceeded = exceeded_maximums(context.after.tree, listed_hosts, &context.settings.maximums);
    errors.extend(exceeded.first);
}
