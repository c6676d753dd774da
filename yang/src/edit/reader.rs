//! The part of reading edits that XML and JSON share.

use std::fmt;

use kestreltide_datastore::tree_builder::printable;

use super::{EditError, ErrorTag};
use crate::data::{InstancePath, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::Type;

/// Reads edits according to a schema and collects the errors.
pub(super) struct EditReader<'a> {
    pub(super) schema: &'a Schema,
    pub(super) errors: &'a mut Vec<EditError>,
}

impl EditReader<'_> {
    pub(super) fn add_error(
        &mut self,
        tag: ErrorTag,
        subject: &str,
        path: &InstancePath,
        problem: impl fmt::Display,
        found: impl fmt::Display,
        expected: impl fmt::Display,
    ) {
        let error = EditError::new(tag, subject, path, problem, found, expected);
        self.errors.push(error);
    }

    /// Returns the child of a node by its name, or the top-level data node if `parent` is `None`.
    pub(super) fn child_named(&self, parent: Option<NodeId>, name: &str) -> Option<NodeId> {
        self.schema
            .children_of(parent)
            .iter()
            .copied()
            .find(|id| self.schema.node_of(*id).name == name)
    }

    /// Adds the error that a node has no child with a name.
    pub(super) fn add_unknown_child_error(
        &mut self,
        parent: Option<NodeId>,
        name: &str,
        path: &InstancePath,
    ) {
        let known_names: Vec<_> = self
            .schema
            .children_of(parent)
            .iter()
            .map(|id| self.schema.node_of(*id).name.clone())
            .collect();
        self.add_error(
            ErrorTag::UnknownElement,
            name,
            path,
            "has no such node",
            name,
            known_names.join(", "),
        );
    }

    /// Returns the type of a leaf or leaf-list; `None` for any other node.
    pub(super) fn leaf_type(&self, node: NodeId) -> Option<&Type> {
        match &self.schema.node_of(node).kind {
            NodeKind::Leaf { leaf_type, .. } | NodeKind::LeafList { leaf_type } => Some(leaf_type),
            NodeKind::Container | NodeKind::List { .. } => None,
        }
    }

    /// Builds the path step to a node from its parent at `path`. `key_value` returns the text of a key by its name; adds an
    /// error and returns `None` if a key of a list entry is missing or invalid.
    pub(super) fn parse_step(
        &mut self,
        node: NodeId,
        path: &InstancePath,
        key_value: impl Fn(&str) -> Option<String>,
    ) -> Option<Step> {
        let schema = self.schema;
        let name = schema.node_of(node).name.clone();
        let mut keys = Vec::new();
        for key in schema.key_names(node) {
            let list_path = path.child(Step {
                name: name.clone(),
                keys: vec![],
            });
            let Some(text) = key_value(key) else {
                self.add_error(
                    ErrorTag::MissingElement,
                    key,
                    &list_path,
                    "an entry has no key",
                    "nothing",
                    key,
                );
                return None;
            };
            let leaf = schema.child_named(node, key)?;
            let value = self.canonical_value(leaf, &list_path, &text)?;
            keys.push((key.clone(), value));
        }
        Some(Step { name, keys })
    }

    /// Returns the canonical form of a leaf value; adds an error and returns `None` if the text is not valid.
    pub(super) fn canonical_value(
        &mut self,
        node: NodeId,
        path: &InstancePath,
        text: &str,
    ) -> Option<String> {
        let leaf_type = self.leaf_type(node)?;
        let error = match leaf_type.canonical(text) {
            Ok(value) => return Some(value),
            Err(error) => error,
        };
        let expected = leaf_type.describe_values();
        let name = &self.schema.node_of(node).name;
        self.add_error(
            ErrorTag::InvalidValue,
            name,
            path,
            error.to_string(),
            printable(text),
            expected,
        );
        None
    }
}
