use super::*;

fn exposure() -> Exposure {
    let mut exposure = Exposure::new(2.0, 1.0);
    exposure.begin(100.0, 0.1);
    (0..10).for_each(|_| exposure.took(100.0));
    exposure
}

#[test]
fn what_was_sent_in_a_window_counts_against_the_cap_of_all_that_came_in_it() {
    let mut exposure = exposure();
    exposure.sent(101.0, 5);
    exposure.sent(101.0, 5);
    assert_eq!(
        exposure.spare_once.ratio, 1.0,
        "one spare and a tenth of ten"
    );
    assert_eq!(exposure.spare_each.ratio, 2.0 / 6.0);
    exposure.sent(104.0, 5);
    assert_eq!(
        exposure.spare_once,
        Worst {
            ratio: 1.0,
            at: 101.0,
            sent: 2,
            accepted: 10,
            cap: 0.1
        }
    );
    exposure.sent(104.5, 5);
    assert_eq!(
        exposure.spare_once.ratio, 2.0,
        "nothing came in this window"
    );
}

#[test]
fn the_highest_cap_within_a_window_counts() {
    let mut exposure = exposure();
    exposure.set_cap(101.0, 0.5);
    exposure.set_cap(101.5, 0.0);
    (0..3).for_each(|_| exposure.sent(101.9, 5));
    assert_eq!(
        (exposure.spare_once.ratio, exposure.spare_once.cap),
        (0.5, 0.5)
    );
    (0..10).for_each(|_| exposure.took(104.0));
    exposure.sent(104.0, 5);
    assert_eq!(exposure.spare_once.ratio, 1.0, "the cap was 0 throughout");
}
