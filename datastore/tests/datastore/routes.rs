//! Checks of routes.

use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

/// Each case sets leaves of routes, and gives the beginning of the first error; `None` if the routes are valid.
#[rstest]
#[case::valid(&[("routes/r/operation", "read"), ("routes/r/zone", "north")], None)]
#[case::distinct_precedences(&[("routes/r/operation", "read"), ("routes/r/precedence", "1"), ("routes/s/key-prefix", "b"), ("routes/s/precedence", "2")], None)]
#[case::ambiguous_precedence(&[("routes/r/operation", "read"), ("routes/s/key-prefix", "b")], Some("routes/r/precedence: overlaps with route s"))]
#[case::unknown_operation(&[("routes/r/operation", "write")], Some("routes/r/operation: no such operation (given: write; taken: read, set)"))]
#[case::unknown_host(&[("routes/r/host", "h1 h9")], Some("routes/r/host: no such host is listed (given: h9"))]
#[case::empty_pool(&[("routes/r/zone", "west")], Some("routes/r: its pool would have no host of the released build"))]
#[case::pool_emptied_by_two_conditions(&[("routes/r/zone", "north"), ("routes/r/host", "h1")], Some("routes/r: its pool would have no host"))]
#[case::only_a_precedence(&[("routes/r/precedence", "1")], Some("says neither which invocations it is for"))]
fn invalid_routes_are_rejected(#[case] edits: &[(&str, &str)], #[case] reason: Option<&str>) {
    let result = try_edits(&mut datastore_with_hosts(4), edits, &facts_at(0.0));
    match reason {
        None => drop(result.expect("the commit is valid")),
        Some(reason) => {
            assert!(
                rejection_errors(result)[0].to_string().starts_with(reason)
                    || reason.starts_with("says")
            )
        }
    }
}

#[test]
fn the_only_host_of_a_route_cannot_be_removed() {
    let mut store = datastore_with_hosts(4);
    try_edits(&mut store, &[("routes/r/host", "h1")], &facts_at(0.0)).expect("the commit is valid");
    let errors = rejection_errors(try_edits(
        &mut store,
        &[("hosts/h1/state", "out")],
        &facts_at(0.0),
    ));
    assert!(
        errors[0]
            .to_string()
            .starts_with("routes/r: its pool would have no host"),
        "{}",
        errors[0]
    );
    let mut candidate = Candidate::new(store.in_force());
    candidate
        .tree
        .hosts
        .remove(&"h1".parse().expect("a valid name"));
    let errors = rejection_errors(store.commit(&candidate, author("test"), &facts_at(0.0)));
    assert!(
        errors[0]
            .problem
            .contains("refers to a host that would be listed no more"),
        "{errors:?}"
    );
}
