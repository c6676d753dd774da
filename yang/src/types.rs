//! Types of leaves: which texts are values, in which form they stand in XML and JSON.

use std::cmp::Ordering;

use regex::Regex;

/// A whole number of a type: wide enough for all of them.
type Whole = i128;

#[derive(Clone, Debug)]
pub enum Type {
    Text {
        lengths: Vec<(u64, u64)>,
        patterns: Vec<Regex>,
    },
    /// Of so many bits; JSON has those of 64 as text.
    Whole {
        ranges: Vec<(Whole, Whole)>,
        bits: u8,
        signed: bool,
    },
    /// In units of the last digit.
    Decimal {
        digits: u8,
        ranges: Vec<(Whole, Whole)>,
    },
    Boolean,
    Enumeration(Vec<String>),
    Empty,
    Union(Vec<Type>),
}

/// Digits of a decimal as YANG has them.
const DECIMAL_BITS: u32 = 64;

impl Type {
    pub fn text() -> Self {
        Type::Text {
            lengths: vec![],
            patterns: vec![],
        }
    }

    pub fn whole(bits: u8, signed: bool) -> Self {
        let most = 1i128 << (bits - u8::from(signed));
        let least = if signed { -most } else { 0 };
        Type::Whole {
            ranges: vec![(least, most - 1)],
            bits,
            signed,
        }
    }

    pub fn decimal(digits: u8) -> Self {
        let most = 1i128 << (DECIMAL_BITS - 1);
        Type::Decimal {
            digits,
            ranges: vec![(-most, most - 1)],
        }
    }

