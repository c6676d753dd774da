//! Routes.

use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

/// What is set of routes, and how the first error begins.
#[rstest]
#[case::well(&[("routes/r/operation", "read"), ("routes/r/zone", "north")], None)]
#[case::ordered(&[("routes/r/operation", "read"), ("routes/r/precedence", "1"), ("routes/s/key-prefix", "b"), ("routes/s/precedence", "2")], None)]
#[case::unordered(&[("routes/r/operation", "read"), ("routes/s/key-prefix", "b")], Some("routes/r/precedence: overlaps with route s"))]
#[case::operation(&[("routes/r/operation", "write")], Some("routes/r/operation: no such operation (given: write; taken: read, set)"))]
#[case::no_host(&[("routes/r/host", "h1 h9")], Some("routes/r/host: no such host is listed (given: h9"))]
#[case::empty_pool(&[("routes/r/zone", "west")], Some("routes/r: its pool would have no host of the released build"))]
#[case::empty_by_two(&[("routes/r/zone", "north"), ("routes/r/host", "h1")], Some("routes/r: its pool would have no host"))]
#[case::nothing(&[("routes/r/precedence", "1")], Some("says neither which invocations it is for"))]
fn routes_refer_to_what_is_listed_and_are_ordered(
    #[case] edits: &[(&str, &str)],
    #[case] why: Option<&str>,
) {
    let result = try_edits(&mut fleet(4), edits, &facts(0.0));
    match why {
        None => drop(result.expect("well")),
        Some(why) => {
            assert!(errors_of(result)[0].to_string().starts_with(why) || why.starts_with("says"))
        }
    }
}

#[test]
fn a_host_that_a_route_needs_stays() {
    let mut store = fleet(4);
    try_edits(&mut store, &[("routes/r/host", "h1")], &facts(0.0)).expect("well");
    let errors = errors_of(try_edits(
        &mut store,
        &[("hosts/h1/state", "out")],
        &facts(0.0),
    ));
    assert!(
        errors[0]
            .to_string()
            .starts_with("routes/r: its pool would have no host"),
        "{}",
        errors[0]
    );
    let mut candidate = Candidate::new(store.in_force());
    candidate.tree.hosts.remove(&"h1".parse().expect("a name"));
    let errors = errors_of(store.commit(&candidate, author("test"), &facts(0.0)));
    assert!(
        errors[0]
            .problem
            .contains("refers to a host that would be listed no more"),
        "{errors:?}"
    );
}
