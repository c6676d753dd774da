use kestreltide::interface::HostState;
use kestreltide_router::protocol::discovery;

use super::*;

fn entry(host: u32, state: Listed) -> Entry {
    let endpoint = ([127, 20, 0, host as u8], 700).into();
    Entry {
        host,
        endpoint,
        zone: 1,
        rack: 2,
        state,
        size: 1.0,
        boot_ms: 0,
        build: 41,
    }
}

fn registry() -> Registry {
    let mut registry = Registry::default();
    (0..3).for_each(|host| registry.note(entry(host, Listed::Ready)));
    registry.publish();
    registry
}

#[test]
fn the_whole_list_is_read_by_the_routers_own_codec() {
    let mut registry = registry();
    let answer = registry.answer(Scope(2), None);
    let list = discovery::parse_list(answer.body.as_bytes()).unwrap();
    assert!(list.all);
    assert_eq!((list.rev, list.targets.len()), (1, 2));
    assert_eq!(
        (list.targets[1].uid.as_ref(), list.targets[1].state()),
        ("h1", HostState::Running)
    );
}

#[test]
fn a_watch_gets_changes_only_and_each_host_once() {
    let mut registry = registry();
    assert_eq!(registry.publish(), None);
    registry.note(entry(1, Listed::Terminating));
    registry.publish();
    registry.note(entry(1, Listed::Gone));
    registry.publish();
    let answer = registry.answer(Scope(9), Some(1));
    assert_eq!(
        (answer.version, answer.complete, &*answer.received),
        (3, false, &[(1, true)][..])
    );
    let list = discovery::parse_list(answer.body.as_bytes()).unwrap();
    assert_eq!(
        (list.targets.len(), list.targets[0].state()),
        (1, HostState::Removed)
    );
    assert_eq!(
        registry.answer(Scope(9), Some(3)).body.as_ref(),
        "{\"rev\":3,\"all\":false,\"targets\":[]}"
    );
    let complete = registry.answer(Scope(9), None);
    assert_eq!(
        discovery::parse_list(complete.body.as_bytes())
            .unwrap()
            .targets
            .len(),
        2
    );
}
