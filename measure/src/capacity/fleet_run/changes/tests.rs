use super::*;

fn changes() -> Changes {
    let mut changes = Changes::default();
    (0..3).for_each(|router| changes.started(router, 0.0));
    changes
}

#[test]
fn a_change_is_in_force_when_the_last_router_has_it() {
    let mut changes = changes();
    changes.acknowledged(Way::List, 5, 1, 10.0);
    changes.has(Way::List, 0, 5, 10.5);
    changes.has(Way::List, 1, 6, 10.5);
    changes.settle(11.0, |_, _| true);
    assert_eq!((changes.open(), changes.in_force.len()), (1, 0));
    changes.has(Way::List, 2, 5, 10.5);
    changes.settle(12.0, |_, _| true);
    assert_eq!(
        changes.in_force,
        [InForce {
            way: Way::List,
            phase: 1,
            seconds: 2.0
        }]
    );
}

#[test]
fn a_router_that_does_not_have_it_in_time_is_named() {
    let mut changes = changes();
    changes.acknowledged(Way::Files, 5, 1, 10.0);
    changes.has(Way::Files, 0, 5, 10.5);
    changes.settle(10.0 + IN_FORCE_WITHIN + 0.1, |_, router| router < 2);
    assert_eq!(
        changes.missed,
        [Missed {
            way: Way::Files,
            version: 5,
            router: 1
        }]
    );
}

#[test]
fn who_ended_or_started_later_holds_nothing_up() {
    let mut changes = changes();
    changes.acknowledged(Way::List, 5, 1, 10.0);
    (0..2).for_each(|router| changes.has(Way::List, router, 5, 10.5));
    changes.stopped(2);
    changes.started(2, 10.5);
    changes.settle(11.0, |_, _| true);
    assert_eq!(changes.in_force.len(), 1);
}

#[test]
fn the_longest_time_to_a_first_list_is_kept() {
    let mut changes = changes();
    changes.has(Way::List, 0, 5, 3.0);
    changes.has(Way::List, 0, 6, 30.0);
    changes.has(Way::Files, 1, 6, 30.0);
    changes.has(Way::List, 1, 6, 4.0);
    assert_eq!(changes.first_list, 4.0);
}
