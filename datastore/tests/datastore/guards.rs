//! The guards, and the checks of addresses and starts.

use kestreltide::interface::*;
use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

#[rstest]
#[case::duplicate_address(&[("hosts/h1/endpoint", "127.0.0.1:7000")], "is the address of h0 too")]
#[case::too_many_removed(&[("hosts/h0/state", "out"), ("hosts/h1/state", "out"), ("hosts/h2/state", "out")], "3 of 4")]
#[case::all_hosts_of_a_zone_removed(&[("hosts/h0/state", "out"), ("hosts/h2/state", "out")], "zone north would be left")]
#[case::start_in_the_future(&[("hosts/h0/started", "1000050")], "lies 50.0 s ahead")]
fn a_dangerous_edit_is_rejected_with_the_reason(
    #[case] edits: &[(&str, &str)],
    #[case] reason: &str,
) {
    let mut store = datastore_with_hosts(4);
    let errors = rejection_errors(try_edits(&mut store, edits, &facts_at(0.0)));
    assert!(
        errors
            .iter()
            .any(|error| error.to_string().contains(reason)),
        "{errors:?}"
    );
}

#[test]
fn guards_of_the_revision_in_force_apply_to_a_candidate() {
    let mut store = datastore_with_hosts(4);
    let loosen = [
        ("guards/largest-removal", "1"),
        ("guards/least-hosts-zone", "0"),
        ("guards/least-hosts-build", "0"),
    ];
    let out = [
        ("hosts/h0/state", "out"),
        ("hosts/h1/state", "out"),
        ("hosts/h2/state", "out"),
    ];
    assert!(
        try_edits(
            &mut store,
            &[loosen.as_slice(), &out].concat(),
            &facts_at(0.0)
        )
        .is_err()
    );
    try_edits(&mut store, &loosen, &facts_at(0.0)).expect("changing only the guards is valid");
    try_edits(&mut store, &out, &facts_at(0.0)).expect("the new guards allow the removal");
}

#[test]
fn the_last_host_of_the_canary_cannot_be_taken_out() {
    let mut store = datastore_with_hosts(4);
    let mut candidate = Candidate::new(store.in_force());
    add_host(&mut candidate.tree, "new", 9000, "north", 42);
    store
        .commit(&candidate, author("test"), &facts_at(0.0))
        .expect("the commit is valid");
    let (outcome, phase) = (AttemptOutcome::Succeeded, Phase::Canary);
    let rollout = RolloutStatus {
        outcome,
        build: BuildId(42),
        stage: 0,
        phase,
        cap: 0.1,
        age: 1.0,
        answers_vote: false,
    };
    let facts = Facts {
        rollout: Some(rollout),
        ..facts_at(1.0)
    };
    let errors = rejection_errors(try_edits(&mut store, &[("hosts/new/state", "out")], &facts));
    assert!(
        errors[0].problem.contains("build 42 would be left"),
        "{}",
        errors[0]
    );
}
