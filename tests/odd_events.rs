//! Events that fit nothing.

mod common;

use common::*;
use kestreltide::interface::*;

#[test]
fn odd_events_change_nothing_and_the_same_events_give_the_same_effects() {
    let play = || {
        let mut harness = with_canary(service_settings(), 8);
        let ghost = RequestId("ghost".into());
        assert!(
            harness
                .finish_attempt(&ghost, 3, AttemptOutcome::Succeeded, 0.1)
                .is_empty()
        );
        assert!(
            harness
                .handle(Event::ClientDisconnected { request: ghost })
                .is_empty()
        );
        assert!(
            harness
                .handle(Event::TimerExpired {
                    key: TimerKey(u64::MAX)
                })
                .is_empty()
        );
        for payload in [vec![], vec![0; 11], vec![255; 300]] {
            assert!(
                harness
                    .handle(Event::GossipReceived {
                        from: RouterId(9),
                        payload
                    })
                    .is_empty()
            );
        }
        let lost = OperationId(9);
        assert!(
            harness
                .handle(Event::AnswerDisputed {
                    host: HostId(99),
                    operation: lost,
                    age: 1.0
                })
                .is_empty()
        );
        harness.run(3.0, |_, _| (AttemptOutcome::Succeeded, 0.1))
    };
    assert_eq!(play(), play());
}
