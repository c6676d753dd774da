//! Edits of the operators' tree, as NETCONF's edit-config (RFC 6241, section 7.2) and gNMI's Set have them: nodes of
//! the schema with operations, carried out on the datastore's typed tree, all of them or none.

use std::fmt;

use kestreltide_datastore::{Tree, ValidationError};
use serde_json::Value as Json;

use crate::binding::{Binding, ConfigNode};
use crate::data::{InstancePath, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::xml::{Attribute, Element};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Merge,
    Replace,
    Create,
    Delete,
    Remove,
    /// Only a way to what stands below.
    None,
}

const OPERATIONS: [(&str, Operation); 6] = [
    ("merge", Operation::Merge),
    ("replace", Operation::Replace),
    ("create", Operation::Create),
    ("delete", Operation::Delete),
    ("remove", Operation::Remove),
    ("none", Operation::None),
];

impl Operation {
    /// An operation by its name on the wire, of those that stand at an element.
    pub fn from_attribute(name: &str) -> Option<Operation> {
        OPERATIONS[..5]
            .iter()
            .find(|(is, _)| *is == name)
            .map(|(_, operation)| *operation)
    }

    /// One that counts where nothing else is said.
    pub fn from_default_operation(name: &str) -> Option<Operation> {
        let known = ["merge", "replace", "none"].contains(&name);
        OPERATIONS
            .iter()
            .find(|(is, _)| *is == name && known)
            .map(|(_, operation)| *operation)
    }
}

/// What kind of fault it is (RFC 6241, appendix A).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorTag {
    UnknownElement,
    UnknownNamespace,
    UnknownAttribute,
    BadAttribute,
    MissingElement,
    InvalidValue,
    DataExists,
    DataMissing,
    OperationNotSupported,
}

impl fmt::Display for ErrorTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ErrorTag::UnknownElement => "unknown-element",
            ErrorTag::UnknownNamespace => "unknown-namespace",
            ErrorTag::UnknownAttribute => "unknown-attribute",
            ErrorTag::BadAttribute => "bad-attribute",
            ErrorTag::MissingElement => "missing-element",
            ErrorTag::InvalidValue => "invalid-value",
            ErrorTag::DataExists => "data-exists",
            ErrorTag::DataMissing => "data-missing",
            ErrorTag::OperationNotSupported => "operation-not-supported",
        })
    }
}

/// Why an edit cannot be carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct EditError {
    pub tag: ErrorTag,
    /// The element or attribute at fault, where the tag needs its name.
    pub subject: String,
    pub at: InstancePath,
    pub validation: ValidationError,
}

impl EditError {
    fn new(
        tag: ErrorTag,
        subject: &str,
        at: &InstancePath,
        what: impl Into<String>,
        given: impl fmt::Display,
        taken: impl fmt::Display,
    ) -> Self {
        EditError {
            tag,
            subject: subject.into(),
            at: at.clone(),
            validation: ValidationError::new(at, what, given, taken),
        }
    }
}

/// A node to be edited.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    pub node: NodeId,
    /// As above it where none is said.
    pub operation: Option<Operation>,
    /// Of a leaf or one value of a leaf-list, canonical; none where it is only taken away.
    pub value: Option<String>,
    pub step: Step,
    pub children: Vec<Edit>,
}

const NETCONF: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

/// Reads the elements of a configuration; every fault of them is told.
pub fn edits_from_xml(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &InstancePath,
    elements: &[Element],
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    elements
        .iter()
        .filter_map(|element| edit_from_xml(schema, parent, at, element, errors))
        .collect()
}

