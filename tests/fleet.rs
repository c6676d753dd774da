//! Large fleets in simulated time with fixed seeds: the load that all routers together put on discovery and on the
//! platform, and the time until a fleet agrees on a canary or stops sending to drained hosts.

mod common;

use common::fleet::Fleet;
use common::*;
use kestreltide::interface::*;

fn warm_hosts(count: u64) -> Vec<HostEntry> {
    (0..count)
        .map(|id| running_host(id, BASELINE_BUILD, None))
        .collect()
}

/// Discovery needs 7 s to serve all 100 routers, and a call fails after 2 s: routers have to spread their polls.
#[test]
fn polls_after_a_mass_restart_stay_within_the_capacity_of_discovery() {
    let mut fleet = Fleet::new(
        ServiceSettings {
            polls_endpoint_list: true,
            ..service_settings()
        },
        100,
        warm_hosts(10),
        3,
    );
    fleet.run(12.0, |_| 0.0);
    assert!(fleet.has_list.iter().all(|has_list| *has_list));
    assert_eq!(
        fleet.discovery.failed, 0,
        "of {} calls",
        fleet.discovery.calls
    );
    (0..70).for_each(|router| fleet.restart(router));
    fleet.run(12.0, |_| 0.0);
    assert!(fleet.has_list.iter().all(|has_list| *has_list));
    assert_eq!(fleet.discovery.calls, 170, "one call per start");
}

#[test]
fn routers_of_a_small_fleet_poll_the_endpoint_list_at_once() {
    let mut fleet = Fleet::new(
        ServiceSettings {
            polls_endpoint_list: true,
            ..service_settings()
        },
        5,
        warm_hosts(10),
        3,
    );
    fleet.run(0.5, |_| 0.0);
    assert!(fleet.has_list.iter().all(|has_list| *has_list));
}

/// Routers repeat rejected polls with growing backoff, so that discovery recovers from an overload.
#[test]
fn a_large_fleet_lets_discovery_recover_from_an_overload() {
    let mut fleet = Fleet::new(
        ServiceSettings {
            polls_endpoint_list: true,
            ..service_settings()
        },
        100,
        warm_hosts(10),
        3,
    );
    fleet.discovery.service_time = 0.2;
    fleet.discovery.max_wait = 6.0;
    fleet.run(10.0, |_| 0.0);
    assert!(
        fleet.discovery.failed > 10,
        "discovery serves only half of the polls"
    );
    fleet.discovery.service_time = 0.07;
    fleet.run(40.0, |_| 0.0);
    assert!(fleet.has_list.iter().all(|has_list| *has_list));
}

/// Creates a fleet in which half of all routers have to vote for a change, after 4 s with 3 requests/s per router.
fn voting_fleet(routers: usize) -> Fleet {
    let votes = routers as u32 / 2;
    let settings = ServiceSettings {
        promote_votes: votes,
        roll_back_votes: votes,
        vote_rate: 16.0,
        vote_lifetime: 10.0,
        ..service_settings()
    };
    let mut fleet = Fleet::new(settings, routers, warm_hosts(20), 5);
    fleet.run(4.0, |_| 3.0);
    fleet
}

/// Puts a canary build on every fourth host; the hosts have warmed up.
fn start_canary(fleet: &mut Fleet) {
    for id in (0..20).step_by(4) {
        fleet.hosts[id].entry.build = CANARY_BUILD;
    }
    let status = RolloutStatus {
        build: CANARY_BUILD,
        stage: 0,
        phase: Phase::Canary,
        cap: 0.3,
        age: 0.0,
        ..fleet.status
    };
    fleet.publish_status(status);
    fleet.publish_endpoint_lists();
}

/// The platform accepts 16 votes/s, and 50 of 100 routers have to vote for a good build.
#[test]
fn half_of_a_large_fleet_promotes_within_the_rate_limit_of_the_platform() {
    let mut fleet = voting_fleet(100);
    start_canary(&mut fleet);
    fleet.run(6.0, |_| 3.0);
    assert!(fleet.platform.valid_votes(Vote::Promote, fleet.now) >= 50);
    let (calls, rejected) = (fleet.platform.calls, fleet.platform.rejected);
    assert!(rejected < 60, "{rejected} of {calls}");
    // The platform never changes the stage here, so that in the end all routers vote and renew their votes. Renewals
    // leave room for other calls.
    let before = fleet.platform.calls;
    fleet.run(16.0, |_| 3.0);
    let renewals = fleet.platform.calls - before;
    assert!(renewals < 220, "{renewals} calls in 16 s");
    assert!(fleet.platform.valid_votes(Vote::Promote, fleet.now) >= 50);
}

