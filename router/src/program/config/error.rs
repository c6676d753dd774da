//! Errors in a configuration.

use std::fmt;

use kestreltide_settings::SettingsError;
use thiserror::Error;

use crate::limits::MemoryBudgetError;

/// Why a configuration cannot be read or applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(in crate::program) enum ConfigError {
    /// Neither the command line nor the environment names a configuration file.
    #[error("no configuration: neither --config nor PROXY_CONFIG names a file")]
    NotNamed,
    /// The file cannot be read.
    #[error("{path} cannot be read: {problem}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The error of the operating system, or the reason why the file is not accepted.
        problem: String,
    },
    /// An environment variable does not hold an address and port.
    #[error("{variable}={text} is no address and port")]
    NotAnAddress {
        /// The variable's name.
        variable: &'static str,
        /// Its value.
        text: String,
    },
    /// The file is not JSON, or not of the expected structure.
    #[error("{}{problem}", path_prefix(.path))]
    Malformed {
        /// The path of the wrong value; empty if it is not known.
        path: String,
        /// The parser's error.
        problem: String,
    },
    /// The seed is not a hexadecimal number.
    #[error("seed: {0} is no hexadecimal number")]
    Seed(String),
    /// `limits.sockets` or `limits.memory_mb` is 0.
    #[error("limits: sockets and memory_mb must be more than 0")]
    ZeroLimit,
    /// A field exceeds the memory budget.
    // Operators match the text; "more than memory bears" means that the field does not fit into the budget.
    #[error(
        "{field}: more than memory bears ({count} {unit}; {} at most where limits.memory_mb is {})",
        .budget.maximum,
        .budget.memory_mb
    )]
    TooMuchMemory {
        /// The field's path.
        field: &'static str,
        /// The number of units in the field.
        count: usize,
        /// The unit of `count`.
        unit: MemoryUnit,
        /// The maximum that the memory budget allows.
        budget: MemoryBudgetError,
    },
    /// More hosts are listed than a router keeps at most.
    #[error("{field}: more than a router keeps ({count} hosts; {maximum} at most)")]
    TooManyHosts {
        /// The field's path.
        field: &'static str,
        /// The number of listed hosts.
        count: usize,
        /// The most hosts that a router keeps.
        maximum: usize,
    },
    /// A value of the settings is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Fields have changed that cannot change while the program runs.
    #[error("{}: only a restart changes it", .fields.join(", "))]
    NeedsRestart {
        /// The fields' names.
        fields: Vec<&'static str>,
    },
}

/// The unit in which a field that exceeds the memory budget is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::program) enum MemoryUnit {
    /// Bytes of the file.
    Bytes,
    /// Addresses of peers.
    Addresses,
    /// Hosts of an endpoint list.
    Hosts,
}

impl fmt::Display for MemoryUnit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemoryUnit::Bytes => "bytes",
            MemoryUnit::Addresses => "addresses",
            MemoryUnit::Hosts => "hosts",
        })
    }
}

/// The path with a separator after it; empty if the path is not known.
fn path_prefix(path: &str) -> String {
    if path.is_empty() {
        String::new()
    } else {
        format!("{path}: ")
    }
}

impl From<ConfigError> for String {
    fn from(error: ConfigError) -> Self {
        error.to_string()
    }
}
