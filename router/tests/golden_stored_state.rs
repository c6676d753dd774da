//! Golden files of a router's stored state (`revisions.json`): reading, writing and printing it.
//!
//! `tests/golden/stored_state/revisions.json` holds five revisions, a pending commit, a version
//! that is held back and two rejected versions; its `memory` field equals the datastore's golden
//! file. `older.json` is the same state without the fields that were added later (`pending`, and
//! `routes` and `ring` of a tree). The text files are what the `revisions` command prints for it.
//!
//! No ordinary test run writes these files. This command regenerates them; review the result:
//!
//! ```text
//! export KESTRELTIDE_REGENERATE_GOLDEN=1
//! cargo test -p kestreltide-router --test golden_stored_state -- --ignored
//! ```

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use kestreltide_datastore::commit_coordinator::PendingCommit;
use kestreltide_datastore::{Author, DatastoreState, Source, ValidationError};
use kestreltide_router::management_threads::{PendingVersion, PersistedState, load};
use kestreltide_testkit::{
    RouterProcess, TEST_TIMEOUT, endpoint_list, router_config, unused_address,
};
use rstest::rstest;
use serde_json::Value;
use tempfile::TempDir;

/// Path of the router's executable.
const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
/// The operator file, and a watched file that is invalid, so that the router starts from its stored state.
const OPERATOR: &str =
    "[datastore]\nstate-directory = .\n[watch]\nhosts = hosts.ini\ndiscovery = off\n";
const INVALID_HOSTS_FILE: &str = "generation = summer\n[hots a]\n";
/// The first line of the stored file, and the beginning of its last line.
const HEADER: &str = "kestreltide-revisions 1\n";
const CHECKSUM: &str = "check ";
/// When the golden state was written, in seconds since the Unix epoch.
const WRITTEN_AT_UNIX_S: f64 = 1_790_000_500.25;

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/stored_state")
        .join(name)
}

fn golden(name: &str) -> String {
    fs::read_to_string(golden_path(name)).expect("the golden file is committed")
}

/// The JSON between the first line and the checksum line, after a check of the checksum.
fn body(stored: &str) -> &str {
    let body = stored.strip_prefix(HEADER).expect("the first line");
    let (body, checksum) = body.split_once('\n').expect("a line of JSON");
    let covered = stored.len() - checksum.len() - 1;
    let sum = crc32fast::hash(&stored.as_bytes()[..covered]);
    assert_eq!(checksum, format!("{CHECKSUM}{sum:08x}\n"));
    body
}

/// A stored file with this JSON.
fn with_checksum(body: &str) -> String {
    let covered = format!("{HEADER}{body}");
    let sum = crc32fast::hash(covered.as_bytes());
    format!("{covered}\n{CHECKSUM}{sum:08x}\n")
}

/// A folder with an operator file, the invalid watched file and this golden file as stored state.
fn folder_with_state(name: &str) -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    fs::write(folder.path().join("operator.ini"), OPERATOR).expect("the file is written");
    fs::write(folder.path().join("hosts.ini"), INVALID_HOSTS_FILE).expect("the file is written");
    fs::write(folder.path().join("revisions.json"), golden(name)).expect("the file is written");
    folder
}

/// Runs the `revisions` command and returns its standard output followed by its standard error.
fn run_revisions(folder: &Path, options: &[&str]) -> String {
    let mut command = Command::new(BINARY);
    command.arg("revisions").args(options).current_dir(folder);
    let output = command.output().expect("the program starts");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    text(output.stdout) + &text(output.stderr)
}

/// The golden file of each call of the `revisions` command, and the options of the call.
const REVISIONS_CALLS: [(&str, &[&str]); 8] = [
    ("revisions.txt", &["--state", "."]),
    ("newest.txt", &["--state", ".", "--newest", "2"]),
    ("diff-1.txt", &["--state", ".", "--diff", "1"]),
    ("diff-2.txt", &["--state", ".", "--diff", "2"]),
    ("diff-3.txt", &["--state", ".", "--diff", "3"]),
    ("diff-4.txt", &["--state", ".", "--diff", "4"]),
    ("diff-5.txt", &["--state", ".", "--diff", "5"]),
    ("diff-none.txt", &["--state", ".", "--diff", "9"]),
];

