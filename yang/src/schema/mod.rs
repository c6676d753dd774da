//! The schema tree of the modules. Statements that are not supported are rejected, so that a module never defines more
//! than the router enforces.

mod error;
mod parser;

use std::collections::BTreeMap;

pub use self::error::{SchemaError, StatementProblem};
use crate::types::Type;

/// The index of a node in its schema.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

/// The kind of a schema node.
#[derive(Clone, Debug)]
pub enum NodeKind {
    /// A container; also the input of an RPC and the content of a notification.
    Container,
    /// A list.
    List {
        /// The names of the key leaves, in the order of the `key` statement.
        keys: Vec<String>,
    },
    /// A leaf.
    Leaf {
        /// The type of the value.
        leaf_type: Type,
        /// Whether the leaf has `mandatory true`.
        mandatory: bool,
    },
    /// A leaf-list.
    LeafList {
        /// The type of each value.
        leaf_type: Type,
    },
}

/// A node of the schema.
#[derive(Clone, Debug)]
pub struct Node {
    /// The name of the node, without a prefix.
    pub name: String,
    /// The index of the node's module in [`Schema::modules`].
    pub module: usize,
    /// The kind of the node.
    pub kind: NodeKind,
    /// Whether the node is configuration (`config true`); otherwise it is state data, or part of an RPC or notification.
    pub config: bool,
    /// The argument of `description`; empty if there is none.
    pub description: String,
    /// The argument of `units`.
    pub units: Option<String>,
    /// The type name as written in the module, for tree diagrams; empty for a container or list.
    pub type_name: String,
    /// The parent node; `None` for a top-level node, an RPC and a notification.
    pub parent: Option<NodeId>,
    /// The child nodes, in the order of the module.
    pub children: Vec<NodeId>,
}

/// A module of the schema.
#[derive(Clone, Debug)]
pub struct Module {
    /// The name of the module.
    pub name: String,
    /// The XML namespace.
    pub namespace: String,
    /// The prefix that the module declares for itself.
    pub prefix: String,
    /// The organization that publishes the module.
    pub organization: String,
    /// The date of the first `revision` statement, which is the newest one.
    pub revision: String,
    /// The full text of the module.
    pub text: String,
}

/// The schema tree of a set of modules.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    /// The modules, each after the modules that it imports.
    pub modules: Vec<Module>,
    nodes: Vec<Node>,
    /// The top-level data nodes.
    pub top_level: Vec<NodeId>,
    /// The input nodes of the RPCs, by RPC name.
    pub rpcs: BTreeMap<String, NodeId>,
    /// The notification nodes, by name.
    pub notifications: BTreeMap<String, NodeId>,
}

impl Schema {
    /// Returns a node by its id.
    pub fn node_of(&self, id: NodeId) -> &Node {
        &self.nodes[id.0]
    }

    /// Returns the module of a node.
    pub fn module_of(&self, id: NodeId) -> &Module {
        &self.modules[self.nodes[id.0].module]
    }

    /// Returns the child of a node by its name.
    pub fn child_named(&self, parent: NodeId, name: &str) -> Option<NodeId> {
        self.nodes[parent.0]
            .children
            .iter()
            .copied()
            .find(|child| self.nodes[child.0].name == name)
    }

    /// Returns a top-level data node by its name.
    pub fn top_level_named(&self, name: &str) -> Option<NodeId> {
        self.top_level
            .iter()
            .copied()
            .find(|top| self.nodes[top.0].name == name)
    }

    /// Returns the children of a node, or the top-level data nodes if `parent` is `None`.
    pub fn children_of(&self, parent: Option<NodeId>) -> &[NodeId] {
        parent.map_or(&self.top_level, |parent| &self.nodes[parent.0].children)
    }

    /// Returns the names of the key leaves of a list; empty for any other node.
    pub fn key_names(&self, list: NodeId) -> &[String] {
        match &self.nodes[list.0].kind {
            NodeKind::List { keys } => keys,
            _ => &[],
        }
    }

    /// Returns the path of a node in the schema, for error messages.
    pub fn schema_path(&self, id: NodeId) -> String {
        let node = &self.nodes[id.0];
        match node.parent {
            Some(parent) => format!("{}/{}", self.schema_path(parent), node.name),
            None => format!("/{}:{}", self.modules[node.module].name, node.name),
        }
    }

    /// Returns the ids of all nodes.
    pub fn all_nodes(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len()).map(NodeId)
    }

    /// Returns the data node at a path of names from the top level.
    pub fn find_node(&self, names: &[&str]) -> Option<NodeId> {
        let (top_level_name, names_below) = names.split_first()?;
        names_below
            .iter()
            .try_fold(self.top_level_named(top_level_name)?, |parent, name| {
                self.child_named(parent, name)
            })
    }
}