fn edit_from_xml(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &InstancePath,
    element: &Element,
    errors: &mut Vec<EditError>,
) -> Option<Edit> {
    let name = element.name.as_str();
    let named = schema
        .children_of(parent)
        .iter()
        .copied()
        .find(|id| schema.node_of(*id).name == name);
    let Some(node) = named else {
        let known: Vec<_> = schema
            .children_of(parent)
            .iter()
            .map(|id| schema.node_of(*id).name.clone())
            .collect();
        errors.push(EditError::new(
            ErrorTag::UnknownElement,
            name,
            at,
            "has no such node",
            name,
            known.join(", "),
        ));
        return None;
    };
    let namespace = &schema.module_of(node).namespace;
    if element.namespace != *namespace {
        let what = "is not of the namespace of its module";
        errors.push(EditError::new(
            ErrorTag::UnknownNamespace,
            name,
            at,
            what,
            &element.namespace,
            namespace,
        ));
        return None;
    }
    let mut operation = None;
    for Attribute {
        namespace,
        name: attribute,
        value,
    } in &element.attributes
    {
        if namespace != NETCONF || attribute != "operation" {
            let what = "an attribute that is not known";
            errors.push(EditError::new(
                ErrorTag::UnknownAttribute,
                attribute,
                at,
                what,
                attribute,
                "operation of NETCONF",
            ));
            return None;
        }
        operation = Operation::from_attribute(value);
        if operation.is_none() {
            let names: Vec<_> = OPERATIONS[..5].iter().map(|(name, _)| *name).collect();
            errors.push(EditError::new(
                ErrorTag::BadAttribute,
                "operation",
                at,
                "no such operation",
                value,
                names.join(", "),
            ));
            return None;
        }
    }
    let leaf = |name: &str| {
        element
            .child(name)
            .map(|child| child.text.trim().to_owned())
    };
    let step = read_step(schema, node, at, leaf, errors)?;
    let path = at.child(step.clone());
    match &schema.node_of(node).kind {
        NodeKind::Leaf { .. } | NodeKind::LeafList { .. } => {
            if !element.children.is_empty() {
                let child = &element.children[0].name;
                errors.push(EditError::new(
                    ErrorTag::UnknownElement,
                    child,
                    &path,
                    "is a leaf",
                    child,
                    "a value",
                ));
                return None;
            }
            let is_removal = matches!(operation, Some(Operation::Delete | Operation::Remove))
                && element.text.trim().is_empty();
            // A text's own spaces count; those round a number or a name do not.
            let text = if element.text.trim().is_empty() {
                ""
            } else {
                element.text.trim()
            };
            let value = if is_removal {
                None
            } else {
                Some(canonical_value(schema, node, &path, text, errors)?)
            };
            Some(Edit {
                node,
                operation,
                value,
                step,
                children: vec![],
            })
        }
        _ => {
            if !element.text.trim().is_empty() {
                errors.push(EditError::new(
                    ErrorTag::InvalidValue,
                    name,
                    &path,
                    "has text, and takes nodes",
                    element.text.trim(),
                    "nodes",
                ));
            }
            let children = edits_from_xml(schema, Some(node), &path, &element.children, errors);
            Some(Edit {
                node,
                operation,
                value: None,
                step,
                children,
            })
        }
    }
}

/// The step to a node; an entry of a list needs all its keys.
fn read_step(
    schema: &Schema,
    node: NodeId,
    at: &InstancePath,
    value: impl Fn(&str) -> Option<String>,
    errors: &mut Vec<EditError>,
) -> Option<Step> {
    let name = schema.node_of(node).name.clone();
    let mut keys = Vec::new();
    for key in schema.keys(node) {
        let path = at.child(Step {
            name: name.clone(),
            keys: vec![],
        });
        let Some(text) = value(key) else {
            errors.push(EditError::new(
                ErrorTag::MissingElement,
                key,
                &path,
                "an entry has no key",
                "nothing",
                key,
            ));
            return None;
        };
        let leaf = schema.child_named(node, key)?;
        keys.push((
            key.clone(),
            canonical_value(schema, leaf, &path, &text, errors)?,
        ));
    }
    Some(Step { name, keys })
}