#[rstest]
#[case::current_format("revisions.json")]
#[case::older_format("older.json")]
fn revisions_output_matches_the_golden_files(#[case] stored: &str) {
    let folder = folder_with_state(stored);
    for (name, options) in REVISIONS_CALLS {
        assert_eq!(
            run_revisions(folder.path(), options),
            golden(name),
            "{name}"
        );
    }
    let by_operator_file = run_revisions(folder.path(), &["-o", "operator.ini"]);
    assert_eq!(by_operator_file, golden("revisions.txt"));
    let stored_after =
        fs::read_to_string(folder.path().join("revisions.json")).expect("the stored state exists");
    assert_eq!(
        stored_after,
        golden(stored),
        "the command must not change the stored file"
    );
}

#[test]
fn stored_state_is_written_back_byte_for_byte() {
    let folder = folder_with_state("revisions.json");
    let loaded = load(folder.path())
        .expect("the stored state is valid")
        .expect("the stored state exists");
    let written = serde_json::to_string(&loaded).expect("the state can be serialized");
    assert_eq!(with_checksum(&written), golden("revisions.json"));
    assert_eq!(loaded, golden_state());
}

#[test]
fn fields_added_later_have_defaults_when_missing() {
    let folder = folder_with_state("older.json");
    let loaded = load(folder.path())
        .expect("the stored state is valid")
        .expect("the stored state exists");
    assert_eq!(loaded, without_later_fields(golden_state()));
}

/// Starts a router with the operator file of this folder.
fn start(folder: &Path) -> RouterProcess {
    let operator = folder.join("operator.ini").display().to_string();
    let config = router_config(unused_address(), &endpoint_list(1, true, &[]));
    RouterProcess::start_with_env(BINARY, &config, &[("KESTRELTIDE_OPERATOR", operator)])
}

/// Waits until the stored file differs from the golden one and contains this text.
fn wait_for_stored_text(folder: &Path, golden: &str, text: &str) -> String {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let stored = fs::read_to_string(folder.join("revisions.json")).unwrap_or_default();
        if stored != golden && stored.contains(text) {
            return stored;
        }
        assert!(Instant::now() < deadline, "{text} is not stored: {stored}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Collects the path of every key of every object; all items of a list have the same path.
fn collect_key_paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, field)| {
            let path = format!("{path}/{key}");
            collect_key_paths(field, &path, found);
            found.insert(path);
        }),
        Value::Array(items) => items
            .iter()
            .for_each(|item| collect_key_paths(item, path, found)),
        _ => {}
    }
}

fn key_paths(body: &str) -> BTreeSet<String> {
    let value: Value = serde_json::from_str(body).expect("it is JSON");
    let mut found = BTreeSet::new();
    collect_key_paths(&value, "", &mut found);
    found
}

/// The text of the list `history`, without its closing bracket.
fn history(body: &str) -> &str {
    let (_, rest) = body.split_once("\"history\":[").expect("a history");
    let (history, _) = rest.split_once("],\"refusals\":").expect("its end");
    history
}

