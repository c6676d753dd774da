//! Exposure: the part of requests that the canary gets by its cap, sticky keys and its share of the hosts.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[rstest]
#[case::in_rollout_status(CANARY_BUILD, Phase::Canary, 0.1, 0.1)]
#[case::not_in_rollout_status_yet(BASELINE_BUILD, Phase::Released, 1.0, 0.3)]
#[case::rolling_back(CANARY_BUILD, Phase::RollingBack, 0.0, 0.0)]
fn attempts_at_a_canary_stay_within_the_cap(
    #[case] build: BuildId,
    #[case] phase: Phase,
    #[case] status_cap: f64,
    #[case] expected_cap: f64,
) {
    let mut harness = RouterHarness::new(service_settings(), 1);
    harness.handle(rollout_status(build, 0, phase, status_cap));
    harness.set_endpoint_list(
        (1..4)
            .map(|id| running_host(id, CANARY_BUILD, None))
            .chain([running_host(0, BASELINE_BUILD, None)])
            .collect(),
    );
    let (_, sent) = harness.run(1.9, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let canary = sent.iter().filter(|h| h.build == CANARY_BUILD).count() as f64;
    let limit = if expected_cap > 0.0 {
        2.0 + expected_cap * f64::from(harness.request_count)
    } else {
        0.0
    };
    assert!(
        canary <= limit && (expected_cap == 0.0 || canary > 0.0),
        "{canary} of {limit}"
    );
}

#[test]
fn a_stage_for_idempotent_operations_only_gets_no_other_requests() {
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
fn a_sticky_key_stays_with_the_canary_until_it_is_rolled_back() {
    let mut harness = with_canary(
        ServiceSettings {
            sticky_keys: true,
            exposure_allowance: 100.0,
            ..service_settings()
        },
        4,
    );
    let request_key = |harness: &mut RouterHarness, key: &str| {
        let (id, effects) = harness.send_request(IDEMPOTENT, Some(key));
        harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 0.1);
        attempted_host(&effects) == Some(HostId(0))
    };
    let key = (0..200)
        .map(|n| format!("key-{n}"))
        .find(|key| request_key(&mut harness, key))
        .expect("a key that the canary host answers");
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

/// More sticky keys than a router binds individually.
const MANY_KEYS: usize = 40_000;

/// Sends a request with this key, which its host answers; returns the host.
fn answered_by(harness: &mut RouterHarness, key: &str) -> Option<HostId> {
    harness.now += 0.1;
    let (id, effects) = harness.send_request(IDEMPOTENT, Some(key));
    harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 0.1);
    attempted_host(&effects)
}

/// Guards against bindings that are forgotten where there are too many to keep each.
#[test]
fn keys_that_a_released_build_has_answered_go_to_no_earlier_build_however_many_they_are() {
    let settings = ServiceSettings {
        sticky_keys: true,
        ..service_settings()
    };
    let mut harness = RouterHarness::new(settings, 1);
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Released, 1.0));
    harness.set_endpoint_list(vec![running_host(0, CANARY_BUILD, None)]);
    for number in 0..MANY_KEYS {
        assert!(answered_by(&mut harness, &format!("key-{number}")).is_some());
    }
    harness.set_endpoint_list(vec![running_host(1, BASELINE_BUILD, None)]);
    for number in (0..MANY_KEYS).step_by(1000) {
        assert_eq!(
            answered_by(&mut harness, &format!("key-{number}")),
            None,
            "key {number}"
        );
    }
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::RollingBack, 0.0));
    assert_eq!(answered_by(&mut harness, "key-0"), Some(HostId(1)));
}

/// Guards against new keys without service, and against forgotten bindings, once no further key can be bound to a canary.
#[test]
fn new_keys_go_to_the_baseline_once_no_further_ones_can_be_bound_to_the_canary() {
    let mut harness = with_canary(
        ServiceSettings {
            sticky_keys: true,
            exposure_allowance: 1e9,
            ..service_settings()
        },
        4,
    );
    let canary_host = Some(HostId(0));
    let mut at_canary = vec![];
    for number in 0..4 * MANY_KEYS {
        let key = format!("key-{number}");
        let host = answered_by(&mut harness, &key);
        assert!(host.is_some(), "key {number}");
        if host == canary_host {
            at_canary.push(key);
        }
    }
    assert!(at_canary.len() > MANY_KEYS / 2 && at_canary.len() < MANY_KEYS);
    for number in 0..100 {
        let host = answered_by(&mut harness, &format!("late-{number}"));
        assert!(host.is_some() && host != canary_host, "late key {number}");
    }
    for key in at_canary.iter().step_by(1000) {
        assert_eq!(answered_by(&mut harness, key), canary_host, "{key}");
    }
}

/// Slow replies of the baseline hosts lower the limit on attempts in flight, so that few requests are admitted. The
/// idle canary hosts must still get their part of all requests.
#[test]
fn idle_hosts_of_a_faster_canary_get_their_share_of_all_requests() {
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
    let (mut in_flight, mut at_canary, mut admitted) = (std::collections::VecDeque::new(), 0, 0);
    for _ in 0..1000 {
        harness.now += 0.005;
        while in_flight
            .front()
            .is_some_and(|(ends_at, _)| *ends_at <= harness.now)
        {
            let (_, id) = in_flight.pop_front().expect("a front element");
            harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 1.6);
        }
        let (id, effects) = harness.send_request(IDEMPOTENT, None);
        let Some(to) = attempted_host(&effects) else {
            continue;
        };
        admitted += 1;
        if harness
            .hosts
            .iter()
            .any(|h| h.host == to && h.build == CANARY_BUILD)
        {
            at_canary += 1;
            harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 0.1);
        } else {
            in_flight.push_back((harness.now + 1.6, id));
        }
    }
    assert!(admitted < 700, "{admitted} of 1000 admitted, few expected");
    assert!(
        at_canary > 150,
        "{at_canary} of 1000 with a quarter of the hosts and a cap of 0.3"
    );
}
