//! One line of the wire: a name and `name=value` fields.

use kestreltide_settings::Fields;

const MICROS: f64 = 1e6;
/// In microseconds: undoes the error of a division by a million, far below the wire's unit.
const ROUNDING: f64 = 0.01;

/// Seconds as whole microseconds, never past the time given.
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
