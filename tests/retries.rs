//! Retries and hedged attempts: idempotency, windows and the budget.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[test]
fn what_follows_a_reset_is_not_paid_by_what_is_saved_for_retries() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    let again = |harness: &mut RouterHarness, outcome| {
        let (id, _) = harness.send_request(IDEMPOTENT, None);
        let sent = attempted_host(&harness.finish_attempt(&id, 0, outcome, 0.01)).is_some();
        harness.finish_attempt(&id, 1, AttemptOutcome::Succeeded, 0.01);
        sent
    };
    assert!((0..40).all(|_| again(&mut harness, AttemptOutcome::Reset)));
    assert!(!(0..40).all(|_| again(&mut harness, AttemptOutcome::Error)));
}

#[rstest]
#[case::error(AttemptOutcome::Error, false)]
#[case::timed_out(AttemptOutcome::TimedOut, false)]
#[case::reset(AttemptOutcome::Reset, false)]
#[case::turned_away(AttemptOutcome::Rejected, true)]
#[case::out_of_reach(AttemptOutcome::NoConnection, true)]
fn a_non_idempotent_request_that_may_have_run_is_never_repeated(
    #[case] outcome: AttemptOutcome,
    #[case] again: bool,
) {
    let mut harness = RouterHarness::new(service_settings(), 4);
    let (id, _) = harness.send_request(NON_IDEMPOTENT, None);
    let effects = harness.finish_attempt(&id, 0, outcome, 0.1);
    assert_eq!(attempted_host(&effects).is_some(), again);
    assert_eq!(
        effects.contains(&Effect::FailRequest { request: id }),
        !again
    );
}

#[test]
fn a_request_with_an_idempotency_key_is_not_repeated_once_hosts_forget_it() {
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
#[case::one_at_a_time(false)]
#[case::copies_allowed(true)]
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
    let copies = timers.collect::<Vec<_>>().into_iter().filter(|(at, key)| {
        harness.now = *at;
        attempted_host(&harness.handle(Event::TimerExpired { key: *key })).is_some()
    });
    assert_eq!(copies.count(), usize::from(may_hedge));
}

#[test]
fn hosts_that_are_full_draw_no_storm_of_retries() {
    let mut harness = RouterHarness::new(service_settings(), 4);
    let (_, sent) = harness.run(4.0, |_, _| (AttemptOutcome::Rejected, 0.01));
    assert!(sent.len() <= 240, "{}", sent.len());
}
