//! Routes: which requests may use which pool of hosts. This crate does no I/O.
//!
//! A pool only restricts the hosts that the decisions choose from. A request keeps the pool that it was admitted with.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used
)]

use std::collections::BTreeSet;
use std::sync::Arc;

use kestreltide::interface::HostPool;

/// The requests that a route applies to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatch {
    /// The names of the operations; an empty set matches any operation.
    pub operations: BTreeSet<Arc<str>>,
    /// The prefix of the request's key. An empty prefix matches any key, and requests without a key.
    pub key_prefix: Arc<str>,
}

impl RouteMatch {
    /// Whether a request with this operation and key matches. The key is empty for a request without one.
    pub fn matches(&self, operation: &str, key: &str) -> bool {
        (self.operations.is_empty() || self.operations.contains(operation))
            && key.starts_with(&*self.key_prefix)
    }

    /// Whether some request can match both.
    pub fn overlaps(&self, other: &RouteMatch) -> bool {
        let any_operation = self.operations.is_empty() || other.operations.is_empty();
        let prefix = &*self.key_prefix;
        let other_prefix = &*other.key_prefix;
        (any_operation || !self.operations.is_disjoint(&other.operations))
            && (prefix.starts_with(other_prefix) || other_prefix.starts_with(prefix))
    }
}

/// A configured route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name that operators gave the route.
    pub name: Arc<str>,
    /// Of the routes that match a request, the one with the lowest number is used. `None` if the route overlaps with no
    /// other.
    pub precedence: Option<u32>,
    /// The requests that the route applies to.
    pub matcher: RouteMatch,
    /// The hosts that these requests may use.
    pub pool: Arc<HostPool>,
}

impl Route {
    /// Whether the precedences decide which of two routes is used.
    fn is_ordered_with(&self, other: &Route) -> bool {
        matches!((self.precedence, other.precedence), (Some(a), Some(b)) if a != b)
    }
}

/// A route and its index in the configured list.
#[derive(Clone, Copy)]
struct IndexedRoute<'a> {
    index: usize,
    route: &'a Route,
}

/// Returns the pairs of routes that overlap and whose precedences do not decide which one is used, at most `max_pairs`.
///
/// Two routes can overlap only if one's key prefix is a prefix of the other's. The routes are sorted by prefix and
/// compared only with those whose prefix encloses theirs, so that routes for different keys are never compared.
pub fn ambiguous_pairs(routes: &[Route], max_pairs: usize) -> Vec<(&Route, &Route)> {
    let mut by_prefix: Vec<_> = routes
        .iter()
        .enumerate()
        .map(|(index, route)| IndexedRoute { index, route })
        .collect();
    by_prefix.sort_by(|a, b| {
        let prefix = &a.route.matcher.key_prefix;
        prefix.cmp(&b.route.matcher.key_prefix)
    });
    let mut pairs = Vec::new();
    // The routes whose key prefix is a prefix of the current route's, the shortest first.
    let mut enclosing: Vec<IndexedRoute> = Vec::new();
    for current in by_prefix {
        let prefix = &current.route.matcher.key_prefix;
        while enclosing
            .last()
            .is_some_and(|last| !prefix.starts_with(&*last.route.matcher.key_prefix))
        {
            enclosing.pop();
        }
        let ambiguous = enclosing.iter().filter(|other| {
            !current.route.is_ordered_with(other.route)
                && current.route.matcher.overlaps(&other.route.matcher)
        });
        for other in ambiguous {
            pairs.push(if other.index < current.index {
                (other.route, current.route)
            } else {
                (current.route, other.route)
            });
            if pairs.len() >= max_pairs {
                return pairs;
            }
        }
        enclosing.push(current);
    }
    pairs
}

/// The routes in force, in the order in which a request is matched against them.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    ordered: Vec<Route>,
}

impl Routes {
    /// Orders the routes by precedence.
    pub fn new(mut routes: Vec<Route>) -> Self {
        // Routes without precedence overlap with no other, so their position doesn't matter.
        routes.sort_by_key(|route| route.precedence.unwrap_or(u32::MAX));
        Routes { ordered: routes }
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Returns the route that a request matches. A request without a route may use all hosts.
    pub fn find(&self, operation: &str, key: &str) -> Option<&Route> {
        self.ordered
            .iter()
            .find(|route| route.matcher.matches(operation, key))
    }
}
