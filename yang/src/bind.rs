//! How the schema's nodes and the datastore's leaves belong together. Names are the same on both sides; that every
//! node that can be set has its leaf, and every leaf its node, is checked when the schema is read.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, UNIX_EPOCH};

use kestreltide_datastore::{
    Container, HostName, Leaf, Path, RouteName, Tree, ValidationError, Value,
};

use crate::data::{Data, Step, Under};
use crate::schema::{NodeId, NodeKind, Schema};

/// Where each place's leaves stand in the schema.
const PLACES: [(Container, &[&str]); 4] = [
    (Container::Host, &["router", "hosts", "host"]),
    (Container::Guards, &["router", "guards"]),
    (Container::Route, &["router", "routes", "route"]),
    (Container::Rollout, &["router", "ring"]),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bound {
    Router,
    Hosts,
    Host,
    Guards,
    Routes,
    Route,
    Ring,
    Leaf(Leaf),
}

/// A place in the operators' tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum At {
    /// Above all.
    Nothing,
    Router,
    Hosts,
    Host(HostName),
    Guards,
    Routes,
    Route(RouteName),
    Ring,
    Leaf(Path),
    /// All values of a leaf-list.
    Values(Path),
}

impl At {
    /// Whether anything is set there.
    pub fn exists(&self, tree: &Tree) -> bool {
        match self {
            At::Nothing | At::Router => *tree != Tree::default(),
            At::Hosts => !tree.hosts.is_empty(),
            At::Host(name) => tree.hosts.contains_key(name),
            At::Guards => tree.guards != Default::default(),
            At::Routes => !tree.routes.is_empty(),
            At::Route(name) => tree.routes.contains_key(name),
            At::Ring => tree.rollout != Default::default(),
            At::Leaf(path) | At::Values(path) => tree.get(path).is_some(),
        }
    }

