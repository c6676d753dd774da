//! Types of leaves (RFC 7950, section 9): which texts are valid values, their canonical form, and their form in JSON.

mod decimal;
mod range;

use regex::Regex;
use thiserror::Error;

use self::decimal::{DECIMAL_LIMIT, format_decimal, parse_decimal};
pub use self::range::Range;
use self::range::{any_contains, format_ranges, parse_restricted_ranges};

/// An integer that holds every value of the numeric types; a `decimal64` is held in units of its last fraction digit.
pub type Integer = i128;

/// Width in bits of the integer types that JSON encodes as strings (RFC 7951, section 6.1).
const JSON_STRING_BITS: u8 = 64;

/// The type of a leaf, with its restrictions.
#[derive(Clone, Debug)]
pub enum Type {
    /// `string`.
    String {
        /// Allowed lengths in characters; empty for any length.
        lengths: Vec<Range<u64>>,
        /// Regular expressions, each of which a value has to match.
        patterns: Vec<Regex>,
    },
    /// `int8` to `int64` and `uint8` to `uint64`.
    Integer {
        /// Allowed values.
        ranges: Vec<Range<Integer>>,
        /// Width of a value in bits.
        bits: u8,
        /// Whether the type has negative values.
        signed: bool,
    },
    /// `decimal64`.
    Decimal {
        /// Number of fraction digits.
        digits: u8,
        /// Allowed values, in units of the last fraction digit.
        ranges: Vec<Range<Integer>>,
    },
    /// `boolean`.
    Boolean,
    /// `enumeration`, with the names of its values.
    Enumeration(Vec<String>),
    /// `empty`.
    Empty,
    /// `union`, with its member types in the order in which they are tried.
    Union(Vec<Type>),
}

/// Why a text is not a valid value of a type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// The length of a string is not allowed.
    #[error("is {length} characters long, not {allowed}")]
    Length {
        /// Length of the text in characters.
        length: u64,
        /// Allowed lengths.
        allowed: String,
    },
    /// A string contains control characters.
    #[error("has characters that no text has")]
    ControlCharacter,
    /// A string does not match a pattern.
    #[error("does not match {0}")]
    PatternMismatch(String),
    /// The text is not an integer.
    #[error("is no whole number")]
    NotAnInteger,
    /// A number is outside the allowed ranges.
    #[error("is not in {0}")]
    OutOfRange(String),
    /// The text is not a decimal number.
    #[error("is no decimal number")]
    NotADecimal,
    /// A decimal number has more fraction digits than its type allows.
    #[error("has more than {0} digits behind the point")]
    TooManyFractionDigits(u8),
    /// A decimal number is outside the range of `decimal64`.
    #[error("is beyond all decimal numbers")]
    DecimalOverflow,
    /// The text is neither `true` nor `false`.
    #[error("is neither true nor false")]
    NotABoolean,
    /// The text is not a name of the enumeration.
    #[error("is none of {0}")]
    NotInEnumeration(String),
    /// A leaf of type `empty` has a value.
    #[error("has a value, and takes none")]
    NotEmpty,
    /// The text is not a valid value of any member type of a union.
    #[error("is a value of none of its types")]
    NoUnionMember,
}

/// Why a restriction cannot be applied to a type.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum RestrictionError {
    /// A bound of an integer range is not an integer.
    #[error("{0} is not an integer")]
    NotAnInteger(String),
    /// A bound of a decimal range is not a valid value of the type.
    #[error("{bound} {error}")]
    DecimalBound {
        /// The bound as written in the module.
        bound: String,
        /// Why the bound is not a valid value.
        error: ValueError,
    },
    /// A bound of a length restriction is not an unsigned integer.
    #[error("{0} is not a length")]
    NotALength(String),
    /// A part of a range is not within the ranges of the restricted type, or the parts are not ascending and disjoint.
    #[error("{0} is no part of what the type has")]
    NotASubset(String),
    /// A `range` restricts a type that is not numeric.
    #[error("a range restriction requires a numeric type")]
    RangeOfNonNumber,
    /// A `length` restricts a type other than `string`.
    #[error("a length restriction requires the type string")]
    LengthOfNonString,
    /// A `pattern` restricts a type other than `string`.
    #[error("a pattern restriction requires the type string")]
    PatternOfNonString,
    /// A pattern is not a valid regular expression.
    #[error(transparent)]
    Pattern(#[from] regex::Error),
}

