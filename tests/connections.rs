//! Connections: the subset of hosts that a router of a large fleet uses, and idle connections that are closed.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[rstest]
#[case::large_fleet(600, 4..=30)]
#[case::small_fleet(4, 90..=120)]
fn a_router_uses_only_as_many_hosts_as_its_traffic_keeps_connected(
    #[case] routers: u32,
    #[case] expected: std::ops::RangeInclusive<usize>,
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
    let (_, later) = harness.run(20.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let later = if routers > 100 { vec![] } else { later };
    let hosts: std::collections::BTreeSet<_> = sent.iter().chain(&later).map(|h| h.host).collect();
    assert!(expected.contains(&hosts.len()), "{}", hosts.len());
}

#[test]
fn idle_connections_that_hosts_would_reset_are_closed_before_the_next_request() {
    let mut harness = RouterHarness::new(service_settings(), 1);
    let mut closes_connections = |_| {
        harness.now += 1.0;
        let (id, effects) = harness.send_request(IDEMPOTENT, None);
        let closes_idle = effects
            .iter()
            .any(|effect| matches!(effect, Effect::CloseIdleConnections { .. }));
        let response = if closes_idle {
            (AttemptOutcome::Succeeded, 0.1)
        } else {
            (AttemptOutcome::Reset, 0.1)
        };
        let retry_effects = harness.finish_attempt(&id, 0, response.0, response.1);
        (attempted_host(&retry_effects).is_some())
            .then(|| harness.finish_attempt(&id, 1, AttemptOutcome::Succeeded, 0.1));
        closes_idle
    };
    let closes_idle: Vec<_> = (0..20).map(&mut closes_connections).collect();
    assert!(
        !closes_idle[0]
            && closes_idle[5..]
                .iter()
                .filter(|closes_idle| **closes_idle)
                .count()
                >= 12,
        "{closes_idle:?}"
    );
}
