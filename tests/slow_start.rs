//! Slow start: hosts that warm up get no more than they can carry.

mod common;

use common::*;
use kestreltide::interface::*;

#[test]
fn a_host_that_warms_up_gets_no_more_than_its_part_even_when_alone() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let started = Some(harness.now);
    harness.set_endpoint_list(vec![running_host(0, BASELINE_BUILD, started)]);
    let (_, sent) = harness.run(1.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    // Fifty a second came for four hosts: at 0.4 to 0.55 of twelve, three times that is the fall.
    assert!((2..=15).contains(&sent.len()), "{}", sent.len());
    harness.set_endpoint_list(vec![running_host(0, BASELINE_BUILD, None)]);
    let (_, sent) = harness.run(1.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert!(sent.len() >= 45, "warm again, {}", sent.len());
}

#[test]
fn many_routers_together_do_not_push_a_host_that_warms_up_over() {
    let sent = |me: u32| {
        let mut harness = RouterHarness::new(
            ServiceSettings {
                router_id: RouterId(me),
                routers: 40,
                ..service_settings()
            },
            4,
        );
        harness.run(1.0 + 0.02 * f64::from(me), |_, _| {
            (AttemptOutcome::Succeeded, 0.1)
        });
        harness.set_endpoint_list(vec![running_host(0, BASELINE_BUILD, Some(harness.now))]);
        usize::from(attempted_host(&harness.send_request(IDEMPOTENT, None).1).is_some())
    };
    let sent = (0..40).map(sent).sum::<usize>();
    assert!((1..=16).contains(&sent), "{sent}");
}
