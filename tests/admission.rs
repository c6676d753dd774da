//! Admission control: the limit on attempts in flight, and which requests are shed without an attempt.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

/// The number of requests admitted at once after 30 attempts with this outcome. Connection failures say nothing about
/// queues at the hosts, timeouts do.
#[rstest]
#[case::reset(AttemptOutcome::Reset, 0.01, 30..60)]
#[case::no_connection(AttemptOutcome::NoConnection, 0.01, 30..60)]
#[case::timed_out(AttemptOutcome::TimedOut, 0.8, 8..28)]
fn connection_failures_do_not_lower_the_in_flight_limit(
    #[case] outcome: AttemptOutcome,
    #[case] took: f64,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut harness = RouterHarness::new(service_settings(), 4);
    for _ in 0..30 {
        harness.now += 0.01;
        let (id, _) = harness.send_request(NON_IDEMPOTENT, None);
        harness.finish_attempt(&id, 0, outcome, took);
    }
    let admitted = (0..60)
        .take_while(|_| {
            attempted_host(&harness.send_request(WITH_IDEMPOTENCY_KEY, None).1).is_some()
        })
        .count();
    assert!(expected.contains(&admitted), "{admitted}");
}

#[rstest]
#[case::allowed(true)]
#[case::not_allowed(false)]
fn a_request_past_its_latency_objective_is_shed_with_a_retry_after_where_allowed(
    #[case] may_send_retry_after: bool,
) {
    let mut harness = RouterHarness::new(
        ServiceSettings {
            may_send_retry_after,
            ..service_settings()
        },
        2,
    );
    let (id, _) = harness.send_request(IDEMPOTENT, None);
    harness.now += 0.8;
    let effects = harness.finish_attempt(&id, 0, AttemptOutcome::TimedOut, 0.8);
    let [
        Effect::ShedRequest {
            request,
            retry_after,
        },
    ] = effects.as_slice()
    else {
        panic!("exactly one ShedRequest: {effects:?}")
    };
    assert_eq!(
        (request, retry_after.is_some()),
        (&id, may_send_retry_after)
    );
    assert!(
        harness
            .finish_attempt(&id, 0, AttemptOutcome::TimedOut, 0.8)
            .is_empty()
    );
}

#[test]
fn timeouts_lower_the_in_flight_limit_but_never_to_zero() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(12.0, |_, _| (AttemptOutcome::TimedOut, 0.8));
    let admitted = (0..100)
        .filter(|_| attempted_host(&harness.send_request(IDEMPOTENT, None).1).is_some())
        .count();
    assert!((4..=20).contains(&admitted), "{admitted}");
}

#[test]
fn client_retries_are_admitted_after_first_requests_under_overload() {
    let mut harness = RouterHarness::new(service_settings(), 8);
    harness.run(12.0, |_, _| (AttemptOutcome::TimedOut, 0.8));
    let mut admitted = |is_retry: bool| {
        let request = |n: u32| Request {
            id: RequestId(format!("{is_retry}-{n}").into()),
            operation: IDEMPOTENT,
            key: None,
            time_left: 2.0,
            work: None,
            is_retry,
            pool: None,
        };
        (0..100)
            .filter(|n| {
                attempted_host(&harness.handle(Event::RequestReceived(request(*n)))).is_some()
            })
            .count()
    };
    let (retries, first_requests) = (admitted(true), admitted(false));
    assert!(
        retries > 0 && first_requests > 0,
        "{retries} retries, then {first_requests} first requests"
    );
}

#[test]
fn an_overloaded_router_with_little_traffic_admits_a_part_of_its_requests() {
    let mut harness = RouterHarness::new(
        ServiceSettings {
            routers: 600,
            ..service_settings()
        },
        60,
    );
    for _ in 0..6 {
        (1..26).for_each(|from| receive_peer_gossip(&mut harness, from, 100.0));
        harness.run(1.0, |_, _| (AttemptOutcome::TimedOut, 0.8));
    }
    let (_, sent) = harness.run(1.0, |_, _| (AttemptOutcome::TimedOut, 0.8));
    assert!((10..=42).contains(&sent.len()), "{}", sent.len());
}

#[test]
fn error_replies_do_not_lower_the_in_flight_limit() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(12.0, |_, _| (AttemptOutcome::Error, 0.1));
    let admitted = (0..100)
        .filter(|_| attempted_host(&harness.send_request(IDEMPOTENT, None).1).is_some())
        .count();
    assert!(admitted >= 30, "{admitted}");
}

#[test]
fn a_request_with_too_little_time_left_starts_no_attempt() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.3));
    let mut starts_attempt = |time_left: f64| {
        let id = RequestId(format!("left-{time_left}").into());
        let request = Request {
            id,
            operation: IDEMPOTENT,
            key: None,
            time_left,
            work: None,
            is_retry: false,
            pool: None,
        };
        attempted_host(&harness.handle(Event::RequestReceived(request))).is_some()
    };
    assert!(starts_attempt(1.0) && !starts_attempt(0.1));
}
