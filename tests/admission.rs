//! Admission: the limit on attempts in flight, and what is answered without a host.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

/// How many requests are let in at once after thirty attempts have ended so.
#[rstest]
#[case::reset(AttemptOutcome::Reset, 0.01, 30..60)]
#[case::out_of_reach(AttemptOutcome::NoConnection, 0.01, 30..60)]
#[case::no_answer(AttemptOutcome::TimedOut, 0.8, 8..28)]
fn broken_connections_tell_of_no_queue_and_leave_the_in_flight_limit_alone(
    #[case] outcome: AttemptOutcome,
    #[case] took: f64,
    #[case] let_in: std::ops::Range<usize>,
) {
    let mut harness = RouterHarness::new(service_settings(), 4);
    for _ in 0..30 {
        harness.now += 0.01;
        let (id, _) = harness.send_request(NON_IDEMPOTENT, None);
        harness.finish_attempt(&id, 0, outcome, took);
    }
    let open = (0..60)
        .take_while(|_| {
            attempted_host(&harness.send_request(WITH_IDEMPOTENCY_KEY, None).1).is_some()
        })
        .count();
    assert!(let_in.contains(&open), "{open}");
}

#[rstest]
#[case::may(true)]
#[case::may_not(false)]
fn what_is_given_up_is_answered_at_once_with_advice_where_allowed(
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
        panic!("one answer: {effects:?}")
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
fn late_answers_limit_what_is_in_flight_but_never_to_nothing() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(12.0, |_, _| (AttemptOutcome::TimedOut, 0.8));
    let admitted = (0..100)
        .filter(|_| attempted_host(&harness.send_request(IDEMPOTENT, None).1).is_some())
        .count();
    assert!((4..=20).contains(&admitted), "{admitted}");
}

#[test]
fn client_retries_wait_behind_first_ones_under_pressure() {
    let mut harness = RouterHarness::new(service_settings(), 8);
    harness.run(12.0, |_, _| (AttemptOutcome::TimedOut, 0.8));
    let mut admitted = |is_retry: bool| {
        let ask = |n: u32| Request {
            id: RequestId(format!("{is_retry}-{n}").into()),
            operation: IDEMPOTENT,
            key: None,
            time_left: 2.0,
            work: None,
            is_retry,
            pool: None,
        };
        (0..100)
            .filter(|n| attempted_host(&harness.handle(Event::RequestReceived(ask(*n)))).is_some())
            .count()
    };
    let (later, first) = (admitted(true), admitted(false));
    assert!(later > 0 && first > 0, "{later} and then {first} more");
}

#[test]
fn under_pressure_a_thin_router_lets_in_a_part_of_what_comes() {
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
fn errors_of_hosts_leave_the_in_flight_limit_alone() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(12.0, |_, _| (AttemptOutcome::Error, 0.1));
    let admitted = (0..100)
        .filter(|_| attempted_host(&harness.send_request(IDEMPOTENT, None).1).is_some())
        .count();
    assert!(admitted >= 30, "{admitted}");
}

#[test]
fn a_client_that_comes_with_too_little_time_gets_no_work_begun() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.3));
    let mut sent = |time_left: f64| {
        let id = RequestId(format!("left-{time_left}").into());
        let ask = Request {
            id,
            operation: IDEMPOTENT,
            key: None,
            time_left,
            work: None,
            is_retry: false,
            pool: None,
        };
        attempted_host(&harness.handle(Event::RequestReceived(ask))).is_some()
    };
    assert!(sent(1.0) && !sent(0.1));
}
