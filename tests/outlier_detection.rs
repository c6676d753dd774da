//! Outlier detection: single hosts that fail or hang.

mod fake;

use fake::*;
use kestreltide::interface::*;

#[test]
fn a_sick_host_is_ejected_and_does_not_speak_for_its_build() {
    let mut fake = with_canary(
        ServiceSettings {
            stage_shares: vec![0.5],
            ..settings()
        },
        12,
    );
    fake.feed(rollout_status(NEW, 0, Phase::Canary, 0.9));
    let build = |id: u64| if id.is_multiple_of(2) { NEW } else { OLD };
    fake.list((0..12).map(|id| host(id, build(id), None)).collect());
    let sick = |h: &HostEntry| h.host == HostId(4);
    let how = |h: &HostEntry, _| {
        (
            if sick(h) {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Succeeded
            },
            0.1,
        )
    };
    fake.run(3.0, how);
    let (votes, sent) = fake.run(6.0, how);
    assert!(sent.iter().filter(|h| sick(h)).count() * 30 < sent.len());
    assert!(!votes.contains(&Vote::RollBack));
}

#[test]
fn a_host_that_keeps_silent_is_passed_over() {
    let mut fake = Fake::new(settings(), 2);
    fake.run(2.0, |_, _| (AttemptOutcome::Succeeded, 0.01));
    while let (id, effects) = fake.ask(READ, None)
        && sent_to(&effects) != Some(HostId(1))
    {
        fake.end(&id, 0, AttemptOutcome::Succeeded, 0.01);
    }
    fake.now += 1.5;
    let (_, sent) = fake.run(1.0, |_, _| (AttemptOutcome::Succeeded, 0.01));
    assert!(sent.iter().filter(|h| h.host == HostId(1)).count() * 10 < sent.len());
}
