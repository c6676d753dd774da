use super::*;
use crate::capacity::simulation::settings;

fn small(failure: Failure, bad: bool) -> Scenario {
    let fleet = FleetTerms {
        routers: 20,
        machines: 20,
        rate: 100.0,
        first_region: 0.5,
        own_hosts_only: false,
        canary_in_first_region: false,
        ordinary_day: false,
        platform: settings::platform_terms(20),
        seed: 3,
    };
    Scenario {
        name: "small",
        failure,
        bad,
        lasts: 40.0,
        fleet,
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut scenario = small(Failure::RackLost, false);
        scenario.fleet.seed = seed;
        let Played {
            canary_runs,
            counts,
            ..
        } = play(scenario);
        format!("{canary_runs:?} {counts:?}")
    };
    let first = run(3);
    assert_eq!(first, run(3));
    assert_ne!(first, run(4));
}

#[test]
fn builds_are_judged_before_a_rack_is_lost_and_after() {
    for bad in [false, true] {
        let played = play(small(Failure::RackLost, bad));
        let ends = [When::Before, When::After].map(|when| {
            played
                .canary_runs
                .iter()
                .find(|canary| canary.when == when)
                .expect("it was offered")
                .is_right(bad)
        });
        assert_eq!(ends, [true; 2], "{:?}", played.canary_runs);
        assert_eq!(played.differing, 0);
        assert!(
            played.counts.in_time as f64 > 0.9 * played.counts.accepted as f64,
            "{:?}",
            played.counts
        );
    }
}
