//! Data nodes of the schema, and paths of instances in the data.

use std::fmt;

use crate::schema::{NodeId, NodeKind, Schema};

/// A data node: a container, a list entry, a leaf, or one value of a leaf-list.
#[derive(Clone, Debug, PartialEq)]
pub struct DataNode {
    /// The schema node.
    pub node: NodeId,
    /// The value or the children.
    pub content: Content,
}

/// The content of a data node.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The value of a leaf, or one value of a leaf-list, in its canonical form.
    Leaf(String),
    /// The children of a container or list entry.
    Inner(Vec<DataNode>),
}

impl DataNode {
    /// Creates a leaf or one value of a leaf-list; the value has to be in its canonical form.
    pub fn leaf(node: NodeId, value: impl Into<String>) -> Self {
        DataNode {
            node,
            content: Content::Leaf(value.into()),
        }
    }

    /// Creates a container or list entry.
    pub fn inner(node: NodeId, children: Vec<DataNode>) -> Self {
        DataNode {
            node,
            content: Content::Inner(children),
        }
    }

    /// Returns the children; empty for a leaf.
    pub fn children(&self) -> &[DataNode] {
        match &self.content {
            Content::Inner(children) => children,
            Content::Leaf(_) => &[],
        }
    }

    /// Returns the value of a leaf; `None` for any other node.
    pub fn text(&self) -> Option<&str> {
        match &self.content {
            Content::Leaf(text) => Some(text),
            Content::Inner(_) => None,
        }
    }

    /// Returns the first child with a name.
    pub fn child(&self, schema: &Schema, name: &str) -> Option<&DataNode> {
        self.children()
            .iter()
            .find(|child| schema.node_of(child.node).name == name)
    }

    /// Returns the path step from the parent to this node.
    pub fn step(&self, schema: &Schema) -> Step {
        let key_with_value =
            |key: &String| Some((key.clone(), self.child(schema, key)?.text()?.to_owned()));
        let keys = schema
            .key_names(self.node)
            .iter()
            .filter_map(key_with_value)
            .collect();
        Step {
            name: schema.node_of(self.node).name.clone(),
            keys,
        }
    }
}

/// Builds a data node from the names and values of its children. Children whose names are not in the schema are omitted
/// and listed in `unknown_names`.
pub struct DataBuilder<'a> {
    schema: &'a Schema,
    node: NodeId,
    /// The children that have been added.
    pub children: Vec<DataNode>,
    /// Names of omitted children, relative to this node.
    pub unknown_names: Vec<String>,
}

impl<'a> DataBuilder<'a> {
    /// Creates a builder without children for a schema node.
    pub fn new(schema: &'a Schema, node: NodeId) -> Self {
        DataBuilder {
            schema,
            node,
            children: vec![],
            unknown_names: vec![],
        }
    }

    /// Returns the schema node of a child; records the name as unknown if there is none.
    fn find_child_or_record(&mut self, name: &str) -> Option<NodeId> {
        let found = self.schema.child_named(self.node, name);
        if found.is_none() {
            self.unknown_names.push(name.into());
        }
        found
    }

    /// Adds a leaf or one value of a leaf-list, in the canonical form of its type; an invalid value is added unchanged.
    pub fn put(&mut self, name: &str, value: impl fmt::Display) -> &mut Self {
        let text = value.to_string();
        if let Some(node) = self.find_child_or_record(name) {
            let canonical = match &self.schema.node_of(node).kind {
                NodeKind::Leaf { leaf_type, .. } | NodeKind::LeafList { leaf_type } => {
                    leaf_type.canonical(&text).unwrap_or(text)
                }
                _ => text,
            };
            self.children.push(DataNode::leaf(node, canonical));
        }
        self
    }

    /// Adds a leaf if `value` is present.
    pub fn put_optional(&mut self, name: &str, value: Option<impl fmt::Display>) -> &mut Self {
        if let Some(value) = value {
            self.put(name, value);
        }
        self
    }

    /// Adds a container or list entry whose children `fill` adds.
    pub fn put_inner(&mut self, name: &str, fill: impl FnOnce(&mut DataBuilder)) -> &mut Self {
        if let Some(node) = self.find_child_or_record(name) {
            let mut child = DataBuilder::new(self.schema, node);
            fill(&mut child);
            self.unknown_names.extend(
                child
                    .unknown_names
                    .iter()
                    .map(|unknown| format!("{name}/{unknown}")),
            );
            self.children.push(DataNode::inner(node, child.children));
        }
        self
    }

    /// Returns the data node with its children.
    pub fn build(self) -> DataNode {
        DataNode::inner(self.node, self.children)
    }
}

/// One step of an instance path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    /// The name of the node.
    pub name: String,
    /// Names and canonical values of the keys of a list entry, in the order of the schema.
    pub keys: Vec<(String, String)>,
}

/// The path of one instance from the top level of the data.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstancePath(pub Vec<Step>);

impl InstancePath {
    /// Returns this path extended by a step.
    pub fn child(&self, step: Step) -> InstancePath {
        InstancePath(self.0.iter().cloned().chain([step]).collect())
    }
}

impl fmt::Display for InstancePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.0 {
            write!(f, "/{}", step.name)?;
            step.keys
                .iter()
                .try_for_each(|(key, value)| write!(f, "[{key}='{value}']"))?;
        }
        if self.0.is_empty() {
            f.write_str("/")
        } else {
            Ok(())
        }
    }
}
