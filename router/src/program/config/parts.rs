//! The parts of the configuration file that are parsed once the memory budget is known.

use std::net::SocketAddr;

use serde::de::DeserializeSeed;
use serde_json::Value;
use serde_json::value::RawValue;
use serde_path_to_error::Track;

use super::error::{ConfigError, MemoryUnit};
use crate::limits::MemoryBudget;
use crate::program::unique_keys::UniqueKeys;
use crate::protocol::discovery::{self, EndpointList};

/// The field of the configuration file that lists the last known hosts.
const KNOWN_HOSTS_FIELD: &str = "known.targets";

/// Parses the addresses of the peers and reserves memory for them.
pub(super) fn peers(
    raw: &RawValue,
    budget: &mut MemoryBudget,
) -> Result<Vec<SocketAddr>, ConfigError> {
    let text = raw.get();
    // Addresses contain no comma, so that they can be counted, and memory reserved, before they are parsed.
    let count = if text.contains('"') {
        text.matches(',').count() + 1
    } else {
        0
    };
    budget
        .reserve_peers(count)
        .map_err(|budget| ConfigError::TooMuchMemory {
            field: "peers",
            count,
            unit: MemoryUnit::Addresses,
            budget,
        })?;
    let reader = &mut serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(reader)
        .map_err(|error| part_error("peers", &error.path().to_string(), error.inner()))
}

/// Parses the settings object, in which no key may occur twice, and reserves memory for it.
pub(super) fn settings(raw: &RawValue, budget: &mut MemoryBudget) -> Result<Value, ConfigError> {
    let reader = &mut serde_json::Deserializer::from_str(raw.get());
    let mut track = Track::new();
    let deserializer = serde_path_to_error::Deserializer::new(reader, &mut track);
    let value = UniqueKeys { budget }.deserialize(deserializer);
    value.map_err(|error| part_error("settings", &track.path().to_string(), &error))
}

/// Parses the last known endpoint list and checks its length. No memory is reserved, as later lists replace it.
pub(super) fn known_hosts<'a>(
    raw: &'a RawValue,
    budget: &MemoryBudget,
) -> Result<EndpointList<'a>, ConfigError> {
    let list = discovery::parse_list(raw.get().as_bytes()).map_err(|error| {
        let dot = if error.path.is_empty() { "" } else { "." };
        ConfigError::Malformed {
            path: format!("known{dot}{}", error.path),
            problem: without_position(&error.reason).to_owned(),
        }
    })?;
    let count = list.targets.len();
    budget
        .check_hosts(count)
        .map_err(|budget| ConfigError::TooMuchMemory {
            field: KNOWN_HOSTS_FIELD,
            count,
            unit: MemoryUnit::Hosts,
            budget,
        })?;
    if count > budget.max_hosts() {
        return Err(ConfigError::TooManyHosts {
            field: KNOWN_HOSTS_FIELD,
            count,
            maximum: budget.max_hosts(),
        });
    }
    Ok(list)
}

/// An error in a part of the file, with `path` (within the part) extended to the path in the file.
fn part_error(field: &str, path: &str, error: &serde_json::Error) -> ConfigError {
    let path = if path == "." {
        field.to_owned()
    } else if path.starts_with('[') {
        format!("{field}{path}")
    } else {
        format!("{field}.{path}")
    };
    ConfigError::Malformed {
        path,
        problem: without_position(&error.to_string()).to_owned(),
    }
}

/// A parser's error without line and column, which are relative to the part and would be wrong for the file.
fn without_position(problem: &str) -> &str {
    problem
        .split_once(" at line ")
        .map_or(problem, |(problem, _)| problem)
}