fn canonical_value(
    schema: &Schema,
    node: NodeId,
    at: &InstancePath,
    text: &str,
    errors: &mut Vec<EditError>,
) -> Option<String> {
    let (NodeKind::Leaf { leaf_type, .. } | NodeKind::LeafList { leaf_type }) =
        &schema.node_of(node).kind
    else {
        return None;
    };
    match leaf_type.canonical(text) {
        Ok(value) => Some(value),
        Err(why) => {
            let given = kestreltide_datastore::tree_builder::printable(text);
            errors.push(EditError::new(
                ErrorTag::InvalidValue,
                &schema.node_of(node).name,
                at,
                why.to_string(),
                given,
                leaf_type.expected(),
            ));
            None
        }
    }
}

/// Reads an object of RFC 7951 below a node.
pub fn edits_from_json(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &InstancePath,
    object: &Json,
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    let Json::Object(members) = object else {
        errors.push(EditError::new(
            ErrorTag::InvalidValue,
            "",
            at,
            "is no object",
            shortened(object),
            "an object",
        ));
        return vec![];
    };
    let mut edits = Vec::new();
    for (member, value) in members {
        let (module, name) = member
            .split_once(':')
            .map_or((None, member.as_str()), |(module, name)| {
                (Some(module), name)
            });
        let named = schema
            .children_of(parent)
            .iter()
            .copied()
            .find(|id| schema.node_of(*id).name == name);
        let named =
            named.filter(|id| module.is_none_or(|module| schema.module_of(*id).name == module));
        let Some(node) = named else {
            let known: Vec<_> = schema
                .children_of(parent)
                .iter()
                .map(|id| schema.node_of(*id).name.clone())
                .collect();
            errors.push(EditError::new(
                ErrorTag::UnknownElement,
                member,
                at,
                "has no such node",
                member,
                known.join(", "),
            ));
            continue;
        };
        edits.extend(edits_from_json_value(schema, node, at, value, errors));
    }
    edits
}

/// What a member's value says of a node: a list is one of entries.
pub fn edits_from_json_value(
    schema: &Schema,
    node: NodeId,
    at: &InstancePath,
    value: &Json,
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    let name = &schema.node_of(node).name;
    let kind = &schema.node_of(node).kind;
    match (kind, value) {
        (NodeKind::List { .. } | NodeKind::LeafList { .. }, Json::Array(items)) => items
            .iter()
            .filter_map(|item| edit_from_json(schema, node, at, item, errors))
            .collect(),
        (NodeKind::List { .. } | NodeKind::LeafList { .. }, other) => {
            errors.push(EditError::new(
                ErrorTag::InvalidValue,
                name,
                at,
                format!("{name} is no array"),
                shortened(other),
                "an array",
            ));
            vec![]
        }
        (_, value) => edit_from_json(schema, node, at, value, errors)
            .into_iter()
            .collect(),
    }
}

