//! Named values as text, read from a line of pairs or from nested JSON, and their conversion to plain types.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde_json::Value;

use crate::error::{SettingsError, SettingsProblem};

const MICROS_PER_SECOND: f64 = 1e6;
/// The largest length of a path, in bytes. Known paths are far shorter. Every value below a long path repeats the path,
/// so that without a limit a text of some megabytes could take all memory.
const MAX_PATH_BYTES: usize = 256;

/// Converts microseconds to seconds.
pub fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}

/// Named values, either of one line of the simulator's protocol or of a JSON object.
#[derive(Debug)]
pub struct Fields<'a> {
    /// The name of the line or object. The path in an error begins with it.
    pub name: &'a str,
    values: BTreeMap<Cow<'a, str>, Cow<'a, str>>,
}

impl<'a> Fields<'a> {
    /// Returns an empty set of values.
    pub fn new(name: &'a str) -> Self {
        Fields {
            name,
            values: BTreeMap::new(),
        }
    }

    /// Adds a value. Returns `false` if the key is empty or was already present.
    pub fn insert(&mut self, key: impl Into<Cow<'a, str>>, value: impl Into<Cow<'a, str>>) -> bool {
        let key = key.into();
        !key.is_empty() && self.values.insert(key, value.into()).is_none()
    }

    /// Returns the values of a JSON object by their paths.
    ///
    /// The keys of nested objects are joined by dots, the elements of lists of plain values by commas. A list of
    /// objects has its length under `.count` and its items under `.0`, `.1` and so on. Values below a path of more than
    /// 256 bytes are ignored, as are all unknown keys.
    pub fn from_json(name: &'a str, value: &Value) -> Self {
        let mut fields = Fields::new(name);
        fields.flatten(String::new(), value);
        fields
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let child_path = |key: &str| {
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
                    self.flatten(child_path(key), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.insert(child_path("count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.flatten(child_path(&index.to_string()), item);
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

    /// Returns the value of a key, or `None` if it is missing or empty.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.values
            .get(key)
            .map(Cow::as_ref)
            .filter(|value| !value.is_empty())
    }

    /// Returns the error for a problem with a key's value.
    pub fn error(&self, key: &str, problem: SettingsProblem) -> SettingsError {
        SettingsError {
            path: format!("{}.{key}", self.name),
            problem,
            found: self.get(key).map(str::to_owned),
        }
    }

    /// Returns the value of a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing.
    pub fn text(&self, key: &str) -> Result<&str, SettingsError> {
        self.get(key)
            .ok_or_else(|| self.error(key, SettingsProblem::Missing))
    }

    /// Looks up a value in `words`, each of which stands for a value of `T`.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing or none of the words.
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

    /// Returns an integer.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing, not an integer or too large for the type.
    pub fn integer<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.parse(key, self.text(key)?, SettingsProblem::NotAnInteger)
    }

    /// Returns an integer within a range.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing, not an integer or out of range.
    pub fn integer_in<T: FromStr + PartialOrd + Display>(
        &self,
        key: &str,
        range: RangeInclusive<T>,
    ) -> Result<T, SettingsError> {
        self.check_range(key, self.integer(key)?, &range)
    }

    /// Returns an integer, or `None` if the value is missing or empty.
    ///
    /// # Errors
    ///
    /// Returns an error if there is a value that is not an integer or too large for the type.
    pub fn optional_integer<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        self.get(key).map(|_| self.integer(key)).transpose()
    }

    /// Returns a finite number.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing, not a number or not finite.
    pub fn number(&self, key: &str) -> Result<f64, SettingsError> {
        self.number_in(key, f64::MIN..=f64::MAX)
    }

    /// Returns a number within a range.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing, not a number or out of range.
    pub fn number_in(&self, key: &str, range: RangeInclusive<f64>) -> Result<f64, SettingsError> {
        let number = self.parse(key, self.text(key)?, SettingsProblem::NotANumber)?;
        self.check_range(key, number, &range)
    }

    /// Returns a time in seconds, which is given in integer microseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing, not an integer, negative or too large.
    pub fn time(&self, key: &str) -> Result<f64, SettingsError> {
        Ok(seconds(self.integer(key)?))
    }

    /// Returns a time in seconds, which is given in integer microseconds. `range` is in seconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing, not an integer, negative or out of range.
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

    /// Returns a boolean.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is missing or none of `true`, `1`, `false` and `0`.
    pub fn boolean(&self, key: &str) -> Result<bool, SettingsError> {
        self.one_of(
            key,
            &[("true", true), ("1", true), ("false", false), ("0", false)],
        )
    }

    /// Returns a boolean, or `false` if the value is missing or empty.
    ///
    /// # Errors
    ///
    /// Returns an error if there is a value that is none of `true`, `1`, `false` and `0`.
    pub fn optional_boolean(&self, key: &str) -> Result<bool, SettingsError> {
        Ok(self.get(key).is_some() && self.boolean(key)?)
    }

    /// Returns a list of finite numbers, which are separated by commas. The list is empty if the value is missing or
    /// empty.
    ///
    /// # Errors
    ///
    /// Returns an error if an element is not a number or not finite.
    pub fn numbers(&self, key: &str) -> Result<Vec<f64>, SettingsError> {
        if self.get(key).is_some() {
            self.numbers_in(key, f64::MIN..=f64::MAX)
        } else {
            Ok(vec![])
        }
    }

    /// Returns a list of at least one number, each within a range. The numbers are separated by commas.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is missing or empty, or an element is not a number or out of range.
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

/// Returns a string without quotes, and any other value as JSON.
fn plain_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
