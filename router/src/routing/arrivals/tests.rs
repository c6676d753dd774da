use super::{Arrivals, MOST_MARKS};

#[test]
fn a_message_arrives_with_its_last_byte_also_where_it_came_in_parts() {
    let mut arrivals = Arrivals::default();
    arrivals.read(10, 1.0, true);
    arrivals.read(10, 2.0, true);
    assert_eq!(
        [10, 11, 20, 21].map(|bytes| arrivals.of(bytes)),
        [Some(1.0), Some(2.0), Some(2.0), None]
    );
    arrivals.consume(15);
    assert_eq!([5, 6].map(|bytes| arrivals.of(bytes)), [Some(2.0), None]);
    arrivals.consume(usize::MAX);
    assert_eq!(arrivals.of(1), None);
}

#[test]
fn what_a_read_left_in_the_socket_counts_from_that_read_on() {
    let mut arrivals = Arrivals::default();
    arrivals.read(10, 1.0, false);
    arrivals.read(0, 2.0, false);
    arrivals.read(10, 3.0, true);
    arrivals.read(10, 4.0, true);
    assert_eq!(
        [20, 21].map(|bytes| arrivals.of(bytes)),
        [Some(1.0), Some(4.0)]
    );
}

#[test]
fn more_reads_than_marks_count_as_older_and_never_as_younger() {
    let mut arrivals = Arrivals::default();
    for read in 0..2 * MOST_MARKS {
        arrivals.read(1, read as f64, true);
    }
    assert_eq!(arrivals.marks.len(), MOST_MARKS);
    let last = (MOST_MARKS - 1) as f64;
    assert_eq!(arrivals.of(MOST_MARKS), Some(last));
    assert_eq!(arrivals.of(2 * MOST_MARKS), Some(last));
}
