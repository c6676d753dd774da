//! Checks of addresses and starts, and the guards.

use kestreltide::interface::*;
use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

#[rstest]
#[case::one_address(&[("hosts/h1/endpoint", "127.0.0.1:7000")], "is the address of h0 too")]
#[case::nine_in_ten(&[("hosts/h0/state", "out"), ("hosts/h1/state", "out"), ("hosts/h2/state", "out")], "3 of 4")]
#[case::a_zone(&[("hosts/h0/state", "out"), ("hosts/h2/state", "out")], "zone north would be left")]
#[case::a_start_ahead(&[("hosts/h0/started", "1000050")], "lies 50.0 s ahead")]
fn a_dangerous_edit_is_rejected_with_the_reason(#[case] edits: &[(&str, &str)], #[case] why: &str) {
    let mut store = fleet(4);
    let errors = errors_of(try_edits(&mut store, edits, &facts(0.0)));
    assert!(
        errors.iter().any(|error| error.to_string().contains(why)),
        "{errors:?}"
    );
}

#[test]
fn guards_count_as_they_were_before_the_change() {
    let mut store = fleet(4);
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
    assert!(try_edits(&mut store, &[loosen.as_slice(), &out].concat(), &facts(0.0)).is_err());
    try_edits(&mut store, &loosen, &facts(0.0)).expect("guards alone");
    try_edits(&mut store, &out, &facts(0.0)).expect("now it is meant");
}

#[test]
fn the_canary_and_the_released_build_keep_hosts() {
    let mut store = fleet(4);
    let mut candidate = Candidate::new(store.in_force());
    host(&mut candidate.tree, "new", 9000, "north", 42);
    store
        .commit(&candidate, author("test"), &facts(0.0))
        .expect("well");
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
        ..facts(1.0)
    };
    let errors = errors_of(try_edits(&mut store, &[("hosts/new/state", "out")], &facts));
    assert!(
        errors[0].problem.contains("build 42 would be left"),
        "{}",
        errors[0]
    );
}
