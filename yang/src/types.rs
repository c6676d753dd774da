//! Types of leaves: which texts are values, in which form they stand in XML and JSON.

use std::cmp::Ordering;

use regex::Regex;

/// A whole number of a type: wide enough for all of them.
type Integer = i128;

#[derive(Clone, Debug)]
pub enum Type {
    String {
        lengths: Vec<(u64, u64)>,
        patterns: Vec<Regex>,
    },
    /// Of so many bits; JSON has those of 64 as text.
    Integer {
        ranges: Vec<(Integer, Integer)>,
        bits: u8,
        signed: bool,
    },
    /// In units of the last digit.
    Decimal {
        digits: u8,
        ranges: Vec<(Integer, Integer)>,
    },
    Boolean,
    Enumeration(Vec<String>),
    Empty,
    Union(Vec<Type>),
}

/// Digits of a decimal as YANG has them.
const DECIMAL_BITS: u32 = 64;

impl Type {
    pub fn string() -> Self {
        Type::String {
            lengths: vec![],
            patterns: vec![],
        }
    }

    pub fn integer(bits: u8, signed: bool) -> Self {
        let maximum = 1i128 << (bits - u8::from(signed));
        let minimum = if signed { -maximum } else { 0 };
        Type::Integer {
            ranges: vec![(minimum, maximum - 1)],
            bits,
            signed,
        }
    }

    pub fn decimal(digits: u8) -> Self {
        let maximum = 1i128 << (DECIMAL_BITS - 1);
        Type::Decimal {
            digits,
            ranges: vec![(-maximum, maximum - 1)],
        }
    }

    /// The value that a text says in its canonical form (RFC 7950, section 9); why it says none.
    pub fn canonical(&self, text: &str) -> Result<String, String> {
        match self {
            Type::String { lengths, patterns } => {
                let length = text.chars().count() as u64;
                if !lengths.is_empty()
                    && !lengths
                        .iter()
                        .any(|(minimum, maximum)| (*minimum..=*maximum).contains(&length))
                {
                    return Err(format!(
                        "is {length} characters long, not {}",
                        format_ranges(lengths)
                    ));
                }
                if text
                    .chars()
                    .any(|c| c.is_control() && !"\t\n\r".contains(c))
                {
                    return Err("has characters that no text has".into());
                }
                match patterns.iter().find(|pattern| !pattern.is_match(text)) {
                    Some(pattern) => {
                        let format_decimal = pattern
                            .as_str()
                            .trim_start_matches("^(?:")
                            .trim_end_matches(")$");
                        Err(format!("does not match {format_decimal}"))
                    }
                    None => Ok(text.into()),
                }
            }
            Type::Integer { ranges, .. } => {
                let digits = text.trim().strip_prefix('+').unwrap_or(text.trim());
                let plain = digits.strip_prefix('-').unwrap_or(digits);
                if plain.is_empty() || !plain.bytes().all(|byte| byte.is_ascii_digit()) {
                    return Err("is no whole number".into());
                }
                let value: Integer = digits
                    .parse()
                    .map_err(|_| format!("is not in {}", format_ranges(ranges)))?;
                check_range(value, ranges, |value| value.to_string())?;
                Ok(value.to_string())
            }
            Type::Decimal { digits, ranges } => {
                let value = parse_decimal(text.trim(), *digits)?;
                check_range(value, ranges, |value| format_decimal(value, *digits))?;
                Ok(format_decimal(value, *digits))
            }
            Type::Boolean if ["true", "false"].contains(&text) => Ok(text.into()),
            Type::Boolean => Err("is neither true nor false".into()),
            Type::Enumeration(names) if names.iter().any(|name| name == text) => Ok(text.into()),
            Type::Enumeration(names) => Err(format!("is none of {}", names.join(", "))),
            Type::Empty if text.is_empty() => Ok(String::new()),
            Type::Empty => Err("has a value, and takes none".into()),
            Type::Union(types) => {
                let parse = types.iter().find_map(|member| member.canonical(text).ok());
                parse.ok_or_else(|| "is a value of none of its types".into())
            }
        }
    }

