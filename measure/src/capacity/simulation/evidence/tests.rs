use super::*;

/// A message of one slot, whose trial has so many outcomes by the first mark.
fn message(build: u16, fresh: bool, outcomes: f32) -> Vec<u8> {
    let mut figures = [0.0f32; 2 + MARKS * FIGURES];
    (figures[4], figures[5]) = (outcomes / 2.0, outcomes / 2.0);
    let short = |figure: &f32| ((figure.to_bits() >> 16) as u16).to_le_bytes();
    let head = [[0, u8::from(fresh)], build.to_le_bytes()].concat();
    head.into_iter()
        .chain(figures.iter().flat_map(short))
        .collect()
}

#[test]
fn a_message_is_read() {
    let received = ReceivedEvidence::read(&message(8, true, 64.0)).expect("a message");
    assert_eq!(
        received,
        ReceivedEvidence {
            build: 8,
            fresh: true,
            outcomes: 64.0
        }
    );
    assert_eq!(ReceivedEvidence::read(&[0, 0]), None);
}

/// The decision module's own message is read as this module expects it.
#[test]
fn a_message_of_the_decision_module_is_read() {
    use kestreltide::decisions::Router;
    use kestreltide::interface::*;
    let mut effects = vec![];
    let terms = super::super::settings::service_terms(8, 0);
    let mut router = Router::start(terms, 1, 100.0);
    let rollout_status = super::super::platform::Platform::new(
        super::super::settings::platform_terms(8),
        8,
        BuildId(9),
        100.0,
    )
    .rollout_status(100.0);
    router.handle(
        100.0,
        Event::RolloutStatusReceived(rollout_status),
        &mut effects,
    );
    let alarm = effects.iter().find_map(|effect| match effect {
        Effect::ScheduleTimer { key, .. } => Some(*key),
        _ => None,
    });
    router.handle(
        100.2,
        Event::TimerExpired {
            key: alarm.expect("a beat"),
        },
        &mut effects,
    );
    let payload = effects.iter().find_map(|effect| match effect {
        Effect::SendGossip { payload, .. } => Some(payload),
        _ => None,
    });
    let received = ReceivedEvidence::read(payload.expect("a message")).expect("a message");
    assert_eq!(
        received,
        ReceivedEvidence {
            build: 9,
            fresh: false,
            outcomes: 0.0
        }
    );
}

#[test]
fn sight_moves_with_each_message_of_the_same_build() {
    let mut evidence = Evidence::new(4);
    (0..4).for_each(|router| evidence.rollout_status(router, 8));
    evidence.begin(8);
    evidence.takes(0, &message(8, false, 100.0), 1.0, 20.0);
    evidence.takes(0, &message(7, false, 1000.0), 2.0, 20.0);
    let all = [0.25, 0.5, 1.0];
    assert_eq!(
        evidence.reach(all, |_| true),
        [None; 3],
        "fifteen of a hundred"
    );
    evidence.takes(0, &message(8, false, 100.0), 3.0, 20.0);
    evidence.sends(1, &message(8, true, 0.0));
    evidence.takes(1, &message(8, false, 100.0), 4.0, 20.0);
    assert_eq!(evidence.reach(all, |_| true), [Some(3.0), Some(4.0), None]);
    assert_eq!(evidence.reach(all, |router| router == 1), [Some(4.0); 3]);
    evidence.begin(9);
    evidence.takes(1, &message(8, false, 100.0), 5.0, 20.0);
    evidence.rollout_status(0, 9);
    evidence.takes(0, &message(9, false, 0.0), 5.0, 0.0);
    assert_eq!(evidence.reach(all, |_| true), [None; 3]);
}
