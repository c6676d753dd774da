//! The binding of the schema to the datastore. Names are the same on both sides; that every configuration node has
//! its leaf in the datastore, and every leaf its node, is checked when the binding is made.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use kestreltide_datastore::{
    Container, HostName, Leaf, Path, RouteName, Tree, ValidationError, Value,
};

use thiserror::Error;

use crate::data::{DataBuilder, DataNode, Step};
use crate::schema::{NodeId, NodeKind, Schema};

/// The schema nodes that hold the leaves of each container of the datastore.
const LEAF_PARENTS: [(Container, &[&str]); 4] = [
    (Container::Host, &["router", "hosts", "host"]),
    (Container::Guards, &["router", "guards"]),
    (Container::Route, &["router", "routes", "route"]),
    (Container::Rollout, &["router", "ring"]),
];

/// Why model and datastore do not fit together.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BindingError {
    /// The schema has no node for a part of the datastore.
    #[error("the model has no {0}")]
    MissingNode(String),
    /// The datastore has no leaf for a configuration node.
    #[error("the datastore has no {0}")]
    MissingLeaf(String),
}

/// The key of an entry is no name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the name {0}")]
pub struct InvalidName(String);

fn invalid_name(error: impl ToString) -> InvalidName {
    InvalidName(error.to_string())
}

/// What a schema node stands for in the datastore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeBinding {
    Router,
    Hosts,
    Host,
    Guards,
    Routes,
    Route,
    Rollout,
    Leaf(Leaf),
}

/// A node of the configuration in the datastore.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigNode {
    /// What holds `/router`.
    Root,
    /// `/router`.
    Router,
    /// `/router/hosts`.
    Hosts,
    /// An entry of `/router/hosts/host`.
    Host(HostName),
    /// `/router/guards`.
    Guards,
    /// `/router/routes`.
    Routes,
    /// An entry of `/router/routes/route`.
    Route(RouteName),
    /// `/router/ring`.
    Rollout,
    /// A leaf.
    Leaf(Path),
    /// All values of a leaf-list.
    Values(Path),
}

impl ConfigNode {
    /// Whether anything is configured there.
    pub fn is_set(&self, tree: &Tree) -> bool {
        match self {
            ConfigNode::Root | ConfigNode::Router => *tree != Tree::default(),
            ConfigNode::Hosts => !tree.hosts.is_empty(),
            ConfigNode::Host(name) => tree.hosts.contains_key(name),
            ConfigNode::Guards => tree.guards != Default::default(),
            ConfigNode::Routes => !tree.routes.is_empty(),
            ConfigNode::Route(name) => tree.routes.contains_key(name),
            ConfigNode::Rollout => tree.rollout != Default::default(),
            ConfigNode::Leaf(path) | ConfigNode::Values(path) => tree.get(path).is_some(),
        }
    }

    /// Removes what is configured there.
    pub fn clear(&self, tree: &mut Tree) {
        match self {
            ConfigNode::Root | ConfigNode::Router => *tree = Tree::default(),
            ConfigNode::Hosts => tree.hosts.clear(),
            ConfigNode::Host(name) => drop(tree.hosts.remove(name)),
            ConfigNode::Guards => tree.guards = Default::default(),
            ConfigNode::Routes => tree.routes.clear(),
            ConfigNode::Route(name) => drop(tree.routes.remove(name)),
            ConfigNode::Rollout => tree.rollout = Default::default(),
            // Removing a value cannot fail: it fits every type.
            ConfigNode::Leaf(path) | ConfigNode::Values(path) => drop(tree.set(path, None)),
        }
    }
}

/// The binding of a schema to the datastore.
#[derive(Clone, Debug)]
pub struct Binding {
    nodes: BTreeMap<NodeId, NodeBinding>,
    router: NodeId,
}

