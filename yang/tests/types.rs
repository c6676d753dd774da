//! Canonical forms of leaf values, and errors of invalid values.

mod common;

use kestreltide_yang::types::Type;
use rstest::rstest;

/// A type, a text, and its canonical form or the error message.
#[rstest]
#[case(
    Type::integer(64, false),
    "18446744073709551615",
    Ok("18446744073709551615")
)]
#[case(
    Type::integer(64, false),
    "18446744073709551616",
    Err("is not in 0 to 18446744073709551615")
)]
#[case(
    Type::integer(64, true),
    "-9223372036854775808",
    Ok("-9223372036854775808")
)]
#[case(Type::integer(8, true), "+127", Ok("127"))]
#[case(Type::integer(8, true), "1e2", Err("is no whole number"))]
#[case(Type::integer(8, true), "+-5", Err("is no whole number"))]
#[case(Type::integer(8, true), "-+5", Err("is no whole number"))]
#[case(
    Type::integer(8, true),
    "99999999999999999999999999999999999999999999",
    Err("is not in -128 to 127")
)]
#[case(Type::decimal(6), "2.50", Ok("2.5"))]
#[case(Type::decimal(6), "-0.000001", Ok("-0.000001"))]
#[case(Type::decimal(6), "7", Ok("7.0"))]
#[case(
    Type::decimal(6),
    "0.0000001",
    Err("has more than 6 digits behind the point")
)]
#[case(Type::decimal(18), "9.223372036854775807", Ok("9.223372036854775807"))]
#[case(
    Type::decimal(18),
    "9.223372036854775808",
    Err("is beyond all decimal numbers")
)]
#[case(Type::decimal(2), "NaN", Err("is no decimal number"))]
#[case(Type::Boolean, "TRUE", Err("is neither true nor false"))]
fn text_has_a_canonical_form_or_is_rejected(
    #[case] leaf_type: Type,
    #[case] text: &str,
    #[case] expected: Result<&str, &str>,
) {
    assert_eq!(
        leaf_type.canonical(text).map_err(|error| error.to_string()),
        expected.map(str::to_owned).map_err(str::to_owned)
    );
}
