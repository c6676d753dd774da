//! Checks of routes: their references exist, their precedence is unambiguous, and their pools have hosts.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::context::Context;
use crate::host_record::HostRecord;
use crate::route_table::build_routes;
use crate::tree::{Leaf, Path, RouteConfig, RouteName};
use crate::validation::{MAX_KEPT_ERRORS, Rule, ValidationError, ValidationErrors};

/// Reports routes that refer to unknown operations or unlisted hosts, and routes that set only a precedence.
pub(super) fn check_references(context: &Context, errors: &mut ValidationErrors) {
    for (name, route) in &context.after.tree.routes {
        errors.extend(unknown_operation_errors(context, name, route));
        errors.extend(unknown_host_errors(context, name, route));
        if sets_only_precedence(route) {
            errors.push(ValidationError::new(
                format!("routes/{name}"),
                "says neither which invocations it is for nor which hosts they use",
                "nothing",
                "operation, key-prefix, zone, kind or host",
            ));
        }
    }
}

fn names_in(names: &Option<BTreeSet<Arc<str>>>) -> impl Iterator<Item = &Arc<str>> {
    names.iter().flatten()
}

fn unknown_operation_errors(
    context: &Context,
    name: &RouteName,
    route: &RouteConfig,
) -> Vec<ValidationError> {
    let known = &context.settings.operations;
    names_in(&route.operations)
        .filter(|operation| !known.iter().any(|known| **known == ***operation))
        .map(|operation| {
            let path = Path::Route(name.clone(), Leaf::Operations);
            ValidationError::new(path, "no such operation", operation, known.join(", "))
        })
        .collect()
}

fn unknown_host_errors(
    context: &Context,
    name: &RouteName,
    route: &RouteConfig,
) -> Vec<ValidationError> {
    names_in(&route.hosts)
        .filter(|host| !context.after.hosts.contains_key(*host))
        .map(|host| {
            let problem = if context.before.hosts.contains_key(host) {
                "refers to a host that would be listed no more"
            } else {
                "no such host is listed"
            };
            let path = Path::Route(name.clone(), Leaf::Hosts);
            ValidationError::new(path, problem, host, "a host that is listed")
        })
        .collect()
}

/// Returns whether a route sets nothing besides its precedence.
fn sets_only_precedence(route: &RouteConfig) -> bool {
    let only_precedence = RouteConfig {
        precedence: route.precedence,
        ..RouteConfig::default()
    };
    *route == only_precedence
}

/// Reports pairs of overlapping routes whose precedences do not decide which of them a request takes.
pub(super) fn check_precedences_unambiguous(context: &Context, errors: &mut ValidationErrors) {
    let routes = build_routes(context.after.tree);
    // More pairs than errors are kept need not be found.
    for (route, other) in kestreltide_routes::ambiguous_pairs(&routes, MAX_KEPT_ERRORS) {
        let found = route
            .precedence
            .map_or("no precedence".into(), |precedence| precedence.to_string());
        errors.push(ValidationError::new(
            format!("routes/{}/precedence", route.name),
            format!(
                "overlaps with route {}, and their precedences do not decide between them",
                other.name
            ),
            found,
            "a different precedence for each",
        ));
    }
}

/// Reports routes whose pool has no host of the released build in service: their requests could go nowhere, or only to
/// the canary. Reports none if no such host is in service at all.
pub(super) fn check_pools_keep_hosts(context: &Context, errors: &mut ValidationErrors) {
    let released = context.released_builds(&context.after);
    let serving: Vec<&HostRecord> = context
        .after
        .hosts
        .values()
        .filter(|host| host.is_in_service() && released.contains(&host.build))
        .collect();
    if serving.is_empty() {
        return;
    }
    for route in build_routes(context.after.tree) {
        if serving
            .iter()
            .any(|host| route.pool.contains(&host.entry()))
        {
            continue;
        }
        let error = ValidationError::new(
            format!("routes/{}", route.name),
            "its pool would have no host of the released build in service",
            "no such host",
            "at least one",
        );
        errors.push(error.with_rule(Rule::ExposureCapped));
    }
}
