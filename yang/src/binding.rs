//! The binding of the schema to the datastore. Leaves have the same names in both. [`Binding::new`] checks that the
//! datastore has a leaf for each configuration leaf of the schema, and the schema a node for each leaf of the datastore.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use kestreltide_datastore::{
    Container, HostName, Leaf, Path, RouteName, Tree, ValidationError, Value,
};

use thiserror::Error;

use crate::data::{DataBuilder, DataNode, Step};
use crate::schema::{NodeId, NodeKind, Schema};

/// The schema paths of the nodes that contain the leaves of each datastore container.
const LEAF_PARENTS: [(Container, &[&str]); 4] = [
    (Container::Host, &["router", "hosts", "host"]),
    (Container::Guards, &["router", "guards"]),
    (Container::Route, &["router", "routes", "route"]),
    (Container::Rollout, &["router", "ring"]),
];

/// Why the schema cannot be bound to the datastore.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BindingError {
    /// The schema has no node for a container or leaf of the datastore.
    #[error("the schema has no node {0}")]
    MissingNode(String),
    /// The datastore has no leaf for a configuration node of the schema.
    #[error("the datastore has no leaf for {0}")]
    MissingLeaf(String),
}

/// The key of a list entry is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("the name {0}")]
pub struct InvalidName(String);

fn invalid_name(error: impl ToString) -> InvalidName {
    InvalidName(error.to_string())
}

/// The part of the datastore that a schema node represents.
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

/// A configuration node in the datastore.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigNode {
    /// The parent of `/router`.
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
    /// A leaf-list with all its values.
    LeafList(Path),
}

impl ConfigNode {
    /// Whether anything is configured at or below this node.
    pub fn is_set(&self, tree: &Tree) -> bool {
        match self {
            ConfigNode::Root | ConfigNode::Router => *tree != Tree::default(),
            ConfigNode::Hosts => !tree.hosts.is_empty(),
            ConfigNode::Host(name) => tree.hosts.contains_key(name),
            ConfigNode::Guards => tree.guards != Default::default(),
            ConfigNode::Routes => !tree.routes.is_empty(),
            ConfigNode::Route(name) => tree.routes.contains_key(name),
            ConfigNode::Rollout => tree.rollout != Default::default(),
            ConfigNode::Leaf(path) | ConfigNode::LeafList(path) => tree.get(path).is_some(),
        }
    }

