//! Overrides by operators: weights of hosts, holds, rollbacks and caps of a canary, and pools of hosts. Weights never
//! overload a host that warms up, and a request is finished under the revision under which it was received.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use common::*;
use kestreltide::interface::*;
use kestreltide::operator_weights::{
    EffectiveWeight, apply_weights, max_relative_share, relative_share,
};
use rstest::rstest;

/// Overrides of this revision that set the weights of some hosts, given by id and weight.
fn weight_overrides(revision: u64, weights: &[(u64, f64)]) -> Arc<OperatorOverrides> {
    let weights = weights
        .iter()
        .map(|(host, weight)| (HostId(*host), *weight))
        .collect();
    Arc::new(OperatorOverrides {
        revision: Revision(revision),
        weights,
        rollout: None,
    })
}

/// The event that applies [`weight_overrides`] together with changes of the endpoint list.
fn weights_applied(revision: u64, weights: &[(u64, f64)], entries: &[HostEntry]) -> Event {
    Event::OperatorOverridesApplied {
        overrides: weight_overrides(revision, weights),
        entries: entries.into(),
    }
}

/// The fraction of attempts at each host.
fn shares_by_host(sent: &[HostEntry]) -> BTreeMap<u64, f64> {
    let mut counts = BTreeMap::new();
    sent.iter()
        .for_each(|to| *counts.entry(to.host.0).or_insert(0.0) += 1.0 / sent.len() as f64);
    counts
}

/// Sends requests at a steady rate for this time, of which about five are always in flight; returns the host of each.
fn run_with_open_requests(harness: &mut RouterHarness, seconds: f64) -> Vec<HostEntry> {
    let (mut open, mut sent, until) = (VecDeque::new(), vec![], harness.now + seconds);
    while harness.now < until {
        harness.run(0.01, succeed);
        let (id, effects) = harness.send_request(IDEMPOTENT, None);
        if let Some(to) = attempted_host(&effects) {
            sent.extend(harness.hosts.iter().find(|host| host.host == to).copied());
            open.push_back(id);
        }
        if open.len() > 5 {
            open.pop_front()
                .map(|id| harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 0.1));
        }
    }
    while let Some(id) = open.pop_front() {
        harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 0.1);
    }
    sent
}

fn succeed(_: &HostEntry, _: OperationId) -> (AttemptOutcome, f64) {
    (AttemptOutcome::Succeeded, 0.1)
}

#[rstest]
#[case::half(0.5, 0.14)]
#[case::tenth(0.1, 0.03)]
#[case::double(2.0, 0.40)]
fn a_host_gets_traffic_by_its_weight(#[case] weight: f64, #[case] expected: f64) {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.handle(weights_applied(1, &[(0, weight)], &[]));
    let sent = run_with_open_requests(&mut harness, 40.0);
    let share = shares_by_host(&sent).get(&0).copied().unwrap_or(0.0);
    // The router draws two hosts by weight and takes the less loaded one. Thus a host with a low weight gets between
    // its share and twice its share.
    assert!(
        (0.6 * expected..2.1 * expected).contains(&share),
        "{share} of {expected}"
    );
}

#[test]
fn weights_change_neither_the_cap_nor_the_votes() {
    let run = |weights: &[(u64, f64)]| {
        let mut harness = RouterHarness::new(
            ServiceSettings {
                exposure_allowance: 0.0,
                ..service_settings()
            },
            4,
        );
        harness.run(4.0, succeed);
        harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.1));
        harness.set_endpoint_list(
            (0..4)
                .map(|id| {
                    running_host(
                        id,
                        if id == 0 {
                            CANARY_BUILD
                        } else {
                            BASELINE_BUILD
                        },
                        None,
                    )
                })
                .collect(),
        );
        harness.handle(weights_applied(1, weights, &[]));
        let (votes, sent) = harness.run(12.0, succeed);
        (
            votes.contains(&Vote::Promote),
            shares_by_host(&sent).get(&0).copied().unwrap_or(0.0),
        )
    };
    let (is_promoted, heavy_share) = run(&[(0, 100.0)]);
    assert!(
        is_promoted && heavy_share <= 0.1,
        "{is_promoted} {heavy_share}"
    );
    let (is_promoted, light_share) = run(&[(0, 0.1)]);
    assert!(
        is_promoted && light_share < 0.06,
        "a canary with a low weight gets less and is promoted all the same: {is_promoted} {light_share}"
    );
}

