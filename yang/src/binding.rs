//! How the schema's nodes and the datastore's leaves belong together. Names are the same on both sides; that every
//! node that can be set has its leaf, and every leaf its node, is checked when the schema is read.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use kestreltide_datastore::{
    Container, HostName, Leaf, Path, RouteName, Tree, ValidationError, Value,
};

use crate::data::{DataBuilder, DataNode, Step};
use crate::schema::{NodeId, NodeKind, Schema};

/// Where each place's leaves stand in the schema.
const LEAF_PARENTS: [(Container, &[&str]); 4] = [
    (Container::Host, &["router", "hosts", "host"]),
    (Container::Guards, &["router", "guards"]),
    (Container::Route, &["router", "routes", "route"]),
    (Container::Rollout, &["router", "ring"]),
];

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

/// A place in the operators' tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigNode {
    /// Above all.
    Root,
    Router,
    Hosts,
    Host(HostName),
    Guards,
    Routes,
    Route(RouteName),
    Rollout,
    Leaf(Path),
    /// All values of a leaf-list.
    Values(Path),
}

impl ConfigNode {
    /// Whether anything is set there.
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

    pub fn clear(&self, tree: &mut Tree) {
        match self {
            ConfigNode::Root | ConfigNode::Router => *tree = Tree::default(),
            ConfigNode::Hosts => tree.hosts.clear(),
            ConfigNode::Host(name) => drop(tree.hosts.remove(name)),
            ConfigNode::Guards => tree.guards = Default::default(),
            ConfigNode::Routes => tree.routes.clear(),
            ConfigNode::Route(name) => drop(tree.routes.remove(name)),
            ConfigNode::Rollout => tree.rollout = Default::default(),
            // Nothing is of every type.
            ConfigNode::Leaf(path) | ConfigNode::Values(path) => drop(tree.set(path, None)),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Binding {
    nodes: BTreeMap<NodeId, NodeBinding>,
    router: NodeId,
}

impl Binding {
    /// An error where model and datastore have drifted apart: a defect.
    pub fn new(schema: &Schema) -> Result<Self, String> {
        let at = |names: &[&str]| {
            schema
                .find(names)
                .ok_or_else(|| format!("the model has no {}", names.join("/")))
        };
        let router = at(&["router"])?;
        let mut nodes: BTreeMap<_, _> = [
            (router, NodeBinding::Router),
            (at(&["router", "hosts"])?, NodeBinding::Hosts),
            (at(&["router", "hosts", "host"])?, NodeBinding::Host),
            (at(&["router", "guards"])?, NodeBinding::Guards),
            (at(&["router", "routes"])?, NodeBinding::Routes),
            (at(&["router", "routes", "route"])?, NodeBinding::Route),
            (at(&["router", "ring"])?, NodeBinding::Rollout),
        ]
        .into();
        for (container, names) in LEAF_PARENTS {
            for leaf in Leaf::all_of(container) {
                nodes.insert(
                    at(&[names, &[leaf.name()]].concat())?,
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
            Some(other) => Err(format!(
                "the datastore has no {}",
                schema.schema_path(other)
            )),
            None => Ok(Binding { nodes, router }),
        }
    }

    /// The place of a node below another; none where nobody sets it.
    pub fn resolve(
        &self,
        parent: &ConfigNode,
        node: NodeId,
        step: &Step,
    ) -> Result<Option<ConfigNode>, String> {
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
            (NodeBinding::Host, _) => ConfigNode::Host(
                key()
                    .parse()
                    .map_err(|why: String| format!("the name {why}"))?,
            ),
            (NodeBinding::Route, _) => ConfigNode::Route(
                key()
                    .parse()
                    .map_err(|why: String| format!("the name {why}"))?,
            ),
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

    pub fn set_leaf(
        &self,
        tree: &mut Tree,
        path: &Path,
        text: &str,
    ) -> Result<(), ValidationError> {
        let leaf = path.leaf();
        let value = leaf
            .parse(text)
            .map_err(|why| ValidationError::new(path, why, text, leaf.expected_format()))?;
        tree.set(path, Some(value))
    }

    fn values(&self, tree: &Tree, path: &Path) -> BTreeSet<std::sync::Arc<str>> {
        match tree.get(path) {
            Some(Value::Names(names)) => names,
            _ => BTreeSet::new(),
        }
    }

    pub fn contains_value(&self, tree: &Tree, path: &Path, value: &str) -> bool {
        self.values(tree, path).contains(value)
    }

    pub fn add_value(&self, tree: &mut Tree, path: &Path, value: &str) {
        let mut values = self.values(tree, path);
        values.insert(value.into());
        let _ = tree.set(path, Some(Value::Names(values)));
    }

    pub fn remove_value(&self, tree: &mut Tree, path: &Path, value: &str) {
        let mut values = self.values(tree, path);
        values.remove(value);
        let _ = tree.set(
            path,
            Some(Value::Names(values)).filter(|value| *value != Value::Names(BTreeSet::new())),
        );
    }

    /// The operators' tree as data.
    pub fn tree_data(&self, schema: &Schema, tree: &Tree) -> DataNode {
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

/// A value in the model's form.
pub fn value_text(leaf: Leaf, value: &Value) -> String {
    match value {
        Value::Number(at) if leaf == Leaf::Started => format_time(*at),
        Value::Number(number) => format_decimal(*number),
        other => other.to_string(),
    }
}

/// Seconds since 1970 as a date and time.
pub fn format_time(at: f64) -> String {
    let since = Duration::try_from_secs_f64(at).unwrap_or_default();
    humantime::format_rfc3339_micros(UNIX_EPOCH + since).to_string()
}

/// With the digits that the model's decimals have.
pub fn format_decimal(number: f64) -> String {
    format!("{number:.6}")
}

/// Whether a node holds values rather than nodes.
pub fn is_leaf(schema: &Schema, node: NodeId) -> bool {
    matches!(
        schema.node_of(node).kind,
        NodeKind::Leaf { .. } | NodeKind::LeafList { .. }
    )
}
