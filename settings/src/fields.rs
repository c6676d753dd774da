//! Named values as text, from a line of pairs or from nested JSON, and their conversion to plain types.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde_json::Value;

use crate::error::{SettingsError, SettingsProblem};

const MICROS_PER_SECOND: f64 = 1e6;
/// Bytes of a path. Known keys are far shorter; each value below a long path would repeat it whole.
const MAX_PATH_BYTES: usize = 256;

/// Integer microseconds as seconds.
pub fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}

/// A group of named values.
#[derive(Debug)]
pub struct Fields<'a> {
    /// The name of the group, with which the path of an error begins.
    pub name: &'a str,
    values: BTreeMap<Cow<'a, str>, Cow<'a, str>>,
}

impl<'a> Fields<'a> {
    /// A group without values.
    pub fn new(name: &'a str) -> Self {
        Fields {
            name,
            values: BTreeMap::new(),
        }
    }

    /// Adds a value; false where the key is empty or was there already.
    pub fn insert(&mut self, key: impl Into<Cow<'a, str>>, value: impl Into<Cow<'a, str>>) -> bool {
        let key = key.into();
        !key.is_empty() && self.values.insert(key, value.into()).is_none()
    }

    /// The values of a JSON object, by their paths.
    ///
    /// The keys of nested objects are joined by dots, lists of plain values by commas; lists of objects hold their
    /// length under `.count` and their items under `.0`, `.1` and onward. What stands below a path of more than
    /// 256 bytes is ignored, as all unknown keys are.
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
            _ if path.len() > MAX_PATH_BYTES => {}
            Value::Null => {}
            Value::Object(map) => {
                for (key, value) in map {
                    self.flatten(below(key), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.insert(below("count"), items.len().to_string());
                for (place, item) in items.iter().enumerate() {
                    self.flatten(below(&place.to_string()), item);
                }
            }
            Value::Array(items) => {
                let items: Vec<_> = items.iter().map(plain_text).collect();
                self.insert(path, items.join(","));
            }
            other => {
                self.insert(path, plain_text(other));
            }
        }
    }

    /// The value of a key; none where it is absent or empty.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.values
            .get(key)
            .map(Cow::as_ref)
            .filter(|value| !value.is_empty())
    }

    /// The error of a key's value.
    pub fn error(&self, key: &str, problem: SettingsProblem) -> SettingsError {
        SettingsError {
            path: format!("{}.{key}", self.name),
            problem,
            found: self.get(key).map(str::to_owned),
        }
    }

    /// The value of a key.
    ///
    /// # Errors
    ///
    /// Where it is missing.
    pub fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.get(key)
            .ok_or_else(|| self.error(key, SettingsProblem::Missing))
    }

    /// The meaning of a value that is one of `words`, which come with their meanings.
    ///
    /// # Errors
    ///
    /// Where the value is missing or none of the words.
    pub fn one_of<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, SettingsError> {
        let text = self.text(key)?;
        let found = words.iter().find(|(word, _)| *word == text);
        found.map(|(_, meaning)| *meaning).ok_or_else(|| {
            let expected = words.iter().map(|(word, _)| (*word).to_owned()).collect();
            self.error(key, SettingsProblem::UnknownWord { expected })
        })
    }

    fn parse<T: FromStr>(
        &self,
        key: &str,
        value: &str,
        problem: SettingsProblem,
    ) -> Result<T, SettingsError> {
        value.parse().map_err(|_| self.error(key, problem))
    }

    fn check_range<T: PartialOrd + Display>(
        &self,
        key: &str,
        value: T,
        range: &RangeInclusive<T>,
    ) -> Result<T, SettingsError> {
        if range.contains(&value) {
            return Ok(value);
        }
        let problem = SettingsProblem::OutOfRange {
            minimum: range.start().to_string(),
            maximum: range.end().to_string(),
        };
        Err(self.error(key, problem))
    }

    /// An integer of the wanted type.
    ///
    /// # Errors
    ///
    /// Where the value is missing, no integer or too large for the type.
    pub fn integer<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.parse(key, self.text(key)?, SettingsProblem::NotAnInteger)
    }

    /// An integer within a range.
    ///
    /// # Errors
    ///
    /// Where the value is missing, no integer or out of the range.
    pub fn integer_in<T: FromStr + PartialOrd + Display>(
        &self,
        key: &str,
        range: RangeInclusive<T>,
    ) -> Result<T, SettingsError> {
        self.check_range(key, self.integer(key)?, &range)
    }

    /// An integer that may be absent.
    ///
    /// # Errors
    ///
    /// Where there is a value that is no integer or too large for the type.
    pub fn optional_integer<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        self.get(key).map(|_| self.integer(key)).transpose()
    }

    /// A finite number.
    ///
    /// # Errors
    ///
    /// Where the value is missing, no number or not finite.
    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        self.number_in(key, f64::MIN..=f64::MAX)
    }

    /// A number within a range.
    ///
    /// # Errors
    ///
    /// Where the value is missing, no number or out of the range.
    pub fn number_in(&self, key: &str, range: RangeInclusive<f64>) -> Result<f64, SettingsError> {
        let number = self.parse(key, self.text(key)?, SettingsProblem::NotANumber)?;
        self.check_range(key, number, &range)
    }

    /// A time in integer microseconds, as seconds.
    ///
    /// # Errors
    ///
    /// Where the value is missing or no integer.
    pub fn time(&self, key: &str) -> Result<f64, SettingsError> {
        Ok(seconds(self.integer(key)?))
    }

    /// A time in integer microseconds, as seconds, within a range in seconds.
    ///
    /// # Errors
    ///
    /// Where the value is missing, no integer or out of the range.
    pub fn time_in(&self, key: &str, range: RangeInclusive<f64>) -> Result<f64, SettingsError> {
        let time = self.time(key)?;
        if range.contains(&time) {
            return Ok(time);
        }
        let micros = |seconds: &f64| (seconds * MICROS_PER_SECOND).to_string();
        let problem = SettingsProblem::TimeOutOfRange {
            minimum_micros: micros(range.start()),
            maximum_micros: micros(range.end()),
        };
        Err(self.error(key, problem))
    }

    /// A truth value.
    ///
    /// # Errors
    ///
    /// Where the value is missing or none of `true`, `1`, `false` and `0`.
    pub fn boolean(&self, key: &str) -> Result<bool, SettingsError> {
        self.one_of(
            key,
            &[("true", true), ("1", true), ("false", false), ("0", false)],
        )
    }

    /// A truth value that is false where it is absent.
    ///
    /// # Errors
    ///
    /// Where there is a value that is none of `true`, `1`, `false` and `0`.
    pub fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.get(key).is_some() && self.boolean(key)?)
    }

    /// Finite numbers joined by commas; an absent list is empty.
    ///
    /// # Errors
    ///
    /// Where an element is no number or not finite.
    pub fn numbers(&self, key: &str) -> Result<Vec<f64>, SettingsError> {
        if self.get(key).is_some() {
            self.numbers_in(key, f64::MIN..=f64::MAX)
        } else {
            Ok(vec![])
        }
    }

    /// Numbers joined by commas, at least one, each within a range.
    ///
    /// # Errors
    ///
    /// Where the list is missing, or an element is no number or out of the range.
    pub fn numbers_in(
        &self,
        key: &str,
        range: RangeInclusive<f64>,
    ) -> Result<Vec<f64>, SettingsError> {
        let element = |value| {
            let number = self.parse(key, value, SettingsProblem::NotANumberList)?;
            self.check_range(key, number, &range)
        };
        self.text(key)?.split(',').map(element).collect()
    }
}

fn plain_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
