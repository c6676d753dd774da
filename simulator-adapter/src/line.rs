//! One line of the protocol: the name of a message and its `name=value` fields.

use kestreltide_settings::Fields;

use crate::error::LineError;

const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Compensates the rounding error of a time that was divided by a million before, in microseconds. It is far below the
/// protocol's resolution of one microsecond.
const ROUNDING_MICROSECONDS: f64 = 0.01;

/// Converts seconds to whole microseconds, rounded down. Negative times become 0.
pub(crate) fn microseconds(seconds: f64) -> u64 {
    (seconds * MICROSECONDS_PER_SECOND + ROUNDING_MICROSECONDS)
        .floor()
        .max(0.0) as u64
}

/// Splits a line into its message name and fields.
///
/// # Errors
///
/// Returns an error if the line has no message name, a part is not `name=value`, or a field is unnamed or given twice.
pub(crate) fn parse(text: &str) -> Result<Fields<'_>, LineError> {
    let mut parts = text.split(' ');
    let message = parts.next().unwrap_or_default();
    if message.is_empty() || message.contains('=') {
        return Err(LineError::NoMessageName);
    }
    let mut fields = Fields::new(message);
    for part in parts {
        let Some((key, value)) = part.split_once('=') else {
            return Err(LineError::NotNameAndValue {
                part: part.into(),
                message: message.into(),
            });
        };
        if !fields.insert(key, value) {
            return Err(LineError::UnnamedOrRepeatedField {
                key: key.into(),
                message: message.into(),
            });
        }
    }
    Ok(fields)
}
