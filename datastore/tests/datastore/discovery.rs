//! Hosts that both discovery and operators list.

use kestreltide::interface::*;
use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

/// Each case sets a leaf of a host that discovery lists too, and checks which value is used.
#[rstest]
#[case::endpoint("hosts/d1/endpoint", "127.0.0.1:1", |host: &HostRecord| host.endpoint.port() == 8001)]
#[case::zone("hosts/d1/zone", "north", |host: &HostRecord| &*host.zone == "east")]
#[case::cell("hosts/d1/cell", "9", |host: &HostRecord| host.cell == 3)]
#[case::build("hosts/d1/build", "9", |host: &HostRecord| host.build == BuildId(41))]
#[case::size("hosts/d1/size", "9", |host: &HostRecord| host.size == 9.0)]
#[case::earlier_start("hosts/d1/started", "9", |host: &HostRecord| host.started == Some(NOW - 500.0))]
#[case::later_start("hosts/d1/started", "999990", |host: &HostRecord| host.started == Some(NOW - 10.0))]
#[case::state("hosts/d1/state", "draining", |host: &HostRecord| host.state == HostState::Stopping)]
#[case::state_of_removed_host("hosts/d2/state", "in-service", |host: &HostRecord| host.state == HostState::Removed)]
fn the_merge_policy_decides_if_discovery_and_operators_disagree(
    #[case] at: &str,
    #[case] text: &str,
    #[case] holds: fn(&HostRecord) -> bool,
) {
    let list = [
        discovered_host("d1", 8001, HostState::Running),
        discovered_host("d2", 8002, HostState::Removed),
    ];
    let facts = Facts {
        discovery: Some(list.into()),
        ..facts_at(0.0)
    };
    let mut tree = Tree::default();
    set_leaves(&mut tree, &[(at, text)]);
    let all = merge::merge_hosts(&tree, &FirstListed::new(), facts.discovery.as_deref());
    let name = at.split('/').nth(1).expect("the path of a host");
    assert!(holds(&all[name]), "{:?}", all[name]);
}

#[test]
fn a_candidate_that_waits_for_discovery_may_be_retried() {
    let mut store = Datastore::new(rule_settings(), HistoryLimits::default());
    let facts = Facts {
        discovery: Some([].into()),
        discovery_received: false,
        ..facts_at(0.0)
    };
    let errors = try_edits(&mut store, &[("hosts/d1/weight", "2")], &facts)
        .expect_err("discovery has not sent its list");
    assert!(errors.retry_at().is_some());
    let facts = Facts {
        discovery: Some([discovered_host("d1", 8001, HostState::Running)].into()),
        discovery_received: true,
        ..facts
    };
    try_edits(&mut store, &[("hosts/d1/weight", "2")], &facts).expect("discovery lists it");
}
