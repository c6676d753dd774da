use super::*;

const FULL: Layout = Layout {
    routers: 760,
    real: 24,
    hosts: 7_400,
    zones: 10,
    racks: 40,
};

#[test]
fn a_whole_fleet_has_the_whole_day() {
    let day = Day::draw(1, &FULL, 740, 240.0, true);
    assert_eq!(
        (day.restarts, day.changes, day.events.len()),
        (3_000, 440, 3_440)
    );
    assert_eq!(day.factor, 360.0);
    assert!(day.events.iter().all(|(at, _)| (0.0..240.0).contains(at)));
    assert!(day.events.is_sorted_by(|a, b| a.0 <= b.0));
    let weights = day
        .events
        .iter()
        .filter(|(_, event)| matches!(event, DayEvent::ChangeWeight(_)))
        .count();
    assert_eq!(weights, 220);
}

#[test]
fn the_same_seed_draws_the_same_day() {
    assert_eq!(
        Day::draw(7, &FULL, 740, 100.0, true),
        Day::draw(7, &FULL, 740, 100.0, true)
    );
    assert_ne!(
        Day::draw(7, &FULL, 740, 100.0, true).events,
        Day::draw(8, &FULL, 740, 100.0, true).events
    );
}

#[test]
fn a_small_fleet_has_its_part() {
    let small = Layout {
        routers: 12,
        real: 4,
        hosts: 24,
        zones: 4,
        racks: 8,
    };
    let day = Day::draw(1, &small, 24, 60.0, false);
    assert_eq!((day.restarts, day.changes), (13, 8));
    assert!(
        !day.events
            .iter()
            .any(|(_, event)| matches!(event, DayEvent::ChangeWeight(_)))
    );
}
