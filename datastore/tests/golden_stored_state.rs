//! Golden files of the datastore's part of a router's stored state, compared byte by byte.
//!
//! The files under `tests/golden/stored_state/` contain every stored field and every variant of every stored enum. A
//! stored key must keep its spelling, as a router has to read the state that an earlier build of it stored.
//!
//! No test writes these files in a normal run. The following commands regenerate them, and then the router's golden
//! files that depend on them; the changes have to be reviewed:
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

/// The base of all times, in Unix seconds.
const START: f64 = 1_790_000_000.0;

/// The leaves that each of the first three revisions sets; an empty text removes the value.
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

/// Returns the tree with these leaves set from text; an empty text removes the value.
fn with_leaves(tree: &Tree, leaves: &[(&str, &str)]) -> Tree {
    let mut tree = tree.clone();
    for (path, text) in leaves {
        let path: Path = path.parse().expect("a valid path");
        let value = (!text.is_empty()).then(|| path.leaf().parse(text).expect("a valid value"));
        tree.set(&path, value).expect("a value of the leaf's type");
    }
    tree
}

/// Returns two rejected commits: one breaks every rule and has more errors than are kept, the other can be retried.
fn rejected_commits() -> VecDeque<RejectedCommit> {
    let mut first_errors = ValidationErrors::default();
    let rules = [
        Rule::OneAnswer,
        Rule::NoEffectTwice,
        Rule::DrainsKept,
        Rule::WarmUpRespected,
        Rule::ExposureCapped,
    ];
    for (number, rule) in rules.into_iter().enumerate() {
        let path = format!("hosts/h{number}/state");
        first_errors
            .push(ValidationError::new(path, "breaks a rule", "out", "in-service").with_rule(rule));
    }
    first_errors.more = 3;
    let retryable_error =
        ValidationError::new("running", "is locked", "a commit", "the same later");
    let last_errors = ValidationErrors::from(
        retryable_error
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
        rejected(
            150.0,
            2,
            author(Source::Management, "eva", ""),
            first_errors,
        ),
        rejected(
            350.5,
            4,
            author(Source::Files, "operators", "autumn"),
            last_errors,
        ),
    ])
}

/// Returns a state with five revisions. The first four each have another source of the change; the fifth is the commit
/// that [`stored_pending`] describes as not yet confirmed.
fn stored_state() -> DatastoreState {
    let mut trees = vec![Tree::default()];
    for leaves in REVISIONS {
        trees.push(with_leaves(trees.last().expect("the empty tree"), leaves));
    }
    trees.push(trees[2].clone());
    trees.push(with_leaves(&trees[4], &[("hosts/a/weight", "2.25")]));
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

/// Returns a pending commit that only its session may confirm, and one with a persist id.
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
    serde_json::to_string(value).expect("serializable") + "\n"
}

/// Asserts that the golden file is read as this value, and that both are written as the bytes of the file.
fn assert_stored<T: Debug + PartialEq + Serialize + DeserializeOwned>(name: &str, expected: &T) {
    let bytes = golden(name);
    let read: T = serde_json::from_str(&bytes).expect("the golden file can be read");
    assert_eq!(as_json(&read), bytes, "{name} is written back differently");
    assert_eq!(&read, expected, "{name} is read as another value");
    assert_eq!(as_json(expected), bytes, "{name} is written differently");
}

#[test]
fn datastore_state_is_stored_as_the_same_bytes() {
    assert_stored("memory.json", &stored_state());
}

#[test]
fn a_pending_commit_is_stored_as_the_same_bytes() {
    assert_stored("pending.json", &stored_pending());
}

#[test]
fn a_tree_stored_without_routes_and_rollout_can_be_read() {
    let bytes = golden("older-tree.json");
    let read: Tree = serde_json::from_str(&bytes).expect("the golden file can be read");
    let mut expected = (*stored_state().tree).clone();
    (expected.routes, expected.rollout) = Default::default();
    assert_eq!(read, expected);
}

/// Regenerates the golden files; see the module's documentation.
#[test]
#[ignore = "overwrites the golden files, run only on purpose"]
fn regenerate() {
    if std::env::var_os("KESTRELTIDE_REGENERATE_GOLDEN").is_none() {
        return;
    }
    let write =
        |name: &str, text: String| fs::write(golden_path(name), text).expect("the file is written");
    let state = stored_state();
    write("memory.json", as_json(&state));
    write("pending.json", as_json(&stored_pending()));
    let mut older = serde_json::to_value(&state.tree).expect("serializable");
    let fields = older.as_object_mut().expect("a JSON object");
    assert!(fields.remove("routes").is_some() && fields.remove("ring").is_some());
    write("older-tree.json", as_json(&older));
}
