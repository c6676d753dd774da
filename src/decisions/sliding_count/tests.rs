use super::{BUCKETS_PER_WINDOW, CountFrom, SlidingCount};

const WINDOW: f64 = 4.0;

/// A count of events at these times.
fn counted(count_from: CountFrom, times: impl Iterator<Item = f64>) -> SlidingCount {
    let mut count = SlidingCount::new(count_from);
    times.for_each(|at| count.add(at, WINDOW));
    count
}

/// Guards against a cost and a memory that grow with the rate of requests.
#[test]
fn the_number_of_buckets_does_not_grow_with_the_rate() {
    let mut count = SlidingCount::new(CountFrom::First);
    for event in 0..400_000 {
        let now = f64::from(event) / 50_000.0;
        count.add(now, WINDOW);
        count.expire(|at| now - at > WINDOW);
    }
    assert!(count.buckets.len() as f64 <= BUCKETS_PER_WINDOW + 2.0);
    let expected = 4.0 * 50_000.0;
    assert!((count.total() as f64 - expected).abs() < expected / 500.0);
}

#[test]
fn events_leave_early_or_late_as_asked_for_and_are_exact_where_they_are_far_apart() {
    let near = [10.0, 10.001, 10.002];
    let early = counted(CountFrom::First, near.into_iter());
    assert_eq!(early.count_without(|at| at < 10.0005), 0);
    let late = counted(CountFrom::Last, near.into_iter());
    assert_eq!(late.count_without(|at| at < 10.0015), 3);
    let apart = counted(CountFrom::First, (0..100).map(f64::from));
    assert_eq!(apart.count_without(|at| at < 50.0), 50);
    assert_eq!(apart.total(), 100);
}
