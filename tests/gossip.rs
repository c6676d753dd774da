//! Gossip: how routers merge the evidence of their peers, and whose messages they accept.

mod common;

use common::*;
use kestreltide::decisions::Router;
use kestreltide::interface::*;
use rstest::rstest;

/// The payload that a router sends when its gossip timer fires for the first time.
fn first_gossip_payload(router: &mut Router, now: f64) -> Vec<u8> {
    let mut effects = vec![];
    router.handle(now, Event::TimerExpired { key: TimerKey(1) }, &mut effects);
    let payload = effects.into_iter().find_map(|effect| match effect {
        Effect::SendGossip { payload, .. } => Some(payload),
        _ => None,
    });
    payload.expect("a gossip message")
}

#[rstest]
#[case::started_after_the_canary(3.0, 1.0)]
#[case::started_before_the_canary(0.0, 0.5)]
fn a_restarted_router_adopts_all_evidence_and_others_half_of_the_difference(
    #[case] age: f64,
    #[case] expected_fraction: f64,
) {
    let mut harness = with_canary(
        ServiceSettings {
            routers: 2,
            ..service_settings()
        },
        8,
    );
    harness.run(2.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let mut other = Router::start(
        ServiceSettings {
            router_id: RouterId(1),
            routers: 2,
            ..service_settings()
        },
        5,
        harness.now,
    );
    let stage = |age| RolloutStatus {
        outcome: AttemptOutcome::Succeeded,
        build: CANARY_BUILD,
        stage: 0,
        phase: Phase::Canary,
        cap: 0.3,
        age,
        answers_vote: false,
    };
    other.handle(
        harness.now,
        Event::RolloutStatusReceived(stage(age)),
        &mut vec![],
    );
    let sum_of_figures = |bytes: &[u8]| -> f64 {
        let floats = bytes[8..]
            .chunks_exact(2)
            .map(|b| f32::from_le_bytes([0, 0, b[0], b[1]]));
        floats.map(f64::from).sum()
    };
    let mut effects = harness.handle(Event::GossipReceived {
        from: RouterId(1),
        payload: first_gossip_payload(&mut other, harness.now),
    });
    let Some(Effect::SendGossip { payload, .. }) = effects.pop() else {
        panic!("a reply")
    };
    let sent = sum_of_figures(&payload);
    other.handle(
        harness.now,
        Event::GossipReceived {
            from: RouterId(0),
            payload,
        },
        &mut vec![],
    );
    let adopted = sum_of_figures(&{
        let mut effects = vec![];
        let message = Event::GossipReceived {
            from: RouterId(0),
            payload: vec![0; 8],
        };
        other.handle(harness.now, message, &mut effects);
        other.handle(
            harness.now,
            Event::RolloutStatusReceived(stage(age)),
            &mut effects,
        );
        let mut bytes = vec![0, 0, 8, 0];
        bytes.resize(8 + 2 * 36, 0);
        other.handle(
            harness.now,
            Event::GossipReceived {
                from: RouterId(0),
                payload: bytes,
            },
            &mut effects,
        );
        match effects.pop() {
            Some(Effect::SendGossip { payload, .. }) => payload,
            other => panic!("a reply, not {other:?}"),
        }
    });
    assert!(
        sent > 100.0 && (adopted / sent - expected_fraction).abs() < 0.01,
        "{adopted} of {sent}"
    );
}

/// A datagram may claim any router id as its sender. Messages from ids beyond the number of routers are ignored, so
/// that they add no evidence.
#[rstest]
#[case::the_other_router(1, true)]
#[case::first_unused_id(2, false)]
#[case::highest_id(u32::MAX, false)]
fn gossip_is_accepted_only_from_routers_of_the_service(#[case] from: u32, #[case] is_peer: bool) {
    let settings = ServiceSettings {
        routers: 2,
        ..service_settings()
    };
    let mut harness = with_canary(settings, 8);
    let mut payload = vec![0, 0, 8, 0];
    payload.resize(8 + 2 * 36, 0);
    let effects = harness.handle(Event::GossipReceived {
        from: RouterId(from),
        payload,
    });
    let is_reply = |effect: &Effect| matches!(effect, Effect::SendGossip { .. });
    assert_eq!(effects.iter().any(is_reply), is_peer, "{effects:?}");
}
