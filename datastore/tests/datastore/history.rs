//! History, rollback and persistence.

use std::collections::BTreeSet;

use kestreltide::interface::*;
use kestreltide_datastore::*;
use proptest::prelude::*;

use crate::support::*;

#[test]
fn a_rollback_creates_a_new_revision() {
    let mut store = datastore_with_hosts(4);
    try_edits(&mut store, &[("hosts/h1/weight", "2")], &facts_at(0.0)).expect("revision 2");
    try_edits(
        &mut store,
        &[("hosts/h1/weight", "3"), ("hosts/h2/size", "4")],
        &facts_at(1.0),
    )
    .expect("revision 3");
    store
        .roll_back(Revision(2), author("ana"), &facts_at(2.0))
        .expect("the rollback is valid");
    let in_force = store.in_force();
    assert_eq!(
        (in_force.revision, in_force.tree.get(&path("hosts/h2/size"))),
        (Revision(4), None)
    );
    let last = store.history().next_back().expect("a kept revision");
    assert_eq!(
        (last.author.source.clone(), last.changes.len()),
        (Source::RolledBack(2), 2)
    );
    let error = store
        .tree_at(Revision(9))
        .expect_err("the revision does not exist");
    assert_eq!(error.expected, "0 to 4");
}

#[test]
fn history_is_bounded_by_revisions_and_changed_leaves() {
    let mut store = datastore_with_hosts(10);
    let limits = HistoryLimits {
        revisions: 20,
        changes: 60,
        rejections: 4,
        drained: 8,
    };
    store = Datastore::from_state(rule_settings(), limits, store.state());
    for number in 0..100u32 {
        let edits: Vec<_> = (0..8)
            .map(|host| {
                (
                    format!("hosts/h{host}/weight"),
                    format!("{}", 1 + number % 9),
                )
            })
            .collect();
        let edits: Vec<_> = edits
            .iter()
            .map(|(path, text)| (path.as_str(), text.as_str()))
            .collect();
        try_edits(&mut store, &edits, &facts_at(f64::from(number))).expect("the commit is valid");
        // Rejected, as no host x is listed.
        let _ = try_edits(
            &mut store,
            &[("hosts/x/weight", "1")],
            &facts_at(f64::from(number)),
        );
    }
    assert!(
        store
            .history()
            .map(|record| record.changes.len())
            .sum::<usize>()
            <= 60
    );
    // Each revision changes eight leaves, so that 60 changed leaves allow seven revisions.
    assert!(store.history().count() <= 7 && store.rejections().count() <= 4);
    let oldest = store
        .history()
        .next()
        .map(|record| record.number - 1)
        .expect("a kept revision");
    store
        .tree_at(Revision(oldest))
        .expect("the oldest restorable revision");
}

#[test]
fn persisted_state_round_trips_through_json() {
    let mut store = datastore_with_hosts(6);
    try_edits(
        &mut store,
        &[("hosts/h1/state", "draining"), ("hosts/h2/weight", "0.3")],
        &facts_at(0.0),
    )
    .expect("revision 2");
    // Rejected, as no host x is listed, so that the state contains a rejection.
    let _ = try_edits(&mut store, &[("hosts/x/weight", "1")], &facts_at(1.0));
    let text = serde_json::to_string(&store.state()).expect("serializable");
    let state: DatastoreState = serde_json::from_str(&text).expect("deserializable");
    assert_eq!(state, store.state());
    let restored = Datastore::from_state(rule_settings(), HistoryLimits::default(), state);
    assert_eq!(*restored.in_force().tree, *store.in_force().tree);
    assert_eq!(restored.snapshot().hosts.len(), 6);
}

/// A random change of one leaf of one of eight hosts; `-` removes the value.
fn any_edit() -> impl Strategy<Value = (String, String)> {
    let leaf = prop_oneof![
        Just(("weight", vec!["0.01", "1", "3", "100", "-"])),
        Just(("state", vec!["in-service", "draining", "out", "-"])),
        Just(("size", vec!["1", "8", "-"])),
        Just(("endpoint", vec!["127.0.0.1:7001", "127.0.0.1:7300", "-"])),
        Just(("started", vec!["999990", "1000004", "-"])),
        Just(("zone", vec!["north", "west", "-"])),
    ];
    (0u32..8, leaf).prop_flat_map(|(host, (leaf, texts))| {
        let path = format!("hosts/h{host}/{leaf}");
        proptest::sample::select(texts).prop_map(move |text| (path.clone(), text.to_owned()))
    })
}

proptest! {
    /// Commits random candidates that are made from one of the newest three revisions. A rejected commit changes
    /// nothing, the differences of each revision lead from the previous tree to the new one and back, no two hosts
    /// share an address, and the tree of every revision can be restored.
    #[test]
    fn random_commits_keep_tree_and_history_consistent(attempts in prop::collection::vec((prop::collection::vec(any_edit(), 1..5), 0usize..3), 1..40)) {
        let mut store = datastore_with_hosts(6);
        let mut bases = vec![store.in_force().clone()];
        let mut trees = vec![(store.in_force().revision, store.in_force().tree.clone())];
        for (number, (edits, age)) in attempts.iter().enumerate() {
            let base = &bases[bases.len().saturating_sub(1 + age)];
            let mut candidate = Candidate::new(base);
            for (at, text) in edits {
                set_leaves(&mut candidate.tree, &[(at, text)]);
            }
            let before = (store.in_force().revision, store.in_force().tree.clone());
            match store.commit(&candidate, author("any"), &facts_at(number as f64)) {
                Ok(CommitOutcome::Applied(snapshot)) => {
                    prop_assert_eq!(snapshot.revision(), Revision(before.0.0 + 1));
                    let changes = &store.history().next_back().expect("a kept revision").changes;
                    prop_assert_eq!(&before.1.with_changes(changes).expect("the changes can be applied"), &*store.in_force().tree);
                    prop_assert_eq!(&store.in_force().tree.without_changes(changes).expect("the changes can be applied"), &*before.1);
                    bases.push(store.in_force().clone());
                    trees.push((store.in_force().revision, store.in_force().tree.clone()));
                }
                Ok(CommitOutcome::Unchanged) | Err(_) => {
                    prop_assert_eq!(before, (store.in_force().revision, store.in_force().tree.clone()));
                }
            }
            let ports: Vec<_> = store.in_force().tree.hosts.values().filter_map(|set| set.endpoint).collect();
            prop_assert_eq!(ports.iter().collect::<BTreeSet<_>>().len(), ports.len());
        }
        for (revision, tree) in trees {
            prop_assert_eq!(&store.tree_at(revision).expect("history keeps the revision"), &*tree);
        }
    }
}

/// Damaged stored state may contain a revision 0, which has no predecessor: computing one would underflow.
#[test]
fn a_stored_revision_0_has_no_predecessor() {
    let store = datastore_with_hosts(2);
    let mut state = store.state();
    let mut first = state.history.front().expect("a revision").clone();
    first.number = 0;
    state.history.push_front(first);
    let restored = Datastore::from_state(rule_settings(), HistoryLimits::default(), state);
    assert_eq!(
        restored.tree_at(Revision(1)).as_ref(),
        Ok(&*store.in_force().tree)
    );
    let error = restored
        .tree_at(Revision(9))
        .expect_err("the revision does not exist");
    assert_eq!(error.expected, "0 to 1");
}
