//! Named values as text, from a line of pairs or from nested JSON, and the conversions of plain values.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde_json::Value;

const MICROS: f64 = 1e6;
/// Bytes of a path. Every key that is known is far shorter; each value below a long one would repeat it whole.
const PATH: usize = 256;

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
        Fields {
            name,
            values: BTreeMap::new(),
        }
    }

    /// False where the name is empty or was there already.
    pub fn add(&mut self, key: impl Into<Cow<'a, str>>, value: impl Into<Cow<'a, str>>) -> bool {
        let key = key.into();
        !key.is_empty() && self.values.insert(key, value.into()).is_none()
    }

    /// Paths of nested objects are joined by dots, lists of plain values by commas; lists of objects hold
    /// their length under `.count` and their items under `.0`, `.1` and onward. What stands below a path of over
    /// 256 bytes is passed over, as all keys that nobody knows.
    pub fn from_json(name: &'a str, value: &Value) -> Self {
        let mut fields = Fields::new(name);
        fields.flatten(String::new(), value);
        fields
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let below = |key: &str| {
            if path.is_empty() {
                key.to_owned()
            } else {
                format!("{path}.{key}")
            }
        };
        match value {
            _ if path.len() > PATH => {}
            Value::Null => {}
            Value::Object(map) => map
                .iter()
                .for_each(|(key, value)| self.flatten(below(key), value)),
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
        self.values
            .get(key)
            .map(Cow::as_ref)
            .filter(|value| !value.is_empty())
    }

    /// An error about one value: its path, what is wrong, what was given.
    pub fn wrong(&self, key: &str, why: impl Display) -> String {
        match self.maybe(key) {
            Some(given) => format!("{}.{key}: {why} ({given} was given)", self.name),
            None => format!("{}.{key}: {why}", self.name),
        }
    }

    pub fn text(&self, key: &str) -> Result<&str, String> {
        self.maybe(key).ok_or_else(|| self.wrong(key, "is missing"))
    }

    /// One of these words, as what it stands for.
    pub fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text(key)?;
        let found = words
            .iter()
            .find(|(word, _)| *word == text)
            .map(|(_, meaning)| *meaning);
        let known = || {
            words
                .iter()
                .map(|(word, _)| *word)
                .collect::<Vec<_>>()
                .join(", ")
        };
        found.ok_or_else(|| self.wrong(key, format_args!("is none of {}", known())))
    }

    fn read<T: FromStr>(&self, key: &str, value: &str, kind: &str) -> Result<T, String> {
        value
            .parse()
            .map_err(|_| self.wrong(key, format_args!("is {kind}")))
    }

    fn within<T: PartialOrd + Display>(
        &self,
        key: &str,
        value: T,
        sense: &RangeInclusive<T>,
    ) -> Result<T, String> {
        if sense.contains(&value) {
            return Ok(value);
        }
        Err(self.wrong(
            key,
            format_args!("is not within {} and {}", sense.start(), sense.end()),
        ))
    }

    pub fn whole<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.read(key, self.text(key)?, "no whole number, or beyond all sense")
    }

    /// A whole number from 0 on.
    pub fn count<T: FromStr + PartialOrd + Display>(
        &self,
        key: &str,
        sense: RangeInclusive<T>,
    ) -> Result<T, String> {
        self.within(key, self.whole(key)?, &sense)
    }

    pub fn maybe_whole<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        self.maybe(key).map(|_| self.whole(key)).transpose()
    }

    pub fn number(&self, key: &str) -> Result<f64, String> {
        self.number_in(key, f64::MIN..=f64::MAX)
    }

    /// Whole microseconds, as seconds.
    pub fn time(&self, key: &str) -> Result<f64, String> {
        Ok(seconds(self.whole(key)?))
    }

    /// What is absent is not so.
    pub fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.maybe(key).is_some() && self.yes_or_no(key)?)
    }

    pub fn number_in(&self, key: &str, sense: RangeInclusive<f64>) -> Result<f64, String> {
        self.within(key, self.read(key, self.text(key)?, "no number")?, &sense)
    }

    /// A time in whole microseconds, as seconds.
    pub fn time_in(&self, key: &str, sense: RangeInclusive<f64>) -> Result<f64, String> {
        let time = self.time(key)?;
        if sense.contains(&time) {
            return Ok(time);
        }
        let bounds = format!("{} and {}", sense.start() * MICROS, sense.end() * MICROS);
        Err(self.wrong(key, format_args!("is not within {bounds} microseconds")))
    }

    pub fn yes_or_no(&self, key: &str) -> Result<bool, String> {
        self.one_of(
            key,
            &[("true", true), ("1", true), ("false", false), ("0", false)],
        )
    }

    /// Numbers joined by commas; what is absent has none.
    pub fn numbers(&self, key: &str) -> Result<Vec<f64>, String> {
        if self.maybe(key).is_some() {
            self.numbers_in(key, f64::MIN..=f64::MAX)
        } else {
            Ok(vec![])
        }
    }

    /// Numbers joined by commas, at least one.
    pub fn numbers_in(&self, key: &str, sense: RangeInclusive<f64>) -> Result<Vec<f64>, String> {
        let read = |value| self.within(key, self.read(key, value, "no list of numbers")?, &sense);
        self.text(key)?.split(',').map(read).collect()
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
