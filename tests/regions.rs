//! Canaries during failures: a rack or a zone fails, the network between two regions is partitioned, or most routers
//! restart. A good build has to be released and a bad one rolled back, the canary must stay within its cap, and all
//! routers have to know the result afterwards.

mod common;

use common::regions::{Decision, Regions};
use kestreltide::interface::Phase;
use rstest::rstest;

/// Half of all routers; where they are in the first region, the other half is in the second.
const HALF_OF_ROUTERS: usize = 20;
/// Seconds within which a canary has to be released or rolled back.
const DECISION_TIMEOUT: f64 = 45.0;

/// Checks that a bad build was rolled back or a good one released, within the cap.
#[track_caller]
fn assert_correct_decision(regions: &Regions, decision: Option<Decision>, bad: bool) {
    let expected = if bad {
        Phase::RollingBack
    } else {
        Phase::Released
    };
    assert_eq!(
        decision.map(|decision| decision.phase),
        Some(expected),
        "{decision:?}"
    );
    let exposure = regions.worst_exposure();
    assert!(exposure <= 1.0, "{exposure} times the allowed exposure");
}

/// Starts the next canary, and checks that it is decided correctly and that all routers know the result.
#[track_caller]
fn assert_next_canary_is_decided(regions: &mut Regions, bad: bool) {
    regions.start_canary(bad);
    let decision = regions.run(DECISION_TIMEOUT);
    assert_correct_decision(regions, decision, bad);
    regions.run(2.0);
    assert!(regions.routers_agree());
}

#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn a_canary_is_decided_correctly_while_a_rack_is_down_and_after_its_return(#[case] bad: bool) {
    let mut regions = Regions::new(HALF_OF_ROUTERS, 1);
    regions.start_canary(bad);
    assert_eq!(regions.run(4.0), None);
    regions.fail_machines(|machine| machine % 40 == 3);
    assert_eq!(regions.run(3.0), None);
    regions.delist_failed_hosts();
    let decision = regions.run(DECISION_TIMEOUT);
    assert_correct_decision(&regions, decision, bad);
    regions.restart_failed_machines();
    regions.run(4.0);
    assert_next_canary_is_decided(&mut regions, bad);
}

#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn a_canary_is_decided_correctly_while_a_zone_is_down_and_during_its_slow_start(#[case] bad: bool) {
    let mut regions = Regions::new(HALF_OF_ROUTERS, 2);
    regions.fail_machines(|machine| machine % 10 == 2);
    regions.run(4.0);
    regions.delist_failed_hosts();
    regions.start_canary(bad);
    assert_eq!(regions.run(4.0), None);
    regions.restart_failed_machines();
    regions.run(2.0);
    // A warm host gets 1/20 of 120 requests/s and is overloaded at three times that; a host that has just restarted can
    // carry 0.4 of its full load. The limit is for the 2 s since the restart.
    let attempts: Vec<_> = [2, 12]
        .iter()
        .map(|host| regions.fleet.hosts[*host].received)
        .collect();
    let overload_limit = 3.0 * 0.4 * 2.0 * 120.0 / 20.0;
    assert!(
        attempts
            .iter()
            .all(|attempts| (*attempts as f64) < overload_limit),
        "{attempts:?}"
    );
    let decision = regions.run(DECISION_TIMEOUT);
    assert_correct_decision(&regions, decision, bad);
    regions.run(4.0);
    assert_next_canary_is_decided(&mut regions, bad);
}

/// The network between the regions fails during one canary and returns during the next; both regions reach the
/// platform.
#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn a_canary_is_decided_correctly_while_the_regions_are_partitioned(#[case] bad: bool) {
    let mut regions = Regions::new(HALF_OF_ROUTERS, 3);
    regions.start_canary(bad);
    assert_eq!(regions.run(3.0), None);
    regions.partition([true, true]);
    let decision = regions.run(DECISION_TIMEOUT);
    assert_correct_decision(&regions, decision, bad);
    regions.run(4.0);
    regions.start_canary(bad);
    let early = regions.run(4.0);
    regions.heal_partition();
    let decision = early.or(regions.run(DECISION_TIMEOUT));
    assert_correct_decision(&regions, decision, bad);
    regions.run(4.0);
    assert!(regions.routers_agree());
    assert_next_canary_is_decided(&mut regions, bad);
}

