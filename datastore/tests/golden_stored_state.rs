//! Golden files: the datastore's part of a router's stored state, as bytes.
//!
//! The files under `tests/golden/stored_state/` were written by the program and hold every stored
//! field and every variant of every stored enum. A stored key must never change its spelling: a
//! router has to read what an earlier build of it stored.
//!
//! No test writes these files. They are written anew only by this deliberate command, the result
//! of which has to be reviewed; the router's golden files are then written anew after them:
//!
//! ```text
//! export KESTRELTIDE_REGENERATE_GOLDEN=1
//! cargo test -p kestreltide-datastore --test golden_stored_state -- --ignored
//! cargo test -p kestreltide-router --test golden_stored_state -- --ignored
//! ```

use std::collections::VecDeque;
use std::fmt::Debug;
use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use kestreltide_datastore::RejectedCommit;
use kestreltide_datastore::commit_coordinator::{PendingCommit, SessionId};
use kestreltide_datastore::{
    Author, DatastoreState, Path, RevisionRecord, Rule, Source, Tree, ValidationError,
    ValidationErrors,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Unix seconds of the first revision; all other times are relative to it.
const START: f64 = 1_790_000_000.0;

/// What each revision sets, in order; an empty text takes the leaf away.
const REVISIONS: [&[(&str, &str)]; 3] = [
    &[
        ("hosts/a/endpoint", "127.0.0.1:7001"),
        ("hosts/a/zone", "z1"),
        ("hosts/a/cell", "3"),
        ("hosts/a/kind", "m"),
        ("hosts/a/size", "2.5"),
        ("hosts/a/build", "7"),
        ("hosts/a/started", "2026-09-01T00:00:00.25Z"),
        ("hosts/a/weight", "1.5"),
        ("hosts/a/state", "in-service"),
        ("hosts/b/endpoint", "[::1]:7002"),
        ("hosts/b/zone", "z2"),
        ("hosts/b/kind", "m"),
        ("hosts/b/build", "7"),
        ("hosts/b/state", "draining"),
        ("hosts/c/endpoint", "127.0.0.1:7003"),
        ("hosts/c/zone", "z1"),
        ("hosts/c/kind", "large"),
        ("hosts/c/build", "8"),
        ("hosts/c/state", "out"),
        ("guards/largest-removal", "0.75"),
        ("guards/least-hosts-zone", "0"),
        ("guards/least-hosts-build", "2"),
        ("routes/first/precedence", "10"),
        ("routes/first/operation", "read switch"),
        ("routes/first/key-prefix", "user/"),
        ("routes/first/zone", "z1 z2"),
        ("routes/first/kind", "large m"),
        ("routes/first/host", "a b c"),
        ("ring/build", "8"),
        ("ring/hold", "true"),
        ("ring/back", "false"),
        ("ring/cap", "0.125"),
    ],
    &[
        ("hosts/a/cell", "4"),
        ("hosts/a/size", ""),
        ("routes/first/zone", "z1"),
        ("ring/hold", "false"),
    ],
    &[("hosts/a/size", "3"), ("routes/first/key-prefix", "")],
];

fn author(source: Source, name: &str, version: &str) -> Author {
    Author {
        source,
        name: name.into(),
        version: version.into(),
    }
}

fn edited(tree: &Tree, leaves: &[(&str, &str)]) -> Tree {
    let mut tree = tree.clone();
    for (path, text) in leaves {
        let path: Path = path.parse().expect("a path");
        let value = (!text.is_empty()).then(|| path.leaf().parse(text).expect("a value"));
        tree.set(&path, value).expect("a value of the leaf's type");
    }
    tree
}

fn rejected_commits() -> VecDeque<RejectedCommit> {
    let mut first = ValidationErrors::default();
    let rules = [
        Rule::OneAnswer,
        Rule::NoEffectTwice,
        Rule::DrainsKept,
        Rule::WarmUpRespected,
        Rule::ExposureCapped,
    ];
    for (number, rule) in rules.into_iter().enumerate() {
        let path = format!("hosts/h{number}/state");
        first
            .push(ValidationError::new(path, "breaks a rule", "out", "in-service").with_rule(rule));
    }
    first.more = 3;
    let passing = ValidationError::new("running", "is locked", "a commit", "the same later");
    let last = ValidationErrors::from(
        passing
            .with_rule(Rule::DrainsKept)
            .with_retry_at(START + 400.5),
    );
    let rejected = |after: f64, revision, author, errors| RejectedCommit {
        at: START + after,
        author,
        revision,
        errors,
    };
    VecDeque::from([
        rejected(150.0, 2, author(Source::Management, "eva", ""), first),
        rejected(350.5, 4, author(Source::Files, "operators", "autumn"), last),
    ])
}

/// Five revisions, one by each source of a change and the last one not yet confirmed.
fn stored_state() -> DatastoreState {
    let mut trees = vec![Tree::default()];
    for leaves in REVISIONS {
        trees.push(edited(trees.last().expect("the empty tree"), leaves));
    }
    trees.push(trees[2].clone());
    trees.push(edited(&trees[4], &[("hosts/a/weight", "2.25")]));
    let authors = [
        author(Source::Files, "operators", "spring"),
        author(Source::Management, "ana", "7"),
        author(Source::CommandLine, "rui", ""),
        author(Source::RolledBack(2), "rui", ""),
        author(Source::Management, "ana", "8"),
    ];
    let history = authors.into_iter().enumerate().map(|(index, author)| {
        let number = index as u64 + 1;
        RevisionRecord {
            number,
            based_on: if number == 3 { 1 } else { number - 1 },
            at: START + 100.0 * index as f64 + 0.125,
            author,
            changes: trees[index].differences(&trees[index + 1]).into(),
        }
    });
    let host = |name: &str| name.parse().expect("a host name");
    DatastoreState {
        revision: 5,
        tree: Arc::new(trees[5].clone()),
        first_listed: Arc::new([(host("b"), START + 0.25), (host("c"), START + 0.5)].into()),
        drained: [(host("b"), START + 0.75)].into(),
        history: history.collect(),
        rejections: rejected_commits(),
    }
}

/// A pending commit of a session, and one that outlives its session by a name.
fn stored_pending() -> [PendingCommit; 2] {
    let pending = |session, persist_id| PendingCommit {
        rolls_back_to: 4,
        expires_at: START + 1000.5,
        session,
        persist_id,
        author: author(Source::Management, "ana", "8"),
    };
    [
        pending(Some(SessionId(2)), None),
        pending(None, Some("rollout".to_owned())),
    ]
}

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/stored_state")
        .join(name)
}