/// Nine of ten hosts hang for 1.5 s. Routers briefly assess the canary as probably worse, but most keep their
/// votes: withdrawing and recasting them would exhaust the rate limit of the platform.
#[test]
fn a_transient_hang_neither_costs_the_majority_nor_overloads_the_platform() {
    let mut fleet = voting_fleet(100);
    start_canary(&mut fleet);
    fleet.run(6.0, |_| 3.0);
    let before = fleet.platform.calls;
    fleet
        .hosts
        .iter_mut()
        .skip(2)
        .for_each(|host| host.work_time = None);
    fleet.run(1.5, |_| 3.0);
    fleet
        .hosts
        .iter_mut()
        .skip(2)
        .for_each(|host| host.work_time = Some(0.1));
    fleet.run(2.0, |_| 3.0);
    assert!(fleet.platform.valid_votes(Vote::Promote, fleet.now) >= 50);
    let calls = fleet.platform.calls - before;
    assert!(calls < 120, "{calls} calls");
}

#[test]
fn a_rejected_vote_is_not_withdrawn() {
    let mut harness = RouterHarness::new(
        ServiceSettings {
            routers: 100,
            promote_votes: 100,
            vote_rate: 16.0,
            ..service_settings()
        },
        8,
    );
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.3));
    harness.set_endpoint_list(
        (0..8)
            .map(|id| running_host(id, if id < 2 { CANARY_BUILD } else { BASELINE_BUILD }, None))
            .collect(),
    );
    let mut votes = vec![];
    while votes.is_empty() {
        votes = harness.run(0.02, |_, _| (AttemptOutcome::Succeeded, 0.1)).0;
        assert!(harness.now < 130.0, "no vote to promote");
    }
    assert_eq!(votes, [Vote::Promote]);
    let Event::RolloutStatusReceived(status) = rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.3)
    else {
        return;
    };
    harness.handle(Event::RolloutStatusReceived(RolloutStatus {
        outcome: AttemptOutcome::Rejected,
        answers_vote: true,
        ..status
    }));
    // All attempts time out from now on. The platform has counted no vote of this router that it could withdraw.
    let (votes, _) = harness.run(6.0, |_, _| (AttemptOutcome::TimedOut, 0.8));
    assert!(!votes.contains(&Vote::Abstain), "{votes:?}");
}

/// One in four attempts at baseline hosts times out while the others stay quick; the canary, still in slow start, has
/// only successes. The canary may be the cause, so the promotion waits some seconds, but not until the timeouts end.
#[test]
fn baseline_timeouts_delay_the_promotion_but_do_not_block_it() {
    let large_fleet = ServiceSettings {
        routers: 100,
        promote_votes: 100,
        may_gossip: false,
        slow_start_duration: 60.0,
        ..service_settings()
    };
    let mut harness = RouterHarness::new(
        ServiceSettings {
            stage_shares: vec![0.125, 0.25, 1.0],
            ..large_fleet
        },
        16,
    );
    harness.run(6.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let list_canary = |harness: &mut RouterHarness, every: u64| {
        let started = Some(harness.now);
        let entry = |id: u64| {
            if id.is_multiple_of(every) {
                running_host(id, CANARY_BUILD, started)
            } else {
                running_host(id, BASELINE_BUILD, None)
            }
        };
        harness.set_endpoint_list((0..16).map(entry).collect());
    };
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.3));
    list_canary(&mut harness, 8);
    assert!(
        harness
            .run(5.0, |_, _| (AttemptOutcome::Succeeded, 0.1))
            .0
            .contains(&Vote::Promote)
    );
    harness.handle(rollout_status(CANARY_BUILD, 1, Phase::Canary, 0.6));
    let baseline_attempts = std::cell::Cell::new(0);
    let respond = |host: &HostEntry, _| {
        baseline_attempts.set(baseline_attempts.get() + u32::from(host.build == BASELINE_BUILD));
        let times_out = host.build == BASELINE_BUILD && baseline_attempts.get().is_multiple_of(4);
        if times_out {
            (AttemptOutcome::TimedOut, 0.8)
        } else {
            (AttemptOutcome::Succeeded, 0.1)
        }
    };
    let before = harness.run(2.0, respond).0;
    list_canary(&mut harness, 4);
    let early = [before, harness.run(4.0, respond).0].concat();
    assert_ne!(early.last(), Some(&Vote::Promote), "{early:?}");
    let (late, _) = harness.run(6.0, respond);
    assert!(late.contains(&Vote::Promote), "{late:?}");
}

