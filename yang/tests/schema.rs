//! The schema of the published modules, and errors of invalid modules.

mod common;

use kestreltide_yang::schema::Schema;
use kestreltide_yang::{statement, tree_diagram};
use rstest::rstest;

use common::{binding, schema};

#[test]
fn published_modules_parse_and_bind_to_the_datastore() {
    binding();
    let diagram = tree_diagram::render(schema(), 1);
    for line in [
        "module: kestreltide-router",
        "  +--rw router",
        "|     +--rw weight?  kt:weight",
        "+--ro state",
        "+---x hold-trial",
        "+---n revision-committed",
    ] {
        assert!(diagram.contains(line), "{line} in {diagram}");
    }
}

/// The body of a module, which begins at line 9 of its text, and a part of the error message.
#[rstest]
#[case::unsupported_substatement(
    "leaf a { type string; when \"1\"; }",
    "line 9: when 1: is not read here"
)]
#[case::unsupported_module_statement("augment /x { }", "line 9: augment /x: is not read here")]
#[case::unknown_typedef("leaf a { type colour; }", "line 9: type colour: no such typedef")]
#[case::unknown_prefix(
    "leaf a { type xx:colour; }",
    "line 9: type xx:colour: no module has this prefix"
)]
#[case::range_outside_of_type(
    "leaf a { type uint8 { range \"1..300\"; } }",
    "line 9: range 1..300: 1..300 is no part of what the type has"
)]
#[case::unenforced_default(
    "leaf a { type string; default x; }",
    "line 9: default x: is not kept to here"
)]
#[case::duplicate_sibling(
    "leaf a { type string; } leaf a { type string; }",
    "line 9: leaf a: stands twice"
)]
#[case::missing_key_leaf(
    "list l { key \"k\"; leaf a { type string; } }",
    "line 9: list l: has no leaf k for its key"
)]
#[case::unclosed_block("leaf a { type string;", "line 11")]
#[case::unclosed_string("leaf a { type string { pattern 'x; } }", "line 11")]
#[case::circular_typedef("typedef t { type t; } leaf a { type t; }", "leads to itself")]
#[case::invalid_pattern("leaf a { type string { pattern '('; } }", "line 9: pattern (")]
fn invalid_module_is_rejected_with_line_and_statement(#[case] body: &str, #[case] message: &str) {
    let text = format!(
        "module m {{\n  yang-version 1.1;\n  namespace \"urn:m\";\n  prefix m;\n  organization \"o\";\n  contact \"c\";\n  description \"d\";\n  revision 2026-12-01;\n{body}\n}}\n"
    );
    let error = Schema::parse(&[("m", &text)])
        .expect_err("the module is invalid")
        .to_string();
    assert!(
        error.starts_with("m: ") && error.contains(message),
        "{error}"
    );
}

#[test]
fn excessive_nesting_and_unclosed_comments_are_rejected() {
    let nested = "a {".repeat(100_000);
    assert!(statement::parse(&nested).is_err());
    assert!(statement::parse(&"/*".repeat(10)).is_err());
}