/// One container, entry of a list, leaf or value of a leaf-list.
pub fn edit_from_json(
    schema: &Schema,
    node: NodeId,
    at: &InstancePath,
    value: &Json,
    errors: &mut Vec<EditError>,
) -> Option<Edit> {
    let name = schema.node_of(node).name.clone();
    if let NodeKind::Leaf { leaf_type, .. } | NodeKind::LeafList { leaf_type } =
        &schema.node_of(node).kind
    {
        let path = at.child(Step {
            name: name.clone(),
            keys: vec![],
        });
        // Which form it has is part of the type (RFC 7951, section 6): a number of 64 bits as a number would lose
        // digits on its way.
        let text = match value {
            Json::String(text) if leaf_type.is_json_string() => Some(text.clone()),
            Json::Number(number) if !leaf_type.is_json_string() => Some(number.to_string()),
            Json::Bool(flag) if !leaf_type.is_json_string() => Some(flag.to_string()),
            Json::Array(items) if leaf_type.name() == "empty" && *items == [Json::Null] => {
                Some(String::new())
            }
            _ => None,
        };
        let Some(text) = text else {
            let form = if leaf_type.is_json_string() {
                "as a JSON string"
            } else {
                "as JSON's own"
            };
            let taken = format!("{}, {form}", leaf_type.expected());
            errors.push(EditError::new(
                ErrorTag::InvalidValue,
                &name,
                &path,
                "is of another form",
                shortened(value),
                taken,
            ));
            return None;
        };
        let value = canonical_value(schema, node, &path, &text, errors)?;
        return Some(Edit {
            node,
            operation: None,
            value: Some(value),
            step: Step { name, keys: vec![] },
            children: vec![],
        });
    }
    let Json::Object(members) = value else {
        errors.push(EditError::new(
            ErrorTag::InvalidValue,
            &name,
            at,
            format!("{name} is no object"),
            shortened(value),
            "an object",
        ));
        return None;
    };
    let leaf = |key: &str| {
        let found = members
            .iter()
            .find(|(member, _)| member.rsplit(':').next() == Some(key));
        found.and_then(|(_, value)| match value {
            Json::String(text) => Some(text.clone()),
            Json::Number(number) => Some(number.to_string()),
            _ => None,
        })
    };
    let step = read_step(schema, node, at, leaf, errors)?;
    let path = at.child(step.clone());
    let children = edits_from_json(schema, Some(node), &path, value, errors);
    Some(Edit {
        node,
        operation: None,
        value: None,
        step,
        children,
    })
}

fn shortened(value: &Json) -> String {
    kestreltide_datastore::tree_builder::printable(&value.to_string())
}

/// An edit of the instance at a path, with ways to it: what it takes is the last node's.
pub fn edit_at_path(schema: &Schema, at: &InstancePath, mut last: Edit) -> Option<Edit> {
    let mut nodes = Vec::new();
    let mut node = None;
    for step in &at.0 {
        let below = schema
            .children_of(node)
            .iter()
            .copied()
            .find(|id| schema.node_of(*id).name == step.name)?;
        nodes.push((below, step.clone()));
        node = Some(below);
    }
    for (node, step) in nodes.into_iter().rev() {
        last = Edit {
            node,
            operation: Some(Operation::Merge),
            value: None,
            step,
            children: vec![last],
        };
    }
    Some(last)
}

/// Carries edits out on a tree. Where anything is wrong the tree is as it was, and all faults are told.
pub fn apply(
    schema: &Schema,
    binding: &Binding,
    tree: &mut Tree,
    edits: &[Edit],
    default: Operation,
) -> Result<(), Vec<EditError>> {
    let (mut edited, mut errors) = (tree.clone(), vec![]);
    let mut editor = TreeEditor {
        schema,
        binding,
        tree: &mut edited,
        errors: &mut errors,
    };
    edits
        .iter()
        .for_each(|edit| editor.edit(edit, default, &InstancePath::default(), &ConfigNode::Root));
    if errors.is_empty() {
        *tree = edited;
        Ok(())
    } else {
        Err(errors)
    }
}

struct TreeEditor<'a> {
    schema: &'a Schema,
    binding: &'a Binding,
    tree: &'a mut Tree,
    errors: &'a mut Vec<EditError>,
}

