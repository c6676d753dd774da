//! Named values as text, from a line of pairs or from nested JSON, and the conversions of plain values.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::str::FromStr;

use serde_json::Value;

const MICROS: f64 = 1e6;

/// Whole microseconds as seconds.
pub fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS
}

/// A group of named values; the name of the group goes into every complaint about one of them.
#[derive(Debug)]
pub struct Fields<'a> {
    pub name: &'a str,
    values: BTreeMap<Cow<'a, str>, Cow<'a, str>>,
}

impl<'a> Fields<'a> {
    pub fn new(name: &'a str) -> Self {
        Fields { name, values: BTreeMap::new() }
    }

    /// False where the name is empty or was there already.
    pub fn add(&mut self, key: impl Into<Cow<'a, str>>, value: impl Into<Cow<'a, str>>) -> bool {
        let key = key.into();
        !key.is_empty() && self.values.insert(key, value.into()).is_none()
    }

    /// Paths of nested objects are joined by dots, lists of plain values by commas; lists of objects hold
    /// their length under `.count` and their items under `.0`, `.1` and onward.
    pub fn from_json(name: &'a str, value: &Value) -> Self {
        let mut fields = Fields::new(name);
        fields.flatten(String::new(), value);
        fields
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
        match value {
            Value::Null => {}
            Value::Object(map) => map.iter().for_each(|(key, value)| self.flatten(below(key), value)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.add(below("count"), items.len().to_string());
                for (place, item) in items.iter().enumerate() {
                    self.flatten(below(&place.to_string()), item);
                }
            }
            Value::Array(items) => {
                let all: Vec<_> = items.iter().map(plain).collect();
                self.add(path, all.join(","));
            }
            other => drop(self.add(path, plain(other))),
        }
    }

    pub fn maybe(&self, key: &str) -> Option<&str> {
        self.values.get(key).map(Cow::as_ref).filter(|value| !value.is_empty())
    }

    pub fn text(&self, key: &str) -> Result<&str, String> {
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

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
