//! Edits of the operators' tree, as NETCONF's edit-config (RFC 6241, section 7.2) and gNMI's Set have them: nodes of
//! the schema with operations, carried out on the datastore's typed tree, all of them or none.

use std::fmt;

use kestreltide_datastore::{Tree, ValidationError};
use serde_json::Value as Json;

use crate::bind::{At, Bind};
use crate::data::{Instance, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::xml::Element;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Merge,
    Replace,
    Create,
    Delete,
    Remove,
    /// Only a way to what stands below.
    Nothing,
}

const OPS: [(&str, Op); 6] = [
    ("merge", Op::Merge),
    ("replace", Op::Replace),
    ("create", Op::Create),
    ("delete", Op::Delete),
    ("remove", Op::Remove),
    ("none", Op::Nothing),
];

impl Op {
    /// An operation by its name on the wire, of those that stand at an element.
    pub fn of_element(name: &str) -> Option<Op> {
        OPS[..5]
            .iter()
            .find(|(is, _)| *is == name)
            .map(|(_, op)| *op)
    }

    /// One that counts where nothing else is said.
    pub fn by_default(name: &str) -> Option<Op> {
        let known = ["merge", "replace", "none"].contains(&name);
        OPS.iter()
            .find(|(is, _)| *is == name && known)
            .map(|(_, op)| *op)
    }
}

/// What kind of fault it is (RFC 6241, appendix A).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag {
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

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Tag::UnknownElement => "unknown-element",
            Tag::UnknownNamespace => "unknown-namespace",
            Tag::UnknownAttribute => "unknown-attribute",
            Tag::BadAttribute => "bad-attribute",
            Tag::MissingElement => "missing-element",
            Tag::InvalidValue => "invalid-value",
            Tag::DataExists => "data-exists",
            Tag::DataMissing => "data-missing",
            Tag::OperationNotSupported => "operation-not-supported",
        })
    }
}

/// Why an edit cannot be carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct EditError {
    pub tag: Tag,
    /// What the fault is about, where the tag needs it: an element's or attribute's name.
    pub about: String,
    pub at: Instance,
    pub error: ValidationError,
}

impl EditError {
    fn new(
        tag: Tag,
        about: &str,
        at: &Instance,
        what: impl Into<String>,
        given: impl fmt::Display,
        taken: impl fmt::Display,
    ) -> Self {
        EditError {
            tag,
            about: about.into(),
            at: at.clone(),
            error: ValidationError::new(at, what, given, taken),
        }
    }
}

/// A node to be edited.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    pub node: NodeId,
    /// As above it where none is said.
    pub op: Option<Op>,
    /// Of a leaf or one value of a leaf-list, canonical; none where it is only taken away.
    pub value: Option<String>,
    pub step: Step,
    pub children: Vec<Edit>,
}

const NETCONF: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

/// Reads the elements of a configuration; every fault of them is told.
pub fn of_xml(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &Instance,
    elements: &[Element],
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    elements
        .iter()
        .filter_map(|element| one_of_xml(schema, parent, at, element, errors))
        .collect()
}

