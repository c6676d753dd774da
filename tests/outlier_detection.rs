//! Outlier detection: single hosts that fail or do not reply.

mod common;

use common::*;
use kestreltide::interface::*;

#[test]
fn a_failing_host_is_ejected_and_does_not_count_against_its_build() {
    let mut harness = with_canary(
        ServiceSettings {
            stage_shares: vec![0.5],
            ..service_settings()
        },
        12,
    );
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.9));
    let build = |id: u64| {
        if id.is_multiple_of(2) {
            CANARY_BUILD
        } else {
            BASELINE_BUILD
        }
    };
    harness.set_endpoint_list(
        (0..12)
            .map(|id| running_host(id, build(id), None))
            .collect(),
    );
    let fails = |h: &HostEntry| h.host == HostId(4);
    let respond = |h: &HostEntry, _| {
        (
            if fails(h) {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Succeeded
            },
            0.1,
        )
    };
    harness.run(3.0, respond);
    let (votes, sent) = harness.run(6.0, respond);
    assert!(sent.iter().filter(|h| fails(h)).count() * 30 < sent.len());
    assert!(!votes.contains(&Vote::RollBack));
}

#[test]
fn a_host_with_an_overdue_reply_gets_few_attempts() {
    let mut harness = RouterHarness::new(service_settings(), 2);
    harness.run(2.0, |_, _| (AttemptOutcome::Succeeded, 0.01));
    while let (id, effects) = harness.send_request(IDEMPOTENT, None)
        && attempted_host(&effects) != Some(HostId(1))
    {
        harness.finish_attempt(&id, 0, AttemptOutcome::Succeeded, 0.01);
    }
    harness.now += 1.5;
    let (_, sent) = harness.run(1.0, |_, _| (AttemptOutcome::Succeeded, 0.01));
    assert!(sent.iter().filter(|h| h.host == HostId(1)).count() * 10 < sent.len());
}