    /// The value that a text says in its canonical form (RFC 7950, section 9); why it says none.
    pub fn canonical(&self, text: &str) -> Result<String, String> {
        match self {
            Type::Text { lengths, patterns } => {
                let length = text.chars().count() as u64;
                if !lengths.is_empty()
                    && !lengths
                        .iter()
                        .any(|(least, most)| (*least..=*most).contains(&length))
                {
                    return Err(format!(
                        "is {length} characters long, not {}",
                        spans(lengths)
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
                        let shown = pattern
                            .as_str()
                            .trim_start_matches("^(?:")
                            .trim_end_matches(")$");
                        Err(format!("does not match {shown}"))
                    }
                    None => Ok(text.into()),
                }
            }
            Type::Whole { ranges, .. } => {
                let digits = text.trim().strip_prefix('+').unwrap_or(text.trim());
                let plain = digits.strip_prefix('-').unwrap_or(digits);
                if plain.is_empty() || !plain.bytes().all(|byte| byte.is_ascii_digit()) {
                    return Err("is no whole number".into());
                }
                let value: Whole = digits
                    .parse()
                    .map_err(|_| format!("is not in {}", spans(ranges)))?;
                within(value, ranges, |value| value.to_string())?;
                Ok(value.to_string())
            }
            Type::Decimal { digits, ranges } => {
                let value = decimal(text.trim(), *digits)?;
                within(value, ranges, |value| shown(value, *digits))?;
                Ok(shown(value, *digits))
            }
            Type::Boolean if ["true", "false"].contains(&text) => Ok(text.into()),
            Type::Boolean => Err("is neither true nor false".into()),
            Type::Enumeration(names) if names.iter().any(|name| name == text) => Ok(text.into()),
            Type::Enumeration(names) => Err(format!("is none of {}", names.join(", "))),
            Type::Empty if text.is_empty() => Ok(String::new()),
            Type::Empty => Err("has a value, and takes none".into()),
            Type::Union(types) => {
                let read = types.iter().find_map(|of| of.canonical(text).ok());
                read.ok_or_else(|| "is a value of none of its types".into())
            }
        }
    }

    /// Whether JSON has it as text (RFC 7951, section 6).
    pub fn json_text(&self) -> bool {
        match self {
            Type::Text { .. } | Type::Decimal { .. } | Type::Enumeration(_) => true,
            Type::Whole { bits, .. } => *bits == 64,
            Type::Boolean | Type::Empty => false,
            Type::Union(types) => types.first().is_some_and(Type::json_text),
        }
    }

    /// What it takes, in words.
    pub fn takes(&self) -> String {
        match self {
            Type::Text { lengths, .. } if lengths.is_empty() => "a text".into(),
            Type::Text { lengths, .. } => format!("a text of {} characters", spans(lengths)),
            Type::Whole { ranges, .. } => format!("a whole number, {}", spans(ranges)),
            Type::Decimal { digits, ranges } => {
                let ranges = ranges
                    .iter()
                    .map(|(a, b)| format!("{} to {}", shown(*a, *digits), shown(*b, *digits)));
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
                .map(Type::takes)
                .collect::<Vec<_>>()
                .join(", or "),
        }
    }

    /// The name that a tree shows.
    pub fn name(&self) -> String {
        match self {
            Type::Text { .. } => "string".into(),
            Type::Whole { bits, signed, .. } => {
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
    pub fn ranged(self, text: &str) -> Result<Self, String> {
        Ok(match self {
            Type::Whole {
                ranges,
                bits,
                signed,
            } => {
                let ranges = narrowed(text, &ranges, |end| {
                    end.parse().map_err(|_| format!("{end} is no number"))
                })?;
                Type::Whole {
                    ranges,
                    bits,
                    signed,
                }
            }
            Type::Decimal { digits, ranges } => {
                let ranges = narrowed(text, &ranges, |end| {
                    decimal(end, digits).map_err(|why| format!("{end} {why}"))
                })?;
                Type::Decimal { digits, ranges }
            }
            _ => return Err("a range is for numbers".into()),
        })
    }

    pub fn lengths(self, text: &str) -> Result<Self, String> {
        match self {
            Type::Text { patterns, .. } => {
                let all = [(0, u64::MAX)];
                let lengths = narrowed(text, &all, |end| {
                    end.parse().map_err(|_| format!("{end} is no length"))
                })?;
                Ok(Type::Text { lengths, patterns })
            }
            _ => Err("a length is for texts".into()),
        }
    }

    pub fn matching(self, pattern: &str) -> Result<Self, String> {
        match self {
            Type::Text {
                lengths,
                mut patterns,
            } => {
                patterns.push(Regex::new(&format!("^(?:{pattern})$")).map_err(|e| e.to_string())?);
                Ok(Type::Text { lengths, patterns })
            }
            _ => Err("a pattern is for texts".into()),
        }
    }
}

fn within(
    value: Whole,
    ranges: &[(Whole, Whole)],
    show: impl Fn(Whole) -> String,
) -> Result<(), String> {
    if ranges
        .iter()
        .any(|(least, most)| (*least..=*most).contains(&value))
    {
        return Ok(());
    }
    let ranges: Vec<_> = ranges
        .iter()
        .map(|(a, b)| format!("{} to {}", show(*a), show(*b)))
        .collect();
    Err(format!("is not in {}", ranges.join(" or ")))
}

fn spans<T: std::fmt::Display>(spans: &[(T, T)]) -> String {
    spans
        .iter()
        .map(|(a, b)| format!("{a} to {b}"))
        .collect::<Vec<_>>()
        .join(" or ")
}

/// `a .. b | c` within what was allowed so far.
fn narrowed<T: Copy + PartialOrd>(
    text: &str,
    so_far: &[(T, T)],
    read: impl Fn(&str) -> Result<T, String>,
) -> Result<Vec<(T, T)>, String> {
    let (Some((least, _)), Some((_, most))) = (so_far.first(), so_far.last()) else {
        return Ok(vec![]);
    };
    let end = |text: &str| match text.trim() {
        "min" => Ok(*least),
        "max" => Ok(*most),
        other => read(other),
    };
    let mut parts = Vec::new();
    for part in text.split('|') {
        let (a, b) = part.split_once("..").unwrap_or((part, part));
        let (a, b) = (end(a)?, end(b)?);
        let fits = so_far.iter().any(|(least, most)| *least <= a && b <= *most);
        if a > b || !fits || parts.last().is_some_and(|(_, last)| *last >= a) {
            return Err(format!("{} is no part of what the type has", part.trim()));
        }
        parts.push((a, b));
    }
    Ok(parts)
}

/// A decimal in units of its last digit.
fn decimal(text: &str, digits: u8) -> Result<Whole, String> {
    let (sign, plain) = match text.as_bytes().first() {
        Some(b'-') => (-1, &text[1..]),
        Some(b'+') => (1, &text[1..]),
        _ => (1, text),
    };
    let (whole, part) = plain.split_once('.').unwrap_or((plain, ""));
    let all_digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty() || !all_digits(whole) || !all_digits(part) || plain.ends_with('.') {
        return Err("is no decimal number".into());
    }
    let part = part.trim_end_matches('0');
    if part.len() > usize::from(digits) {
        return Err(format!("has more than {digits} digits behind the point"));
    }
    let text = format!("{whole}{part:0<width$}", width = usize::from(digits));
    let value: Whole = text
        .parse()
        .map_err(|_| "is beyond all decimal numbers".to_owned())?;
    match value.cmp(&(1i128 << (DECIMAL_BITS - 1))) {
        Ordering::Less => Ok(sign * value),
        _ => Err("is beyond all decimal numbers".into()),
    }
}

/// With at least one digit behind the point and no further zeros (RFC 7950, section 9.3.2).
fn shown(value: Whole, digits: u8) -> String {
    let unit = 10i128.pow(u32::from(digits));
    let (whole, part) = (
        value.unsigned_abs() / unit.unsigned_abs(),
        value.unsigned_abs() % unit.unsigned_abs(),
    );
    let part = format!("{part:0>width$}", width = usize::from(digits));
    let part = part.trim_end_matches('0');
    let sign = if value < 0 { "-" } else { "" };
    format!("{sign}{whole}.{}", if part.is_empty() { "0" } else { part })
}
