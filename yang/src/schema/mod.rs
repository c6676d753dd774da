//! The schema tree of the modules. Statements that are not supported are rejected, so that a module never promises
//! more than the router enforces.

mod error;
mod parser;

use std::collections::BTreeMap;

pub use self::error::{SchemaError, StatementProblem};
use crate::types::Type;

/// A node of a schema, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

/// What a node of the schema holds.
#[derive(Clone, Debug)]
pub enum NodeKind {
    /// A container of other nodes; also the input of an RPC and the content of a notification.
    Container,
    /// A list of entries.
    List {
        /// The names of its key leaves, in order.
        keys: Vec<String>,
    },
    /// A single value.
    Leaf {
        /// The type of the value.
        leaf_type: Type,
        /// Whether its parent needs it.
        mandatory: bool,
    },
    /// A set of values.
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
    /// The index of its module in [`Schema::modules`].
    pub module: usize,
    /// What it holds.
    pub kind: NodeKind,
    /// Whether operators configure it; otherwise it is state of the router.
    pub config: bool,
    /// Its `description`, empty if there is none.
    pub description: String,
    /// Its `units`.
    pub units: Option<String>,
    /// The name of its type as the module writes it, for tree diagrams; empty if it has no type.
    pub type_name: String,
    /// The node that holds it.
    pub parent: Option<NodeId>,
    /// The nodes that it holds, in the order of the module.
    pub children: Vec<NodeId>,
}

/// A module of the schema.
#[derive(Clone, Debug)]
pub struct Module {
    /// The name of the module.
    pub name: String,
    /// Its XML namespace.
    pub namespace: String,
    /// Its own prefix.
    pub prefix: String,
    /// Who publishes it.
    pub organization: String,
    /// The date of its newest revision.
    pub revision: String,
    /// Its whole text.
    pub text: String,
}

/// The schema tree of some modules.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    /// The modules, each after those that it imports.
    pub modules: Vec<Module>,
    nodes: Vec<Node>,
    /// The data nodes at the top.
    pub top_level: Vec<NodeId>,
    /// The inputs of RPCs by the names of the RPCs.
    pub rpcs: BTreeMap<String, NodeId>,
    /// The notifications by name.
    pub notifications: BTreeMap<String, NodeId>,
}

impl Schema {
    /// A node by its id.
    pub fn node_of(&self, id: NodeId) -> &Node {
        &self.nodes[id.0]
    }

    /// The module of a node.
    pub fn module_of(&self, id: NodeId) -> &Module {
        &self.modules[self.nodes[id.0].module]
    }

    /// The child of a node with a name.
    pub fn child_named(&self, parent: NodeId, name: &str) -> Option<NodeId> {
        self.nodes[parent.0]
            .children
            .iter()
            .copied()
            .find(|child| self.nodes[child.0].name == name)
    }

    /// The data node at the top with a name.
    pub fn top_named(&self, name: &str) -> Option<NodeId> {
        self.top_level
            .iter()
            .copied()
            .find(|top| self.nodes[top.0].name == name)
    }

    /// The children of a node; the data nodes at the top for none.
    pub fn children_of(&self, parent: Option<NodeId>) -> &[NodeId] {
        parent.map_or(&self.top_level, |parent| &self.nodes[parent.0].children)
    }

    /// The names of the keys of a list; empty for any other node.
    pub fn keys(&self, list: NodeId) -> &[String] {
        match &self.nodes[list.0].kind {
            NodeKind::List { keys } => keys,
            _ => &[],
        }
    }

    /// The path of a node in the schema, for error messages.
    pub fn schema_path(&self, id: NodeId) -> String {
        let node = &self.nodes[id.0];
        match node.parent {
            Some(parent) => format!("{}/{}", self.schema_path(parent), node.name),
            None => format!("/{}:{}", self.modules[node.module].name, node.name),
        }
    }

    /// All nodes of the schema.
    pub fn all(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len()).map(NodeId)
    }

    /// The data node at a path of names.
    pub fn find_node(&self, names: &[&str]) -> Option<NodeId> {
        let (first, rest) = names.split_first()?;
        rest.iter()
            .try_fold(self.top_named(first)?, |parent, name| {
                self.child_named(parent, name)
            })
    }
}