impl Type {
    /// `string` without restrictions.
    pub fn string() -> Self {
        Type::String {
            lengths: vec![],
            patterns: vec![],
        }
    }

    /// An integer type of a width in bits, without restrictions.
    pub fn integer(bits: u8, signed: bool) -> Self {
        let limit: Integer = 1 << (bits - u8::from(signed));
        let range = Range {
            minimum: if signed { -limit } else { 0 },
            maximum: limit - 1,
        };
        Type::Integer {
            ranges: vec![range],
            bits,
            signed,
        }
    }

    /// `decimal64` with a number of fraction digits, without restrictions.
    pub fn decimal(digits: u8) -> Self {
        let range = Range {
            minimum: -DECIMAL_LIMIT,
            maximum: DECIMAL_LIMIT - 1,
        };
        Type::Decimal {
            digits,
            ranges: vec![range],
        }
    }

    /// Returns the canonical form of a value (RFC 7950, section 9).
    ///
    /// # Errors
    ///
    /// When the text is not a valid value of this type.
    pub fn canonical(&self, text: &str) -> Result<String, ValueError> {
        match self {
            Type::String { lengths, patterns } => {
                check_string(text, lengths, patterns)?;
                Ok(text.into())
            }
            Type::Integer { ranges, .. } => {
                let value = parse_integer(text.trim(), ranges)?;
                check_range(value, ranges, |value| value.to_string())?;
                Ok(value.to_string())
            }
            Type::Decimal { digits, ranges } => {
                let value = parse_decimal(text.trim(), *digits)?;
                check_range(value, ranges, |value| format_decimal(value, *digits))?;
                Ok(format_decimal(value, *digits))
            }
            Type::Boolean if ["true", "false"].contains(&text) => Ok(text.into()),
            Type::Boolean => Err(ValueError::NotABoolean),
            Type::Enumeration(names) if names.iter().any(|name| name == text) => Ok(text.into()),
            Type::Enumeration(names) => Err(ValueError::NotInEnumeration(names.join(", "))),
            Type::Empty if text.is_empty() => Ok(String::new()),
            Type::Empty => Err(ValueError::NotEmpty),
            Type::Union(members) => members
                .iter()
                .find_map(|member| member.canonical(text).ok())
                .ok_or(ValueError::NoUnionMember),
        }
    }

    /// Whether JSON encodes values of this type as strings (RFC 7951, section 6). A union is encoded like its first member
    /// type.
    pub fn is_json_string(&self) -> bool {
        match self {
            Type::String { .. } | Type::Decimal { .. } | Type::Enumeration(_) => true,
            Type::Integer { bits, .. } => *bits == JSON_STRING_BITS,
            Type::Boolean | Type::Empty => false,
            Type::Union(members) => members.first().is_some_and(Type::is_json_string),
        }
    }

    /// Describes the valid values, for error messages.
    pub fn describe_values(&self) -> String {
        match self {
            Type::String { lengths, .. } if lengths.is_empty() => "a text".into(),
            Type::String { lengths, .. } => {
                let lengths = format_ranges(lengths, |length| length.to_string());
                format!("a text of {lengths} characters")
            }
            Type::Integer { ranges, .. } => {
                let ranges = format_ranges(ranges, |value| value.to_string());
                format!("a whole number, {ranges}")
            }
            Type::Decimal { digits, ranges } => {
                let ranges = format_ranges(ranges, |value| format_decimal(value, *digits));
                format!("a number with up to {digits} digits behind the point, {ranges}")
            }
            Type::Boolean => "true or false".into(),
            Type::Enumeration(names) => format!("one of {}", names.join(", ")),
            Type::Empty => "nothing".into(),
            Type::Union(members) => members
                .iter()
                .map(Type::describe_values)
                .collect::<Vec<_>>()
                .join(", or "),
        }
    }

