//! Connections: pairs of hosts in large fleets, and idle connections that are dropped.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[rstest]
#[case::hundreds(600, 4..=30)]
#[case::a_few(4, 90..=120)]
fn a_router_keeps_to_the_hosts_that_its_traffic_keeps_connected(
    #[case] routers: u32,
    #[case] met: std::ops::RangeInclusive<usize>,
) {
    let mut harness = RouterHarness::new(
        ServiceSettings {
            routers,
            ..service_settings()
        },
        120,
    );
    (1..26).for_each(|from| receive_peer_gossip(&mut harness, from, 100.0));
    harness.run(0.3, |_, _| (AttemptOutcome::Succeeded, 0.1));
    (1..26).for_each(|from| receive_peer_gossip(&mut harness, from, 100.0));
    let (_, sent) = harness.run(2.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    (1..26).for_each(|from| receive_peer_gossip(&mut harness, from, 100.0));
    let (_, more) = harness.run(20.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let more = if routers > 100 { vec![] } else { more };
    let hosts: std::collections::BTreeSet<_> = sent.iter().chain(&more).map(|h| h.host).collect();
    assert!(met.contains(&hosts.len()), "{}", hosts.len());
}

#[test]
fn connections_lost_after_time_without_use_are_closed_before_the_next() {
    let mut harness = RouterHarness::new(service_settings(), 1);
    let mut closed = |_| {
        harness.now += 1.0;
        let (id, effects) = harness.send_request(IDEMPOTENT, None);
        let fresh = effects
            .iter()
            .any(|effect| matches!(effect, Effect::CloseIdleConnections { .. }));
        let how = if fresh {
            (AttemptOutcome::Succeeded, 0.1)
        } else {
            (AttemptOutcome::Reset, 0.1)
        };
        let more = harness.finish_attempt(&id, 0, how.0, how.1);
        (attempted_host(&more).is_some())
            .then(|| harness.finish_attempt(&id, 1, AttemptOutcome::Succeeded, 0.1));
        fresh
    };
    let closed: Vec<_> = (0..20).map(&mut closed).collect();
    assert!(
        !closed[0] && closed[5..].iter().filter(|fresh| **fresh).count() >= 12,
        "{closed:?}"
    );
}
