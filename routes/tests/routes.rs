//! Matching of requests to routes, overlapping routes, and pools of hosts.

use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_routes::{Route, RouteMatch, Routes, ambiguous_pairs};
use rstest::rstest;

fn route(name: &str, precedence: Option<u32>, operations: &[&str], prefix: &str) -> Route {
    let operations = operations.iter().map(|name| Arc::from(*name)).collect();
    let matcher = RouteMatch {
        operations,
        key_prefix: prefix.into(),
    };
    Route {
        name: name.into(),
        precedence,
        matcher,
        pool: Arc::new(HostPool::default()),
    }
}

#[rstest]
#[case::by_precedence("read", "b-7", Some("narrow"))]
#[case::by_operation("read", "c-7", Some("wide"))]
#[case::none("set", "c-7", None)]
#[case::no_key("read", "", Some("wide"))]
fn the_first_matching_route_is_used(
    #[case] operation: &str,
    #[case] key: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![
        route("wide", Some(20), &["read"], ""),
        route("narrow", Some(10), &["read", "set"], "b-"),
    ];
    assert_eq!(
        Routes::new(routes)
            .find(operation, key)
            .map(|route| &*route.name),
        expected
    );
}

#[rstest]
#[case::different_precedences(Some(1), Some(2), &["read"], "b", false)]
#[case::same_precedence(Some(1), Some(1), &["read"], "b", true)]
#[case::one_without_precedence(Some(1), None, &["read"], "b", true)]
#[case::other_operation(None, None, &["set"], "b", false)]
#[case::any_operation(None, None, &[], "b", true)]
#[case::other_key(None, None, &["read"], "c", false)]
#[case::longer_key(None, None, &["read"], "bc", true)]
fn overlapping_routes_need_different_precedences(
    #[case] a: Option<u32>,
    #[case] b: Option<u32>,
    #[case] operations: &[&str],
    #[case] prefix: &str,
    #[case] is_ambiguous: bool,
) {
    let routes = [
        route("one", a, &["read"], "b"),
        route("two", b, operations, prefix),
    ];
    assert_eq!(!ambiguous_pairs(&routes, 1).is_empty(), is_ambiguous);
}

/// No more pairs than the maximum are returned, whatever the number of ambiguous pairs.
#[test]
fn the_number_of_ambiguous_pairs_is_limited() {
    let routes: Vec<_> = (0..2000)
        .map(|number| route(&format!("r{number}"), None, &[], ""))
        .collect();
    let pairs = ambiguous_pairs(&routes, 100);
    assert_eq!(pairs.len(), 100);
    assert!(pairs.iter().all(|(one, other)| one.name != other.name));
}

/// Returns the CPU time of this thread in nanoseconds, which doesn't depend on other load on the machine. The kernel
/// updates it when the thread goes to sleep.
fn thread_cpu_nanos() -> u64 {
    std::thread::sleep(std::time::Duration::from_micros(50));
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat")
        .expect("the kernel reports schedstat");
    schedstat
        .split(' ')
        .next()
        .and_then(|text| text.parse().ok())
        .expect("a number")
}

/// With 8 times the routes, a linear algorithm costs about 8 times as much, a quadratic one 64 times. The bound of 24
/// lies between the two.
#[test]
fn routes_for_different_keys_are_not_compared_with_each_other() {
    let cost = |count: usize| {
        let prefix = |number: usize| format!("tenant-{:05}/", number * 7919 % count);
        let routes: Vec<_> = (0..count)
            .map(|number| route(&format!("r{number}"), None, &[], &prefix(number)))
            .collect();
        let run_once = || {
            let start = thread_cpu_nanos();
            assert!(ambiguous_pairs(&routes, 1).is_empty());
            thread_cpu_nanos() - start
        };
        (0..5).map(|_| run_once()).min().expect("five")
    };
    let (few, many) = (cost(1500), cost(12_000));
    assert!(many < 24 * few, "{few} ns, {many} ns");
}

#[rstest]
#[case::all(HostPool::default(), true)]
#[case::zone(HostPool { zones: vec![ZoneId(1)], ..HostPool::default() }, true)]
#[case::other_zone(HostPool { zones: vec![ZoneId(2)], ..HostPool::default() }, false)]
#[case::zone_and_kind(HostPool { zones: vec![ZoneId(1)], kinds: vec![MachineKindId(9)], ..HostPool::default() }, false)]
#[case::by_name(HostPool { hosts: vec![HostId(5), HostId(7)], ..HostPool::default() }, true)]
fn a_pool_contains_hosts_that_match_all_its_conditions(
    #[case] pool: HostPool,
    #[case] expected: bool,
) {
    let (build, zone, cell, kind) = (BuildId(1), ZoneId(1), CellId(0), MachineKindId(1));
    let state = HostState::Running;
    let entry = HostEntry {
        host: HostId(7),
        build,
        zone,
        cell,
        kind,
        size: 1.0,
        started: None,
        state,
    };
    assert_eq!(pool.contains(&entry), expected);
}