    /// Returns the name of the built-in type.
    pub fn builtin_name(&self) -> String {
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

    /// Applies a `range` restriction to this type.
    ///
    /// # Errors
    ///
    /// When the type is not numeric, or the text is not a range within the ranges of the type.
    pub fn with_range(self, text: &str) -> Result<Self, RestrictionError> {
        match self {
            Type::Integer {
                ranges,
                bits,
                signed,
            } => {
                let ranges = parse_restricted_ranges(text, &ranges, |bound| {
                    bound
                        .parse()
                        .map_err(|_| RestrictionError::NotAnInteger(bound.into()))
                })?;
                Ok(Type::Integer {
                    ranges,
                    bits,
                    signed,
                })
            }
            Type::Decimal { digits, ranges } => {
                let ranges = parse_restricted_ranges(text, &ranges, |bound| {
                    parse_decimal(bound, digits).map_err(|error| RestrictionError::DecimalBound {
                        bound: bound.into(),
                        error,
                    })
                })?;
                Ok(Type::Decimal { digits, ranges })
            }
            _ => Err(RestrictionError::RangeOfNonNumber),
        }
    }

    /// Applies a `length` restriction to this type; it replaces an earlier one.
    ///
    /// # Errors
    ///
    /// When the type is not `string`, or the text is not a range of lengths.
    pub fn with_length(self, text: &str) -> Result<Self, RestrictionError> {
        let Type::String { patterns, .. } = self else {
            return Err(RestrictionError::LengthOfNonString);
        };
        let any_length = Range {
            minimum: 0,
            maximum: u64::MAX,
        };
        let lengths = parse_restricted_ranges(text, &[any_length], |bound| {
            bound
                .parse()
                .map_err(|_| RestrictionError::NotALength(bound.into()))
        })?;
        Ok(Type::String { lengths, patterns })
    }

    /// Adds a `pattern` restriction to this type.
    ///
    /// # Errors
    ///
    /// When the type is not `string`, or the pattern is not a valid regular expression.
    pub fn with_pattern(self, pattern: &str) -> Result<Self, RestrictionError> {
        let Type::String {
            lengths,
            mut patterns,
        } = self
        else {
            return Err(RestrictionError::PatternOfNonString);
        };
        patterns.push(Regex::new(&format!("^(?:{pattern})$"))?);
        Ok(Type::String { lengths, patterns })
    }
}

fn check_string(text: &str, lengths: &[Range<u64>], patterns: &[Regex]) -> Result<(), ValueError> {
    let length = text.chars().count() as u64;
    if !lengths.is_empty() && !any_contains(lengths, &length) {
        let allowed = format_ranges(lengths, |length| length.to_string());
        return Err(ValueError::Length { length, allowed });
    }
    let is_forbidden = |c: char| c.is_control() && !"\t\n\r".contains(c);
    if text.chars().any(is_forbidden) {
        return Err(ValueError::ControlCharacter);
    }
    match patterns.iter().find(|pattern| !pattern.is_match(text)) {
        Some(pattern) => {
            let source = pattern.as_str();
            let pattern_as_written = source.trim_start_matches("^(?:").trim_end_matches(")$");
            Err(ValueError::PatternMismatch(pattern_as_written.into()))
        }
        None => Ok(()),
    }
}

/// Parses a decimal integer with an optional sign. `ranges` are only used for the error about a number that does not fit
/// into [`Integer`].
fn parse_integer(text: &str, ranges: &[Range<Integer>]) -> Result<Integer, ValueError> {
    let signed = text.strip_prefix('+').unwrap_or(text);
    let digits = text.strip_prefix(['+', '-']).unwrap_or(text);
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ValueError::NotAnInteger);
    }
    let out_of_range = || ValueError::OutOfRange(format_ranges(ranges, |value| value.to_string()));
    signed.parse().map_err(|_| out_of_range())
}

fn check_range(
    value: Integer,
    ranges: &[Range<Integer>],
    format: impl Fn(Integer) -> String,
) -> Result<(), ValueError> {
    if any_contains(ranges, &value) {
        Ok(())
    } else {
        Err(ValueError::OutOfRange(format_ranges(ranges, format)))
    }
}
