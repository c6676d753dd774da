//! The values of leaves, and how they are read from text.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::leaf::Leaf;
use super::names::{NAME_MOST, name};

/// What operators want of a host, whatever it does itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminState {
    InService,
    /// It is being shut down: nothing new goes to it, and it comes back only with a new start.
    Draining,
    /// Nothing new goes to it until it is put in service again.
    Out,
}

const STATES: [(AdminState, &str); 3] = [
    (AdminState::InService, "in-service"),
    (AdminState::Draining, "draining"),
    (AdminState::Out, "out"),
];

impl fmt::Display for AdminState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = STATES
            .iter()
            .find(|(state, _)| state == self)
            .map_or("", |(_, text)| text);
        f.write_str(text)
    }
}

/// A value at a leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    Address(SocketAddr),
    Text(Arc<str>),
    #[serde(rename = "Whole")]
    Integer(u32),
    Number(f64),
    State(AdminState),
    #[serde(rename = "Flag")]
    Boolean(bool),
    /// In no order.
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

impl Leaf {
    /// The value that a text says; why it says none.
    pub fn parse(self, text: &str) -> Result<Value, String> {
        let number = |least: f64, most: f64| match text.parse::<f64>() {
            Ok(number) if !number.is_finite() => Err("is no finite number".to_owned()),
            Ok(number) if number < least || number > most => Err("is out of range".into()),
            Ok(number) => Ok(Value::Number(number)),
            Err(_) => Err("is no number".into()),
        };
        let whole = |most: u32| match text.parse::<u32>() {
            Ok(number) if number <= most => Ok(Value::Integer(number)),
            Ok(_) => Err("is out of range".to_owned()),
            Err(_) => Err("is no whole number in range".into()),
        };
        match self {
            Leaf::Endpoint => match text.parse::<SocketAddr>() {
                Ok(at) if at.port() == 0 || at.ip().is_unspecified() => {
                    Err("can be connected to by nobody".into())
                }
                Ok(at) => Ok(Value::Address(at)),
                Err(_) => Err("is no address and port".into()),
            },
            Leaf::Zone | Leaf::Kind => name(text).map(Value::Text),
            Leaf::Cell => whole(u32::MAX),
            Leaf::Size => number(f64::MIN_POSITIVE, 1e6),
            Leaf::Build => whole(u32::from(u16::MAX)),
            Leaf::Started => time(text).map(Value::Number),
            Leaf::Weight => number(WEIGHTS[0], WEIGHTS[1]),
            Leaf::State => {
                let state = STATES
                    .iter()
                    .find(|(_, name)| *name == text)
                    .map(|(state, _)| Value::State(*state));
                state.ok_or_else(|| "is no administrative state".into())
            }
            Leaf::LargestRemoval | Leaf::Cap => number(0.0, 1.0),
            Leaf::MinHostsPerZone | Leaf::MinHostsPerBuild => whole(16 * 1024),
            Leaf::Precedence => whole(u32::MAX),
            Leaf::RolloutBuild => whole(u32::from(u16::MAX)),
            Leaf::Operations | Leaf::Zones | Leaf::Kinds | Leaf::Hosts => {
                let words = text.split([',', ' ']).filter(|word| !word.is_empty());
                words.map(name).collect::<Result<_, _>>().map(Value::Names)
            }
            Leaf::KeyPrefix => match text {
                _ if text.len() > NAME_MOST => Err(format!("is longer than {NAME_MOST} bytes")),
                _ if text.chars().any(char::is_control) => Err("has control characters".into()),
                _ => Ok(Value::Text(text.into())),
            },
            Leaf::Hold | Leaf::RollBack => match text {
                "true" => Ok(Value::Boolean(true)),
                "false" => Ok(Value::Boolean(false)),
                _ => Err("is neither true nor false".into()),
            },
        }
    }
}

/// The least and the greatest weight: beyond them a state is meant, or an error was made.
pub const WEIGHTS: [f64; 2] = [0.01, 100.0];

/// Unix seconds; from text that is that, or a date and time in UTC (RFC 3339).
fn time(text: &str) -> Result<f64, String> {
    let seconds = match text.parse::<f64>() {
        Ok(seconds) => Some(seconds),
        Err(_) => humantime::parse_rfc3339(text).ok().and_then(|at| {
            at.duration_since(std::time::UNIX_EPOCH)
                .ok()
                .map(|since| since.as_secs_f64())
        }),
    };
    // To the microsecond, so that a time that was written out and read again is the same.
    let sense = seconds
        .map(|at| (at * 1e6).round() / 1e6)
        .filter(|at| (0.0..=LAST_TIME).contains(at));
    sense.ok_or_else(|| "is no time".into())
}

/// Seconds: the year 9999, after which dates have no form.
const LAST_TIME: f64 = 253_402_300_799.0;