impl Binding {
    /// Binds a schema.
    ///
    /// # Errors
    ///
    /// When model and datastore do not have the same nodes, which is a defect.
    pub fn new(schema: &Schema) -> Result<Self, BindingError> {
        let node_at = |names: &[&str]| {
            let node = schema.find_node(names);
            node.ok_or_else(|| BindingError::MissingNode(names.join("/")))
        };
        let router = node_at(&["router"])?;
        let mut nodes: BTreeMap<_, _> = [
            (router, NodeBinding::Router),
            (node_at(&["router", "hosts"])?, NodeBinding::Hosts),
            (node_at(&["router", "hosts", "host"])?, NodeBinding::Host),
            (node_at(&["router", "guards"])?, NodeBinding::Guards),
            (node_at(&["router", "routes"])?, NodeBinding::Routes),
            (node_at(&["router", "routes", "route"])?, NodeBinding::Route),
            (node_at(&["router", "ring"])?, NodeBinding::Rollout),
        ]
        .into();
        for (container, names) in LEAF_PARENTS {
            for leaf in Leaf::all_of(container) {
                nodes.insert(
                    node_at(&[names, &[leaf.name()]].concat())?,
                    NodeBinding::Leaf(leaf),
                );
            }
        }
        let keys = |id: NodeId| {
            schema
                .node_of(id)
                .parent
                .map_or(&[][..], |parent| schema.keys(parent))
        };
        let settable = |id: &NodeId| {
            schema.node_of(*id).config && !keys(*id).contains(&schema.node_of(*id).name)
        };
        match schema
            .all()
            .filter(settable)
            .find(|id| !nodes.contains_key(id))
        {
            Some(other) => Err(BindingError::MissingLeaf(schema.schema_path(other))),
            None => Ok(Binding { nodes, router }),
        }
    }

    /// The configuration node of a schema node below its parent; none if the node is state of the router.
    ///
    /// # Errors
    ///
    /// When the key of an entry is no name.
    pub fn resolve(
        &self,
        parent: &ConfigNode,
        node: NodeId,
        step: &Step,
    ) -> Result<Option<ConfigNode>, InvalidName> {
        let key = || step.keys.first().map_or("", |(_, value)| value.as_str());
        let Some(binding) = self.nodes.get(&node).copied() else {
            return Ok(None);
        };
        Ok(Some(match (binding, parent) {
            (NodeBinding::Router, _) => ConfigNode::Router,
            (NodeBinding::Hosts, _) => ConfigNode::Hosts,
            (NodeBinding::Guards, _) => ConfigNode::Guards,
            (NodeBinding::Routes, _) => ConfigNode::Routes,
            (NodeBinding::Rollout, _) => ConfigNode::Rollout,
            (NodeBinding::Host, _) => ConfigNode::Host(key().parse().map_err(invalid_name)?),
            (NodeBinding::Route, _) => ConfigNode::Route(key().parse().map_err(invalid_name)?),
            (NodeBinding::Leaf(leaf), ConfigNode::Host(name)) => {
                ConfigNode::Leaf(Path::Host(name.clone(), leaf))
            }
            (NodeBinding::Leaf(leaf), ConfigNode::Route(name)) if is_leaf_list(leaf) => {
                ConfigNode::Values(Path::Route(name.clone(), leaf))
            }
            (NodeBinding::Leaf(leaf), ConfigNode::Route(name)) => {
                ConfigNode::Leaf(Path::Route(name.clone(), leaf))
            }
            (NodeBinding::Leaf(leaf), ConfigNode::Guards) => ConfigNode::Leaf(Path::Guards(leaf)),
            (NodeBinding::Leaf(leaf), _) => ConfigNode::Leaf(Path::Rollout(leaf)),
        }))
    }

    /// Sets a leaf to the value of a text.
    ///
    /// # Errors
    ///
    /// When the text is no value of the leaf.
    pub fn set_leaf(
        &self,
        tree: &mut Tree,
        path: &Path,
        text: &str,
    ) -> Result<(), ValidationError> {
        let leaf = path.leaf();
        let value = leaf.parse(text).map_err(|error| {
            ValidationError::new(path, error.to_string(), text, leaf.expected_format())
        })?;
        tree.set(path, Some(value))
    }

