//! The assessment of the canary by the merged evidence.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[rstest]
#[case::all_fails(|_: OperationId| AttemptOutcome::Error)]
#[case::one_operation_fails(|o: OperationId| if o == WITH_IDEMPOTENCY_KEY { AttemptOutcome::Error } else { AttemptOutcome::Succeeded })]
fn a_build_that_fails_is_rolled_back(#[case] outcome: fn(OperationId) -> AttemptOutcome) {
    let mut harness = with_canary(service_settings(), 8);
    let how = |h: &HostEntry, o| {
        (
            if h.build == CANARY_BUILD {
                outcome(o)
            } else {
                AttemptOutcome::Succeeded
            },
            0.1,
        )
    };
    let (votes, _) = harness.run(6.0, how);
    assert!(
        !votes.contains(&Vote::Promote) && votes.last() == Some(&Vote::RollBack),
        "{votes:?}"
    );
}

#[test]
fn a_slow_build_is_rolled_back_though_it_keeps_the_latency_objective() {
    let mut harness = with_canary(service_settings(), 8);
    let (votes, _) = harness.run(8.0, |h, _| {
        (
            AttemptOutcome::Succeeded,
            if h.build == CANARY_BUILD { 0.3 } else { 0.1 },
        )
    });
    assert_eq!(votes.last(), Some(&Vote::RollBack));
}

#[test]
fn no_stage_is_moved_on_before_its_machines_run() {
    let mut harness = with_canary(service_settings(), 8);
    let entries: Vec<_> = harness
        .hosts
        .iter()
        .map(|h| running_host(h.host.0, BASELINE_BUILD, None))
        .collect();
    harness.set_endpoint_list(entries);
    let (votes, _) = harness.run(6.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert_eq!(votes, []);
}

/// Where the baseline's machines stay beside the new ones, the places are those of the baseline build.
#[rstest]
#[case::all_of_the_stage_run(4, true)]
#[case::one_is_missing(3, false)]
fn a_stage_beside_the_baseline_machines_is_there_once_its_own_run(
    #[case] new: u64,
    #[case] on: bool,
) {
    let mut harness = RouterHarness::new(
        ServiceSettings {
            stage_shares: vec![0.4],
            replaces_in_place: false,
            ..service_settings()
        },
        10,
    );
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.5));
    let (baseline, later) = (
        (0..10).map(|id| running_host(id, BASELINE_BUILD, None)),
        (10..10 + new).map(|id| running_host(id, CANARY_BUILD, None)),
    );
    harness.set_endpoint_list(baseline.chain(later).collect());
    let (votes, _) = harness.run(6.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert_eq!(votes.contains(&Vote::Promote), on, "{votes:?}");
}

#[rstest]
#[case::keys_are_known(true)]
#[case::no_keys(false)]
fn new_hosts_that_know_no_keys_are_no_slow_build(#[case] key_affinity: bool) {
    let mut harness = with_canary(
        ServiceSettings {
            key_affinity,
            ..service_settings()
        },
        8,
    );
    let (votes, _) = harness.run(8.0, |h, _| {
        (
            AttemptOutcome::Succeeded,
            if h.build == CANARY_BUILD { 0.3 } else { 0.1 },
        )
    });
    assert_eq!(votes.contains(&Vote::RollBack), !key_affinity);
}

#[test]
fn errors_of_a_few_hosts_are_not_the_builds() {
    // Too many hosts for any to be met often: none has failed enough yet to be set aside.
    let mut harness = with_canary(
        ServiceSettings {
            stage_shares: vec![0.5],
            ..service_settings()
        },
        200,
    );
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.9));
    let build = |id: u64| {
        if id.is_multiple_of(2) {
            CANARY_BUILD
        } else {
            BASELINE_BUILD
        }
    };
    harness.set_endpoint_list(
        (0..200)
            .map(|id| running_host(id, build(id), None))
            .collect(),
    );
    let few = |h: &HostEntry| h.host.0 < 50 && h.build == CANARY_BUILD;
    // The baseline hosts are late, so that errors alone could speak against the canary.
    let how = |h: &HostEntry, _| {
        let took = if h.build == BASELINE_BUILD { 0.85 } else { 0.1 };
        (
            if few(h) {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Succeeded
            },
            took,
        )
    };
    assert!(!harness.run(4.0, how).0.contains(&Vote::RollBack));
}

#[rstest]
#[case::alone(1, true)]
#[case::among_many_that_know_nothing_yet(600, false)]
fn own_outcomes_times_eta_are_no_evidence_until_peers_tell_them(
    #[case] routers: u32,
    #[case] back: bool,
) {
    let all_vote = ServiceSettings {
        promotion_gate: PromotionGate::VoteShare,
        promote_votes: routers,
        roll_back_votes: routers,
        ..service_settings()
    };
    let mut harness = with_canary(
        ServiceSettings {
            routers,
            ..all_vote
        },
        8,
    );
    let how = |h: &HostEntry, _| {
        (
            if h.build == CANARY_BUILD {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Succeeded
            },
            0.1,
        )
    };
    assert_eq!(harness.run(5.0, how).0.contains(&Vote::RollBack), back);
}
