//! The values of leaves, and their parsers.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::leaf::Leaf;
use super::names::{MAX_NAME_BYTES, NameError, parse_name};

/// The state that operators set for a host, independent of the state that discovery reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminState {
    /// The host takes new requests.
    InService,
    /// The host is being shut down: it gets no new requests, and returns to service only after a restart.
    Draining,
    /// The host gets no new requests until it is put in service again.
    Out,
}

impl AdminState {
    /// Returns the name by which the state is shown and set.
    fn name(self) -> &'static str {
        match self {
            AdminState::InService => "in-service",
            AdminState::Draining => "draining",
            AdminState::Out => "out",
        }
    }
}

impl fmt::Display for AdminState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The value of a leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// An address with a port.
    Address(SocketAddr),
    /// A text, such as a zone's name.
    Text(Arc<str>),
    /// An unsigned integer.
    #[serde(rename = "Whole")]
    Integer(u32),
    /// A finite number.
    Number(f64),
    /// An administrative state.
    State(AdminState),
    /// A boolean.
    #[serde(rename = "Flag")]
    Boolean(bool),
    /// A set of names.
    Names(BTreeSet<Arc<str>>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Address(at) => at.fmt(f),
            Value::Text(text) => text.fmt(f),
            Value::Integer(number) => number.fmt(f),
            Value::Number(number) => number.fmt(f),
            Value::State(state) => state.fmt(f),
            Value::Boolean(flag) => flag.fmt(f),
            Value::Names(names) => {
                let names: Vec<&str> = names.iter().map(|name| &**name).collect();
                f.write_str(&names.join(" "))
            }
        }
    }
}

/// The lowest weight. A lower one is a mistake: the administrative state takes a host out of service.
pub const MIN_WEIGHT: f64 = 0.01;
/// The highest weight. A higher one is a mistake.
pub const MAX_WEIGHT: f64 = 100.0;
/// The largest size of a host; 1 is a standard machine.
const MAX_SIZE: f64 = 1e6;
/// The largest minimum number of hosts that a guard can set.
const MAX_MIN_HOSTS: u32 = 16 * 1024;
/// The highest build number.
const MAX_BUILD: u32 = u16::MAX as u32;
/// The end of the year 9999 in Unix seconds: the last time that RFC 3339 can express.
const MAX_UNIX_SECONDS: f64 = 253_402_300_799.0;
/// Times are rounded to microseconds.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Why a text is not a value of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// The text is not a name.
    #[error(transparent)]
    Name(#[from] NameError),
    /// The number is infinite or NaN.
    #[error("is no finite number")]
    NotFinite,
    /// The number is below the minimum or above the maximum of the leaf.
    #[error("is out of range")]
    OutOfRange,
    /// The text is not a number.
    #[error("is no number")]
    NotANumber,
    /// The text is not an unsigned integer of 32 bits.
    #[error("is no whole number in range")]
    NotAnInteger,
    /// The address cannot be connected to: its port is 0, or its IP address is unspecified.
    #[error("can be connected to by nobody")]
    UnusableAddress,
    /// The text is not an IP address with a port.
    #[error("is no address and port")]
    NotAnAddress,
    /// The text is neither a date nor seconds since 1970, or the time is out of range.
    #[error("is no time")]
    NotATime,
    /// The text is not an administrative state.
    #[error("is no administrative state")]
    UnknownState,
    /// The text is too long.
    #[error("is longer than {MAX_NAME_BYTES} bytes")]
    TooLong,
    /// The text has control characters.
    #[error("has control characters")]
    ControlCharacters,
    /// The text is neither `true` nor `false`.
    #[error("is neither true nor false")]
    NotABoolean,
}

