//! Rule 5: builds that are rolled back, and overrides of a rollout.

use kestreltide::interface::*;
use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

#[rstest]
#[case::rolled_back(Phase::RolledBack, true)]
#[case::rolling_back(Phase::RollingBack, true)]
#[case::canary(Phase::Canary, false)]
fn no_host_joins_a_build_that_is_rolled_back(#[case] phase: Phase, #[case] is_rejected: bool) {
    let mut store = datastore_with_hosts(4);
    let outcome = AttemptOutcome::Succeeded;
    let rollout = RolloutStatus {
        outcome,
        build: BuildId(42),
        stage: 0,
        phase,
        cap: 0.1,
        age: 1.0,
        answers_vote: false,
    };
    let mut candidate = Candidate::new(store.in_force());
    add_host(&mut candidate.tree, "new", 9000, "north", 42);
    let facts = Facts {
        rollout: Some(rollout),
        ..facts_at(0.0)
    };
    assert_eq!(
        store.commit(&candidate, author("test"), &facts).is_err(),
        is_rejected
    );
}

#[rstest]
#[case::hold(&[("ring/build", "42"), ("ring/hold", "true")], None)]
#[case::lowered_cap(&[("ring/build", "42"), ("ring/cap", "0.05")], None)]
#[case::raised_cap(&[("ring/build", "42"), ("ring/cap", "0.2")], Some("ring/cap: would be raised, and can only be lowered (given: 0.2; taken: 0.1 at most"))]
#[case::other_build(&[("ring/build", "41"), ("ring/back", "true")], Some("ring/build: is not the build that the platform tells of (given: 41"))]
#[case::no_build(&[("ring/back", "true")], Some("ring/build: does not say which build is meant"))]
fn rollout_overrides_only_lower_the_exposure(
    #[case] edits: &[(&str, &str)],
    #[case] reason: Option<&str>,
) {
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
        ..facts_at(0.0)
    };
    let mut store = datastore_with_hosts(4);
    match (try_edits(&mut store, edits, &facts), reason) {
        (result, None) => drop(result.expect("the commit is valid")),
        (result, Some(reason)) => {
            assert!(rejection_errors(result)[0].to_string().starts_with(reason))
        }
    }
    // An override for an earlier build does not prevent other changes.
    let later = Facts {
        rollout: Some(RolloutStatus {
            build: BuildId(43),
            ..rollout
        }),
        ..facts
    };
    try_edits(&mut store, &[("hosts/h1/weight", "2")], &later).expect("the commit is valid");
}