    /// Whether JSON has it as text (RFC 7951, section 6).
    pub fn is_json_string(&self) -> bool {
        match self {
            Type::String { .. } | Type::Decimal { .. } | Type::Enumeration(_) => true,
            Type::Integer { bits, .. } => *bits == 64,
            Type::Boolean | Type::Empty => false,
            Type::Union(types) => types.first().is_some_and(Type::is_json_string),
        }
    }

    /// What it takes, in words.
    pub fn expected(&self) -> String {
        match self {
            Type::String { lengths, .. } if lengths.is_empty() => "a text".into(),
            Type::String { lengths, .. } => {
                format!("a text of {} characters", format_ranges(lengths))
            }
            Type::Integer { ranges, .. } => format!("a whole number, {}", format_ranges(ranges)),
            Type::Decimal { digits, ranges } => {
                let ranges = ranges.iter().map(|(a, b)| {
                    format!(
                        "{} to {}",
                        format_decimal(*a, *digits),
                        format_decimal(*b, *digits)
                    )
                });
                format!(
                    "a number with up to {digits} digits behind the point, {}",
                    ranges.collect::<Vec<_>>().join(" or ")
                )
            }
            Type::Boolean => "true or false".into(),
            Type::Enumeration(names) => format!("one of {}", names.join(", ")),
            Type::Empty => "nothing".into(),
            Type::Union(types) => types
                .iter()
                .map(Type::expected)
                .collect::<Vec<_>>()
                .join(", or "),
        }
    }

    /// The name that a tree shows.
    pub fn name(&self) -> String {
        match self {
            Type::String { .. } => "string".into(),
            Type::Integer { bits, signed, .. } => {
                format!("{}int{bits}", if *signed { "" } else { "u" })
            }
            Type::Decimal { .. } => "decimal64".into(),
            Type::Boolean => "boolean".into(),
            Type::Enumeration(_) => "enumeration".into(),
            Type::Empty => "empty".into(),
            Type::Union(_) => "union".into(),
        }
    }

    /// The same, only for these values; parts are as YANG writes them.
    pub fn with_range(self, text: &str) -> Result<Self, String> {
        Ok(match self {
            Type::Integer {
                ranges,
                bits,
                signed,
            } => {
                let ranges = restricted_ranges(text, &ranges, |end| {
                    end.parse().map_err(|_| format!("{end} is no number"))
                })?;
                Type::Integer {
                    ranges,
                    bits,
                    signed,
                }
            }
            Type::Decimal { digits, ranges } => {
                let ranges = restricted_ranges(text, &ranges, |end| {
                    parse_decimal(end, digits).map_err(|why| format!("{end} {why}"))
                })?;
                Type::Decimal { digits, ranges }
            }
            _ => return Err("a range is for numbers".into()),
        })
    }

    pub fn with_length(self, text: &str) -> Result<Self, String> {
        match self {
            Type::String { patterns, .. } => {
                let all = [(0, u64::MAX)];
                let lengths = restricted_ranges(text, &all, |end| {
                    end.parse().map_err(|_| format!("{end} is no length"))
                })?;
                Ok(Type::String { lengths, patterns })
            }
            _ => Err("a length is for texts".into()),
        }
    }

    pub fn with_pattern(self, pattern: &str) -> Result<Self, String> {
        match self {
            Type::String {
                lengths,
                mut patterns,
            } => {
                patterns.push(Regex::new(&format!("^(?:{pattern})$")).map_err(|e| e.to_string())?);
                Ok(Type::String { lengths, patterns })
            }
            _ => Err("a pattern is for texts".into()),
        }
    }
}

