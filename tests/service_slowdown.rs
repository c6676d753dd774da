//! A slowdown of the whole service, which a canary may cause.

mod common;

use common::*;
use kestreltide::interface::*;

#[test]
fn a_build_that_slows_both_arms_is_not_promoted() {
    let mut harness = with_canary_and_latency(0.3, service_settings(), 8);
    let (votes, _) = harness.run(20.0, |_, _| (AttemptOutcome::Succeeded, 0.85));
    assert!(
        !votes.contains(&Vote::Promote) && votes.last() == Some(&Vote::RollBack),
        "{votes:?}"
    );
}

#[test]
fn a_stage_is_not_moved_on_at_once_while_the_baseline_hosts_are_slow_and_late() {
    let mut harness = with_canary_and_latency(0.3, service_settings(), 8);
    let burst = |h: &HostEntry, _| {
        (
            AttemptOutcome::Succeeded,
            if h.build == BASELINE_BUILD { 0.85 } else { 0.3 },
        )
    };
    assert!(
        !harness.run(4.0, burst).0.contains(&Vote::Promote),
        "the canary's few hosts are quicker, that says little"
    );
    assert!(
        harness.run(6.0, burst).0.contains(&Vote::Promote),
        "nor does a lasting trouble keep a build for good"
    );
}

#[test]
fn a_build_that_slows_both_arms_goes_back_sooner_where_stages_are_shorter() {
    let back_after = |bake| {
        let mut harness = with_canary_and_latency(
            0.3,
            ServiceSettings {
                bake_time: bake,
                ..service_settings()
            },
            8,
        );
        let slow = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.75);
        (1..200)
            .find(|_| harness.run(0.1, slow).0.contains(&Vote::RollBack))
            .expect("a vote back")
    };
    let (long, short) = (back_after(3.0), back_after(1.8));
    assert!(f64::from(short) < 0.8 * f64::from(long), "{short} {long}");
}

#[test]
fn with_no_baseline_host_left_a_passing_slowness_sends_nothing_back() {
    let mut harness = with_canary_and_latency(
        0.3,
        ServiceSettings {
            stage_shares: vec![1.0],
            ..service_settings()
        },
        8,
    );
    harness.handle(rollout_status(CANARY_BUILD, 1, Phase::Canary, 1.0));
    harness.set_endpoint_list(
        (0..8)
            .map(|id| running_host(id, CANARY_BUILD, None))
            .collect(),
    );
    let (votes, _) = harness.run(9.0, |_, _| (AttemptOutcome::Succeeded, 0.85));
    assert!(!votes.contains(&Vote::RollBack), "{votes:?}");
}
