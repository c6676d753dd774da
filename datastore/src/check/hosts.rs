//! Checks of host entries: they are complete, have distinct ids and addresses, and do not start in the future.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestreltide::interface::{HostId, HostState};

use super::context::{Context, RETRY_DELAY_SECONDS};
use crate::host_record::HostRecord;
use crate::tree::{HostConfig, HostName, Leaf, Path};
use crate::validation::{Rule, ValidationError, ValidationErrors};

/// How far the start of a host may lie in the future, in seconds, as the clocks of machines differ slightly.
const CLOCK_TOLERANCE_SECONDS: f64 = 1.0;

/// The leaves that an entry needs if discovery does not list the host.
const REQUIRED_LEAVES: [Leaf; 4] = [Leaf::Endpoint, Leaf::Zone, Leaf::Kind, Leaf::Build];

/// Reports configured hosts that neither discovery nor a complete entry lists. An entry that sets none of the required
/// leaves is taken for a reference to a host that is not listed.
pub(super) fn check_entries_complete(context: &Context, errors: &mut ValidationErrors) {
    // `tree.hosts` are the entries that operators configure, and `after.hosts` these merged with discovery: a configured
    // host is missing there if the merge made no complete record of it.
    let incomplete = context
        .after
        .tree
        .hosts
        .iter()
        .filter(|(name, _)| !context.after.hosts.contains_key(name.as_str()));
    for (name, config) in incomplete {
        let missing: Vec<Leaf> = REQUIRED_LEAVES
            .into_iter()
            .filter(|leaf| config.get(*leaf).is_none())
            .collect();
        if missing.len() == REQUIRED_LEAVES.len() {
            errors.push(unknown_host_error(context, name));
        } else {
            errors.extend(
                missing
                    .into_iter()
                    .map(|leaf| missing_leaf_error(name, leaf)),
            );
        }
    }
}

fn unknown_host_error(context: &Context, name: &HostName) -> ValidationError {
    let error = ValidationError::new(
        format!("hosts/{name}"),
        "no such host is listed, by discovery or here",
        "no entry",
        "endpoint, zone, kind and build",
    );
    match context.facts.discovery {
        // Discovery may list the host later.
        Some(_) => error.with_retry_at(context.facts.now + RETRY_DELAY_SECONDS),
        None => error,
    }
}

fn missing_leaf_error(name: &HostName, leaf: Leaf) -> ValidationError {
    ValidationError::new(
        Path::Host(name.clone(), leaf),
        "is missing in an entry",
        "nothing",
        leaf.expected_format(),
    )
}

/// Reports hosts with the same id or address, as answers and records of one host would be attributed to the other. Two
/// hosts have the same id if their names have the same hash. A host that is removed no longer occupies its address.
pub(super) fn check_addresses_distinct(context: &Context, errors: &mut ValidationErrors) {
    let mut by_address: BTreeMap<SocketAddr, &HostRecord> = BTreeMap::new();
    let mut by_id: BTreeMap<HostId, &HostRecord> = BTreeMap::new();
    for host in context.after.hosts.values() {
        if let Some(other) = by_id.insert(host.id(), host) {
            errors.push(ValidationError::new(
                format!("hosts/{}", host.name),
                format!("its name has the same hash as {}", other.name),
                &host.name,
                "another name",
            ));
        }
        if host.state == HostState::Removed {
            continue;
        }
        if let Some(other) = by_address.insert(host.endpoint, host) {
            let error = ValidationError::new(
                format!("hosts/{}/endpoint", host.name),
                format!("is the address of {} too", other.name),
                host.endpoint,
                "an address of its own",
            );
            // Rule 2 relies on the zone and cell of a host (see `merge_policy`), which two entries of one address may
            // state differently.
            errors.push(error.with_rule(Rule::NoEffectTwice));
        }
    }
}

/// Reports hosts whose start, as operators configure it, lies in the future by more than the clock tolerance.
pub(super) fn check_starts_not_in_future(context: &Context, errors: &mut ValidationErrors) {
    let latest = context.facts.now + CLOCK_TOLERANCE_SECONDS;
    let future_start = |config: &HostConfig| config.started.filter(|started| *started > latest);
    for (name, config) in &context.after.tree.hosts {
        if let Some(started) = future_start(config) {
            let error = ValidationError::new(
                Path::Host(name.clone(), Leaf::Started),
                format!("lies {:.1} s ahead", started - context.facts.now),
                started,
                "a time in the past",
            );
            errors.push(error.with_retry_at(started));
        }
    }
}