fn check_range(
    value: Integer,
    ranges: &[(Integer, Integer)],
    show: impl Fn(Integer) -> String,
) -> Result<(), String> {
    if ranges
        .iter()
        .any(|(minimum, maximum)| (*minimum..=*maximum).contains(&value))
    {
        return Ok(());
    }
    let ranges: Vec<_> = ranges
        .iter()
        .map(|(a, b)| format!("{} to {}", show(*a), show(*b)))
        .collect();
    Err(format!("is not in {}", ranges.join(" or ")))
}

fn format_ranges<T: std::fmt::Display>(format_ranges: &[(T, T)]) -> String {
    format_ranges
        .iter()
        .map(|(a, b)| format!("{a} to {b}"))
        .collect::<Vec<_>>()
        .join(" or ")
}

/// `a .. b | c` within what was allowed so far.
fn restricted_ranges<T: Copy + PartialOrd>(
    text: &str,
    allowed: &[(T, T)],
    parse: impl Fn(&str) -> Result<T, String>,
) -> Result<Vec<(T, T)>, String> {
    let (Some((minimum, _)), Some((_, maximum))) = (allowed.first(), allowed.last()) else {
        return Ok(vec![]);
    };
    let end = |text: &str| match text.trim() {
        "min" => Ok(*minimum),
        "max" => Ok(*maximum),
        other => parse(other),
    };
    let mut parts = Vec::new();
    for part in text.split('|') {
        let (a, b) = part.split_once("..").unwrap_or((part, part));
        let (a, b) = (end(a)?, end(b)?);
        let fits = allowed
            .iter()
            .any(|(minimum, maximum)| *minimum <= a && b <= *maximum);
        if a > b || !fits || parts.last().is_some_and(|(_, last)| *last >= a) {
            return Err(format!("{} is no part of what the type has", part.trim()));
        }
        parts.push((a, b));
    }
    Ok(parts)
}

/// A decimal in units of its last digit.
fn parse_decimal(text: &str, digits: u8) -> Result<Integer, String> {
    let (sign, plain) = match text.as_bytes().first() {
        Some(b'-') => (-1, &text[1..]),
        Some(b'+') => (1, &text[1..]),
        _ => (1, text),
    };
    let (integer_digits, fraction_digits) = plain.split_once('.').unwrap_or((plain, ""));
    let all_digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    if integer_digits.is_empty()
        || !all_digits(integer_digits)
        || !all_digits(fraction_digits)
        || plain.ends_with('.')
    {
        return Err("is no decimal number".into());
    }
    let fraction_digits = fraction_digits.trim_end_matches('0');
    if fraction_digits.len() > usize::from(digits) {
        return Err(format!("has more than {digits} digits behind the point"));
    }
    let text = format!(
        "{integer_digits}{fraction_digits:0<width$}",
        width = usize::from(digits)
    );
    let value: Integer = text
        .parse()
        .map_err(|_| "is beyond all decimal numbers".to_owned())?;
    match value.cmp(&(1i128 << (DECIMAL_BITS - 1))) {
        Ordering::Less => Ok(sign * value),
        _ => Err("is beyond all decimal numbers".into()),
    }
}

/// With at least one digit behind the point and no further zeros (RFC 7950, section 9.3.2).
fn format_decimal(value: Integer, digits: u8) -> String {
    let unit = 10i128.pow(u32::from(digits));
    let (integer_digits, fraction_digits) = (
        value.unsigned_abs() / unit.unsigned_abs(),
        value.unsigned_abs() % unit.unsigned_abs(),
    );
    let fraction_digits = format!("{fraction_digits:0>width$}", width = usize::from(digits));
    let fraction_digits = fraction_digits.trim_end_matches('0');
    let sign = if value < 0 { "-" } else { "" };
    format!(
        "{sign}{integer_digits}.{}",
        if fraction_digits.is_empty() {
            "0"
        } else {
            fraction_digits
        }
    )
}
