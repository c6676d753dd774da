//! The published YANG modules and the data that they define. The modules in `models/` are parsed at start
//! ([`statement`], [`schema`]) and drive the XML and JSON codecs, so that modules and code always agree: a statement that
//! is not supported is rejected with its line number.
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

/// Names and texts of the published modules in `models/`, each after the modules that it imports.
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

/// The schema of the published modules, which are parsed at the first call.
///
/// # Errors
///
/// When a published module is invalid, which is a defect of this package.
pub fn published_schema() -> Result<&'static Schema, SchemaError> {
    static SCHEMA: OnceLock<Result<Schema, SchemaError>> = OnceLock::new();
    SCHEMA
        .get_or_init(|| Schema::parse(&MODULES))
        .as_ref()
        .map_err(Clone::clone)
}
