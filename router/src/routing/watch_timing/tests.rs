//! The times of a watch for discoveries of different speed.

use rstest::rstest;

use super::WatchTiming;
use crate::limits::DiscoveryLimits;

/// What a silent watch misses counts as known this long after its request, in seconds.
const KNOWN_AFTER: f64 = 6.0;
/// On demand a request is repeated after a pause of up to this time, in seconds.
const MAX_FIRST_PAUSE: f64 = 0.45;

/// A response in time is not late, and one that replaces a silent watch arrives before the changes count as known.
#[rstest]
#[case::quick(0.002, 5.0)]
#[case::quarter_of_a_second(0.25, 5.0)]
#[case::as_slow_as_the_grace(0.9, 3.45)]
#[case::slow(1.5, 2.25)]
#[case::very_slow(2.0, 1.25)]
fn a_slow_discovery_holds_watches_for_a_shorter_time(#[case] delay: f64, #[case] expected: f64) {
    let limits = DiscoveryLimits::new(1);
    let mut timing = WatchTiming::default();
    timing.record_response(delay, 0.0);
    let hold = timing.hold(&limits);
    let late_after = hold + timing.grace(&limits);
    assert!((hold - expected).abs() < 1e-9, "{hold}");
    assert!(hold + delay < late_after);
    if delay > limits.watch_grace_margin {
        assert!(
            late_after + MAX_FIRST_PAUSE + delay <= KNOWN_AFTER,
            "{late_after}"
        );
    }
}

/// However slow discovery was, a silent watch is repeated no later than after a quick response.
#[test]
fn a_silent_watch_is_repeated_in_time_after_any_delay() {
    let limits = DiscoveryLimits::new(1);
    for delay in [0.0, 3.0, 10.0, 1e6] {
        let mut timing = WatchTiming::default();
        timing.record_response(delay + 5.0, 5.0);
        assert!(timing.hold(&limits) >= limits.watch_hold_min);
        assert!(timing.hold(&limits) + timing.grace(&limits) <= KNOWN_AFTER + 1e-9);
    }
}
