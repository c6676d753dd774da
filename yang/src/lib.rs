//! The published YANG models, and data that follows them. The modules in `models/` are parsed at start ([`statement`],
//! [`schema`]) and drive the codecs of XML and JSON, so that models and code cannot drift apart: a statement that is
//! not supported is rejected with its line.
//!
//! This crate does no I/O.

pub mod binding;
pub mod data;
pub mod edit;
pub mod filter;
pub mod json;
pub mod path;
pub mod schema;
pub mod statement;
pub mod tree_diagram;
pub mod types;
pub mod xml;

use std::sync::OnceLock;

pub use data::{Content, DataNode};
pub use filter::Filter;
pub use path::Pattern;
pub use schema::{NodeId, NodeKind, Schema, SchemaError};

/// The published modules as they stand in `models/`.
pub const MODULES: [(&str, &str); 2] = [
    (
        "kestreltide-types",
        include_str!("../../models/kestreltide-types.yang"),
    ),
    (
        "kestreltide-router",
        include_str!("../../models/kestreltide-router.yang"),
    ),
];

/// The schema of the published modules, which are parsed once.
///
/// # Errors
///
/// When the published modules are wrong, which is a defect.
pub fn published_schema() -> Result<&'static Schema, SchemaError> {
    static SCHEMA: OnceLock<Result<Schema, SchemaError>> = OnceLock::new();
    SCHEMA
        .get_or_init(|| Schema::parse(&MODULES))
        .as_ref()
        .map_err(Clone::clone)
}
