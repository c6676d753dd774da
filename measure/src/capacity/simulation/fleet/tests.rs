use super::*;

fn terms(routers: usize) -> FleetTerms {
    FleetTerms {
        routers,
        machines: 20,
        rate: 100.0,
        first_region: 0.5,
        own_hosts_only: false,
        canary_in_first_region: false,
        ordinary_day: false,
        platform: settings::platform_terms(routers),
        seed: 5,
    }
}

#[test]
fn rates_are_uneven_and_come_to_what_is_asked() {
    let rates = uneven_rates(&terms(200), &mut ChaCha8Rng::seed_from_u64(1));
    assert!((rates.iter().sum::<f64>() - 100.0).abs() < 1e-6);
    let maximum = rates.iter().copied().fold(0.0, f64::max);
    assert!(maximum > 3.0 * 0.5, "{maximum}");
}

#[test]
fn places_are_in_regions_one_after_the_other() {
    let places: Vec<_> = (0..20).map(|number| place(number, 20, 0.4)).collect();
    assert_eq!(places.iter().filter(|place| place.region == 0).count(), 8);
    assert!(
        places
            .iter()
            .all(|place| place.zone / plan::ZONES_A_REGION == place.region)
    );
}

#[test]
fn a_quiet_fleet_serves_all_in_time() {
    let mut fleet = Fleet::new(terms(20));
    fleet.run(20.0);
    let counts = fleet.counts;
    assert!((1_700..2_300).contains(&counts.accepted), "{counts:?}");
    assert!(
        counts.in_time as f64 > 0.98 * counts.accepted as f64,
        "{counts:?}"
    );
    assert_eq!(fleet.differing(), 0);
    // One swap each 0.2 s, and its answer.
    let a_second = counts.messages_sent as f64 / counts.router_seconds;
    assert!((9.5..10.5).contains(&a_second), "{a_second}");
}

#[test]
fn regions_that_lost_each_other_hear_only_their_own() {
    let mut fleet = Fleet::new(terms(20));
    fleet.run(10.0);
    fleet.partition(false);
    fleet.run(10.0);
    let sent = fleet.counts.messages_sent - fleet.counts.messages_received;
    assert!(
        sent > 300,
        "about half of what was first sent is lost: {sent}"
    );
    fleet.offer(GOOD);
    fleet.run(2.0);
    assert_eq!(fleet.differing(), 10);
    fleet.heal();
    fleet.run(4.0);
    assert_eq!(fleet.differing(), 0);
}

#[test]
fn a_lost_zone_comes_back_with_new_processes() {
    let mut fleet = Fleet::new(terms(20));
    fleet.run(5.0);
    fleet.lose(|_, place| place.zone == 2, |_, place| place.zone == 2);
    assert_eq!(fleet.routers_up(), 18);
    fleet.run(10.0);
    assert_eq!(
        fleet
            .discovery
            .iter()
            .map(|of| of.complete().len())
            .collect::<Vec<_>>(),
        [18, 18]
    );
    fleet.restore();
    fleet.run(6.0);
    assert_eq!(fleet.routers_up(), 20);
    assert_eq!(
        fleet
            .discovery
            .iter()
            .map(|of| of.complete().len())
            .collect::<Vec<_>>(),
        [20, 20]
    );
    assert!(fleet.worst_cold() > 0.0);
}
