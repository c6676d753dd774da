//! History, roll back and persistence.

use std::collections::BTreeSet;

use kestreltide::interface::*;
use kestreltide_datastore::*;
use proptest::prelude::*;

use crate::support::*;

#[test]
fn rolling_back_makes_a_new_revision() {
    let mut store = fleet(4);
    try_edits(&mut store, &[("hosts/h1/weight", "2")], &facts(0.0)).expect("2");
    try_edits(
        &mut store,
        &[("hosts/h1/weight", "3"), ("hosts/h2/size", "4")],
        &facts(1.0),
    )
    .expect("3");
    store
        .roll_back(Revision(2), author("ana"), &facts(2.0))
        .expect("back");
    let now = store.in_force();
    assert_eq!(
        (now.revision, now.tree.get(&path("hosts/h2/size"))),
        (Revision(4), None)
    );
    let last = store.history().next_back().expect("a record");
    assert_eq!(
        (last.author.source.clone(), last.changes.len()),
        (Source::RolledBack(2), 2)
    );
    let error = store.tree_at(Revision(9)).expect_err("it never was");
    assert_eq!(error.expected, "0 to 4");
}

#[test]
fn history_is_bounded_by_revisions_and_by_what_they_changed() {
    let mut store = fleet(10);
    let limits = HistoryLimits {
        revisions: 20,
        changes: 60,
        rejections: 4,
        drained: 8,
    };
    store = Datastore::from_state(rules(), limits, store.state());
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
        try_edits(&mut store, &edits, &facts(f64::from(number))).expect("taken");
        let _ = try_edits(
            &mut store,
            &[("hosts/x/weight", "1")],
            &facts(f64::from(number)),
        );
    }
    assert!(
        store
            .history()
            .map(|record| record.changes.len())
            .sum::<usize>()
            <= 60
    );
    assert!(store.history().count() <= 7 && store.rejections().count() <= 4);
    let oldest = store
        .history()
        .next()
        .map(|record| record.number - 1)
        .expect("a record");
    store
        .tree_at(Revision(oldest))
        .expect("the oldest that is held");
}

#[test]
fn the_persisted_state_reads_back_as_it_was() {
    let mut store = fleet(6);
    try_edits(
        &mut store,
        &[("hosts/h1/state", "draining"), ("hosts/h2/weight", "0.3")],
        &facts(0.0),
    )
    .expect("2");
    let _ = try_edits(&mut store, &[("hosts/x/weight", "1")], &facts(1.0));
    let text = serde_json::to_string(&store.state()).expect("it has a form");
    let state: DatastoreState = serde_json::from_str(&text).expect("it reads back");
    assert_eq!(state, store.state());
    let again = Datastore::from_state(rules(), HistoryLimits::default(), state);
    assert_eq!(*again.in_force().tree, *store.in_force().tree);
    assert_eq!(again.snapshot().hosts.len(), 6);
}

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
    /// Whatever is tried, by whom and on whatever base: a refusal changes nothing, every revision can be
    /// walked back to, what is in force is well by the checks that need no history, and differences are exact.
    #[test]
    fn long_histories_stay_consistent(tries in prop::collection::vec((prop::collection::vec(any_edit(), 1..5), 0usize..3), 1..40)) {
        let mut store = fleet(6);
        let mut bases = vec![store.in_force().clone()];
        let mut trees = vec![(store.in_force().revision, store.in_force().tree.clone())];
        for (number, (edits, back)) in tries.iter().enumerate() {
            let base = &bases[bases.len().saturating_sub(1 + back)];
            let mut candidate = Candidate::new(base);
            for (at, text) in edits {
                edit(&mut candidate.tree, &[(at, text)]);
            }
            let before = (store.in_force().revision, store.in_force().tree.clone());
            match store.commit(&candidate, author("any"), &facts(number as f64)) {
                Ok(CommitOutcome::Applied(snapshot)) => {
                    prop_assert_eq!(snapshot.revision(), Revision(before.0.0 + 1));
                    let changes = &store.history().next_back().expect("a record").changes;
                    prop_assert_eq!(&before.1.with_changes(changes).expect("it applies"), &*store.in_force().tree);
                    prop_assert_eq!(&store.in_force().tree.without_changes(changes).expect("it applies"), &*before.1);
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
            prop_assert_eq!(&store.tree_at(revision).expect("history holds it"), &*tree);
        }
    }
}

/// Stored state that is damaged may hold a revision 0, before which there is none.
#[test]
fn a_stored_revision_0_has_none_before_it() {
    let store = fleet(2);
    let mut state = store.state();
    let mut first = state.history.front().expect("a revision").clone();
    first.number = 0;
    state.history.push_front(first);
    let restored = Datastore::from_state(rules(), HistoryLimits::default(), state);
    assert_eq!(
        restored.tree_at(Revision(1)).as_ref(),
        Ok(&*store.in_force().tree)
    );
    let error = restored.tree_at(Revision(9)).expect_err("it never was");
    assert_eq!(error.expected, "0 to 1");
}
