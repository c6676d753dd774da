//! Retries and hedged attempts: idempotency, the lifetime of idempotency keys and the retry budget.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[test]
fn retries_after_a_reset_do_not_use_the_retry_budget() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    let is_retried = |harness: &mut RouterHarness, outcome| {
        let (id, _) = harness.send_request(IDEMPOTENT, None);
        let sent = attempted_host(&harness.finish_attempt(&id, 0, outcome, 0.01)).is_some();
        harness.finish_attempt(&id, 1, AttemptOutcome::Succeeded, 0.01);
        sent
    };
    assert!((0..40).all(|_| is_retried(&mut harness, AttemptOutcome::Reset)));
    assert!(!(0..40).all(|_| is_retried(&mut harness, AttemptOutcome::Error)));
}

#[rstest]
#[case::error(AttemptOutcome::Error, false)]
#[case::timed_out(AttemptOutcome::TimedOut, false)]
#[case::reset(AttemptOutcome::Reset, false)]
#[case::rejected(AttemptOutcome::Rejected, true)]
#[case::no_connection(AttemptOutcome::NoConnection, true)]
fn a_non_idempotent_request_is_retried_only_if_it_cannot_have_run(
    #[case] outcome: AttemptOutcome,
    #[case] is_retried: bool,
) {
    let mut harness = RouterHarness::new(service_settings(), 4);
    let (id, _) = harness.send_request(NON_IDEMPOTENT, None);
    let effects = harness.finish_attempt(&id, 0, outcome, 0.1);
    assert_eq!(attempted_host(&effects).is_some(), is_retried);
    assert_eq!(
        effects.contains(&Effect::FailRequest { request: id }),
        !is_retried
    );
}

#[test]
fn a_request_with_an_idempotency_key_is_not_retried_after_the_key_expires() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    let (early, _) = harness.send_request(WITH_IDEMPOTENCY_KEY, None);
    harness.now += 0.2;
    assert!(
        attempted_host(&harness.finish_attempt(&early, 0, AttemptOutcome::Error, 0.2)).is_some()
    );
    let (late, _) = harness.send_request(WITH_IDEMPOTENCY_KEY, None);
    harness.now += 0.6;
    assert_eq!(
        harness.finish_attempt(&late, 0, AttemptOutcome::Error, 0.6),
        [Effect::FailRequest { request: late }]
    );
}

#[rstest]
#[case::no_hedging(false)]
#[case::hedging(true)]
fn two_attempts_are_in_flight_at_once_only_where_hedging_is_allowed(#[case] may_hedge: bool) {
    let mut harness = RouterHarness::new(
        ServiceSettings {
            may_hedge,
            ..service_settings()
        },
        4,
    );
    let (_, effects) = harness.send_request(IDEMPOTENT, None);
    assert!(attempted_host(&effects).is_some());
    let timers = effects.iter().filter_map(|effect| match effect {
        Effect::ScheduleTimer { at, key } => Some((*at, *key)),
        _ => None,
    });
    let hedged_attempts = timers.collect::<Vec<_>>().into_iter().filter(|(at, key)| {
        harness.now = *at;
        attempted_host(&harness.handle(Event::TimerExpired { key: *key })).is_some()
    });
    assert_eq!(hedged_attempts.count(), usize::from(may_hedge));
}

#[test]
fn overloaded_hosts_cause_no_retry_storm() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    let (_, sent) = harness.run(4.0, |_, _| (AttemptOutcome::Rejected, 0.01));
    assert!(sent.len() <= 240, "{}", sent.len());
}
