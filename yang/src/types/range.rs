//! Ranges of `range` and `length` restrictions (RFC 7950, sections 9.2.4 and 9.4.4).

use super::RestrictionError;

/// An inclusive range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range<T> {
    /// The lowest value of the range.
    pub minimum: T,
    /// The highest value of the range.
    pub maximum: T,
}

impl<T: PartialOrd> Range<T> {
    /// Whether a value lies in the range.
    pub fn contains(&self, value: &T) -> bool {
        self.minimum <= *value && *value <= self.maximum
    }

    fn contains_range(&self, other: &Range<T>) -> bool {
        self.minimum <= other.minimum && other.maximum <= self.maximum
    }
}

/// Whether a value lies in one of the ranges.
pub(super) fn any_contains<T: PartialOrd>(ranges: &[Range<T>], value: &T) -> bool {
    ranges.iter().any(|range| range.contains(value))
}

/// Formats the ranges for error messages, as `1 to 5 or 7 to 7`.
pub(super) fn format_ranges<T: Copy>(ranges: &[Range<T>], format: impl Fn(T) -> String) -> String {
    let formatted: Vec<_> = ranges
        .iter()
        .map(|range| format!("{} to {}", format(range.minimum), format(range.maximum)))
        .collect();
    formatted.join(" or ")
}

/// Parses the ranges of a restriction such as `1 .. 5 | 7`, each within the `allowed` ranges of the restricted type. The
/// bounds `min` and `max` are those of the restricted type.
///
/// # Errors
///
/// When a bound cannot be parsed, or the ranges are not ascending, disjoint and within `allowed`.
pub(super) fn parse_restricted_ranges<T: Copy + PartialOrd>(
    text: &str,
    allowed: &[Range<T>],
    parse_number: impl Fn(&str) -> Result<T, RestrictionError>,
) -> Result<Vec<Range<T>>, RestrictionError> {
    let (Some(first), Some(last)) = (allowed.first(), allowed.last()) else {
        return Ok(vec![]);
    };
    let parse_bound = |text: &str| match text.trim() {
        "min" => Ok(first.minimum),
        "max" => Ok(last.maximum),
        number => parse_number(number),
    };
    let mut ranges: Vec<Range<T>> = Vec::new();
    for part in text.split('|') {
        let (minimum, maximum) = part.split_once("..").unwrap_or((part, part));
        let range = Range {
            minimum: parse_bound(minimum)?,
            maximum: parse_bound(maximum)?,
        };
        let is_within = allowed
            .iter()
            .any(|allowed_range| allowed_range.contains_range(&range));
        let follows_previous = ranges
            .last()
            .is_none_or(|previous| previous.maximum < range.minimum);
        if range.minimum > range.maximum || !is_within || !follows_previous {
            return Err(RestrictionError::NotASubset(part.trim().into()));
        }
        ranges.push(range);
    }
    Ok(ranges)
}
