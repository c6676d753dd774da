//! Exposure: what the canary gets, by its cap, sticky keys and its share of the machines.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[rstest]
#[case::named(CANARY_BUILD, Phase::Canary, 0.1, 0.1)]
#[case::not_named_yet(BASELINE_BUILD, Phase::Released, 1.0, 0.3)]
#[case::going_back(CANARY_BUILD, Phase::RollingBack, 0.0, 0.0)]
fn attempts_at_a_canary_stay_within_the_cap(
    #[case] build: BuildId,
    #[case] phase: Phase,
    #[case] told: f64,
    #[case] cap: f64,
) {
    let mut harness = RouterHarness::new(service_settings(), 1);
    harness.handle(rollout_status(build, 0, phase, told));
    harness.set_endpoint_list(
        (1..4)
            .map(|id| running_host(id, CANARY_BUILD, None))
            .chain([running_host(0, BASELINE_BUILD, None)])
            .collect(),
    );
    let (_, sent) = harness.run(1.9, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let canary = sent.iter().filter(|h| h.build == CANARY_BUILD).count() as f64;
    let most = if cap > 0.0 {
        2.0 + cap * f64::from(harness.request_count)
    } else {
        0.0
    };
    assert!(
        canary <= most && (cap == 0.0 || canary > 0.0),
        "{canary} of {most}"
    );
}

#[test]
fn a_guarded_stage_takes_no_request_with_an_effect() {
    let mut harness = with_canary(
        ServiceSettings {
            idempotent_only_stages: 1,
            ..service_settings()
        },
        1,
    );
    assert!(attempted_host(&harness.send_request(IDEMPOTENT, None).1).is_some());
    assert!(attempted_host(&harness.send_request(WITH_IDEMPOTENCY_KEY, None).1).is_none());
}

#[test]
fn a_key_that_the_canary_answered_goes_to_no_baseline_build_until_it_goes_back() {
    let mut harness = with_canary(
        ServiceSettings {
            sticky_keys: true,
            exposure_allowance: 100.0,
            ..service_settings()
        },
        4,
    );
    let bind = |harness: &mut RouterHarness, key: &str| {
        let (id, effects) = harness.send_request(IDEMPOTENT, Some(key));
        harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 0.1);
        attempted_host(&effects) == Some(HostId(0))
    };
    let key = (0..200)
        .map(|n| format!("key-{n}"))
        .find(|key| bind(&mut harness, key))
        .expect("a key of the canary");
    assert!((0..10).all(
        |_| attempted_host(&harness.send_request(IDEMPOTENT, Some(&key)).1) == Some(HostId(0))
    ));
    harness.set_endpoint_list(
        (1..4)
            .map(|id| running_host(id, BASELINE_BUILD, None))
            .collect(),
    );
    assert_eq!(
        attempted_host(&harness.send_request(IDEMPOTENT, Some(&key)).1),
        None
    );
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::RollingBack, 0.0));
    assert!(attempted_host(&harness.send_request(IDEMPOTENT, Some(&key)).1).is_some());
}

/// Late answers of the baseline build hold the limit on attempts in flight: what is let in is few.
#[test]
fn idle_hosts_of_a_better_canary_get_their_part_of_all_that_comes() {
    let mut harness = with_canary(service_settings(), 16);
    harness.run(6.0, |entry, _| {
        (
            AttemptOutcome::Succeeded,
            if entry.build == CANARY_BUILD {
                0.1
            } else {
                1.6
            },
        )
    });
    let (mut out, mut at_canary, mut let_in) = (std::collections::VecDeque::new(), 0, 0);
    for _ in 0..1000 {
        harness.now += 0.005;
        while out.front().is_some_and(|(until, _)| *until <= harness.now) {
            let (_, id) = out.pop_front().expect("a first");
            harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 1.6);
        }
        let (id, effects) = harness.send_request(IDEMPOTENT, None);
        let Some(to) = attempted_host(&effects) else {
            continue;
        };
        let_in += 1;
        if harness
            .hosts
            .iter()
            .any(|h| h.host == to && h.build == CANARY_BUILD)
        {
            at_canary += 1;
            harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 0.1);
        } else {
            out.push_back((harness.now + 1.6, id));
        }
    }
    assert!(let_in < 700, "few are let in: {let_in}");
    assert!(
        at_canary > 150,
        "a quarter of the machines, a cap of 0.3: {at_canary} of 1000"
    );
}