#[test]
fn a_restarted_host_with_a_high_weight_gets_no_more_than_it_can_carry_until_it_is_warm() {
    let mut harness = RouterHarness::new(service_settings(), 10);
    harness.handle(weights_applied(1, &[(0, 20.0)], &[]));
    let before = run_with_open_requests(&mut harness, 8.0);
    let now = harness.now;
    let entries = [running_host(0, BASELINE_BUILD, Some(now))].into();
    harness.handle(Event::EndpointList {
        scope: ListScope::Delta,
        entries,
    });
    harness.hosts[0] = running_host(0, BASELINE_BUILD, Some(now));
    // 0.5 s after its start the host can carry 0.475 of its full load, and is overloaded at three times that.
    let cold = run_with_open_requests(&mut harness, 0.5);
    run_with_open_requests(&mut harness, 3.6);
    let warm = run_with_open_requests(&mut harness, 8.0);
    let relative_share_of_first =
        |sent: &[HostEntry]| 10.0 * shares_by_host(sent).get(&0).copied().unwrap_or(0.0);
    assert!(
        relative_share_of_first(&before) > 3.0 && relative_share_of_first(&warm) > 3.0,
        "{} {}",
        relative_share_of_first(&before),
        relative_share_of_first(&warm)
    );
    assert!(
        relative_share_of_first(&cold) < 3.0 * 0.475,
        "{}",
        relative_share_of_first(&cold)
    );
}

/// The host of a retry of a request that was received under the first revision, after the second has been applied.
#[rstest]
#[case::host_added(&[running_host(1, BASELINE_BUILD, None), running_host(2, BASELINE_BUILD, None)], &[1])]
#[case::host_stopped(&[HostEntry { state: HostState::Stopping, ..running_host(1, BASELINE_BUILD, None) }, running_host(2, BASELINE_BUILD, None)], &[])]
#[case::host_stopped_and_added_again(&[HostEntry { state: HostState::Stopping, ..running_host(1, BASELINE_BUILD, None) }, running_host(1, BASELINE_BUILD, None)], &[])]
fn a_retry_uses_only_hosts_of_the_revision_of_its_request(
    #[case] changes: &[HostEntry],
    #[case] expected_hosts: &[u64],
) {
    let mut tried = 0;
    for _ in 0..20 {
        let mut harness = RouterHarness::new(service_settings(), 0);
        harness.handle(weights_applied(
            1,
            &[],
            &[
                running_host(0, BASELINE_BUILD, None),
                running_host(1, BASELINE_BUILD, None),
            ],
        ));
        let (id, effects) = harness.send_request(IDEMPOTENT, None);
        if attempted_host(&effects) != Some(HostId(0)) {
            continue;
        }
        tried += 1;
        harness.handle(weights_applied(
            2,
            &[],
            &[
                &[HostEntry {
                    state: HostState::Removed,
                    ..running_host(0, BASELINE_BUILD, None)
                }],
                changes,
            ]
            .concat(),
        ));
        let next =
            attempted_host(&harness.finish_attempt(&id, 0, AttemptOutcome::NoConnection, 0.0));
        assert_eq!(next.map(|host| host.0), expected_hosts.first().copied());
        let (_, effects) = harness.send_request(IDEMPOTENT, None);
        let new_request_host = attempted_host(&effects).map(|host| host.0);
        assert!(
            new_request_host.is_some_and(|host| host != 0),
            "a new request uses the hosts of the second revision: {new_request_host:?}"
        );
    }
    assert!(tried > 0);
}

