//! The values of leaves, and how they are read from text.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::leaf::Leaf;
use super::names::{MAX_NAME_LENGTH, NameError, parse_name};

/// What operators want of a host, whatever it does itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminState {
    /// It takes new requests.
    InService,
    /// It is being shut down: nothing new goes to it, and it comes back only with a new start.
    Draining,
    /// Nothing new goes to it until it is put in service again.
    Out,
}

impl AdminState {
    /// The name that it is shown and set by.
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

/// A value at a leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// An address with a port.
    Address(SocketAddr),
    /// A text, such as a zone's name.
    Text(Arc<str>),
    /// An integer without a sign.
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

/// The least weight: less is meant as an administrative state, or an error.
pub const MIN_WEIGHT: f64 = 0.01;
/// The greatest weight: more is an error.
pub const MAX_WEIGHT: f64 = 100.0;
/// The greatest size of a host; 1 is a usual host.
const MAX_SIZE: f64 = 1e6;
/// The greatest minimum of hosts that a guard takes.
const MAX_MIN_HOSTS: u32 = 16 * 1024;
/// The greatest number of a build.
const MAX_BUILD: u32 = u16::MAX as u32;
/// Seconds: the year 9999, after which dates have no form.
const LAST_TIME: f64 = 253_402_300_799.0;
/// Parts of a second to which times are rounded.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Why a text is no value of a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ValueError {
    /// It is no name.
    #[error(transparent)]
    Name(#[from] NameError),
    /// It is infinite or no number by IEEE 754.
    #[error("is no finite number")]
    NotFinite,
    /// It is a number that the leaf does not take.
    #[error("is out of range")]
    OutOfRange,
    /// It is no number.
    #[error("is no number")]
    NotANumber,
    /// It is no integer, or none of 32 bits without a sign.
    #[error("is no whole number in range")]
    NotAnInteger,
    /// It is an address to which nobody can connect: without a host or a port.
    #[error("can be connected to by nobody")]
    UnusableAddress,
    /// It is no address with a port.
    #[error("is no address and port")]
    NotAnAddress,
    /// It is neither a date nor seconds since 1970, or out of range.
    #[error("is no time")]
    NotATime,
    /// It is no administrative state.
    #[error("is no administrative state")]
    UnknownState,
    /// It is too long.
    #[error("is longer than {MAX_NAME_LENGTH} bytes")]
    TooLong,
    /// It has control characters.
    #[error("has control characters")]
    ControlCharacters,
    /// It is no boolean.
    #[error("is neither true nor false")]
    NotABoolean,
}

impl Leaf {
    /// The value that a text gives.
    ///
    /// # Errors
    ///
    /// The text is no value of this leaf.
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

/// Unix seconds, or a date and time in UTC (RFC 3339).
fn parse_time(text: &str) -> Result<Value, ValueError> {
    let seconds = match text.parse::<f64>() {
        Ok(seconds) => seconds,
        Err(_) => parse_date(text)?,
    };
    // To the microsecond, so that a time that was written out and read again is the same.
    let rounded = (seconds * MICROSECONDS_PER_SECOND).round() / MICROSECONDS_PER_SECOND;
    if !(0.0..=LAST_TIME).contains(&rounded) {
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

/// Names, separated by commas or spaces.
fn parse_names(text: &str) -> Result<Value, ValueError> {
    let words = text.split([',', ' ']).filter(|word| !word.is_empty());
    let names: Result<_, NameError> = words.map(parse_name).collect();
    Ok(Value::Names(names?))
}

fn parse_key_prefix(text: &str) -> Result<Value, ValueError> {
    if text.len() > MAX_NAME_LENGTH {
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
