//! Routes: which requests go to which pool of hosts, free of I/O.
//!
//! A pool only narrows what the decisions may choose from, and a request keeps the pool that it was admitted with.

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

/// Which requests a route is for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMatch {
    /// Names of operations; empty: any.
    pub operations: BTreeSet<Arc<str>>,
    /// How the request's key begins; empty: any, also a request without a key.
    pub key_prefix: Arc<str>,
}

impl RouteMatch {
    /// Whether a request of this operation and key matches.
    pub fn matches(&self, operation: &str, key: &str) -> bool {
        (self.operations.is_empty() || self.operations.contains(operation))
            && key.starts_with(&*self.key_prefix)
    }

    /// Whether some request matches both.
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
    /// The name that operators gave it.
    pub name: Arc<str>,
    /// Of routes that overlap, the one with the lower precedence is used; none: it overlaps with no other.
    pub precedence: Option<u32>,
    /// Which requests it is for.
    pub matcher: RouteMatch,
    /// Which hosts they may use.
    pub pool: Arc<HostPool>,
}

impl Route {
    /// Whether the precedences decide between two routes.
    fn is_ordered_with(&self, other: &Route) -> bool {
        matches!((self.precedence, other.precedence), (Some(a), Some(b)) if a != b)
    }
}

/// A route and its place among all routes.
#[derive(Clone, Copy)]
struct Placed<'a> {
    place: usize,
    route: &'a Route,
}

/// Pairs of routes that overlap and whose precedences do not decide between them, at most `max_pairs`.
///
/// Two routes can overlap only where the prefix of one begins that of the other. Sorted by prefix, such routes stand
/// one after another, so that routes for different keys are never compared.
pub fn ambiguous_pairs(routes: &[Route], max_pairs: usize) -> Vec<(&Route, &Route)> {
    let mut by_prefix: Vec<_> = routes
        .iter()
        .enumerate()
        .map(|(place, route)| Placed { place, route })
        .collect();
    by_prefix.sort_by(|a, b| {
        let prefix = &a.route.matcher.key_prefix;
        prefix.cmp(&b.route.matcher.key_prefix)
    });
    let mut pairs = Vec::new();
    // Routes whose prefixes begin the current one's.
    let mut enclosing: Vec<Placed> = Vec::new();
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
            pairs.push(if other.place < current.place {
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

/// The routes in force, in the order in which they are tried.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    ordered: Vec<Route>,
}

impl Routes {
    /// Orders the routes by their precedence.
    pub fn new(mut routes: Vec<Route>) -> Self {
        // Those without precedence overlap with no other, wherever they stand.
        routes.sort_by_key(|route| route.precedence.unwrap_or(u32::MAX));
        Routes { ordered: routes }
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// The route of a request; none: it may use all hosts.
    pub fn find(&self, operation: &str, key: &str) -> Option<&Route> {
        self.ordered
            .iter()
            .find(|route| route.matcher.matches(operation, key))
    }
}
