//! Why a configuration is not used.

use std::fmt;

use kestreltide_settings::SettingsError;
use thiserror::Error;

use crate::limits::MemoryBudgetError;

/// Why a configuration cannot be read or used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(in crate::program) enum ConfigError {
    /// No file is named.
    #[error("no configuration: neither --config nor PROXY_CONFIG names a file")]
    NotNamed,
    /// The file cannot be read.
    #[error("{path} cannot be read: {problem}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// What the operating system says, or what is wrong with the file.
        problem: String,
    },
    /// An environment variable is no address.
    #[error("{variable}={text} is no address and port")]
    NotAnAddress {
        /// The variable's name.
        variable: &'static str,
        /// Its value.
        text: String,
    },
    /// The file is no JSON object of the expected form.
    #[error("{}{problem}", path_prefix(.path))]
    Malformed {
        /// The path of the value that is wrong; empty where it is not known.
        path: String,
        /// What the parser says.
        problem: String,
    },
    /// The seed is no hexadecimal number.
    #[error("seed: {0} is no hexadecimal number")]
    Seed(String),
    /// A limit is 0.
    #[error("limits: sockets and memory_mb must be more than 0")]
    ZeroLimit,
    /// A field lists more than there is memory for.
    #[error(
        "{field}: more than memory bears ({count} {unit}; {} at most where limits.memory_mb is {})",
        .budget.maximum,
        .budget.memory_mb
    )]
    TooMuchMemory {
        /// The field's path.
        field: &'static str,
        /// How much it lists.
        count: usize,
        /// Of what.
        unit: MemoryUnit,
        /// What there is memory for.
        budget: MemoryBudgetError,
    },
    /// More hosts are listed than a router keeps.
    #[error("{field}: more than a router keeps ({count} hosts; {maximum} at most)")]
    TooManyHosts {
        /// The field's path.
        field: &'static str,
        /// How many are listed.
        count: usize,
        /// How many are kept.
        maximum: usize,
    },
    /// A value of the settings is missing or cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Fields differ that cannot change while the program runs.
    #[error("{}: only a restart changes it", .fields.join(", "))]
    NeedsRestart {
        /// The fields' names.
        fields: Vec<&'static str>,
    },
}

/// What is counted where memory does not suffice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::program) enum MemoryUnit {
    /// Bytes of the file.
    Bytes,
    /// Addresses of peers.
    Addresses,
    /// Listed hosts.
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