#[test]
fn a_retry_uses_the_weights_of_the_revision_of_its_request() {
    let retries_at_last_host = |weights: &[(u64, f64)]| {
        let mut count = 0;
        for seed in 0..400 {
            let mut harness = RouterHarness::new(service_settings(), 3);
            (0..seed % 7).for_each(|_| drop(harness.send_request(IDEMPOTENT, None)));
            harness.handle(weights_applied(1, weights, &[]));
            let (id, _) = harness.send_request(IDEMPOTENT, None);
            harness.handle(weights_applied(2, &[], &[]));
            let next =
                attempted_host(&harness.finish_attempt(&id, 0, AttemptOutcome::NoConnection, 0.0));
            count += u32::from(next == Some(HostId(2)));
        }
        count
    };
    // The second revision has equal weights; the retry still uses the low weight of the first.
    let (light, even) = (
        retries_at_last_host(&[(2, 0.01)]),
        retries_at_last_host(&[]),
    );
    assert!(light * 4 < even, "{light} {even}");
}

/// The effective weights of these hosts.
fn effective_weights(hosts: &[EffectiveWeight], overload_multiple: f64) -> Vec<f64> {
    let mut hosts = hosts.to_vec();
    apply_weights(&mut hosts, overload_multiple);
    hosts.into_iter().map(|host| host.weight).collect()
}

/// A host of size 1.
fn host_weight(weight: f64, warm_up_fraction: f64) -> EffectiveWeight {
    EffectiveWeight {
        size: 1.0,
        weight,
        warm_up_fraction,
    }
}

/// Fleets in which the weight of hosts in slow start is high in absolute terms, relative to the others or in sum.
#[rstest]
#[case::one_high_weight(vec![host_weight(50.0, 0.4), host_weight(1.0, 1.0), host_weight(1.0, 1.0)])]
#[case::low_weights_of_others(vec![host_weight(1.0, 0.4), host_weight(0.01, 1.0), host_weight(0.01, 1.0)])]
#[case::low_weights_of_others_in_slow_start(vec![host_weight(1.0, 0.4), host_weight(0.01, 0.4), host_weight(0.01, 0.4), host_weight(1.0, 1.0)])]
#[case::all_in_slow_start(vec![host_weight(9.0, 0.4), host_weight(1.0, 0.5), host_weight(0.1, 0.6)])]
#[case::many_high_weights([vec![host_weight(100.0, 0.4); 10], vec![host_weight(1.0, 1.0); 90]].concat())]
fn effective_weights_do_not_exceed_what_hosts_in_slow_start_can_carry(
    #[case] hosts: Vec<EffectiveWeight>,
) {
    let weights = effective_weights(&hosts, 3.0);
    let mean = weights.iter().sum::<f64>() / weights.len() as f64;
    assert!((mean - 1.0).abs() < 1e-9, "an even share is 1: {mean}");
    for (host, weight) in hosts.iter().zip(&weights) {
        assert!(
            *weight <= max_relative_share(host.warm_up_fraction, 3.0) + 1e-9,
            "{weight} of {host:?}"
        );
        assert!(
            *weight
                <= relative_share(host, &hosts).max(max_relative_share(host.warm_up_fraction, 3.0))
                    + 1e-9
                || host.warm_up_fraction >= 1.0
        );
    }
}

#[test]
fn equal_weights_have_no_effect() {
    assert_eq!(
        effective_weights(&[host_weight(7.0, 0.4), host_weight(7.0, 1.0)], 3.0),
        [1.0, 1.0]
    );
    assert_eq!(effective_weights(&[], 3.0), [0.0; 0]);
}

/// The event that applies an override of the rollout.
fn rollout_override_applied(revision: u64, rollout: RolloutOverride) -> Event {
    let overrides = OperatorOverrides {
        revision: Revision(revision),
        weights: [].into(),
        rollout: Some(rollout),
    };
    Event::OperatorOverridesApplied {
        overrides: overrides.into(),
        entries: [].into(),
    }
}

