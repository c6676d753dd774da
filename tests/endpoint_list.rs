//! The endpoint list: which hosts get attempts as it changes, and how a router polls it.

mod common;

use common::*;
use kestreltide::decisions::Router;
use kestreltide::interface::*;
use rstest::rstest;

#[test]
fn a_restarted_host_does_not_inherit_outcomes_of_its_previous_run() {
    let mut harness = RouterHarness::new(service_settings(), 3);
    let requests: Vec<_> = (0..18)
        .map(|_| harness.send_request(IDEMPOTENT, None))
        .collect();
    let at_first_host: Vec<_> = requests
        .iter()
        .filter(|(_, effects)| attempted_host(effects) == Some(HostId(0)))
        .collect();
    assert!(at_first_host.len() >= 4, "{}", at_first_host.len());
    let restarted_at = 50.0;
    harness.set_endpoint_list(
        (0..3)
            .map(|id| running_host(id, BASELINE_BUILD, (id == 0).then_some(restarted_at)))
            .collect(),
    );
    for (id, _) in at_first_host {
        harness.finish_attempt(id, 0, AttemptOutcome::Error, 0.1);
    }
    let (_, sent) = harness.run(0.5, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert!(
        sent.iter().any(|to| to.host == HostId(0)),
        "errors of attempts at the previous run do not eject the host"
    );
}

#[test]
fn draining_and_removed_hosts_get_no_attempts() {
    let mut harness = RouterHarness::new(service_settings(), 3);
    let mut draining = running_host(0, BASELINE_BUILD, None);
    draining.state = HostState::Stopping;
    harness.handle(Event::EndpointList {
        scope: ListScope::Delta,
        entries: [draining].into(),
    });
    let succeed = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.1);
    assert!(
        harness
            .run(2.0, succeed)
            .1
            .iter()
            .all(|h| h.host != HostId(0))
    );
    harness.set_endpoint_list(vec![running_host(2, BASELINE_BUILD, None)]);
    assert!(
        harness
            .run(2.0, succeed)
            .1
            .iter()
            .all(|h| h.host == HostId(2))
    );
    harness.set_endpoint_list(vec![]);
    let (id, effects) = harness.send_request(IDEMPOTENT, None);
    assert!(matches!(effects.as_slice(), [Effect::ShedRequest { request, .. }] if *request == id));
}

#[rstest]
#[case::polled(true)]
#[case::pushed(false)]
fn a_polled_endpoint_list_is_polled_again_after_a_failure(#[case] polls_endpoint_list: bool) {
    let mut router = Router::start(
        ServiceSettings {
            polls_endpoint_list,
            ..service_settings()
        },
        3,
        0.0,
    );
    let mut effects = vec![];
    router.handle(0.0, Event::EndpointListFailed, &mut effects);
    // For a list that is polled, this effect requests the list once.
    assert_eq!(
        effects.contains(&Effect::SubscribeEndpointList { on: true }),
        polls_endpoint_list
    );
    let timers = effects.iter().filter_map(|effect| match effect {
        Effect::ScheduleTimer { at, key } => Some((*at, *key)),
        _ => None,
    });
    // Keys ascend, so the highest key is that of the timer scheduled last.
    let (at, key) = timers
        .max_by_key(|(_, key)| *key)
        .expect("at least one timer");
    let mut later = vec![];
    router.handle(at, Event::TimerExpired { key }, &mut later);
    assert_eq!(
        later.contains(&Effect::SubscribeEndpointList { on: true }),
        polls_endpoint_list
    );
    assert!(!polls_endpoint_list || at < service_settings().endpoint_poll_interval);
}
