//! Commits, rejected candidates, and candidates that are made from an earlier revision.

use std::collections::BTreeSet;

use kestreltide::interface::*;
use kestreltide_datastore::*;

use crate::support::*;

#[test]
fn a_commit_is_one_revision_and_its_snapshot_lists_what_changed() {
    let mut store = datastore_with_hosts(4);
    let outcome = try_edits(
        &mut store,
        &[("hosts/h1/weight", "2"), ("hosts/h3/state", "draining")],
        &facts_at(0.0),
    );
    let Ok(CommitOutcome::Applied(snapshot)) = outcome else {
        panic!("applied: {outcome:?}")
    };
    assert_eq!(snapshot.revision(), Revision(2));
    let named = |name| HostId::from_name(name);
    let mut changed = vec![named("h1"), named("h3")];
    changed.sort();
    assert_eq!(*snapshot.changed_hosts, changed);
    assert_eq!(*snapshot.overrides.weights, [(named("h1"), 2.0)]);
    let state = snapshot
        .configured(named("h3"))
        .and_then(|configured| configured.entry)
        .map(|entry| entry.state);
    assert_eq!(state, Some(HostState::Stopping));
    let again = try_edits(&mut store, &[("hosts/h1/weight", "2")], &facts_at(0.0));
    assert!(
        matches!(again, Ok(CommitOutcome::Unchanged)),
        "nothing changes, and no revision number is used"
    );
}

#[test]
fn all_errors_of_a_candidate_are_reported_and_nothing_of_it_is_applied() {
    let mut store = datastore_with_hosts(4);
    let before = store.state();
    let edits = [
        ("hosts/new/endpoint", "127.0.0.1:7001"),
        ("hosts/new/zone", "north"),
        ("hosts/nobody/weight", "3"),
        ("hosts/h0/started", "9000000"),
        ("hosts/h1/weight", "2"),
    ];
    let errors = rejection_errors(try_edits(&mut store, &edits, &facts_at(0.0)));
    let paths: BTreeSet<_> = errors.iter().map(|error| error.path.as_str()).collect();
    let expected = [
        "hosts/h0/started",
        "hosts/new/build",
        "hosts/new/kind",
        "hosts/nobody",
    ];
    assert_eq!(paths, expected.into_iter().collect());
    let after = store.state();
    assert_eq!(
        (after.tree, after.revision, after.history.len()),
        (before.tree, before.revision, 1)
    );
    let Some(RejectedCommit {
        revision, errors, ..
    }) = store.rejections().next_back()
    else {
        panic!("the rejection is recorded")
    };
    assert_eq!((*revision, errors.first.len()), (1, 4));
    assert!(
        errors.to_string().contains(
            "hosts/nobody: no such host is listed, by discovery or here (given: no entry"
        )
    );
}

#[test]
fn a_conflicting_candidate_is_rejected_with_the_author_of_the_first_change() {
    let mut store = datastore_with_hosts(4);
    let (mut one, mut two) = (
        Candidate::new(store.in_force()),
        Candidate::new(store.in_force()),
    );
    set_leaves(
        &mut one.tree,
        &[("hosts/h1/weight", "2"), ("hosts/h2/weight", "2")],
    );
    set_leaves(
        &mut two.tree,
        &[("hosts/h0/weight", "3"), ("hosts/h1/weight", "3")],
    );
    store
        .commit(&one, author("ana"), &facts_at(0.0))
        .expect("the first commit is valid");
    let errors = rejection_errors(store.commit(&two, author("rui"), &facts_at(0.3)));
    let [error] = errors.as_slice() else {
        panic!("one conflicting leaf: {errors:?}")
    };
    assert_eq!(
        (error.path.as_str(), error.found.as_str()),
        ("hosts/h1/weight", "3")
    );
    assert!(
        error
            .problem
            .contains("since revision 1 by revision 2 (files by ana, 1970-01-12T13:46:40.000Z)"),
        "{error}"
    );
    assert_eq!(
        store.in_force().tree.get(&path("hosts/h0/weight")),
        None,
        "nothing of the candidate is applied"
    );
}

#[test]
fn a_candidate_that_changes_other_leaves_is_rebased_and_checked() {
    let mut store = datastore_with_hosts(4);
    let (mut one, mut two) = (
        Candidate::new(store.in_force()),
        Candidate::new(store.in_force()),
    );
    let mut three = two.clone();
    set_leaves(&mut one.tree, &[("hosts/h1/state", "out")]);
    set_leaves(
        &mut two.tree,
        &[("hosts/h2/weight", "2"), ("hosts/h1/state", "out")],
    );
    set_leaves(&mut three.tree, &[("hosts/h3/state", "out")]);
    store
        .commit(&one, author("ana"), &facts_at(0.0))
        .expect("the first commit is valid");
    store
        .commit(&two, author("rui"), &facts_at(0.0))
        .expect("another leaf, or the same value, is no conflict");
    let errors = rejection_errors(store.commit(&three, author("eva"), &facts_at(0.0)));
    assert!(
        errors[0].problem.contains("zone south would be left"),
        "valid on its own, but not on top of the revision in force"
    );
}