/// The half of all routers that reaches the platform is just enough for a decision if every one of them votes.
#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn half_of_the_routers_decide_while_the_others_do_not_reach_the_platform(#[case] bad: bool) {
    let mut regions = Regions::new(HALF_OF_ROUTERS, 4);
    regions.start_canary(bad);
    assert_eq!(regions.run(3.0), None);
    regions.partition([true, false]);
    let decision = regions.run(2.0 * DECISION_TIMEOUT);
    assert_correct_decision(&regions, decision, bad);
    assert!(
        !regions.routers_agree(),
        "the disconnected half cannot know"
    );
    regions.heal_partition();
    regions.run(4.0);
    assert!(regions.routers_agree());
    assert_next_canary_is_decided(&mut regions, bad);
}

/// Fewer than half of all routers reach the platform: for 30 s nothing is decided. Once the others reach it again, the
/// canary is decided correctly and within its cap.
#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn fewer_than_half_of_the_routers_decide_nothing_until_the_others_reach_the_platform(
    #[case] bad: bool,
) {
    let mut regions = Regions::new(HALF_OF_ROUTERS - 4, 5);
    regions.start_canary(bad);
    assert_eq!(regions.run(2.0), None);
    regions.partition([true, false]);
    assert_eq!(regions.run(30.0), None);
    regions.heal_partition();
    let decision = regions.run(DECISION_TIMEOUT);
    assert_correct_decision(&regions, decision, bad);
    regions.run(4.0);
    assert!(regions.routers_agree());
}

#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn a_canary_is_decided_correctly_while_seven_in_ten_routers_restart(#[case] bad: bool) {
    let mut regions = Regions::new(HALF_OF_ROUTERS, 6);
    regions.start_canary(bad);
    assert_eq!(regions.run(4.0), None);
    (0..28).for_each(|router| regions.fleet.restart(router));
    let decision = regions.run(DECISION_TIMEOUT);
    assert_correct_decision(&regions, decision, bad);
    regions.run(4.0);
    assert_next_canary_is_decided(&mut regions, bad);
}

/// The canary runs only in the first region, and gossip does not reach the second. Routers of the first region have
/// enough traffic to vote it back in its first stage, before routers without evidence can promote it.
#[test]
fn a_bad_build_that_only_one_region_sees_is_rolled_back_in_its_first_stage() {
    let mut regions = Regions::new(HALF_OF_ROUTERS, 7);
    regions.deploys_first_region_first = true;
    regions.partition([true, true]);
    regions.run(8.0);
    regions.start_canary(true);
    let decision = regions.run(DECISION_TIMEOUT);
    assert_correct_decision(&regions, decision, true);
    assert_eq!(
        decision.map(|decision| decision.stage),
        Some(0),
        "{decision:?}"
    );
}

/// As above with a third of the traffic: routers that have seen no outcome of a bad build must not promote it to all
/// machines while those that see it vote to roll it back.
#[test]
fn routers_without_evidence_do_not_promote_a_bad_build_to_all_machines() {
    let mut regions = Regions::new(HALF_OF_ROUTERS, 7);
    (regions.deploys_first_region_first, regions.request_rate) = (true, 1.0);
    regions.partition([true, true]);
    regions.run(8.0);
    regions.start_canary(true);
    let decision = regions.run(DECISION_TIMEOUT);
    assert_correct_decision(&regions, decision, true);
    assert!(
        decision.is_some_and(|decision| decision.stage < 2),
        "{decision:?}"
    );
}
