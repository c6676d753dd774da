//! `decimal64` values as integers in units of their last fraction digit (RFC 7950, section 9.3).

use super::{Integer, ValueError};

/// Width of a `decimal64` value in bits, including its sign.
const DECIMAL_BITS: u32 = 64;

/// One more than the highest `decimal64` value, in units of the last fraction digit.
pub(super) const DECIMAL_LIMIT: Integer = 1 << (DECIMAL_BITS - 1);

/// Parses a decimal number into units of its last fraction digit.
///
/// # Errors
///
/// When the text is not a decimal number, has too many fraction digits or is outside the range of `decimal64`.
pub(super) fn parse_decimal(text: &str, fraction_digits: u8) -> Result<Integer, ValueError> {
    let (sign, unsigned) = match text.as_bytes().first() {
        Some(b'-') => (-1, &text[1..]),
        Some(b'+') => (1, &text[1..]),
        _ => (1, text),
    };
    let (integer_part, fraction) = unsigned.split_once('.').unwrap_or((unsigned, ""));
    let all_digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    if integer_part.is_empty()
        || !all_digits(integer_part)
        || !all_digits(fraction)
        || unsigned.ends_with('.')
    {
        return Err(ValueError::NotADecimal);
    }
    let fraction = fraction.trim_end_matches('0');
    if fraction.len() > usize::from(fraction_digits) {
        return Err(ValueError::TooManyFractionDigits(fraction_digits));
    }
    let width = usize::from(fraction_digits);
    let digits = format!("{integer_part}{fraction:0<width$}");
    let value: Integer = digits.parse().map_err(|_| ValueError::DecimalOverflow)?;
    if value < DECIMAL_LIMIT {
        Ok(sign * value)
    } else {
        Err(ValueError::DecimalOverflow)
    }
}

/// Formats a value in the canonical form: at least one fraction digit, and no trailing zeros beyond it (RFC 7950,
/// section 9.3.2).
pub(super) fn format_decimal(value: Integer, fraction_digits: u8) -> String {
    let units_per_one = 10u128.pow(u32::from(fraction_digits));
    let magnitude = value.unsigned_abs();
    let integer_part = magnitude / units_per_one;
    let remainder = magnitude % units_per_one;
    let width = usize::from(fraction_digits);
    let fraction = format!("{remainder:0>width$}");
    let fraction = fraction.trim_end_matches('0');
    let sign = if value < 0 { "-" } else { "" };
    let fraction = if fraction.is_empty() { "0" } else { fraction };
    format!("{sign}{integer_part}.{fraction}")
}
