//! Stories of what operators set, as the decisions meet it: weights only share out what hosts may have, and an
//! request is finished under the revision that it came under.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use common::*;
use kestreltide::interface::*;
use kestreltide::operator_weights::{
    EffectiveWeight, apply_weights, max_relative_share, relative_share,
};
use rstest::rstest;

fn set(revision: u64, weights: &[(u64, f64)]) -> Arc<OperatorOverrides> {
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

fn operators(revision: u64, weights: &[(u64, f64)], entries: &[HostEntry]) -> Event {
    Event::OperatorOverridesApplied {
        overrides: set(revision, weights),
        entries: entries.into(),
    }
}

fn shares(sent: &[HostEntry]) -> BTreeMap<u64, f64> {
    let mut counts = BTreeMap::new();
    sent.iter()
        .for_each(|to| *counts.entry(to.host.0).or_insert(0.0) += 1.0 / sent.len() as f64);
    counts
}

/// Asks at a steady pace while each answer takes a while, so that several are always open; whom it was sent to.
fn busy(harness: &mut RouterHarness, seconds: f64) -> Vec<HostEntry> {
    let (mut open, mut sent, until) = (VecDeque::new(), vec![], harness.now + seconds);
    while harness.now < until {
        harness.run(0.01, well);
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

fn well(_: &HostEntry, _: OperationId) -> (AttemptOutcome, f64) {
    (AttemptOutcome::Succeeded, 0.1)
}

#[rstest]
#[case::half(0.5, 0.14)]
#[case::tenth(0.1, 0.03)]
#[case::double(2.0, 0.40)]
fn a_host_gets_traffic_by_its_weight(#[case] weight: f64, #[case] expected: f64) {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.handle(operators(1, &[(0, weight)], &[]));
    let sent = busy(&mut harness, 40.0);
    let got = shares(&sent).get(&0).copied().unwrap_or(0.0);
    // Two hosts are drawn by weight and compared: a light one gets between its part and twice it.
    assert!(
        (0.6 * expected..2.1 * expected).contains(&got),
        "{got} of {expected}"
    );
}

#[test]
fn weights_move_neither_the_cap_nor_the_votes() {
    let run = |weights: &[(u64, f64)]| {
        let mut harness = RouterHarness::new(
            ServiceSettings {
                exposure_allowance: 0.0,
                ..service_settings()
            },
            4,
        );
        harness.run(4.0, well);
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
        harness.handle(operators(1, weights, &[]));
        let (votes, sent) = harness.run(12.0, well);
        (
            votes.contains(&Vote::Promote),
            shares(&sent).get(&0).copied().unwrap_or(0.0),
        )
    };
    let (votes, at_cap) = run(&[(0, 100.0)]);
    assert!(votes && at_cap <= 0.1, "{votes} {at_cap}");
    let (votes, little) = run(&[(0, 0.1)]);
    assert!(
        votes && little < 0.06,
        "a lighter canary gets less, and is voted on as before: {votes} {little}"
    );
}

#[test]
fn a_host_that_restarts_under_a_heavy_weight_gets_no_more_than_it_can_carry_until_it_is_warm() {
    let mut harness = RouterHarness::new(service_settings(), 10);
    harness.handle(operators(1, &[(0, 20.0)], &[]));
    let before = busy(&mut harness, 8.0);
    let now = harness.now;
    let entries = [running_host(0, BASELINE_BUILD, Some(now))].into();
    harness.handle(Event::EndpointList {
        scope: ListScope::Delta,
        entries,
    });
    harness.hosts[0] = running_host(0, BASELINE_BUILD, Some(now));
    // Half a second after its start it does 0.475 of its work: three times that is where it falls.
    let cold = busy(&mut harness, 0.5);
    busy(&mut harness, 3.6);
    let warm = busy(&mut harness, 8.0);
    let of = |sent: &[HostEntry]| 10.0 * shares(sent).get(&0).copied().unwrap_or(0.0);
    assert!(
        of(&before) > 3.0 && of(&warm) > 3.0,
        "{} {}",
        of(&before),
        of(&warm)
    );
    assert!(of(&cold) < 3.0 * 0.475, "{}", of(&cold));
}

/// Which host a second attempt of an request of the first revision goes to, once the second is in force.
#[rstest]
#[case::a_host_that_came_later(&[running_host(1, BASELINE_BUILD, None), running_host(2, BASELINE_BUILD, None)], &[1])]
#[case::one_that_was_taken_out(&[HostEntry { state: HostState::Stopping, ..running_host(1, BASELINE_BUILD, None) }, running_host(2, BASELINE_BUILD, None)], &[])]
#[case::one_that_came_back(&[HostEntry { state: HostState::Stopping, ..running_host(1, BASELINE_BUILD, None) }, running_host(1, BASELINE_BUILD, None)], &[])]
fn a_further_attempt_keeps_to_the_revision_that_its_request_came_under(
    #[case] changes: &[HostEntry],
    #[case] may: &[u64],
) {
    let mut met = 0;
    for _ in 0..20 {
        let mut harness = RouterHarness::new(service_settings(), 0);
        harness.handle(operators(
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
        met += 1;
        harness.handle(operators(
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
        assert_eq!(next.map(|host| host.0), may.first().copied());
        let (_, effects) = harness.send_request(IDEMPOTENT, None);
        let of_new = attempted_host(&effects).map(|host| host.0);
        assert!(
            of_new.is_some_and(|host| host != 0),
            "what comes now is decided under the second: {of_new:?}"
        );
    }
    assert!(met > 0);
}

#[test]
fn a_further_attempt_is_weighed_as_its_request_was() {
    let count = |weights: &[(u64, f64)]| {
        let mut to_last = 0;
        for seed in 0..400 {
            let mut harness = RouterHarness::new(service_settings(), 3);
            (0..seed % 7).for_each(|_| drop(harness.send_request(IDEMPOTENT, None)));
            harness.handle(operators(1, weights, &[]));
            let (id, _) = harness.send_request(IDEMPOTENT, None);
            harness.handle(operators(2, &[], &[]));
            let next =
                attempted_host(&harness.finish_attempt(&id, 0, AttemptOutcome::NoConnection, 0.0));
            to_last += u32::from(next == Some(HostId(2)));
        }
        to_last
    };
    // Where all are sent alike under the second revision, the first one's weight still shows.
    let (light, even) = (count(&[(2, 0.01)]), count(&[]));
    assert!(light * 4 < even, "{light} {even}");
}

fn in_force(hosts: &[EffectiveWeight], overload_multiple: f64) -> Vec<f64> {
    let mut hosts = hosts.to_vec();
    apply_weights(&mut hosts, overload_multiple);
    hosts.into_iter().map(|host| host.weight).collect()
}

fn weighed(weight: f64, warm_up_fraction: f64) -> EffectiveWeight {
    EffectiveWeight {
        size: 1.0,
        weight,
        warm_up_fraction,
    }
}

/// Fleets in which a cold host's weight is heavy by itself, by what others weigh, or with others.
#[rstest]
#[case::alone(vec![weighed(50.0, 0.4), weighed(1.0, 1.0), weighed(1.0, 1.0)])]
#[case::others_light(vec![weighed(1.0, 0.4), weighed(0.01, 1.0), weighed(0.01, 1.0)])]
#[case::others_light_and_cold(vec![weighed(1.0, 0.4), weighed(0.01, 0.4), weighed(0.01, 0.4), weighed(1.0, 1.0)])]
#[case::all_cold(vec![weighed(9.0, 0.4), weighed(1.0, 0.5), weighed(0.1, 0.6)])]
#[case::many_heavy([vec![weighed(100.0, 0.4); 10], vec![weighed(1.0, 1.0); 90]].concat())]
fn no_host_that_warms_up_counts_for_more_than_it_carries(#[case] hosts: Vec<EffectiveWeight>) {
    let count = in_force(&hosts, 3.0);
    let mean = count.iter().sum::<f64>() / count.len() as f64;
    assert!((mean - 1.0).abs() < 1e-9, "an even share is 1: {mean}");
    for (host, count) in hosts.iter().zip(&count) {
        assert!(
            *count <= max_relative_share(host.warm_up_fraction, 3.0) + 1e-9,
            "{count} of {host:?}"
        );
        assert!(
            *count
                <= relative_share(host, &hosts).max(max_relative_share(host.warm_up_fraction, 3.0))
                    + 1e-9
                || host.warm_up_fraction >= 1.0
        );
    }
}

#[test]
fn even_weights_are_no_weights() {
    assert_eq!(
        in_force(&[weighed(7.0, 0.4), weighed(7.0, 1.0)], 3.0),
        [1.0, 1.0]
    );
    assert_eq!(in_force(&[], 3.0), [0.0; 0]);
}

fn asked(revision: u64, rollout: RolloutOverride) -> Event {
    let set = OperatorOverrides {
        revision: Revision(revision),
        weights: [].into(),
        rollout: Some(rollout),
    };
    Event::OperatorOverridesApplied {
        overrides: set.into(),
        entries: [].into(),
    }
}

/// A canary that is fine, and what operators ask of it; what is voted and how much it gets then.
#[rstest]
#[case::nothing(RolloutOverride { build: CANARY_BUILD, hold: false, roll_back: false, cap: 1.0 }, Some(Vote::Promote), 0.29)]
#[case::hold(RolloutOverride { build: CANARY_BUILD, hold: true, roll_back: false, cap: 1.0 }, None, 0.29)]
#[case::back(RolloutOverride { build: CANARY_BUILD, hold: false, roll_back: true, cap: 1.0 }, Some(Vote::RollBack), 0.29)]
#[case::back_and_hold(RolloutOverride { build: CANARY_BUILD, hold: true, roll_back: true, cap: 1.0 }, Some(Vote::RollBack), 0.29)]
#[case::lower_cap(RolloutOverride { build: CANARY_BUILD, hold: false, roll_back: false, cap: 0.05 }, Some(Vote::Promote), 0.05)]
#[case::no_cap(RolloutOverride { build: CANARY_BUILD, hold: true, roll_back: false, cap: 0.0 }, None, 0.0)]
#[case::of_another_build(RolloutOverride { build: BuildId(9), hold: true, roll_back: true, cap: 0.0 }, Some(Vote::Promote), 0.29)]
fn operators_hold_a_canary_take_it_back_or_show_it_to_less_and_never_more(
    #[case] wish: RolloutOverride,
    #[case] vote: Option<Vote>,
    #[case] most: f64,
) {
    let mut harness = RouterHarness::new(
        ServiceSettings {
            exposure_allowance: 0.0,
            ..service_settings()
        },
        4,
    );
    harness.run(4.0, well);
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
    harness.handle(asked(1, wish));
    let (votes, sent) = harness.run(12.0, well);
    let votes: Vec<_> = votes
        .into_iter()
        .filter(|cast| *cast != Vote::Abstain)
        .collect();
    assert!(
        votes.iter().all(|cast| Some(*cast) == vote) && votes.is_empty() == vote.is_none(),
        "{votes:?}"
    );
    let share = shares(&sent).get(&0).copied().unwrap_or(0.0);
    assert!(share <= most, "{share}");
    assert!(most < 0.1 || share > 0.1, "{share}");
}

#[test]
fn a_hold_does_not_keep_a_bad_build_from_going_back() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(4.0, well);
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
    harness.handle(asked(
        1,
        RolloutOverride {
            build: CANARY_BUILD,
            hold: true,
            roll_back: false,
            cap: 1.0,
        },
    ));
    let bad = |h: &HostEntry, _| {
        (
            if h.build == CANARY_BUILD {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Succeeded
            },
            0.1,
        )
    };
    assert!(harness.run(12.0, bad).0.contains(&Vote::RollBack));
}

#[test]
fn a_request_uses_only_the_hosts_of_its_pool_for_retries_too() {
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