/// The vote on a good canary and its largest share of requests, for each override by operators.
#[rstest]
#[case::no_change(RolloutOverride { build: CANARY_BUILD, hold: false, roll_back: false, cap: 1.0 }, Some(Vote::Promote), 0.29)]
#[case::hold(RolloutOverride { build: CANARY_BUILD, hold: true, roll_back: false, cap: 1.0 }, None, 0.29)]
#[case::roll_back(RolloutOverride { build: CANARY_BUILD, hold: false, roll_back: true, cap: 1.0 }, Some(Vote::RollBack), 0.29)]
#[case::roll_back_and_hold(RolloutOverride { build: CANARY_BUILD, hold: true, roll_back: true, cap: 1.0 }, Some(Vote::RollBack), 0.29)]
#[case::lower_cap(RolloutOverride { build: CANARY_BUILD, hold: false, roll_back: false, cap: 0.05 }, Some(Vote::Promote), 0.05)]
#[case::zero_cap(RolloutOverride { build: CANARY_BUILD, hold: true, roll_back: false, cap: 0.0 }, None, 0.0)]
#[case::another_build(RolloutOverride { build: BuildId(9), hold: true, roll_back: true, cap: 0.0 }, Some(Vote::Promote), 0.29)]
fn operators_can_hold_a_canary_roll_it_back_or_lower_its_cap_but_not_raise_it(
    #[case] requested: RolloutOverride,
    #[case] expected_vote: Option<Vote>,
    #[case] max_share: f64,
) {
    let mut harness = RouterHarness::new(
        ServiceSettings {
            exposure_allowance: 0.0,
            ..service_settings()
        },
        4,
    );
    harness.run(4.0, succeed);
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.29));
    harness.set_endpoint_list(
        (0..4)
            .map(|id| {
                running_host(
                    id,
                    if id == 0 {
                        CANARY_BUILD
                    } else {
                        BASELINE_BUILD
                    },
                    None,
                )
            })
            .collect(),
    );
    harness.handle(rollout_override_applied(1, requested));
    let (votes, sent) = harness.run(12.0, succeed);
    let votes: Vec<_> = votes
        .into_iter()
        .filter(|cast| *cast != Vote::Abstain)
        .collect();
    assert!(
        votes.iter().all(|cast| Some(*cast) == expected_vote)
            && votes.is_empty() == expected_vote.is_none(),
        "{votes:?}"
    );
    let share = shares_by_host(&sent).get(&0).copied().unwrap_or(0.0);
    assert!(share <= max_share, "{share}");
    assert!(max_share < 0.1 || share > 0.1, "{share}");
}

#[test]
fn a_hold_does_not_prevent_the_rollback_of_a_bad_build() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(4.0, succeed);
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.3));
    harness.set_endpoint_list(
        (0..4)
            .map(|id| {
                running_host(
                    id,
                    if id == 0 {
                        CANARY_BUILD
                    } else {
                        BASELINE_BUILD
                    },
                    None,
                )
            })
            .collect(),
    );
    harness.handle(rollout_override_applied(
        1,
        RolloutOverride {
            build: CANARY_BUILD,
            hold: true,
            roll_back: false,
            cap: 1.0,
        },
    ));
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
    assert!(harness.run(12.0, respond).0.contains(&Vote::RollBack));
}

#[test]
fn a_request_and_its_retries_use_only_the_hosts_of_its_pool() {
    let mut harness = RouterHarness::new(service_settings(), 6);
    let pool = Arc::new(HostPool {
        hosts: vec![HostId(1), HostId(4)],
        ..HostPool::default()
    });
    for number in 0..50 {
        let (id, key) = (RequestId(format!("pool-{number}").into()), None);
        let (operation, time_left, pool) = (IDEMPOTENT, 2.0, Some(pool.clone()));
        let request = Request {
            id: id.clone(),
            operation,
            key,
            time_left,
            work: None,
            is_retry: false,
            pool,
        };
        let mut next = attempted_host(&harness.handle(Event::RequestReceived(request)));
        assert!(next.is_some());
        let mut attempt = 0;
        while let Some(HostId(host)) = next {
            assert!([1, 4].contains(&host), "{host}");
            next = attempted_host(&harness.finish_attempt(
                &id,
                attempt,
                AttemptOutcome::Rejected,
                0.0,
            ));
            attempt += 1;
        }
    }
}
