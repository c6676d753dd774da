//! Events that fit nothing.

mod fake;

use fake::*;
use kestreltide::interface::*;

#[test]
fn odd_events_change_nothing_and_the_same_events_give_the_same_effects() {
    let play = || {
        let mut fake = with_canary(settings(), 8);
        let ghost = RequestId("ghost".into());
        assert!(
            fake.end(&ghost, 3, AttemptOutcome::Succeeded, 0.1)
                .is_empty()
        );
        assert!(
            fake.feed(Event::ClientDisconnected { request: ghost })
                .is_empty()
        );
        assert!(
            fake.feed(Event::TimerExpired {
                key: TimerKey(u64::MAX)
            })
            .is_empty()
        );
        for payload in [vec![], vec![0; 11], vec![255; 300]] {
            assert!(
                fake.feed(Event::GossipReceived {
                    from: RouterId(9),
                    payload
                })
                .is_empty()
            );
        }
        let lost = OperationId(9);
        assert!(
            fake.feed(Event::AnswerDisputed {
                host: HostId(99),
                operation: lost,
                age: 1.0
            })
            .is_empty()
        );
        fake.run(3.0, |_, _| (AttemptOutcome::Succeeded, 0.1))
    };
    assert_eq!(play(), play());
}