#[test]
fn a_start_rolls_back_the_pending_commit_and_keeps_the_rest() {
    let folder = folder_with_state("revisions.json");
    let golden = golden("revisions.json");
    let program = start(folder.path());
    program.wait_for_log_since_start("persisted state loaded, router: n0, revision: 5");
    program.wait_for_log_since_start("unconfirmed commit rolled back, router: n0, revision: 6");
    program.wait_for_log_since_start("revision applied, router: n0, revision: 6");
    let stored = wait_for_stored_text(folder.path(), &golden, "\"revision\":6");
    let (before, after) = (body(&golden), body(&stored));
    assert!(history(after).starts_with(history(before)), "{after}");
    let rollback_author =
        r#""author":{"source":{"rolled-back":4},"name":"ana","version":"not confirmed"},"#;
    let rollback_changes = r#""changes":[{"path":{"Host":["a","weight"]},"old":{"Number":2.25},"new":{"Number":1.5}}]}"#;
    assert!(
        history(after).ends_with(&format!("{rollback_author}{rollback_changes}")),
        "{after}"
    );
    let golden_paths = key_paths(before);
    let (removed, added): (BTreeSet<_>, BTreeSet<_>) = (
        golden_paths
            .difference(&key_paths(after))
            .cloned()
            .collect(),
        key_paths(after)
            .difference(&golden_paths)
            .cloned()
            .collect(),
    );
    assert!(added.is_empty(), "{added:?}");
    let of_pending_or_held =
        |key: &String| key.starts_with("/pending/") || key.starts_with("/held/");
    assert!(removed.iter().all(of_pending_or_held), "{removed:?}");
    assert!(
        after.contains(r#""pending":null"#) && after.contains(r#""held":null"#),
        "{after}"
    );
}

#[test]
fn a_start_with_an_older_format_keeps_its_revision_in_force() {
    let folder = folder_with_state("older.json");
    let program = start(folder.path());
    program.wait_for_log_since_start("persisted state loaded, router: n0, revision: 5");
    let stored = wait_for_stored_text(folder.path(), &golden("older.json"), "\"revision\":5");
    let (before, after) = (golden("revisions.json"), body(&stored));
    assert_eq!(history(after), history(body(&before)));
    assert!(after.contains(r#""pending":null"#), "{after}");
}

/// Reads one of the datastore's golden files.
fn datastore_golden<T: serde::de::DeserializeOwned>(name: &str) -> T {
    let folder =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../datastore/tests/golden/stored_state");
    let text = fs::read_to_string(folder.join(name)).expect("the datastore's golden file");
    serde_json::from_str(&text).expect("the stored state is valid")
}

/// The state in `revisions.json`, built from the datastore's golden files.
fn golden_state() -> PersistedState {
    let datastore: DatastoreState = datastore_golden("memory.json");
    let [session_commit, named_commit]: [PendingCommit; 2] = datastore_golden("pending.json");
    let author = Author {
        source: Source::Files,
        name: "operators".into(),
        version: "winter".into(),
    };
    let error = ValidationError::new("hosts/d", "no such host is listed", "out", "a listed host");
    PersistedState {
        router: "n0".into(),
        written_at: WRITTEN_AT_UNIX_S,
        files: (*datastore.tree).clone(),
        datastore,
        generation: "spring".into(),
        pending_version: Some(PendingVersion {
            since: WRITTEN_AT_UNIX_S - 50.0,
            author,
            errors: error.with_retry_at(WRITTEN_AT_UNIX_S + 50.0).into(),
        }),
        pending_commit: Some(PendingCommit {
            persist_id: named_commit.persist_id,
            ..session_commit
        }),
        revisions_applied: 5,
        longest_apply_time: 0.001_25,
    }
}

/// The state in `older.json`: the same with defaults for the fields that were added later.
fn without_later_fields(mut state: PersistedState) -> PersistedState {
    let mut tree = (*state.datastore.tree).clone();
    (tree.routes, tree.rollout) = Default::default();
    state.files = tree.clone();
    state.datastore.tree = tree.into();
    state.pending_commit = None;
    state
}

/// Regenerates the golden files; see the module's documentation.
#[test]
#[ignore = "regenerates the golden files"]
fn regenerate() {
    if std::env::var_os("KESTRELTIDE_REGENERATE_GOLDEN").is_none() {
        return;
    }
    let write =
        |name: &str, text: String| fs::write(golden_path(name), text).expect("the file is written");
    let body = serde_json::to_string(&golden_state()).expect("the state can be serialized");
    write("revisions.json", with_checksum(&body));
    let mut older = serde_json::to_value(golden_state()).expect("the state can be serialized");
    let mut remove = |object_path: &str, field: &str| {
        let object = older
            .pointer_mut(object_path)
            .and_then(Value::as_object_mut);
        let removed = object.expect("an object").remove(field);
        assert!(removed.is_some(), "{object_path}/{field}");
    };
    remove("", "pending");
    for tree in ["/memory/tree", "/files"] {
        remove(tree, "routes");
        remove(tree, "ring");
    }
    write("older.json", with_checksum(&older.to_string()));
    let folder = folder_with_state("revisions.json");
    for (name, options) in REVISIONS_CALLS {
        write(name, run_revisions(folder.path(), options));
    }
}
