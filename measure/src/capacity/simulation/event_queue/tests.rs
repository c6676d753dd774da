use super::*;

#[test]
fn events_come_by_time_and_then_in_the_order_of_their_adding() {
    let mut queue = EventQueue::new();
    queue.push(2.0, "late");
    queue.push(1.0, "first");
    queue.push(1.0, "second");
    queue.push(-1.0, "past");
    let all: Vec<_> = std::iter::from_fn(|| queue.pop_until(5.0)).collect();
    assert_eq!(
        all,
        [
            (0.0, "past"),
            (1.0, "first"),
            (1.0, "second"),
            (2.0, "late")
        ]
    );
}

#[test]
fn what_is_due_later_stays() {
    let mut queue = EventQueue::new();
    queue.push(2.0, ());
    assert_eq!(queue.pop_until(1.999), None);
    assert_eq!(queue.pop_until(2.0), Some((2.0, ())));
    assert_eq!(queue.pop_until(9.0), None);
}
