use super::*;

fn entry(host: u64, state: HostState) -> HostEntry {
    let (build, zone, cell, kind) = (BuildId(7), ZoneId(0), CellId(0), MachineKindId(0));
    HostEntry {
        host: HostId(host),
        build,
        zone,
        cell,
        kind,
        size: 1.0,
        started: None,
        state,
    }
}

#[test]
fn a_push_has_the_last_state_of_each_host_that_changed() {
    let mut discovery = Discovery::default();
    discovery.note(entry(1, HostState::Running));
    discovery.note(entry(2, HostState::Running));
    discovery.note(entry(1, HostState::Stopping));
    discovery.note(entry(3, HostState::Removed));
    let push = discovery.push().expect("changes");
    assert_eq!(
        *push,
        [entry(1, HostState::Stopping), entry(2, HostState::Running)]
    );
    assert_eq!(discovery.push(), None);
    discovery.note(entry(2, HostState::Running));
    assert_eq!(discovery.push(), None, "nothing new");
    discovery.note(entry(1, HostState::Removed));
    assert_eq!(discovery.complete().len(), 1);
    assert_eq!(
        discovery.push().expect("a change")[0].state,
        HostState::Removed
    );
}

#[test]
fn calls_are_served_in_turn() {
    let mut discovery = Discovery::default();
    (0..50).for_each(|host| discovery.note(entry(host, HostState::Running)));
    assert!((discovery.call(100.0) - 0.001).abs() < 1e-9);
    assert!((discovery.call(100.0) - 0.002).abs() < 1e-9);
    assert!((discovery.call(200.0) - 0.001).abs() < 1e-9);
}