fn one_of_xml(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &Instance,
    element: &Element,
    errors: &mut Vec<EditError>,
) -> Option<Edit> {
    let name = element.name.as_str();
    let named = schema
        .below(parent)
        .iter()
        .copied()
        .find(|id| schema.node_of(*id).name == name);
    let Some(node) = named else {
        let known: Vec<_> = schema
            .below(parent)
            .iter()
            .map(|id| schema.node_of(*id).name.clone())
            .collect();
        errors.push(EditError::new(
            Tag::UnknownElement,
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
            Tag::UnknownNamespace,
            name,
            at,
            what,
            &element.namespace,
            namespace,
        ));
        return None;
    }
    let mut op = None;
    for (of, attribute, value) in &element.attributes {
        if of != NETCONF || attribute != "operation" {
            let what = "an attribute that is not known";
            errors.push(EditError::new(
                Tag::UnknownAttribute,
                attribute,
                at,
                what,
                attribute,
                "operation of NETCONF",
            ));
            return None;
        }
        op = Op::of_element(value);
        if op.is_none() {
            let names: Vec<_> = OPS[..5].iter().map(|(name, _)| *name).collect();
            errors.push(EditError::new(
                Tag::BadAttribute,
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
    let step = step_of(schema, node, at, leaf, errors)?;
    let here = at.below(step.clone());
    match &schema.node_of(node).kind {
        NodeKind::Leaf { .. } | NodeKind::LeafList { .. } => {
            if !element.children.is_empty() {
                let child = &element.children[0].name;
                errors.push(EditError::new(
                    Tag::UnknownElement,
                    child,
                    &here,
                    "is a leaf",
                    child,
                    "a value",
                ));
                return None;
            }
            let goes =
                matches!(op, Some(Op::Delete | Op::Remove)) && element.text.trim().is_empty();
            // A text's own spaces count; those round a number or a name do not.
            let text = if element.text.trim().is_empty() {
                ""
            } else {
                element.text.trim()
            };
            let value = if goes {
                None
            } else {
                Some(canonical(schema, node, &here, text, errors)?)
            };
            Some(Edit {
                node,
                op,
                value,
                step,
                children: vec![],
            })
        }
        _ => {
            if !element.text.trim().is_empty() {
                errors.push(EditError::new(
                    Tag::InvalidValue,
                    name,
                    &here,
                    "has text, and takes nodes",
                    element.text.trim(),
                    "nodes",
                ));
            }
            let children = of_xml(schema, Some(node), &here, &element.children, errors);
            Some(Edit {
                node,
                op,
                value: None,
                step,
                children,
            })
        }
    }
}

/// The step to a node; an entry of a list needs all its keys.
fn step_of(
    schema: &Schema,
    node: NodeId,
    at: &Instance,
    value: impl Fn(&str) -> Option<String>,
    errors: &mut Vec<EditError>,
) -> Option<Step> {
    let name = schema.node_of(node).name.clone();
    let mut keys = Vec::new();
    for key in schema.keys(node) {
        let here = at.below(Step {
            name: name.clone(),
            keys: vec![],
        });
        let Some(text) = value(key) else {
            errors.push(EditError::new(
                Tag::MissingElement,
                key,
                &here,
                "an entry has no key",
                "nothing",
                key,
            ));
            return None;
        };
        let leaf = schema.child_named(node, key)?;
        keys.push((key.clone(), canonical(schema, leaf, &here, &text, errors)?));
    }
    Some(Step { name, keys })
}

fn canonical(
    schema: &Schema,
    node: NodeId,
    at: &Instance,
    text: &str,
    errors: &mut Vec<EditError>,
) -> Option<String> {
    let (NodeKind::Leaf { of, .. } | NodeKind::LeafList { of }) = &schema.node_of(node).kind else {
        return None;
    };
    match of.canonical(text) {
        Ok(value) => Some(value),
        Err(why) => {
            let given = kestreltide_datastore::tree_builder::printable(text);
            errors.push(EditError::new(
                Tag::InvalidValue,
                &schema.node_of(node).name,
                at,
                why,
                given,
                of.takes(),
            ));
            None
        }
    }
}

/// Reads an object of RFC 7951 below a node.
pub fn of_json(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &Instance,
    object: &Json,
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    let Json::Object(members) = object else {
        errors.push(EditError::new(
            Tag::InvalidValue,
            "",
            at,
            "is no object",
            short(object),
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
            .below(parent)
            .iter()
            .copied()
            .find(|id| schema.node_of(*id).name == name);
        let named =
            named.filter(|id| module.is_none_or(|module| schema.module_of(*id).name == module));
        let Some(node) = named else {
            let known: Vec<_> = schema
                .below(parent)
                .iter()
                .map(|id| schema.node_of(*id).name.clone())
                .collect();
            errors.push(EditError::new(
                Tag::UnknownElement,
                member,
                at,
                "has no such node",
                member,
                known.join(", "),
            ));
            continue;
        };
        edits.extend(values_of_json(schema, node, at, value, errors));
    }
    edits
}

/// What a member's value says of a node: a list is one of entries.
pub fn values_of_json(
    schema: &Schema,
    node: NodeId,
    at: &Instance,
    value: &Json,
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    let name = &schema.node_of(node).name;
    let kind = &schema.node_of(node).kind;
    match (kind, value) {
        (NodeKind::List { .. } | NodeKind::LeafList { .. }, Json::Array(items)) => items
            .iter()
            .filter_map(|item| one_of_json(schema, node, at, item, errors))
            .collect(),
        (NodeKind::List { .. } | NodeKind::LeafList { .. }, other) => {
            errors.push(EditError::new(
                Tag::InvalidValue,
                name,
                at,
                format!("{name} is no array"),
                short(other),
                "an array",
            ));
            vec![]
        }
        (_, value) => one_of_json(schema, node, at, value, errors)
            .into_iter()
            .collect(),
    }
}

/// One container, entry of a list, leaf or value of a leaf-list.
pub fn one_of_json(
    schema: &Schema,
    node: NodeId,
    at: &Instance,
    value: &Json,
    errors: &mut Vec<EditError>,
) -> Option<Edit> {
    let name = schema.node_of(node).name.clone();
    if let NodeKind::Leaf { of, .. } | NodeKind::LeafList { of } = &schema.node_of(node).kind {
        let here = at.below(Step {
            name: name.clone(),
            keys: vec![],
        });
        // Which form it has is part of the type (RFC 7951, section 6): a number of 64 bits as a number would lose
        // digits on its way.
        let text = match value {
            Json::String(text) if of.json_text() => Some(text.clone()),
            Json::Number(number) if !of.json_text() => Some(number.to_string()),
            Json::Bool(flag) if !of.json_text() => Some(flag.to_string()),
            Json::Array(items) if of.name() == "empty" && *items == [Json::Null] => {
                Some(String::new())
            }
            _ => None,
        };
        let Some(text) = text else {
            let form = if of.json_text() {
                "as a JSON string"
            } else {
                "as JSON's own"
            };
            let taken = format!("{}, {form}", of.takes());
            errors.push(EditError::new(
                Tag::InvalidValue,
                &name,
                &here,
                "is of another form",
                short(value),
                taken,
            ));
            return None;
        };
        let value = canonical(schema, node, &here, &text, errors)?;
        return Some(Edit {
            node,
            op: None,
            value: Some(value),
            step: Step { name, keys: vec![] },
            children: vec![],
        });
    }
    let Json::Object(members) = value else {
        errors.push(EditError::new(
            Tag::InvalidValue,
            &name,
            at,
            format!("{name} is no object"),
            short(value),
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
    let step = step_of(schema, node, at, leaf, errors)?;
    let here = at.below(step.clone());
    let children = of_json(schema, Some(node), &here, value, errors);
    Some(Edit {
        node,
        op: None,
        value: None,
        step,
        children,
    })
}

fn short(value: &Json) -> String {
    kestreltide_datastore::tree_builder::printable(&value.to_string())
}

/// An edit of the instance at a path, with ways to it: what it takes is the last node's.
pub fn at_path(schema: &Schema, at: &Instance, mut last: Edit) -> Option<Edit> {
    let mut nodes = Vec::new();
    let mut node = None;
    for step in &at.0 {
        let below = schema
            .below(node)
            .iter()
            .copied()
            .find(|id| schema.node_of(*id).name == step.name)?;
        nodes.push((below, step.clone()));
        node = Some(below);
    }
    for (node, step) in nodes.into_iter().rev() {
        last = Edit {
            node,
            op: Some(Op::Merge),
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
    bind: &Bind,
    tree: &mut Tree,
    edits: &[Edit],
    default: Op,
) -> Result<(), Vec<EditError>> {
    let (mut edited, mut errors) = (tree.clone(), vec![]);
    let mut work = Work {
        schema,
        bind,
        tree: &mut edited,
        errors: &mut errors,
    };
    edits
        .iter()
        .for_each(|edit| work.edit(edit, default, &Instance::default(), &At::Nothing));
    if errors.is_empty() {
        *tree = edited;
        Ok(())
    } else {
        Err(errors)
    }
}

struct Work<'a> {
    schema: &'a Schema,
    bind: &'a Bind,
    tree: &'a mut Tree,
    errors: &'a mut Vec<EditError>,
}

impl Work<'_> {
    fn edit(&mut self, edit: &Edit, above: Op, at: &Instance, parent: &At) {
        let (op, here) = (edit.op.unwrap_or(above), at.below(edit.step.clone()));
        let node = self.schema.node_of(edit.node);
        let keys = node
            .parent
            .map_or(&[][..], |parent| self.schema.keys(parent));
        if keys.contains(&node.name) {
            if matches!(edit.op, Some(Op::Delete | Op::Remove)) {
                let what = "is a key, and goes only with its entry";
                self.error(
                    Tag::OperationNotSupported,
                    &node.name,
                    &here,
                    what,
                    "delete",
                    "the entry deleted",
                );
            }
            return;
        }
        let bound = match self.bind.at(parent, edit.node, &edit.step) {
            Ok(Some(bound)) => bound,
            Ok(None) => {
                return self.error(
                    Tag::InvalidValue,
                    &node.name,
                    &here,
                    "is the router's own",
                    "an edit",
                    "only reading",
                );
            }
            Err(why) => {
                return self.error(
                    Tag::InvalidValue,
                    &node.name,
                    &here,
                    &why,
                    "this name",
                    "a name",
                );
            }
        };
        // A value of a leaf-list exists by itself.
        let there = match (&bound, &edit.value) {
            (At::Values(path), Some(value)) => self.bind.holds(self.tree, path, value),
            (at, _) => at.exists(self.tree),
        };
        match op {
            Op::Create if there => {
                return self.error(
                    Tag::DataExists,
                    &node.name,
                    &here,
                    "is there already",
                    "create",
                    "merge or replace",
                );
            }
            Op::Delete | Op::Nothing
                if !there
                    && (op == Op::Delete || !edit.children.is_empty() || edit.value.is_some()) =>
            {
                if op == Op::Nothing
                    && matches!(
                        bound,
                        At::Router | At::Hosts | At::Routes | At::Guards | At::Ring
                    )
                {
                    // Containers are always there.
                } else {
                    return self.error(
                        Tag::DataMissing,
                        &node.name,
                        &here,
                        "is not there",
                        "nothing",
                        "what is there",
                    );
                }
            }
            _ => {}
        }
        match (&bound, op) {
            (At::Values(path), Op::Delete | Op::Remove) => match &edit.value {
                Some(value) => self.bind.take(self.tree, path, value),
                None => bound.clear(self.tree),
            },
            (_, Op::Delete | Op::Remove) => bound.clear(self.tree),
            (At::Leaf(_) | At::Values(_), Op::Nothing) => {}
            (At::Leaf(path), _) => {
                let text = edit.value.as_deref().unwrap_or_default();
                if let Err(error) = self.bind.set(self.tree, path, text) {
                    self.errors.push(EditError {
                        tag: Tag::InvalidValue,
                        about: node.name.clone(),
                        at: here,
                        error,
                    });
                }
            }
            (At::Values(path), _) => {
                if let Some(value) = &edit.value {
                    self.bind.add(self.tree, path, value);
                }
            }
            _ => {
                if op == Op::Replace {
                    bound.clear(self.tree);
                }
                let below = if op == Op::Replace { Op::Merge } else { op };
                let below = if below == Op::Create {
                    Op::Merge
                } else {
                    below
                };
                edit.children
                    .iter()
                    .for_each(|child| self.edit(child, below, &here, &bound));
                let entry = matches!(bound, At::Host(_) | At::Route(_));
                if entry && below == Op::Merge && self.errors.is_empty() && !bound.exists(self.tree)
                {
                    let keys = self.schema.keys(edit.node);
                    let only_key = edit
                        .children
                        .iter()
                        .all(|child| keys.contains(&child.step.name));
                    if only_key {
                        self.error(
                            Tag::MissingElement,
                            &node.name,
                            &here,
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
        tag: Tag,
        about: &str,
        at: &Instance,
        what: &str,
        given: &str,
        taken: &str,
    ) {
        self.errors
            .push(EditError::new(tag, about, at, what, given, taken));
    }
}