    /// Removes the configuration at and below this node.
    pub fn clear(&self, tree: &mut Tree) {
        match self {
            ConfigNode::Root | ConfigNode::Router => *tree = Tree::default(),
            ConfigNode::Hosts => tree.hosts.clear(),
            ConfigNode::Host(name) => drop(tree.hosts.remove(name)),
            ConfigNode::Guards => tree.guards = Default::default(),
            ConfigNode::Routes => tree.routes.clear(),
            ConfigNode::Route(name) => drop(tree.routes.remove(name)),
            ConfigNode::Rollout => tree.rollout = Default::default(),
            // Setting a leaf to `None` cannot fail: only values are checked against the type.
            ConfigNode::Leaf(path) | ConfigNode::LeafList(path) => drop(tree.set(path, None)),
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
    /// Binds a schema to the datastore.
    ///
    /// # Errors
    ///
    /// When the schema and the datastore do not have the same configuration nodes, which is a defect of the program.
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
        let sibling_keys = |id: NodeId| {
            schema
                .node_of(id)
                .parent
                .map_or(&[][..], |parent| schema.key_names(parent))
        };
        let is_settable = |id: &NodeId| {
            schema.node_of(*id).config && !sibling_keys(*id).contains(&schema.node_of(*id).name)
        };
        match schema
            .all_nodes()
            .filter(is_settable)
            .find(|id| !nodes.contains_key(id))
        {
            Some(unbound) => Err(BindingError::MissingLeaf(schema.schema_path(unbound))),
            None => Ok(Binding { nodes, router }),
        }
    }

    /// Returns the configuration node of a schema node below `parent`; `None` for state data.
    ///
    /// # Errors
    ///
    /// When the key of a list entry is not a valid name.
    pub fn resolve(
        &self,
        parent: &ConfigNode,
        node: NodeId,
        step: &Step,
    ) -> Result<Option<ConfigNode>, InvalidName> {
        let first_key_value = || step.keys.first().map_or("", |(_, value)| value.as_str());
        let Some(binding) = self.nodes.get(&node).copied() else {
            return Ok(None);
        };
        Ok(Some(match (binding, parent) {
            (NodeBinding::Router, _) => ConfigNode::Router,
            (NodeBinding::Hosts, _) => ConfigNode::Hosts,
            (NodeBinding::Guards, _) => ConfigNode::Guards,
            (NodeBinding::Routes, _) => ConfigNode::Routes,
            (NodeBinding::Rollout, _) => ConfigNode::Rollout,
            (NodeBinding::Host, _) => {
                ConfigNode::Host(first_key_value().parse().map_err(invalid_name)?)
            }
            (NodeBinding::Route, _) => {
                ConfigNode::Route(first_key_value().parse().map_err(invalid_name)?)
            }
            (NodeBinding::Leaf(leaf), ConfigNode::Host(name)) => {
                ConfigNode::Leaf(Path::Host(name.clone(), leaf))
            }
            (NodeBinding::Leaf(leaf), ConfigNode::Route(name)) if is_leaf_list(leaf) => {
                ConfigNode::LeafList(Path::Route(name.clone(), leaf))
            }
            (NodeBinding::Leaf(leaf), ConfigNode::Route(name)) => {
                ConfigNode::Leaf(Path::Route(name.clone(), leaf))
            }
            (NodeBinding::Leaf(leaf), ConfigNode::Guards) => ConfigNode::Leaf(Path::Guards(leaf)),
            (NodeBinding::Leaf(leaf), _) => ConfigNode::Leaf(Path::Rollout(leaf)),
        }))
    }

    /// Parses a text and sets a leaf to its value.
    ///
    /// # Errors
    ///
    /// When the text is not a valid value of the leaf.
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

    fn leaf_list_values(&self, tree: &Tree, path: &Path) -> BTreeSet<std::sync::Arc<str>> {
        match tree.get(path) {
            Some(Value::Names(names)) => names,
            _ => BTreeSet::new(),
        }
    }

    /// Whether a leaf-list contains a value.
    pub fn contains_value(&self, tree: &Tree, path: &Path, value: &str) -> bool {
        self.leaf_list_values(tree, path).contains(value)
    }

    /// Adds a value to a leaf-list.
    pub fn add_value(&self, tree: &mut Tree, path: &Path, value: &str) {
        let mut values = self.leaf_list_values(tree, path);
        values.insert(value.into());
        let _ = tree.set(path, Some(Value::Names(values)));
    }

    /// Removes a value from a leaf-list; a leaf-list without values is removed.
    pub fn remove_value(&self, tree: &mut Tree, path: &Path, value: &str) {
        let mut values = self.leaf_list_values(tree, path);
        values.remove(value);
        let _ = tree.set(
            path,
            Some(Value::Names(values)).filter(|value| *value != Value::Names(BTreeSet::new())),
        );
    }

    /// Returns the configuration as the data node `/router`.
    pub fn configuration_data(&self, schema: &Schema, tree: &Tree) -> DataNode {
        let mut router = DataBuilder::new(schema, self.router);
        if !tree.hosts.is_empty() {
            router.put_inner("hosts", |hosts| {
                for (name, leaves) in &tree.hosts {
                    hosts.put_inner("host", |host| {
                        host.put("name", name);
                        put_leaves(host, Container::Host, |leaf| leaves.get(leaf));
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
                for (name, leaves) in &tree.routes {
                    routes.put_inner("route", |route| {
                        route.put("name", name);
                        put_leaves(route, Container::Route, |leaf| leaves.get(leaf));
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

/// Formats a leaf value for the data of the schema: the leaf `started` as a date and time, other numbers as decimals.
pub fn value_text(leaf: Leaf, value: &Value) -> String {
    match value {
        Value::Number(unix_seconds) if leaf == Leaf::Started => format_time(*unix_seconds),
        Value::Number(number) => format_decimal(*number),
        other => other.to_string(),
    }
}

/// Formats a time in Unix seconds as an RFC 3339 date and time with microseconds; a time before 1970 as 1970.
pub fn format_time(unix_seconds: f64) -> String {
    let since_epoch = Duration::try_from_secs_f64(unix_seconds).unwrap_or_default();
    humantime::format_rfc3339_micros(UNIX_EPOCH + since_epoch).to_string()
}

/// Formats a number with six fraction digits, as the `decimal64` types of the modules have them.
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
