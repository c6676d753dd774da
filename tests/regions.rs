//! Canary builds while a rack, a zone or the other region is lost, or most routers start anew. Each has to be let
//! on or voted back as it deserves, within the cap, and all routers have to agree afterwards.

mod common;

use common::regions::{Decision, Regions};
use kestreltide::interface::Phase;
use rstest::rstest;

/// Of all routers, the half that is in the first region.
const HALF: usize = 20;
/// Seconds in which a build is decision on.
const SOON: f64 = 45.0;

#[track_caller]
fn assert_right(regions: &Regions, decision: Option<Decision>, bad: bool) {
    let right = if bad {
        Phase::RollingBack
    } else {
        Phase::Released
    };
    assert_eq!(
        decision.map(|decision| decision.phase),
        Some(right),
        "{decision:?}"
    );
    let exposure = regions.worst_exposure();
    assert!(exposure <= 1.0, "{exposure} of what all may send to it");
}

/// A build that is offered now is decision on as it deserves, and all routers know.
#[track_caller]
fn assert_next_is_right(regions: &mut Regions, bad: bool) {
    regions.start_canary(bad);
    let decision = regions.run(SOON);
    assert_right(regions, decision, bad);
    regions.run(2.0);
    assert!(regions.routers_agree());
}

#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn a_build_is_judged_while_a_rack_is_lost_and_after_it_is_back(#[case] bad: bool) {
    let mut regions = Regions::new(HALF, 1);
    regions.start_canary(bad);
    assert_eq!(regions.run(4.0), None);
    regions.fail_machines(|machine| machine % 40 == 3);
    assert_eq!(regions.run(3.0), None);
    regions.delist_failed_hosts();
    let decision = regions.run(SOON);
    assert_right(&regions, decision, bad);
    regions.restart_failed_machines();
    regions.run(4.0);
    assert_next_is_right(&mut regions, bad);
}

#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn a_build_is_judged_while_a_zone_is_lost_and_as_it_returns_cold(#[case] bad: bool) {
    let mut regions = Regions::new(HALF, 2);
    regions.fail_machines(|machine| machine % 10 == 2);
    regions.run(4.0);
    regions.delist_failed_hosts();
    regions.start_canary(bad);
    assert_eq!(regions.run(4.0), None);
    regions.restart_failed_machines();
    regions.run(2.0);
    // Each of its hosts has a twentieth of 120 a second, and bears three times that, by its warmth.
    let came: Vec<_> = [2, 12]
        .iter()
        .map(|host| regions.fleet.hosts[*host].received)
        .collect();
    let bears = 3.0 * 0.4 * 2.0 * 120.0 / 20.0;
    assert!(came.iter().all(|came| (*came as f64) < bears), "{came:?}");
    let decision = regions.run(SOON);
    assert_right(&regions, decision, bad);
    regions.run(4.0);
    assert_next_is_right(&mut regions, bad);
}

/// The regions lose each other during one canary, and find each other during the next.
#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn a_build_is_judged_by_regions_that_do_not_reach_each_other(#[case] bad: bool) {
    let mut regions = Regions::new(HALF, 3);
    regions.start_canary(bad);
    assert_eq!(regions.run(3.0), None);
    regions.partition([true, true]);
    let decision = regions.run(SOON);
    assert_right(&regions, decision, bad);
    regions.run(4.0);
    regions.start_canary(bad);
    let early = regions.run(4.0);
    regions.heal_partition();
    let decision = early.or(regions.run(SOON));
    assert_right(&regions, decision, bad);
    regions.run(4.0);
    assert!(regions.routers_agree());
    assert_next_is_right(&mut regions, bad);
}

/// All routers that the platform reaches are just enough, where every one of them votes.
#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn half_of_all_routers_decide_while_the_other_half_is_not_heard(#[case] bad: bool) {
    let mut regions = Regions::new(HALF, 4);
    regions.start_canary(bad);
    assert_eq!(regions.run(3.0), None);
    regions.partition([true, false]);
    let decision = regions.run(2.0 * SOON);
    assert_right(&regions, decision, bad);
    assert!(!regions.routers_agree(), "the other half cannot know");
    regions.heal_partition();
    regions.run(4.0);
    assert!(regions.routers_agree());
    assert_next_is_right(&mut regions, bad);
}

/// Fewer than half decide nothing, however long it lasts, and break no cap; all of them do so soon after.
#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn less_than_half_decide_nothing_until_the_others_are_heard(#[case] bad: bool) {
    let mut regions = Regions::new(HALF - 4, 5);
    regions.start_canary(bad);
    assert_eq!(regions.run(2.0), None);
    regions.partition([true, false]);
    assert_eq!(regions.run(30.0), None);
    regions.heal_partition();
    let decision = regions.run(SOON);
    assert_right(&regions, decision, bad);
    regions.run(4.0);
    assert!(regions.routers_agree());
}

#[rstest]
#[case::good(false)]
#[case::bad(true)]
fn a_build_is_judged_while_seven_in_ten_routers_start_anew(#[case] bad: bool) {
    let mut regions = Regions::new(HALF, 6);
    regions.start_canary(bad);
    assert_eq!(regions.run(4.0), None);
    (0..28).for_each(|router| regions.fleet.restart(router));
    let decision = regions.run(SOON);
    assert_right(&regions, decision, bad);
    regions.run(4.0);
    assert_next_is_right(&mut regions, bad);
}

/// The canary build runs in the first region only, and the second hears nothing of it. Those who see it fail have
/// traffic enough to say so before the others move on what they have not seen.
#[test]
fn a_bad_build_that_one_region_alone_sees_goes_back_from_its_first_stage() {
    let mut regions = Regions::new(HALF, 7);
    regions.deploys_first_region_first = true;
    regions.partition([true, true]);
    regions.run(8.0);
    regions.start_canary(true);
    let decision = regions.run(SOON);
    assert_right(&regions, decision, true);
    assert_eq!(
        decision.map(|decision| decision.stage),
        Some(0),
        "{decision:?}"
    );
}

/// As above with a third of the traffic: routers that have not seen one outcome may not move a bad build on to all
/// machines while those who see it vote it back.
#[test]
fn routers_that_have_seen_nothing_of_a_bad_build_do_not_move_it_on_to_all_machines() {
    let mut regions = Regions::new(HALF, 7);
    (regions.deploys_first_region_first, regions.request_rate) = (true, 1.0);
    regions.partition([true, true]);
    regions.run(8.0);
    regions.start_canary(true);
    let decision = regions.run(SOON);
    assert_right(&regions, decision, true);
    assert!(
        decision.is_some_and(|decision| decision.stage < 2),
        "{decision:?}"
    );
}
