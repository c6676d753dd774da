//! The endpoint list: who is listed, and how it is polled.

mod fake;

use fake::*;
use kestreltide::decisions::Router;
use kestreltide::interface::*;
use rstest::rstest;

#[test]
fn an_id_that_comes_back_carries_nothing_of_the_machine_before() {
    let mut fake = Fake::new(settings(), 3);
    let asked: Vec<_> = (0..18).map(|_| fake.ask(READ, None)).collect();
    let at_first: Vec<_> = asked
        .iter()
        .filter(|(_, effects)| sent_to(effects) == Some(HostId(0)))
        .collect();
    assert!(at_first.len() >= 4, "{}", at_first.len());
    fake.list(
        (0..3)
            .map(|id| host(id, OLD, (id == 0).then_some(50.0)))
            .collect(),
    );
    for (id, _) in at_first {
        fake.end(id, 0, AttemptOutcome::Error, 0.1);
    }
    let (_, sent) = fake.run(0.5, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert!(
        sent.iter().any(|to| to.host == HostId(0)),
        "it is not set aside for the errors of another"
    );
}

#[test]
fn no_host_that_drains_or_is_gone_is_sent_to() {
    let mut fake = Fake::new(settings(), 3);
    let mut draining = host(0, OLD, None);
    draining.state = HostState::Stopping;
    fake.feed(Event::EndpointList {
        scope: ListScope::Delta,
        entries: [draining].into(),
    });
    let well = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.1);
    assert!(fake.run(2.0, well).1.iter().all(|h| h.host != HostId(0)));
    fake.list(vec![host(2, OLD, None)]);
    assert!(fake.run(2.0, well).1.iter().all(|h| h.host == HostId(2)));
    fake.list(vec![]);
    let (id, effects) = fake.ask(READ, None);
    assert!(matches!(effects.as_slice(), [Effect::ShedRequest { request, .. }] if *request == id));
}

#[rstest]
#[case::asked(true)]
#[case::pushed(false)]
fn a_list_that_must_be_asked_is_followed_and_followed_again_after_errors(
    #[case] polls_endpoint_list: bool,
) {
    let mut router = Router::start(
        ServiceSettings {
            polls_endpoint_list,
            ..settings()
        },
        3,
        0.0,
    );
    let mut effects = vec![];
    router.handle(0.0, Event::EndpointListFailed, &mut effects);
    assert_eq!(
        effects.contains(&Effect::SubscribeEndpointList { on: true }),
        polls_endpoint_list
    );
    let timers = effects.iter().filter_map(|effect| match effect {
        Effect::ScheduleTimer { at, key } => Some((*at, *key)),
        _ => None,
    });
    let (at, key) = timers
        .max_by_key(|(_, key)| *key)
        .expect("at least the swaps' alarm");
    let mut later = vec![];
    router.handle(at, Event::TimerExpired { key }, &mut later);
    assert_eq!(
        later.contains(&Effect::SubscribeEndpointList { on: true }),
        polls_endpoint_list
    );
    assert!(!polls_endpoint_list || at < settings().endpoint_poll_interval);
}
