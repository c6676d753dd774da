use super::{Action, HOSTS, KEPT_HOSTS, Schedule};

#[test]
fn a_seed_draws_the_same_schedule_again_and_another_seed_another() {
    assert_eq!(Schedule::draw(7), Schedule::draw(7));
    assert_ne!(Schedule::draw(7).steps, Schedule::draw(8).steps);
}

#[test]
fn every_schedule_ends_the_router_and_leaves_hosts_that_serve() {
    for schedule in (0..200).map(Schedule::draw) {
        let is_termination = |action: &Action| *action == Action::Terminate;
        let terminations = schedule
            .steps
            .iter()
            .filter(|step| is_termination(&step.action));
        assert!((1..=2).contains(&terminations.count()), "{schedule}");
        let drained = schedule.steps.iter().filter_map(|step| match step.action {
            Action::Drain(host) => Some(host),
            _ => None,
        });
        assert!(
            drained
                .clone()
                .all(|host| (KEPT_HOSTS..HOSTS).contains(&host)),
            "{schedule}"
        );
        assert!(
            schedule.steps.is_sorted_by(|a, b| a.at <= b.at),
            "{schedule}"
        );
    }
}

#[test]
fn a_third_of_the_seeds_has_a_crowd_and_some_end_within_a_second() {
    let schedules: Vec<_> = (0..60).map(Schedule::draw).collect();
    assert_eq!(
        schedules
            .iter()
            .filter(|schedule| schedule.has_crowd)
            .count(),
        20
    );
    let ends_early = |schedule: &&Schedule| {
        let mut steps = schedule.steps.iter();
        steps.any(|step| step.action == Action::Terminate && step.at < 1.0)
    };
    assert!(schedules.iter().filter(ends_early).count() > 3);
}
