//! The assessment of the canary from the merged evidence of all routers, seen in the votes that one router casts.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[rstest]
#[case::all_operations_fail(|_: OperationId| AttemptOutcome::Error)]
#[case::one_operation_fails(|o: OperationId| if o == WITH_IDEMPOTENCY_KEY { AttemptOutcome::Error } else { AttemptOutcome::Succeeded })]
fn a_failing_build_is_rolled_back(#[case] outcome: fn(OperationId) -> AttemptOutcome) {
    let mut harness = with_canary(service_settings(), 8);
    let respond = |h: &HostEntry, o| {
        (
            if h.build == CANARY_BUILD {
                outcome(o)
            } else {
                AttemptOutcome::Succeeded
            },
            0.1,
        )
    };
    let (votes, _) = harness.run(6.0, respond);
    assert!(
        !votes.contains(&Vote::Promote) && votes.last() == Some(&Vote::RollBack),
        "{votes:?}"
    );
}

#[test]
fn a_slower_build_is_rolled_back_even_within_the_latency_objective() {
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
fn a_stage_is_not_promoted_before_its_hosts_run_the_canary() {
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

/// Where canary hosts are added beside the baseline hosts, the share of a stage is relative to the baseline hosts: 0.4
/// of ten hosts are four canary hosts.
#[rstest]
#[case::all_canary_hosts_run(4, true)]
#[case::one_is_missing(3, false)]
fn a_stage_beside_the_baseline_hosts_is_promoted_once_its_own_hosts_run(
    #[case] canary_hosts: u64,
    #[case] is_promoted: bool,
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
    let (baseline, canary) = (
        (0..10).map(|id| running_host(id, BASELINE_BUILD, None)),
        (10..10 + canary_hosts).map(|id| running_host(id, CANARY_BUILD, None)),
    );
    harness.set_endpoint_list(baseline.chain(canary).collect());
    let (votes, _) = harness.run(6.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert_eq!(votes.contains(&Vote::Promote), is_promoted, "{votes:?}");
}

#[rstest]
#[case::key_affinity(true)]
#[case::no_key_affinity(false)]
fn a_slower_build_is_rolled_back_only_without_key_affinity(#[case] key_affinity: bool) {
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
fn errors_of_a_few_hosts_do_not_count_against_the_build() {
    // With this many hosts, none gets enough attempts in 4 s to be ejected.
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
    let fails = |h: &HostEntry| h.host.0 < 50 && h.build == CANARY_BUILD;
    // The baseline hosts miss the latency objective, so that only errors can count against the canary.
    let respond = |h: &HostEntry, _| {
        let took = if h.build == BASELINE_BUILD { 0.85 } else { 0.1 };
        (
            if fails(h) {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Succeeded
            },
            took,
        )
    };
    assert!(!harness.run(4.0, respond).0.contains(&Vote::RollBack));
}

#[rstest]
#[case::alone(1, true)]
#[case::with_peers_that_have_no_evidence(600, false)]
fn own_outcomes_are_not_enough_evidence_in_a_large_fleet(
    #[case] routers: u32,
    #[case] is_rolled_back: bool,
) {
    let settings = ServiceSettings {
        promotion_gate: PromotionGate::VoteShare,
        promote_votes: routers,
        roll_back_votes: routers,
        ..service_settings()
    };
    let mut harness = with_canary(
        ServiceSettings {
            routers,
            ..settings
        },
        8,
    );
    let respond = |h: &HostEntry, _| {
        (
            if h.build == CANARY_BUILD {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Succeeded
            },
            0.1,
        )
    };
    assert_eq!(
        harness.run(5.0, respond).0.contains(&Vote::RollBack),
        is_rolled_back
    );
}
