//! What reading edits from XML and from JSON has in common.

use std::fmt;

use kestreltide_datastore::tree_builder::printable;

use super::{EditError, ErrorTag};
use crate::data::{InstancePath, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::Type;

/// Reads edits by a schema and collects the errors.
pub(super) struct EditReader<'a> {
    pub(super) schema: &'a Schema,
    pub(super) errors: &'a mut Vec<EditError>,
}

impl EditReader<'_> {
    pub(super) fn error(
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

    /// The child of a node with a name; none for the top.
    pub(super) fn child_named(&self, parent: Option<NodeId>, name: &str) -> Option<NodeId> {
        self.schema
            .children_of(parent)
            .iter()
            .copied()
            .find(|id| self.schema.node_of(*id).name == name)
    }

    /// Notes that a node has no child of a name.
    pub(super) fn unknown_child(
        &mut self,
        parent: Option<NodeId>,
        name: &str,
        path: &InstancePath,
    ) {
        let known: Vec<_> = self
            .schema
            .children_of(parent)
            .iter()
            .map(|id| self.schema.node_of(*id).name.clone())
            .collect();
        self.error(
            ErrorTag::UnknownElement,
            name,
            path,
            "has no such node",
            name,
            known.join(", "),
        );
    }

    /// The type of a leaf or leaf-list; none for any other node.
    pub(super) fn leaf_type(&self, node: NodeId) -> Option<&Type> {
        match &self.schema.node_of(node).kind {
            NodeKind::Leaf { leaf_type, .. } | NodeKind::LeafList { leaf_type } => Some(leaf_type),
            NodeKind::Container | NodeKind::List { .. } => None,
        }
    }

    /// The step to a node from its parent at `path`; an entry of a list needs the values of all its keys.
    pub(super) fn read_step(
        &mut self,
        node: NodeId,
        path: &InstancePath,
        key_value: impl Fn(&str) -> Option<String>,
    ) -> Option<Step> {
        let schema = self.schema;
        let name = schema.node_of(node).name.clone();
        let mut keys = Vec::new();
        for key in schema.keys(node) {
            let list_path = path.child(Step {
                name: name.clone(),
                keys: vec![],
            });
            let Some(text) = key_value(key) else {
                self.error(
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

    /// The canonical value of a text; none and an error if it is no value of the leaf.
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
        let expected = leaf_type.expected();
        let name = &self.schema.node_of(node).name;
        self.error(
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
