//! Data by the schema, and where in it something stands.

use std::fmt;

use crate::schema::{NodeId, NodeKind, Schema};

/// A node with what it holds: an entry of a list and a value of a leaf-list are nodes of their own.
#[derive(Clone, Debug, PartialEq)]
pub struct Data {
    pub node: NodeId,
    pub content: Content,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// In its canonical form.
    Leaf(String),
    Inner(Vec<Data>),
}

impl Data {
    pub fn leaf(node: NodeId, value: impl Into<String>) -> Self {
        Data {
            node,
            content: Content::Leaf(value.into()),
        }
    }

    pub fn inner(node: NodeId, children: Vec<Data>) -> Self {
        Data {
            node,
            content: Content::Inner(children),
        }
    }

    pub fn children(&self) -> &[Data] {
        match &self.content {
            Content::Inner(children) => children,
            Content::Leaf(_) => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match &self.content {
            Content::Leaf(text) => Some(text),
            Content::Inner(_) => None,
        }
    }

    pub fn child(&self, schema: &Schema, name: &str) -> Option<&Data> {
        self.children()
            .iter()
            .find(|child| schema.node_of(child.node).name == name)
    }

    /// Where it stands under its parent.
    pub fn step(&self, schema: &Schema) -> Step {
        let value = |key: &String| Some((key.clone(), self.child(schema, key)?.text()?.to_owned()));
        let keys = schema.keys(self.node).iter().filter_map(value).collect();
        Step {
            name: schema.node_of(self.node).name.clone(),
            keys,
        }
    }
}

/// Collects data by names under one node of the schema. Names that the schema does not have are left out: a story
/// shows that none is.
pub struct Under<'a> {
    schema: &'a Schema,
    node: NodeId,
    pub children: Vec<Data>,
    /// Names that were not found.
    pub missing: Vec<String>,
}

impl<'a> Under<'a> {
    pub fn new(schema: &'a Schema, node: NodeId) -> Self {
        Under {
            schema,
            node,
            children: vec![],
            missing: vec![],
        }
    }

    fn find(&mut self, name: &str) -> Option<NodeId> {
        let found = self.schema.child_named(self.node, name);
        if found.is_none() {
            self.missing.push(name.into());
        }
        found
    }

    /// A leaf or one value of a leaf-list, in the canonical form of its type.
    pub fn put(&mut self, name: &str, value: impl fmt::Display) -> &mut Self {
        let text = value.to_string();
        if let Some(node) = self.find(name) {
            let canonical = match &self.schema.node_of(node).kind {
                NodeKind::Leaf { of, .. } | NodeKind::LeafList { of } => {
                    of.canonical(&text).unwrap_or(text)
                }
                _ => text,
            };
            self.children.push(Data::leaf(node, canonical));
        }
        self
    }

    /// The same, where there is one.
    pub fn maybe(&mut self, name: &str, value: Option<impl fmt::Display>) -> &mut Self {
        if let Some(value) = value {
            self.put(name, value);
        }
        self
    }

    /// A container or an entry of a list.
    pub fn with(&mut self, name: &str, fill: impl FnOnce(&mut Under)) -> &mut Self {
        if let Some(node) = self.find(name) {
            let mut under = Under::new(self.schema, node);
            fill(&mut under);
            self.missing.extend(
                under
                    .missing
                    .iter()
                    .map(|missing| format!("{name}/{missing}")),
            );
            self.children.push(Data::inner(node, under.children));
        }
        self
    }

    pub fn data(self) -> Data {
        Data::inner(self.node, self.children)
    }
}

/// One step on the way to an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    pub name: String,
    /// In the order of the list's keys.
    pub keys: Vec<(String, String)>,
}

/// Where an instance stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance(pub Vec<Step>);

impl Instance {
    pub fn below(&self, step: Step) -> Instance {
        Instance(self.0.iter().cloned().chain([step]).collect())
    }
}

impl fmt::Display for Instance {
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
