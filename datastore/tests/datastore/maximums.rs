//! The maximum size of a configuration.

use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

/// Returns maximums with this memory in bytes. A configured host takes 100 + 150 bytes, a name in a route takes one.
fn memory_maximum(maximum: usize) -> Maximums {
    let memory = MemorySettings {
        maximum,
        per_host: 100,
        per_configured_host: 150,
        per_route: 0,
        per_route_name: 1,
    };
    Maximums {
        memory,
        ..Maximums::default()
    }
}

/// Each case sets maximums and gives the error if the candidate exceeds one of them.
#[rstest]
#[case::within_all_maximums(Maximums { hosts: 4, routes: 2, route_names: 3, ..Maximums::default() }, None)]
#[case::hosts(Maximums { hosts: 3, ..Maximums::default() }, Some("hosts: are more than a router keeps (given: 4; taken: 3 at most)"))]
#[case::routes(Maximums { routes: 1, ..Maximums::default() }, Some("routes: are more than a router keeps (given: 2; taken: 1 at most)"))]
#[case::memory_of_hosts(
    memory_maximum(1000),
    Some(
        "hosts: take more memory than the router has for them (given: 1003 bytes for 4 hosts and 2 routes; taken: 1000 bytes at most)"
    )
)]
#[case::memory_of_routes(Maximums { memory: MemorySettings { per_route: 500, ..memory_maximum(1000).memory }, ..Maximums::default() }, Some("routes: take more memory than the router has for them (given: 2003 bytes for 4 hosts and 2 routes; taken: 1000 bytes at most)"))]
#[case::memory_at_its_maximum(memory_maximum(1003), None)]
#[case::route_names(Maximums { route_names: 2, ..Maximums::default() }, Some("routes: name more than a router keeps (given: 3; taken: 2 at most)"))]
fn a_candidate_above_a_maximum_is_rejected(
    #[case] maximums: Maximums,
    #[case] reason: Option<&str>,
) {
    let mut store = Datastore::new(
        RuleSettings {
            maximums,
            ..rule_settings()
        },
        HistoryLimits::default(),
    );
    let mut candidate = Candidate::new(store.in_force());
    (0..4).for_each(|number| {
        add_host(
            &mut candidate.tree,
            &format!("h{number}"),
            7000 + number,
            "north",
            41,
        )
    });
    let routes = [
        ("routes/r/operation", "read"),
        ("routes/s/operation", "set"),
        ("routes/s/zone", "north"),
    ];
    set_leaves(&mut candidate.tree, &routes);
    let result = store.commit(&candidate, author("first"), &facts_at(0.0));
    match reason {
        None => drop(result.expect("the commit is valid")),
        Some(reason) => assert_eq!(rejection_errors(result)[0].to_string(), reason),
    }
}
