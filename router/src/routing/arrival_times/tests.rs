use super::{ArrivalTimes, MAX_SEGMENTS};

#[test]
fn arrival_time_is_that_of_the_last_byte_read() {
    let mut arrival_times = ArrivalTimes::default();
    arrival_times.record_read(10, 1.0, true);
    arrival_times.record_read(10, 2.0, true);
    assert_eq!(
        [10, 11, 20, 21].map(|bytes| arrival_times.arrival_of(bytes)),
        [Some(1.0), Some(2.0), Some(2.0), None]
    );
    arrival_times.consume(15);
    assert_eq!(
        [5, 6].map(|bytes| arrival_times.arrival_of(bytes)),
        [Some(2.0), None]
    );
    arrival_times.consume(usize::MAX);
    assert_eq!(arrival_times.arrival_of(1), None);
}

#[test]
fn bytes_left_in_the_socket_count_from_the_read_that_left_them() {
    let mut arrival_times = ArrivalTimes::default();
    arrival_times.record_read(10, 1.0, false);
    arrival_times.record_read(0, 2.0, false);
    arrival_times.record_read(10, 3.0, true);
    arrival_times.record_read(10, 4.0, true);
    assert_eq!(
        [20, 21].map(|bytes| arrival_times.arrival_of(bytes)),
        [Some(1.0), Some(4.0)]
    );
}

#[test]
fn reads_beyond_the_segment_limit_count_as_older_never_as_newer() {
    let mut arrival_times = ArrivalTimes::default();
    for read in 0..2 * MAX_SEGMENTS {
        arrival_times.record_read(1, read as f64, true);
    }
    assert_eq!(arrival_times.segments.len(), MAX_SEGMENTS);
    let last = (MAX_SEGMENTS - 1) as f64;
    assert_eq!(arrival_times.arrival_of(MAX_SEGMENTS), Some(last));
    assert_eq!(arrival_times.arrival_of(2 * MAX_SEGMENTS), Some(last));
}