    fn values(&self, tree: &Tree, path: &Path) -> BTreeSet<std::sync::Arc<str>> {
        match tree.get(path) {
            Some(Value::Names(names)) => names,
            _ => BTreeSet::new(),
        }
    }

    /// Whether a leaf-list has a value.
    pub fn contains_value(&self, tree: &Tree, path: &Path, value: &str) -> bool {
        self.values(tree, path).contains(value)
    }

    /// Adds a value to a leaf-list.
    pub fn add_value(&self, tree: &mut Tree, path: &Path, value: &str) {
        let mut values = self.values(tree, path);
        values.insert(value.into());
        let _ = tree.set(path, Some(Value::Names(values)));
    }

    /// Removes a value from a leaf-list, and the leaf-list with its last value.
    pub fn remove_value(&self, tree: &mut Tree, path: &Path, value: &str) {
        let mut values = self.values(tree, path);
        values.remove(value);
        let _ = tree.set(
            path,
            Some(Value::Names(values)).filter(|value| *value != Value::Names(BTreeSet::new())),
        );
    }

    /// The configuration as data of the schema.
    pub fn configuration_data(&self, schema: &Schema, tree: &Tree) -> DataNode {
        let mut router = DataBuilder::new(schema, self.router);
        if !tree.hosts.is_empty() {
            router.put_inner("hosts", |hosts| {
                for (name, set) in &tree.hosts {
                    hosts.put_inner("host", |host| {
                        host.put("name", name);
                        put_leaves(host, Container::Host, |leaf| set.get(leaf));
                    });
                }
            });
        }
        if tree.guards != Default::default() {
            router.put_inner("guards", |guards| {
                put_leaves(guards, Container::Guards, |leaf| tree.guards.get(leaf))
            });
        }
        if !tree.routes.is_empty() {
            router.put_inner("routes", |routes| {
                for (name, set) in &tree.routes {
                    routes.put_inner("route", |route| {
                        route.put("name", name);
                        put_leaves(route, Container::Route, |leaf| set.get(leaf));
                    });
                }
            });
        }
        if tree.rollout != Default::default() {
            router.put_inner("ring", |ring| {
                put_leaves(ring, Container::Rollout, |leaf| tree.rollout.get(leaf))
            });
        }
        router.build()
    }
}

fn is_leaf_list(leaf: Leaf) -> bool {
    matches!(
        leaf,
        Leaf::Operations | Leaf::Zones | Leaf::Kinds | Leaf::Hosts
    )
}

fn put_leaves(
    builder: &mut DataBuilder,
    container: Container,
    value: impl Fn(Leaf) -> Option<Value>,
) {
    for leaf in Leaf::all_of(container) {
        match value(leaf) {
            Some(Value::Names(names)) => names.iter().for_each(|name| {
                builder.put(leaf.name(), name);
            }),
            Some(value) => {
                builder.put(leaf.name(), value_text(leaf, &value));
            }
            None => {}
        }
    }
}

/// A value in the canonical form of the model.
pub fn value_text(leaf: Leaf, value: &Value) -> String {
    match value {
        Value::Number(at) if leaf == Leaf::Started => format_time(*at),
        Value::Number(number) => format_decimal(*number),
        other => other.to_string(),
    }
}

/// A time in Unix seconds as an RFC 3339 date and time with microseconds.
pub fn format_time(at: f64) -> String {
    let since = Duration::try_from_secs_f64(at).unwrap_or_default();
    humantime::format_rfc3339_micros(UNIX_EPOCH + since).to_string()
}

/// A number with the six fraction digits of the model's decimals.
pub fn format_decimal(number: f64) -> String {
    format!("{number:.6}")
}

/// Whether a node is a leaf or leaf-list.
pub fn is_leaf(schema: &Schema, node: NodeId) -> bool {
    matches!(
        schema.node_of(node).kind,
        NodeKind::Leaf { .. } | NodeKind::LeafList { .. }
    )
}
