//! What a router keeps at most.

use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

/// So much memory, where a host takes 100 + 150 bytes and a name in a route one byte.
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

/// What a router keeps, and one more of each.
#[rstest]
#[case::all(Maximums { hosts: 4, routes: 2, route_names: 3, ..Maximums::default() }, None)]
#[case::hosts(Maximums { hosts: 3, ..Maximums::default() }, Some("hosts: are more than a router keeps (given: 4; taken: 3 at most)"))]
#[case::routes(Maximums { routes: 1, ..Maximums::default() }, Some("routes: are more than a router keeps (given: 2; taken: 1 at most)"))]
#[case::memory_of_hosts(
    memory_maximum(1000),
    Some(
        "hosts: take more memory than the router has for them (given: 1003 bytes for 4 hosts and 2 routes; taken: 1000 bytes at most)"
    )
)]
#[case::memory_of_routes(Maximums { memory: MemorySettings { per_route: 500, ..memory_maximum(1000).memory }, ..Maximums::default() }, Some("routes: take more memory than the router has for them (given: 2003 bytes for 4 hosts and 2 routes; taken: 1000 bytes at most)"))]
#[case::memory_enough(memory_maximum(1003), None)]
#[case::names(Maximums { route_names: 2, ..Maximums::default() }, Some("routes: name more than a router keeps (given: 3; taken: 2 at most)"))]
fn more_than_the_maximums_is_rejected(#[case] maximums: Maximums, #[case] why: Option<&str>) {
    let mut store = Datastore::new(
        RuleSettings {
            maximums,
            ..rules()
        },
        HistoryLimits::default(),
    );
    let mut candidate = Candidate::new(store.in_force());
    (0..4).for_each(|number| {
        host(
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
    edit(&mut candidate.tree, &routes);
    let result = store.commit(&candidate, author("first"), &facts(0.0));
    match why {
        None => drop(result.expect("well")),
        Some(why) => assert_eq!(errors_of(result)[0].to_string(), why),
    }
}
