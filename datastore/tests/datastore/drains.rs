//! Rule 3: drained hosts return to service only after a restart.

use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

#[rstest]
#[case::in_service(&[("hosts/h1/state", "in-service")])]
#[case::state_removed(&[("hosts/h1/state", "-")])]
#[case::in_service_with_old_start(&[("hosts/h1/state", "in-service"), ("hosts/h1/started", "999000")])]
fn a_drained_host_comes_back_only_with_a_new_start(#[case] back: &[(&str, &str)]) {
    let mut store = datastore_with_hosts(4);
    try_edits(
        &mut store,
        &[("hosts/h1/state", "draining")],
        &facts_at(0.0),
    )
    .expect("the drain is valid");
    let errors = rejection_errors(try_edits(&mut store, back, &facts_at(5.0)));
    assert_eq!(
        errors.iter().map(|error| error.rule).collect::<Vec<_>>(),
        [Some(Rule::DrainsKept)]
    );
    // Neither the state "out" in between nor a restart of the router allows it.
    try_edits(&mut store, &[("hosts/h1/state", "out")], &facts_at(6.0))
        .expect("taking the host out is valid");
    let mut store = Datastore::from_state(rule_settings(), HistoryLimits::default(), store.state());
    assert!(try_edits(&mut store, back, &facts_at(7.0)).is_err());
    let new = [
        ("hosts/h1/state", "in-service"),
        ("hosts/h1/started", "1000008"),
    ];
    try_edits(&mut store, &new, &facts_at(9.0)).expect("a new process may be in service");
}

#[test]
fn a_host_that_is_out_but_not_drained_returns_without_a_restart() {
    let mut store = datastore_with_hosts(4);
    try_edits(&mut store, &[("hosts/h1/state", "out")], &facts_at(0.0))
        .expect("taking the host out is valid");
    try_edits(
        &mut store,
        &[("hosts/h1/state", "in-service")],
        &facts_at(1.0),
    )
    .expect("putting the host in service is valid");
}
