use super::*;

#[test]
fn above_its_rate_and_burst_it_refuses() {
    let mut budget = Budget::new(10.0, 0.0);
    assert_eq!((0..20).filter(|_| budget.take(0.0, 1.0)).count(), 10);
    assert!(!budget.take(0.05, 1.0));
    assert!(budget.take(0.1, 1.0));
    assert_eq!((0..20).filter(|_| budget.take(60.0, 1.0)).count(), 10);
}

#[test]
fn what_waits_is_served_in_turn_until_the_wait_is_too_long() {
    let mut budget = Budget::new(100.0, 0.0);
    assert_eq!(budget.take_within(0.0, 100.0, 2.0), Some(0.0));
    assert_eq!(budget.take_within(0.0, 100.0, 2.0), Some(1.0));
    assert_eq!(budget.take_within(0.0, 100.0, 2.0), Some(2.0));
    assert_eq!(budget.take_within(0.0, 100.0, 2.0), None);
    assert_eq!(budget.take_within(1.0, 100.0, 2.0), Some(2.0));
}