/// Routers that poll the endpoint list must know of a change 6 s after discovery has it, and must send nothing to a
/// draining host after the grace that follows. That also holds for routers that restart together with an old cached
/// list and queue for a discovery that serves 4.4 calls/s.
#[test]
fn routers_that_restart_together_send_nothing_to_drained_hosts() {
    const ROUTERS: usize = 30;
    /// Routers that are not restarted and receive no requests.
    const KEPT_ROUTERS: usize = 9;
    /// Seconds after which routers must know of a change of the list.
    const MAX_PUBLICATION_DELAY: f64 = 6.0;
    let settings = ServiceSettings {
        polls_endpoint_list: true,
        ..service_settings()
    };
    let grace = settings.drain_grace;
    let old_list = warm_hosts(10);
    let mut fleet = Fleet::new(settings, ROUTERS, old_list.clone(), 3);
    fleet.discovery.service_time = 0.225;
    fleet.discovery.max_wait = 2.0;
    fleet.run(12.0, |_| 0.0);
    let drained_at = fleet.now;
    for host in &mut fleet.hosts[..5] {
        host.entry.state = HostState::Stopping;
    }
    fleet.run(3.5, |_| 0.0);
    (KEPT_ROUTERS..ROUTERS)
        .for_each(|router| fleet.restart_with_list(router, old_list.clone().into()));
    let rate = |router: usize| if router < KEPT_ROUTERS { 0.0 } else { 4.0 };
    fleet.run(drained_at + MAX_PUBLICATION_DELAY + grace - fleet.now, rate);
    let attempts_at_drained_hosts = |fleet: &Fleet| {
        fleet.hosts[..5]
            .iter()
            .map(|host| host.received)
            .sum::<usize>()
    };
    let in_grace = attempts_at_drained_hosts(&fleet);
    fleet.run(6.0, rate);
    assert_eq!(
        attempts_at_drained_hosts(&fleet) - in_grace,
        0,
        "attempts at drained hosts"
    );
}

/// As above, where the watches of all routers fail at once 6 s after a change that they have not reported. All routers
/// poll again then, and discovery serves 4.4 calls/s.
#[test]
fn routers_whose_watches_fail_together_send_nothing_to_drained_hosts() {
    const ROUTERS: usize = 30;
    /// Seconds after which routers must know of a change of the list.
    const MAX_PUBLICATION_DELAY: f64 = 6.0;
    let settings = ServiceSettings {
        polls_endpoint_list: true,
        ..service_settings()
    };
    let grace = settings.drain_grace;
    let mut fleet = Fleet::new(settings, ROUTERS, warm_hosts(10), 3);
    fleet.discovery.service_time = 0.225;
    fleet.discovery.max_wait = 2.0;
    fleet.run(12.0, |_| 0.0);
    for host in &mut fleet.hosts[..5] {
        host.entry.state = HostState::Stopping;
    }
    fleet.run(MAX_PUBLICATION_DELAY, |_| 4.0);
    (0..ROUTERS).for_each(|router| fleet.schedule(0.0, router, Event::EndpointListFailed));
    fleet.run(grace, |_| 4.0);
    let attempts_at_drained_hosts = |fleet: &Fleet| {
        fleet.hosts[..5]
            .iter()
            .map(|host| host.received)
            .sum::<usize>()
    };
    let in_grace = attempts_at_drained_hosts(&fleet);
    fleet.run(8.0, |_| 4.0);
    assert_eq!(
        attempts_at_drained_hosts(&fleet) - in_grace,
        0,
        "attempts at drained hosts"
    );
}
