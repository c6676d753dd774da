//! Routes: which invocations go to which pool of hosts. Matching and the comparison of routes are decided here,
//! free of I/O; a pool only narrows what the decisions may choose from, and an invocation keeps the one that it
//! was admitted under.

use std::collections::BTreeSet;
use std::sync::Arc;

use kestreltide::interface::*;

/// Which invocations a route is for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Match {
    /// Names of operations; none: any.
    pub operations: BTreeSet<Arc<str>>,
    /// How the key begins; empty: any, also where there is none.
    pub key_prefix: Arc<str>,
}

impl Match {
    pub fn fits(&self, operation: &str, key: &str) -> bool {
        (self.operations.is_empty() || self.operations.contains(operation))
            && key.starts_with(&*self.key_prefix)
    }

    /// Whether some invocation fits both.
    pub fn overlaps(&self, other: &Match) -> bool {
        let any = self.operations.is_empty() || other.operations.is_empty();
        let (a, b) = (&*self.key_prefix, &*other.key_prefix);
        (any || !self.operations.is_disjoint(&other.operations))
            && (a.starts_with(b) || b.starts_with(a))
    }
}

/// A route as it is written down.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    /// Lower goes first; none: it overlaps with no other.
    pub precedence: Option<u32>,
    pub of: Match,
    pub pool: Arc<Pool>,
}

/// Pairs of routes that some invocation fits both, and nothing says which goes first; so many of them at most.
///
/// Only routes of which one's prefix begins the other's can overlap. In the order of prefixes these stand behind
/// one another, so that routes for different keys are never compared.
pub fn unordered(routes: &[Route], most: usize) -> Vec<(&Route, &Route)> {
    let mut by_prefix: Vec<_> = routes.iter().enumerate().collect();
    by_prefix.sort_by(|(_, a), (_, b)| a.of.key_prefix.cmp(&b.of.key_prefix));
    let (mut found, mut wider): (Vec<_>, Vec<(usize, &Route)>) = (vec![], vec![]);
    for (place, route) in by_prefix {
        while wider
            .last()
            .is_some_and(|(_, last)| !route.of.key_prefix.starts_with(&*last.of.key_prefix))
        {
            wider.pop();
        }
        let clash =
            |(_, other): &&(usize, &Route)| !ordered(route, other) && route.of.overlaps(&other.of);
        for (other_place, other) in wider.iter().filter(clash) {
            found.push(if *other_place < place {
                (*other, route)
            } else {
                (route, *other)
            });
            if found.len() >= most {
                return found;
            }
        }
        wider.push((place, route));
    }
    found
}

/// Whether their precedences say which goes first.
fn ordered(one: &Route, other: &Route) -> bool {
    matches!((one.precedence, other.precedence), (Some(a), Some(b)) if a != b)
}

/// The routes in force, in the order in which they are asked.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    ordered: Vec<Route>,
}

impl Routes {
    pub fn new(mut routes: Vec<Route>) -> Self {
        // Those without precedence overlap with no other, wherever they stand.
        routes.sort_by_key(|route| route.precedence.unwrap_or(u32::MAX));
        Routes { ordered: routes }
    }

    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// The route of an invocation; none: all hosts are for it.
    pub fn of(&self, operation: &str, key: &str) -> Option<&Route> {
        self.ordered
            .iter()
            .find(|route| route.of.fits(operation, key))
    }
}
