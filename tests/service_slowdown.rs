//! A slowdown of canary and baseline hosts alike, which the canary may cause by overloading something that they share.

mod common;

use common::*;
use kestreltide::interface::*;

#[test]
fn a_canary_is_rolled_back_if_both_builds_slow_down() {
    let mut harness = with_canary_and_latency(0.3, service_settings(), 8);
    let (votes, _) = harness.run(20.0, |_, _| (AttemptOutcome::Succeeded, 0.85));
    assert!(
        !votes.contains(&Vote::Promote) && votes.last() == Some(&Vote::RollBack),
        "{votes:?}"
    );
}

#[test]
fn a_slowdown_of_the_baseline_hosts_delays_the_promotion_but_does_not_block_it() {
    let mut harness = with_canary_and_latency(0.3, service_settings(), 8);
    let respond = |h: &HostEntry, _| {
        (
            AttemptOutcome::Succeeded,
            if h.build == BASELINE_BUILD { 0.85 } else { 0.3 },
        )
    };
    assert!(
        !harness.run(4.0, respond).0.contains(&Vote::Promote),
        "few fast canary hosts do not outweigh the slow baseline hosts at once"
    );
    assert!(
        harness.run(6.0, respond).0.contains(&Vote::Promote),
        "a lasting slowdown of the baseline does not block the promotion"
    );
}

#[test]
fn a_canary_that_slows_both_builds_is_rolled_back_sooner_with_a_shorter_bake_time() {
    let steps_until_roll_back = |bake_time| {
        let mut harness = with_canary_and_latency(
            0.3,
            ServiceSettings {
                bake_time,
                ..service_settings()
            },
            8,
        );
        let respond = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.75);
        (1..200)
            .find(|_| harness.run(0.1, respond).0.contains(&Vote::RollBack))
            .expect("a vote to roll back")
    };
    let (long, short) = (steps_until_roll_back(3.0), steps_until_roll_back(1.8));
    assert!(f64::from(short) < 0.8 * f64::from(long), "{short} {long}");
}

#[test]
fn a_slowdown_without_baseline_hosts_does_not_roll_the_canary_back() {
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
