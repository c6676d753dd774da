//! Rule 4: hosts that are warming up.

use kestreltide::interface::*;
use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

/// Each case gives a weight for a host that has just started, the number of routers, the beginning of the expected
/// error, and the seconds after which the same weight is accepted.
#[rstest]
#[case::single_router("60", 1, Some(("this router would send", 4.0)))]
#[case::one_of_four_routers("60", 4, Some(("this router alone", 4.0)))]
#[case::four_routers_together("2", 4, Some(("all 4 routers together, though none alone,", 1.67)))]
#[case::not_overloaded("1.1", 4, None)]
fn a_weight_that_overloads_a_host_is_rejected_until_it_has_warmed_up(
    #[case] weight: &str,
    #[case] routers: u32,
    #[case] expected: Option<(&str, f64)>,
) {
    let mut store = datastore_with_hosts(40);
    let rules = RuleSettings {
        routers,
        ..rule_settings()
    };
    try_edits(
        &mut store,
        &[("hosts/h0/started", "1000000")],
        &facts_at(0.0),
    )
    .expect("setting a start is valid");
    let mut store = Datastore::from_state(rules, HistoryLimits::default(), store.state());
    let result = try_edits(&mut store, &[("hosts/h0/weight", weight)], &facts_at(0.1));
    let Some((who, later)) = expected else {
        return drop(result.expect("the host is not overloaded"));
    };
    let errors = result.expect_err("the commit is rejected");
    let [error] = errors.first.as_slice() else {
        panic!("one error: {errors}")
    };
    assert!(
        error.problem.starts_with(who) && error.rule == Some(Rule::WarmUpRespected),
        "{error}"
    );
    let passes = errors.retry_at().expect("the error can be retried");
    assert!((passes - NOW - later).abs() < 0.2, "{}", passes - NOW);
    try_edits(
        &mut store,
        &[("hosts/h0/weight", weight)],
        &facts_at(later + 0.2),
    )
    .expect("the host has warmed up enough");
}

#[test]
fn a_host_listed_anew_without_a_start_counts_as_just_started() {
    let mut store = datastore_with_hosts(10);
    let mut candidate = Candidate::new(store.in_force());
    add_host(&mut candidate.tree, "new", 9000, "north", 41);
    let Ok(CommitOutcome::Applied(snapshot)) =
        store.commit(&candidate, author("test"), &facts_at(0.0))
    else {
        panic!()
    };
    let entry = snapshot
        .configured(HostId::from_name("new"))
        .and_then(|configured| configured.entry);
    assert_eq!(entry.and_then(|entry| entry.started), Some(NOW));
    assert!(try_edits(&mut store, &[("hosts/new/weight", "30")], &facts_at(0.5)).is_err());
    try_edits(&mut store, &[("hosts/new/weight", "30")], &facts_at(5.0)).expect("the host is warm");
}

#[test]
fn a_drain_is_never_delayed_by_a_host_that_is_warming_up() {
    let mut store = datastore_with_hosts(10);
    try_edits(&mut store, &[("hosts/h0/weight", "20")], &facts_at(0.0)).expect("the host is warm");
    try_edits(
        &mut store,
        &[("hosts/h0/started", "1000010")],
        &facts_at(10.0),
    )
    .expect("setting a new start is valid");
    try_edits(
        &mut store,
        &[("hosts/h1/state", "draining")],
        &facts_at(10.1),
    )
    .expect("the drain is valid");
    assert!(try_edits(&mut store, &[("hosts/h0/weight", "25")], &facts_at(10.1)).is_err());
}
