//! Reads edits from JSON (RFC 7951).

use kestreltide_datastore::tree_builder::printable;
use serde_json::{Map, Value as Json};

use super::reader::EditReader;
use super::{Edit, EditError, ErrorTag};
use crate::data::{InstancePath, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::Type;

/// Reads edits from the members of an object, which are children of `parent` or, if it is `None`, top-level nodes. Adds an
/// error for each invalid member.
pub fn edits_from_json(
    schema: &Schema,
    parent: Option<NodeId>,
    path: &InstancePath,
    object: &Json,
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    EditReader { schema, errors }.edits_from_object(parent, path, object)
}

/// Reads edits from the value of a member: for a list or leaf-list, an array of its entries or values.
pub fn edits_from_json_value(
    schema: &Schema,
    node: NodeId,
    parent_path: &InstancePath,
    value: &Json,
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    EditReader { schema, errors }.edits_from_value(node, parent_path, value)
}

/// Reads the edit of one container, list entry, leaf or leaf-list value.
pub fn edit_from_json(
    schema: &Schema,
    node: NodeId,
    parent_path: &InstancePath,
    value: &Json,
    errors: &mut Vec<EditError>,
) -> Option<Edit> {
    EditReader { schema, errors }.edit_from_value(node, parent_path, value)
}

impl EditReader<'_> {
    fn edits_from_object(
        &mut self,
        parent: Option<NodeId>,
        path: &InstancePath,
        object: &Json,
    ) -> Vec<Edit> {
        let Json::Object(members) = object else {
            self.add_error(
                ErrorTag::InvalidValue,
                "",
                path,
                "is no object",
                printable_json(object),
                "an object",
            );
            return vec![];
        };
        let mut edits = Vec::new();
        for (member, value) in members {
            match self.node_of_member(parent, member) {
                Some(node) => edits.extend(self.edits_from_value(node, path, value)),
                None => self.add_unknown_child_error(parent, member, path),
            }
        }
        edits
    }

    /// Returns the schema node of a member, whose name may be qualified with the module name.
    fn node_of_member(&self, parent: Option<NodeId>, member: &str) -> Option<NodeId> {
        let (module, name) = match member.split_once(':') {
            Some((module, name)) => (Some(module), name),
            None => (None, member),
        };
        let node = self.child_named(parent, name)?;
        let module_matches = module.is_none_or(|module| self.schema.module_of(node).name == module);
        module_matches.then_some(node)
    }

    fn edits_from_value(
        &mut self,
        node: NodeId,
        parent_path: &InstancePath,
        value: &Json,
    ) -> Vec<Edit> {
        let schema = self.schema;
        let name = &schema.node_of(node).name;
        let kind = &schema.node_of(node).kind;
        if !matches!(kind, NodeKind::List { .. } | NodeKind::LeafList { .. }) {
            let edit = self.edit_from_value(node, parent_path, value);
            return edit.into_iter().collect();
        }
        let Json::Array(items) = value else {
            self.add_error(
                ErrorTag::InvalidValue,
                name,
                parent_path,
                format!("{name} is no array"),
                printable_json(value),
                "an array",
            );
            return vec![];
        };
        items
            .iter()
            .filter_map(|item| self.edit_from_value(node, parent_path, item))
            .collect()
    }

    fn edit_from_value(
        &mut self,
        node: NodeId,
        parent_path: &InstancePath,
        value: &Json,
    ) -> Option<Edit> {
        if self.leaf_type(node).is_some() {
            return self.edit_from_leaf_value(node, parent_path, value);
        }
        let name = &self.schema.node_of(node).name;
        let Json::Object(members) = value else {
            self.add_error(
                ErrorTag::InvalidValue,
                name,
                parent_path,
                format!("{name} is no object"),
                printable_json(value),
                "an object",
            );
            return None;
        };
        let step = self.parse_step(node, parent_path, |key| key_text(members, key))?;
        let path = parent_path.child(step.clone());
        let children = self.edits_from_object(Some(node), &path, value);
        Some(Edit {
            node,
            operation: None,
            value: None,
            step,
            children,
        })
    }

    fn edit_from_leaf_value(
        &mut self,
        node: NodeId,
        parent_path: &InstancePath,
        value: &Json,
    ) -> Option<Edit> {
        let schema = self.schema;
        let step = Step {
            name: schema.node_of(node).name.clone(),
            keys: vec![],
        };
        let path = parent_path.child(step.clone());
        let leaf_type = self.leaf_type(node)?;
        let Some(text) = leaf_text(leaf_type, value) else {
            let json_form = if leaf_type.is_json_string() {
                "as a JSON string"
            } else {
                "as JSON's own"
            };
            let expected = format!("{}, {json_form}", leaf_type.describe_values());
            self.add_error(
                ErrorTag::InvalidValue,
                &step.name,
                &path,
                "is of another form",
                printable_json(value),
                expected,
            );
            return None;
        };
        let value = self.canonical_value(node, &path, &text)?;
        Some(Edit {
            node,
            operation: None,
            value: Some(value),
            step,
            children: vec![],
        })
    }
}

/// Returns the text of a JSON value if it has the JSON form of its type (RFC 7951, section 6). A 64-bit integer has to be
/// a string, since a JSON number loses precision in parsers that read numbers as doubles.
fn leaf_text(leaf_type: &Type, value: &Json) -> Option<String> {
    match value {
        Json::String(text) if leaf_type.is_json_string() => Some(text.clone()),
        Json::Number(number) if !leaf_type.is_json_string() => Some(number.to_string()),
        Json::Bool(flag) if !leaf_type.is_json_string() => Some(flag.to_string()),
        Json::Array(items) if leaf_type.builtin_name() == "empty" && *items == [Json::Null] => {
            Some(String::new())
        }
        _ => None,
    }
}

/// Returns the text of a key among the members of a list entry.
fn key_text(members: &Map<String, Json>, key: &str) -> Option<String> {
    let (_, value) = members
        .iter()
        .find(|(member, _)| member.rsplit(':').next() == Some(key))?;
    match value {
        Json::String(text) => Some(text.clone()),
        Json::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

fn printable_json(value: &Json) -> String {
    printable(&value.to_string())
}
