//! Events that refer to unknown requests, timers, hosts, operations or routers, or carry malformed gossip.

mod common;

use common::*;
use kestreltide::interface::*;

#[test]
fn unexpected_events_have_no_effects_and_a_scenario_is_deterministic() {
    let run_scenario = || {
        let mut harness = with_canary(service_settings(), 8);
        let unknown_request = RequestId("ghost".into());
        assert!(
            harness
                .finish_attempt(&unknown_request, 3, AttemptOutcome::Succeeded, 0.1)
                .is_empty()
        );
        assert!(
            harness
                .handle(Event::ClientDisconnected {
                    request: unknown_request
                })
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
        let unknown_operation = OperationId(9);
        assert!(
            harness
                .handle(Event::AnswerDisputed {
                    host: HostId(99),
                    operation: unknown_operation,
                    age: 1.0
                })
                .is_empty()
        );
        harness.run(3.0, |_, _| (AttemptOutcome::Succeeded, 0.1))
    };
    assert_eq!(run_scenario(), run_scenario());
}