fn golden(name: &str) -> String {
    fs::read_to_string(golden_path(name)).expect("the golden file is committed")
}

fn as_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("it has a form") + "\n"
}

/// Asserts that the golden file reads as this value, and that both are written as the same bytes.
fn assert_stored<T: Debug + PartialEq + Serialize + DeserializeOwned>(name: &str, expected: &T) {
    let bytes = golden(name);
    let read: T = serde_json::from_str(&bytes).expect("it is still read");
    assert_eq!(as_json(&read), bytes, "{name} is written back otherwise");
    assert_eq!(&read, expected, "{name} is read as something else");
    assert_eq!(as_json(expected), bytes, "{name} is written otherwise");
}

#[test]
fn memory_is_stored_as_the_same_bytes() {
    assert_stored("memory.json", &stored_state());
}

#[test]
fn a_pending_commit_is_stored_as_the_same_bytes() {
    assert_stored("pending.json", &stored_pending());
}

#[test]
fn a_tree_without_routes_and_ring_is_still_read() {
    let bytes = golden("older-tree.json");
    let read: Tree = serde_json::from_str(&bytes).expect("it is still read");
    let mut expected = (*stored_state().tree).clone();
    (expected.routes, expected.rollout) = Default::default();
    assert_eq!(read, expected);
}

/// Writes the golden files anew; see the module's documentation.
#[test]
#[ignore = "writes the golden files anew, deliberately only"]
fn regenerate() {
    if std::env::var_os("KESTRELTIDE_REGENERATE_GOLDEN").is_none() {
        return;
    }
    let write = |name: &str, text: String| fs::write(golden_path(name), text).expect("written");
    let memory = stored_state();
    write("memory.json", as_json(&memory));
    write("pending.json", as_json(&stored_pending()));
    let mut older = serde_json::to_value(&memory.tree).expect("it has a form");
    let fields = older.as_object_mut().expect("an object");
    assert!(fields.remove("routes").is_some() && fields.remove("ring").is_some());
    write("older-tree.json", as_json(&older));
}