impl TreeEditor<'_> {
    fn edit(&mut self, edit: &Edit, above: Operation, at: &InstancePath, parent: &ConfigNode) {
        let (operation, path) = (edit.operation.unwrap_or(above), at.child(edit.step.clone()));
        let node = self.schema.node_of(edit.node);
        let keys = node
            .parent
            .map_or(&[][..], |parent| self.schema.keys(parent));
        if keys.contains(&node.name) {
            if matches!(edit.operation, Some(Operation::Delete | Operation::Remove)) {
                let what = "is a key, and goes only with its entry";
                self.error(
                    ErrorTag::OperationNotSupported,
                    &node.name,
                    &path,
                    what,
                    "delete",
                    "the entry deleted",
                );
            }
            return;
        }
        let target = match self.binding.resolve(parent, edit.node, &edit.step) {
            Ok(Some(target)) => target,
            Ok(None) => {
                return self.error(
                    ErrorTag::InvalidValue,
                    &node.name,
                    &path,
                    "is the router's own",
                    "an edit",
                    "only reading",
                );
            }
            Err(why) => {
                return self.error(
                    ErrorTag::InvalidValue,
                    &node.name,
                    &path,
                    &why.to_string(),
                    "this name",
                    "a name",
                );
            }
        };
        // A value of a leaf-list exists by itself.
        let exists = match (&target, &edit.value) {
            (ConfigNode::Values(path), Some(value)) => {
                self.binding.contains_value(self.tree, path, value)
            }
            (at, _) => at.is_set(self.tree),
        };
        match operation {
            Operation::Create if exists => {
                return self.error(
                    ErrorTag::DataExists,
                    &node.name,
                    &path,
                    "is there already",
                    "create",
                    "merge or replace",
                );
            }
            Operation::Delete | Operation::None
                if !exists
                    && (operation == Operation::Delete
                        || !edit.children.is_empty()
                        || edit.value.is_some()) =>
            {
                if operation == Operation::None
                    && matches!(
                        target,
                        ConfigNode::Router
                            | ConfigNode::Hosts
                            | ConfigNode::Routes
                            | ConfigNode::Guards
                            | ConfigNode::Rollout
                    )
                {
                    // Containers are always there.
                } else {
                    return self.error(
                        ErrorTag::DataMissing,
                        &node.name,
                        &path,
                        "is not there",
                        "nothing",
                        "what is there",
                    );
                }
            }
            _ => {}
        }
        match (&target, operation) {
            (ConfigNode::Values(path), Operation::Delete | Operation::Remove) => {
                match &edit.value {
                    Some(value) => self.binding.remove_value(self.tree, path, value),
                    None => target.clear(self.tree),
                }
            }
            (_, Operation::Delete | Operation::Remove) => target.clear(self.tree),
            (ConfigNode::Leaf(_) | ConfigNode::Values(_), Operation::None) => {}
            (ConfigNode::Leaf(leaf_path), _) => {
                let text = edit.value.as_deref().unwrap_or_default();
                if let Err(error) = self.binding.set_leaf(self.tree, leaf_path, text) {
                    self.errors.push(EditError {
                        tag: ErrorTag::InvalidValue,
                        subject: node.name.clone(),
                        at: path,
                        validation: error,
                    });
                }
            }
            (ConfigNode::Values(path), _) => {
                if let Some(value) = &edit.value {
                    self.binding.add_value(self.tree, path, value);
                }
            }
            _ => {
                if operation == Operation::Replace {
                    target.clear(self.tree);
                }
                let below = if operation == Operation::Replace {
                    Operation::Merge
                } else {
                    operation
                };
                let below = if below == Operation::Create {
                    Operation::Merge
                } else {
                    below
                };
                edit.children
                    .iter()
                    .for_each(|child| self.edit(child, below, &path, &target));
                let entry = matches!(target, ConfigNode::Host(_) | ConfigNode::Route(_));
                if entry
                    && below == Operation::Merge
                    && self.errors.is_empty()
                    && !target.is_set(self.tree)
                {
                    let keys = self.schema.keys(edit.node);
                    let only_key = edit
                        .children
                        .iter()
                        .all(|child| keys.contains(&child.step.name));
                    if only_key {
                        self.error(
                            ErrorTag::MissingElement,
                            &node.name,
                            &path,
                            "an entry says nothing",
                            "only its key",
                            "a leaf",
                        );
                    }
                }
            }
        }
    }

    fn error(
        &mut self,
        tag: ErrorTag,
        subject: &str,
        at: &InstancePath,
        what: &str,
        given: &str,
        taken: &str,
    ) {
        self.errors
            .push(EditError::new(tag, subject, at, what, given, taken));
    }
}
