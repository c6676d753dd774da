//! What the tests share: a datastore with hosts, and edits by text.

use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_datastore::*;

pub const NOW: f64 = 1_000_000.0;

pub fn rules() -> RuleSettings {
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

pub fn facts(at: f64) -> Facts {
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
    text.parse().expect("a path")
}

/// Sets leaves by their text; a dash takes one away.
pub fn edit(tree: &mut Tree, edits: &[(&str, &str)]) {
    for (at, text) in edits {
        let path = path(at);
        let leaf = path.leaf();
        let value = (*text != "-").then(|| leaf.parse(text).expect("a value"));
        tree.set(&path, value).expect("of its type");
    }
}

pub fn host(tree: &mut Tree, name: &str, port: u16, zone: &str, build: u16) {
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
        .for_each(|(leaf, text)| edit(tree, &[(&at(leaf), text)]));
}

/// A datastore with so many hosts in two zones as its first revision, committed long ago.
pub fn fleet(hosts: u16) -> Datastore {
    let mut store = Datastore::new(rules(), HistoryLimits::default());
    let mut candidate = Candidate::new(store.in_force());
    for number in 0..hosts {
        let zone = if number % 2 == 0 { "north" } else { "south" };
        host(
            &mut candidate.tree,
            &format!("h{number}"),
            7000 + number,
            zone,
            41,
        );
    }
    store
        .commit(&candidate, author("first"), &facts(-1000.0))
        .expect("well");
    store
}

pub fn try_edits(
    store: &mut Datastore,
    edits: &[(&str, &str)],
    facts: &Facts,
) -> Result<CommitOutcome, ValidationErrors> {
    let mut candidate = Candidate::new(store.in_force());
    edit(&mut candidate.tree, edits);
    store.commit(&candidate, author("test"), facts)
}

pub fn errors_of(result: Result<CommitOutcome, ValidationErrors>) -> Vec<ValidationError> {
    result.expect_err("it is refused").first
}

pub fn listed(name: &str, port: u16, state: HostState) -> HostRecord {
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
