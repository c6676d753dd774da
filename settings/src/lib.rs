//! Decodes the `settings` object of a deployment into the settings of the decisions and of the transport.
//!
//! The simulator sends the object as pairs of names and values, a real deployment as nested JSON. [`Fields`] reads
//! both forms, and [`decode`] converts them.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used
)]

mod decode;
mod error;
mod fields;
mod name_table;
mod transport;

pub use decode::{DeploymentSettings, decode};
pub use error::{SettingsError, SettingsProblem};
pub use fields::{Fields, seconds};
pub use name_table::NameTable;
pub use transport::{LoadReporting, TransportSettings};
