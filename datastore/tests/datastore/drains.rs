//! Rule 3: drained hosts.

use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

#[rstest]
#[case::by_state(&[("hosts/h1/state", "in-service")])]
#[case::by_silence(&[("hosts/h1/state", "-")])]
#[case::with_its_old_start(&[("hosts/h1/state", "in-service"), ("hosts/h1/started", "999000")])]
fn a_drained_host_comes_back_only_with_a_new_start(#[case] back: &[(&str, &str)]) {
    let mut store = fleet(4);
    try_edits(&mut store, &[("hosts/h1/state", "draining")], &facts(0.0)).expect("a drain");
    let errors = errors_of(try_edits(&mut store, back, &facts(5.0)));
    assert_eq!(
        errors.iter().map(|error| error.rule).collect::<Vec<_>>(),
        [Some(Rule::DrainsKept)]
    );
    // Not by way of "out", nor after it has been left off the list, nor by a new memory.
    try_edits(&mut store, &[("hosts/h1/state", "out")], &facts(6.0)).expect("out");
    let mut store = Datastore::from_state(rules(), HistoryLimits::default(), store.state());
    assert!(try_edits(&mut store, back, &facts(7.0)).is_err());
    let new = [
        ("hosts/h1/state", "in-service"),
        ("hosts/h1/started", "1000008"),
    ];
    try_edits(&mut store, &new, &facts(9.0)).expect("another process");
}

#[test]
fn a_host_that_was_only_out_of_service_returns_as_it_is() {
    let mut store = fleet(4);
    try_edits(&mut store, &[("hosts/h1/state", "out")], &facts(0.0)).expect("out");
    try_edits(&mut store, &[("hosts/h1/state", "in-service")], &facts(1.0)).expect("in again");
}
