//! Slow start: hosts that warm up get no more attempts than they can carry.

mod common;

use common::*;
use kestreltide::interface::*;

#[test]
fn a_host_that_warms_up_is_not_overloaded_even_if_it_is_the_only_one() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let started = Some(harness.now);
    harness.set_endpoint_list(vec![running_host(0, BASELINE_BUILD, started)]);
    let (_, sent) = harness.run(1.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    // 50 requests/s for four hosts are 12 per host. In its first second the host can carry 0.4 to 0.55 of that, and is
    // overloaded at three times as much.
    assert!((2..=15).contains(&sent.len()), "{}", sent.len());
    harness.set_endpoint_list(vec![running_host(0, BASELINE_BUILD, None)]);
    let (_, sent) = harness.run(1.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert!(
        sent.len() >= 45,
        "a warm host gets all requests: {}",
        sent.len()
    );
}

#[test]
fn many_routers_together_do_not_overload_a_host_that_warms_up() {
    let attempts_of = |router: u32| {
        let mut harness = RouterHarness::new(
            ServiceSettings {
                router_id: RouterId(router),
                routers: 40,
                ..service_settings()
            },
            4,
        );
        harness.run(1.0 + 0.02 * f64::from(router), |_, _| {
            (AttemptOutcome::Succeeded, 0.1)
        });
        harness.set_endpoint_list(vec![running_host(0, BASELINE_BUILD, Some(harness.now))]);
        usize::from(attempted_host(&harness.send_request(IDEMPOTENT, None).1).is_some())
    };
    let sent = (0..40).map(attempts_of).sum::<usize>();
    assert!((1..=16).contains(&sent), "{sent}");
}
