//! Data that follows the schema, and paths of instances in it.

use std::fmt;

use crate::schema::{NodeId, NodeKind, Schema};

/// A data node: a container, an entry of a list, a leaf, or one value of a leaf-list.
#[derive(Clone, Debug, PartialEq)]
pub struct DataNode {
    /// Its schema node.
    pub node: NodeId,
    /// What it holds.
    pub content: Content,
}

/// What a data node holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The value of a leaf in its canonical form.
    Leaf(String),
    /// The children of a container or an entry of a list.
    Inner(Vec<DataNode>),
}

impl DataNode {
    /// A leaf or a value of a leaf-list; the value is in its canonical form.
    pub fn leaf(node: NodeId, value: impl Into<String>) -> Self {
        DataNode {
            node,
            content: Content::Leaf(value.into()),
        }
    }

    /// A container or an entry of a list.
    pub fn inner(node: NodeId, children: Vec<DataNode>) -> Self {
        DataNode {
            node,
            content: Content::Inner(children),
        }
    }

    /// Its children; none for a leaf.
    pub fn children(&self) -> &[DataNode] {
        match &self.content {
            Content::Inner(children) => children,
            Content::Leaf(_) => &[],
        }
    }

    /// The value of a leaf.
    pub fn text(&self) -> Option<&str> {
        match &self.content {
            Content::Leaf(text) => Some(text),
            Content::Inner(_) => None,
        }
    }

    /// The first child with a name.
    pub fn child(&self, schema: &Schema, name: &str) -> Option<&DataNode> {
        self.children()
            .iter()
            .find(|child| schema.node_of(child.node).name == name)
    }

    /// The step from its parent to it.
    pub fn step(&self, schema: &Schema) -> Step {
        let value = |key: &String| Some((key.clone(), self.child(schema, key)?.text()?.to_owned()));
        let keys = schema.keys(self.node).iter().filter_map(value).collect();
        Step {
            name: schema.node_of(self.node).name.clone(),
            keys,
        }
    }
}

/// Builds the children of one schema node by their names. Names that the schema does not have are left out and noted.
pub struct DataBuilder<'a> {
    schema: &'a Schema,
    node: NodeId,
    /// The children so far.
    pub children: Vec<DataNode>,
    /// Names that the schema does not have.
    pub unknown_names: Vec<String>,
}

impl<'a> DataBuilder<'a> {
    /// A builder of the children of a schema node.
    pub fn new(schema: &'a Schema, node: NodeId) -> Self {
        DataBuilder {
            schema,
            node,
            children: vec![],
            unknown_names: vec![],
        }
    }

    fn find_child(&mut self, name: &str) -> Option<NodeId> {
        let found = self.schema.child_named(self.node, name);
        if found.is_none() {
            self.unknown_names.push(name.into());
        }
        found
    }

    /// Adds a leaf or one value of a leaf-list, in the canonical form of its type.
    pub fn put(&mut self, name: &str, value: impl fmt::Display) -> &mut Self {
        let text = value.to_string();
        if let Some(node) = self.find_child(name) {
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

    /// Adds a leaf if there is a value.
    pub fn put_optional(&mut self, name: &str, value: Option<impl fmt::Display>) -> &mut Self {
        if let Some(value) = value {
            self.put(name, value);
        }
        self
    }

    /// Adds a container or an entry of a list.
    pub fn put_inner(&mut self, name: &str, fill: impl FnOnce(&mut DataBuilder)) -> &mut Self {
        if let Some(node) = self.find_child(name) {
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

    /// The data node with its children.
    pub fn build(self) -> DataNode {
        DataNode::inner(self.node, self.children)
    }
}

/// One step of the path of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    /// The name of the node.
    pub name: String,
    /// Names and values of the keys of an entry, in the order of the schema.
    pub keys: Vec<(String, String)>,
}

/// The path of an instance from the top of the data.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstancePath(pub Vec<Step>);

impl InstancePath {
    /// The path one step further.
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
