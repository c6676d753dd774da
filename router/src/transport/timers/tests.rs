use super::Timers;

#[test]
fn timers_expire_by_deadline_and_then_in_the_order_of_their_scheduling() {
    let mut timers = Timers::new(10);
    for (deadline, event) in [
        (30.5, "last"),
        (10.0, "first"),
        (10.0, "second"),
        (-1.0, "past"),
    ] {
        assert!(timers.schedule(deadline, event).is_some());
    }
    assert_eq!(timers.next_deadline(), Some(0.0));
    let due: Vec<_> = std::iter::from_fn(|| timers.pop_due(10.0)).collect();
    assert_eq!(due, ["past", "first", "second"]);
    assert_eq!(timers.next_deadline(), Some(30.5));
}

/// Guards against timers of attempts that have ended, which filled the queue until those of other attempts were dropped.
#[test]
fn a_cancelled_timer_makes_room_and_does_not_expire() {
    let mut timers = Timers::new(2);
    for round in 0..1000 {
        let timer = timers.schedule(f64::from(round) + 5.0, "ended");
        timers.cancel(timer.expect("room"));
    }
    assert!(timers.schedule(1.0, "a").is_some() && timers.schedule(1.0, "b").is_some());
    assert!(timers.schedule(1.0, "c").is_none());
    assert_eq!(timers.pop_due(9.0), Some("a"));
}
