//! Invalid values of leaves.

use kestreltide_datastore::*;
use rstest::rstest;

use crate::support::*;

#[rstest]
#[case("hosts/h/weight", "NaN", "is no finite number")]
#[case("hosts/h/weight", "inf", "is no finite number")]
#[case("hosts/h/weight", "-1", "is out of range")]
#[case("hosts/h/weight", "1e308", "is out of range")]
#[case("hosts/h/weight", "1e999", "is no finite number")]
#[case("hosts/h/weight", "heavy", "is no number")]
#[case("hosts/h/size", "0", "is out of range")]
#[case("hosts/h/build", "65536", "is out of range")]
#[case("hosts/h/build", "-1", "is no whole number in range")]
#[case("hosts/h/cell", "4294967296", "is no whole number in range")]
#[case("hosts/h/endpoint", "127.0.0.1:0", "can be connected to by nobody")]
#[case("hosts/h/endpoint", "localhost:80", "is no address and port")]
#[case("hosts/h/started", "2026-13-01T00:00:00Z", "is no time")]
#[case("hosts/h/state", "Draining", "is no administrative state")]
#[case("hosts/h/zone", "a/b", "has characters other than")]
#[case("guards/largest-removal", "1.01", "is out of range")]
fn an_invalid_value_is_rejected_with_its_leaf(
    #[case] at: &str,
    #[case] text: &str,
    #[case] reason: &str,
) {
    let mut builder = TreeBuilder::default();
    builder.set("hosts.ini:3", path(at), text);
    let errors = builder.finish().expect_err("the value is rejected").first;
    assert!(
        errors[0].path.ends_with(at) && errors[0].problem.contains(reason),
        "{}",
        errors[0]
    );
}