impl Leaf {
    /// Parses a value of this leaf.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a value of this leaf.
    pub fn parse(self, text: &str) -> Result<Value, ValueError> {
        match self {
            Leaf::Endpoint => parse_address(text),
            Leaf::Zone | Leaf::Kind => Ok(Value::Text(parse_name(text)?)),
            Leaf::Cell | Leaf::Precedence => parse_integer(text, u32::MAX),
            Leaf::Size => parse_number(text, f64::MIN_POSITIVE, MAX_SIZE),
            Leaf::Build | Leaf::RolloutBuild => parse_integer(text, MAX_BUILD),
            Leaf::Started => parse_time(text),
            Leaf::Weight => parse_number(text, MIN_WEIGHT, MAX_WEIGHT),
            Leaf::State => parse_admin_state(text),
            Leaf::LargestRemoval | Leaf::Cap => parse_number(text, 0.0, 1.0),
            Leaf::MinHostsPerZone | Leaf::MinHostsPerBuild => parse_integer(text, MAX_MIN_HOSTS),
            Leaf::Operations | Leaf::Zones | Leaf::Kinds | Leaf::Hosts => parse_names(text),
            Leaf::KeyPrefix => parse_key_prefix(text),
            Leaf::Hold | Leaf::RollBack => parse_boolean(text),
        }
    }
}

fn parse_address(text: &str) -> Result<Value, ValueError> {
    let address: SocketAddr = text.parse().map_err(|_| ValueError::NotAnAddress)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        return Err(ValueError::UnusableAddress);
    }
    Ok(Value::Address(address))
}

fn parse_number(text: &str, minimum: f64, maximum: f64) -> Result<Value, ValueError> {
    let number: f64 = text.parse().map_err(|_| ValueError::NotANumber)?;
    if !number.is_finite() {
        return Err(ValueError::NotFinite);
    }
    if number < minimum || number > maximum {
        return Err(ValueError::OutOfRange);
    }
    Ok(Value::Number(number))
}

fn parse_integer(text: &str, maximum: u32) -> Result<Value, ValueError> {
    let number: u32 = text.parse().map_err(|_| ValueError::NotAnInteger)?;
    if number > maximum {
        return Err(ValueError::OutOfRange);
    }
    Ok(Value::Integer(number))
}

/// Parses Unix seconds, or a date and time in UTC (RFC 3339).
fn parse_time(text: &str) -> Result<Value, ValueError> {
    let seconds = match text.parse::<f64>() {
        Ok(seconds) => seconds,
        Err(_) => parse_date(text)?,
    };
    // Rounded to the microsecond, so that a time that is written out and read again stays the same.
    let rounded = (seconds * MICROSECONDS_PER_SECOND).round() / MICROSECONDS_PER_SECOND;
    if !(0.0..=MAX_UNIX_SECONDS).contains(&rounded) {
        return Err(ValueError::NotATime);
    }
    Ok(Value::Number(rounded))
}

fn parse_date(text: &str) -> Result<f64, ValueError> {
    let date = humantime::parse_rfc3339(text).map_err(|_| ValueError::NotATime)?;
    let since_epoch = date
        .duration_since(UNIX_EPOCH)
        .map_err(|_| ValueError::NotATime)?;
    Ok(since_epoch.as_secs_f64())
}

fn parse_admin_state(text: &str) -> Result<Value, ValueError> {
    let all = [AdminState::InService, AdminState::Draining, AdminState::Out];
    all.into_iter()
        .find(|state| state.name() == text)
        .map(Value::State)
        .ok_or(ValueError::UnknownState)
}

/// Parses names, separated by commas or spaces.
fn parse_names(text: &str) -> Result<Value, ValueError> {
    let words = text.split([',', ' ']).filter(|word| !word.is_empty());
    let names: Result<_, NameError> = words.map(parse_name).collect();
    Ok(Value::Names(names?))
}

fn parse_key_prefix(text: &str) -> Result<Value, ValueError> {
    if text.len() > MAX_NAME_BYTES {
        return Err(ValueError::TooLong);
    }
    if text.chars().any(char::is_control) {
        return Err(ValueError::ControlCharacters);
    }
    Ok(Value::Text(text.into()))
}

fn parse_boolean(text: &str) -> Result<Value, ValueError> {
    match text {
        "true" => Ok(Value::Boolean(true)),
        "false" => Ok(Value::Boolean(false)),
        _ => Err(ValueError::NotABoolean),
    }
}
