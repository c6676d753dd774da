//! Test helpers: a datastore with hosts, and changes of leaves by text.

use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_datastore::*;

/// The time of the tests, in Unix seconds.
pub const NOW: f64 = 1_000_000.0;

pub fn rule_settings() -> RuleSettings {
    let operations = vec!["read".into(), "set".into()];
    RuleSettings {
        operations,
        routers: 4,
        slow_start_initial_fraction: 0.4,
        slow_start_duration: 4.0,
        overload_multiple: 3.0,
        maximums: Maximums::default(),
    }
}

/// Returns facts without discovery and rollout, `at` seconds after [`NOW`].
pub fn facts_at(at: f64) -> Facts {
    Facts {
        now: NOW + at,
        discovery_received: true,
        ..Facts::default()
    }
}

pub fn author(name: &str) -> Author {
    Author {
        source: Source::Files,
        name: name.into(),
        version: String::new(),
    }
}

pub fn path(text: &str) -> Path {
    text.parse().expect("a valid path")
}

/// Sets leaves from texts; `-` removes the value.
pub fn set_leaves(tree: &mut Tree, edits: &[(&str, &str)]) {
    for (at, text) in edits {
        let path = path(at);
        let leaf = path.leaf();
        let value = (*text != "-").then(|| leaf.parse(text).expect("a valid value"));
        tree.set(&path, value).expect("a value of the leaf's type");
    }
}

/// Adds a complete entry of a host to a tree.
pub fn add_host(tree: &mut Tree, name: &str, port: u16, zone: &str, build: u16) {
    let at = |leaf: &str| format!("hosts/{name}/{leaf}");
    let (endpoint, build) = (format!("127.0.0.1:{port}"), build.to_string());
    let leaves = [
        ("endpoint", endpoint.as_str()),
        ("zone", zone),
        ("kind", "std"),
        ("build", &build),
    ];
    leaves
        .iter()
        .for_each(|(leaf, text)| set_leaves(tree, &[(&at(leaf), text)]));
}

/// Returns a datastore whose first revision, committed 1000 s before [`NOW`], has this many hosts in two zones.
pub fn datastore_with_hosts(hosts: u16) -> Datastore {
    let mut store = Datastore::new(rule_settings(), HistoryLimits::default());
    let mut candidate = Candidate::new(store.in_force());
    for number in 0..hosts {
        let zone = if number % 2 == 0 { "north" } else { "south" };
        add_host(
            &mut candidate.tree,
            &format!("h{number}"),
            7000 + number,
            zone,
            41,
        );
    }
    store
        .commit(&candidate, author("first"), &facts_at(-1000.0))
        .expect("the commit is valid");
    store
}

/// Commits a candidate with these changes.
pub fn try_edits(
    store: &mut Datastore,
    edits: &[(&str, &str)],
    facts: &Facts,
) -> Result<CommitOutcome, ValidationErrors> {
    let mut candidate = Candidate::new(store.in_force());
    set_leaves(&mut candidate.tree, edits);
    store.commit(&candidate, author("test"), facts)
}

/// Returns the errors of a commit that is expected to be rejected.
pub fn rejection_errors(result: Result<CommitOutcome, ValidationErrors>) -> Vec<ValidationError> {
    result.expect_err("the commit is rejected").first
}

/// Returns a host as discovery lists it.
pub fn discovered_host(name: &str, port: u16, state: HostState) -> HostRecord {
    let endpoint = ([127, 0, 0, 1], port).into();
    let (zone, kind): (Arc<str>, Arc<str>) = ("east".into(), "std".into());
    let (name, size, build, started) = (name.into(), 1.0, BuildId(41), Some(NOW - 500.0));
    HostRecord {
        name,
        endpoint,
        zone,
        cell: 3,
        kind,
        size,
        build,
        started,
        state,
    }
}
