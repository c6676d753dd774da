//! One line of the wire: a name and `name=value` fields, and the conversions of plain values.

use std::collections::BTreeMap;
use std::str::FromStr;

const MICROS: f64 = 1e6;
/// In microseconds: undoes the error of a division by a million, far below the wire's unit.
const ROUNDING: f64 = 0.01;

/// Whole microseconds as seconds.
pub fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS
}

/// Seconds as whole microseconds, never past the time given.
pub fn micros(seconds: f64) -> u64 {
    (seconds * MICROS + ROUNDING).floor().max(0.0) as u64
}

#[derive(Debug)]
pub struct Line<'a> {
    pub name: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    pub fn parse(text: &'a str) -> Result<Self, String> {
        let mut parts = text.split(' ');
        let name = parts.next().unwrap_or_default();
        if name.is_empty() || name.contains('=') {
            return Err("the line has no message name".into());
        }
        let mut fields = BTreeMap::new();
        for part in parts {
            let (key, value) =
                part.split_once('=').ok_or_else(|| format!("'{part}' in {name} is not name=value"))?;
            if key.is_empty() || fields.insert(key, value).is_some() {
                return Err(format!("field '{key}' in {name} is unnamed or given twice"));
            }
        }
        Ok(Line { name, fields })
    }

    pub fn maybe(&self, key: &str) -> Option<&'a str> {
        self.fields.get(key).copied().filter(|value| !value.is_empty())
    }

    pub fn text(&self, key: &str) -> Result<&'a str, String> {
        self.maybe(key).ok_or_else(|| format!("{} lacks {key}", self.name))
    }

    fn read<T: FromStr>(&self, key: &str, value: &str) -> Result<T, String> {
        value.parse().map_err(|_| format!("{key}={value} in {} is not of its kind", self.name))
    }

    pub fn whole<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.read(key, self.text(key)?)
    }

    pub fn maybe_whole<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        self.maybe(key).map(|value| self.read(key, value)).transpose()
    }

    pub fn number(&self, key: &str) -> Result<f64, String> {
        let value: f64 = self.whole(key)?;
        if value.is_finite() { Ok(value) } else { Err(format!("{key} in {} is not finite", self.name)) }
    }

    pub fn time(&self, key: &str) -> Result<f64, String> {
        Ok(seconds(self.whole(key)?))
    }

    pub fn flag(&self, key: &str) -> Result<bool, String> {
        match self.maybe(key) {
            Some("1" | "true") => Ok(true),
            Some("0" | "false") | None => Ok(false),
            Some(other) => Err(format!("{key}={other} in {} is neither 1 nor 0", self.name)),
        }
    }

    pub fn numbers(&self, key: &str) -> Result<Vec<f64>, String> {
        let list = self.maybe(key).unwrap_or_default().split(',').filter(|value| !value.is_empty());
        list.map(|value| self.read(key, value)).collect()
    }
}