    pub fn clear(&self, tree: &mut Tree) {
        match self {
            At::Nothing | At::Router => *tree = Tree::default(),
            At::Hosts => tree.hosts.clear(),
            At::Host(name) => drop(tree.hosts.remove(name)),
            At::Guards => tree.guards = Default::default(),
            At::Routes => tree.routes.clear(),
            At::Route(name) => drop(tree.routes.remove(name)),
            At::Ring => tree.rollout = Default::default(),
            // Nothing is of every type.
            At::Leaf(path) | At::Values(path) => drop(tree.set(path, None)),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Bind {
    nodes: BTreeMap<NodeId, Bound>,
    router: NodeId,
}

impl Bind {
    /// An error where model and datastore have drifted apart: a defect.
    pub fn new(schema: &Schema) -> Result<Self, String> {
        let at = |names: &[&str]| {
            schema
                .at(names)
                .ok_or_else(|| format!("the model has no {}", names.join("/")))
        };
        let router = at(&["router"])?;
        let mut nodes: BTreeMap<_, _> = [
            (router, Bound::Router),
            (at(&["router", "hosts"])?, Bound::Hosts),
            (at(&["router", "hosts", "host"])?, Bound::Host),
            (at(&["router", "guards"])?, Bound::Guards),
            (at(&["router", "routes"])?, Bound::Routes),
            (at(&["router", "routes", "route"])?, Bound::Route),
            (at(&["router", "ring"])?, Bound::Ring),
        ]
        .into();
        for (place, names) in PLACES {
            for leaf in Leaf::all_of(place) {
                nodes.insert(at(&[names, &[leaf.name()]].concat())?, Bound::Leaf(leaf));
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
            Some(other) => Err(format!("the datastore has no {}", schema.place(other))),
            None => Ok(Bind { nodes, router }),
        }
    }

    /// The place of a node below another; none where nobody sets it.
    pub fn at(&self, parent: &At, node: NodeId, step: &Step) -> Result<Option<At>, String> {
        let key = || step.keys.first().map_or("", |(_, value)| value.as_str());
        let Some(bound) = self.nodes.get(&node).copied() else {
            return Ok(None);
        };
        Ok(Some(match (bound, parent) {
            (Bound::Router, _) => At::Router,
            (Bound::Hosts, _) => At::Hosts,
            (Bound::Guards, _) => At::Guards,
            (Bound::Routes, _) => At::Routes,
            (Bound::Ring, _) => At::Ring,
            (Bound::Host, _) => At::Host(
                key()
                    .parse()
                    .map_err(|why: String| format!("the name {why}"))?,
            ),
            (Bound::Route, _) => At::Route(
                key()
                    .parse()
                    .map_err(|why: String| format!("the name {why}"))?,
            ),
            (Bound::Leaf(leaf), At::Host(name)) => At::Leaf(Path::Host(name.clone(), leaf)),
            (Bound::Leaf(leaf), At::Route(name)) if listed(leaf) => {
                At::Values(Path::Route(name.clone(), leaf))
            }
            (Bound::Leaf(leaf), At::Route(name)) => At::Leaf(Path::Route(name.clone(), leaf)),
            (Bound::Leaf(leaf), At::Guards) => At::Leaf(Path::Guards(leaf)),
            (Bound::Leaf(leaf), _) => At::Leaf(Path::Rollout(leaf)),
        }))
    }

    pub fn set(&self, tree: &mut Tree, path: &Path, text: &str) -> Result<(), ValidationError> {
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

    pub fn holds(&self, tree: &Tree, path: &Path, value: &str) -> bool {
        self.values(tree, path).contains(value)
    }

    pub fn add(&self, tree: &mut Tree, path: &Path, value: &str) {
        let mut values = self.values(tree, path);
        values.insert(value.into());
        let _ = tree.set(path, Some(Value::Names(values)));
    }

    pub fn take(&self, tree: &mut Tree, path: &Path, value: &str) {
        let mut values = self.values(tree, path);
        values.remove(value);
        let _ = tree.set(
            path,
            Some(Value::Names(values)).filter(|value| *value != Value::Names(BTreeSet::new())),
        );
    }

    /// The operators' tree as data.
    pub fn data(&self, schema: &Schema, tree: &Tree) -> Data {
        let mut router = Under::new(schema, self.router);
        if !tree.hosts.is_empty() {
            router.with("hosts", |hosts| {
                for (name, set) in &tree.hosts {
                    hosts.with("host", |host| {
                        host.put("name", name);
                        leaves(host, Container::Host, |leaf| set.get(leaf));
                    });
                }
            });
        }
        if tree.guards != Default::default() {
            router.with("guards", |guards| {
                leaves(guards, Container::Guards, |leaf| tree.guards.get(leaf))
            });
        }
        if !tree.routes.is_empty() {
            router.with("routes", |routes| {
                for (name, set) in &tree.routes {
                    routes.with("route", |route| {
                        route.put("name", name);
                        leaves(route, Container::Route, |leaf| set.get(leaf));
                    });
                }
            });
        }
        if tree.rollout != Default::default() {
            router.with("ring", |ring| {
                leaves(ring, Container::Rollout, |leaf| tree.rollout.get(leaf))
            });
        }
        router.data()
    }
}

fn listed(leaf: Leaf) -> bool {
    matches!(
        leaf,
        Leaf::Operations | Leaf::Zones | Leaf::Kinds | Leaf::Hosts
    )
}

fn leaves(under: &mut Under, of: Container, value: impl Fn(Leaf) -> Option<Value>) {
    for leaf in Leaf::all_of(of) {
        match value(leaf) {
            Some(Value::Names(names)) => names.iter().for_each(|name| {
                under.put(leaf.name(), name);
            }),
            Some(value) => {
                under.put(leaf.name(), text(leaf, &value));
            }
            None => {}
        }
    }
}

/// A value in the model's form.
pub fn text(leaf: Leaf, value: &Value) -> String {
    match value {
        Value::Number(at) if leaf == Leaf::Started => time(*at),
        Value::Number(number) => decimal(*number),
        other => other.to_string(),
    }
}

/// Seconds since 1970 as a date and time.
pub fn time(at: f64) -> String {
    let since = Duration::try_from_secs_f64(at).unwrap_or_default();
    humantime::format_rfc3339_micros(UNIX_EPOCH + since).to_string()
}

/// With the digits that the model's decimals have.
pub fn decimal(number: f64) -> String {
    format!("{number:.6}")
}

/// Whether a node holds values rather than nodes.
pub fn is_leaf(schema: &Schema, node: NodeId) -> bool {
    matches!(
        schema.node_of(node).kind,
        NodeKind::Leaf { .. } | NodeKind::LeafList { .. }
    )
}
