//! One line of the protocol: the name of a message and its `name=value` fields.

use kestreltide_settings::Fields;

const MICROS: f64 = 1e6;
/// Compensates the rounding error of a time that was divided by a million before, in microseconds. It is far below the
/// protocol's resolution of one microsecond.
const ROUNDING: f64 = 0.01;

/// Converts seconds to whole microseconds, rounded down. Negative times become 0.
pub fn micros(seconds: f64) -> u64 {
    (seconds * MICROS + ROUNDING).floor().max(0.0) as u64
}

pub fn parse(text: &str) -> Result<Fields<'_>, String> {
    let mut parts = text.split(' ');
    let name = parts.next().unwrap_or_default();
    if name.is_empty() || name.contains('=') {
        return Err("the line has no message name".into());
    }
    let mut fields = Fields::new(name);
    for part in parts {
        let (key, value) = part
            .split_once('=')
            .ok_or_else(|| format!("'{part}' in {name} is not name=value"))?;
        if !fields.insert(key, value) {
            return Err(format!("field '{key}' in {name} is unnamed or given twice"));
        }
    }
    Ok(fields)
}
