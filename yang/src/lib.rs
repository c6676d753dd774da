//! The published models, and data by them. The modules in `models/` are read at start by the reader in [`statement`]
//! and give the schema that drives both codecs, so that model and code cannot drift apart: what a module uses and
//! the reader does not know is refused with line and statement.
//!
//! Free of I/O.

pub mod binding;
pub mod data;
pub mod edit;
pub mod json;
pub mod path;
pub mod schema;
pub mod statement;
pub mod tree_diagram;
pub mod types;
pub mod xml;

use std::sync::OnceLock;

pub use data::{Content, DataNode};
pub use path::{Filter, Pattern};
pub use schema::{NodeId, NodeKind, Schema};

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

/// The schema of the published modules; they are read once. An error is a defect of the modules.
pub fn published() -> Result<&'static Schema, String> {
    static SCHEMA: OnceLock<Result<Schema, String>> = OnceLock::new();
    SCHEMA
        .get_or_init(|| Schema::parse(&MODULES))
        .as_ref()
        .map_err(Clone::clone)
}
