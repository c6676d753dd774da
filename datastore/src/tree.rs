//! The typed tree of what operators set: hosts (entries, weights, administrative states) and guards. Every
//! value stands at a leaf with a path; two trees differ by leaves, and a change is a list of them.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::validation::{ValidationError, ValidationErrors};

/// Characters of a name, of a host, a zone or a kind.
const NAME_MOST: usize = 128;

fn name(text: &str) -> Result<Arc<str>, String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    match text {
        "" => Err("is empty".into()),
        _ if text.len() > NAME_MOST => Err(format!("is longer than {NAME_MOST} characters")),
        _ if !text.chars().all(plain) => {
            Err("has characters other than letters, digits and . _ : -".into())
        }
        _ => Ok(text.into()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            pub fn as_str(&self) -> &str {
                &self.0
            }

            pub fn shared(&self) -> Arc<str> {
                self.0.clone()
            }
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                name(text).map($name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = String;

            fn try_from(text: String) -> Result<Self, String> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A host's name, the same as discovery's id where both list it.
    HostName
);
name_type!(
    /// A route's name.
    RouteName
);

/// What operators want of a host, whatever it does itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminState {
    InService,
    /// It is being shut down: nothing new goes to it, and it comes back only with a new start.
    Draining,
    /// Nothing new goes to it until it is put in service again.
    Out,
}

const STATES: [(AdminState, &str); 3] = [
    (AdminState::InService, "in-service"),
    (AdminState::Draining, "draining"),
    (AdminState::Out, "out"),
];

impl fmt::Display for AdminState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = STATES
            .iter()
            .find(|(state, _)| state == self)
            .map_or("", |(_, text)| text);
        f.write_str(text)
    }
}

/// A leaf of a host, the guards, a route or the ring, in the order in which they are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Leaf {
    Endpoint,
    Zone,
    Cell,
    Kind,
    Size,
    Build,
    Started,
    Weight,
    State,
    LargestRemoval,
    #[serde(rename = "least-hosts-zone")]
    MinHostsPerZone,
    #[serde(rename = "least-hosts-build")]
    MinHostsPerBuild,
    Precedence,
    Operations,
    KeyPrefix,
    Zones,
    Kinds,
    Hosts,
    #[serde(rename = "ring-build")]
    RolloutBuild,
    Hold,
    #[serde(rename = "back")]
    RollBack,
    Cap,
}

/// What a leaf is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Container {
    Host,
    Guards,
    Route,
    Rollout,
}

const NAMED: &str = "a name of letters, digits and . _ : -";
const NAMES: &str = "names of letters, digits and . _ : -";

/// What each leaf is of, its name there, and what it takes.
const LEAVES: [(Leaf, Container, &str, &str); 22] = [
    (
        Leaf::Endpoint,
        Container::Host,
        "endpoint",
        "an address and port, such as 10.1.0.18:6379",
    ),
    (Leaf::Zone, Container::Host, "zone", NAMED),
    (
        Leaf::Cell,
        Container::Host,
        "cell",
        "a whole number from 0 to 4294967295",
    ),
    (Leaf::Kind, Container::Host, "kind", NAMED),
    (
        Leaf::Size,
        Container::Host,
        "size",
        "a number over 0, at most 1000000, 1 for a usual host",
    ),
    (
        Leaf::Build,
        Container::Host,
        "build",
        "a whole number from 0 to 65535",
    ),
    (
        Leaf::Started,
        Container::Host,
        "started",
        "a time such as 2026-12-01T03:00:00Z, or seconds since 1970",
    ),
    (
        Leaf::Weight,
        Container::Host,
        "weight",
        "a number from 0.01 to 100, 1 for an even share",
    ),
    (
        Leaf::State,
        Container::Host,
        "state",
        "in-service, draining or out",
    ),
    (
        Leaf::LargestRemoval,
        Container::Guards,
        "largest-removal",
        "a share from 0 to 1 of the hosts in service",
    ),
    (
        Leaf::MinHostsPerZone,
        Container::Guards,
        "least-hosts-zone",
        "a whole number from 0 to 16384",
    ),
    (
        Leaf::MinHostsPerBuild,
        Container::Guards,
        "least-hosts-build",
        "a whole number from 0 to 16384",
    ),
    (
        Leaf::Precedence,
        Container::Route,
        "precedence",
        "a whole number from 0 to 4294967295, lower first",
    ),
    (
        Leaf::Operations,
        Container::Route,
        "operation",
        "names of the service's operations",
    ),
    (
        Leaf::KeyPrefix,
        Container::Route,
        "key-prefix",
        "up to 128 characters",
    ),
    (Leaf::Zones, Container::Route, "zone", NAMES),
    (Leaf::Kinds, Container::Route, "kind", NAMES),
    (Leaf::Hosts, Container::Route, "host", NAMES),
    (
        Leaf::RolloutBuild,
        Container::Rollout,
        "build",
        "the number of the build on trial",
    ),
    (Leaf::Hold, Container::Rollout, "hold", "true or false"),
    (Leaf::RollBack, Container::Rollout, "back", "true or false"),
    (
        Leaf::Cap,
        Container::Rollout,
        "cap",
        "a share from 0 to 1, at most the cap told",
    ),
];

impl Leaf {
    fn row(self) -> &'static (Leaf, Container, &'static str, &'static str) {
        // The table has them in the order of their numbers; a story walks all of them.
        &LEAVES[self as usize]
    }

    pub fn name(self) -> &'static str {
        self.row().2
    }

    /// What the leaf takes, in words.
    pub fn expected_format(self) -> &'static str {
        self.row().3
    }

    pub fn container(self) -> Container {
        self.row().1
    }

    pub fn by_name(place: Container, name: &str) -> Option<Leaf> {
        Leaf::all_of(place).find(|leaf| leaf.name() == name)
    }

    pub fn all_of(place: Container) -> impl Iterator<Item = Leaf> {
        LEAVES
            .iter()
            .filter(move |row| row.1 == place)
            .map(|row| row.0)
    }

    pub fn of_host(name: &str) -> Option<Leaf> {
        Leaf::by_name(Container::Host, name)
    }

    pub fn of_guards(name: &str) -> Option<Leaf> {
        Leaf::by_name(Container::Guards, name)
    }

    /// The value that a text says; why it says none.
    pub fn parse(self, text: &str) -> Result<Value, String> {
        let number = |least: f64, most: f64| match text.parse::<f64>() {
            Ok(number) if !number.is_finite() => Err("is no finite number".to_owned()),
            Ok(number) if number < least || number > most => Err("is out of range".into()),
            Ok(number) => Ok(Value::Number(number)),
            Err(_) => Err("is no number".into()),
        };
        let whole = |most: u32| match text.parse::<u32>() {
            Ok(number) if number <= most => Ok(Value::Integer(number)),
            Ok(_) => Err("is out of range".to_owned()),
            Err(_) => Err("is no whole number in range".into()),
        };
        match self {
            Leaf::Endpoint => match text.parse::<SocketAddr>() {
                Ok(at) if at.port() == 0 || at.ip().is_unspecified() => {
                    Err("can be connected to by nobody".into())
                }
                Ok(at) => Ok(Value::Address(at)),
                Err(_) => Err("is no address and port".into()),
            },
            Leaf::Zone | Leaf::Kind => name(text).map(Value::Text),
            Leaf::Cell => whole(u32::MAX),
            Leaf::Size => number(f64::MIN_POSITIVE, 1e6),
            Leaf::Build => whole(u32::from(u16::MAX)),
            Leaf::Started => time(text).map(Value::Number),
            Leaf::Weight => number(WEIGHTS[0], WEIGHTS[1]),
            Leaf::State => {
                let state = STATES
                    .iter()
                    .find(|(_, name)| *name == text)
                    .map(|(state, _)| Value::State(*state));
                state.ok_or_else(|| "is no administrative state".into())
            }
            Leaf::LargestRemoval | Leaf::Cap => number(0.0, 1.0),
            Leaf::MinHostsPerZone | Leaf::MinHostsPerBuild => whole(16 * 1024),
            Leaf::Precedence => whole(u32::MAX),
            Leaf::RolloutBuild => whole(u32::from(u16::MAX)),
            Leaf::Operations | Leaf::Zones | Leaf::Kinds | Leaf::Hosts => {
                let words = text.split([',', ' ']).filter(|word| !word.is_empty());
                words.map(name).collect::<Result<_, _>>().map(Value::Names)
            }
            Leaf::KeyPrefix => match text {
                _ if text.len() > NAME_MOST => Err(format!("is longer than {NAME_MOST} bytes")),
                _ if text.chars().any(char::is_control) => Err("has control characters".into()),
                _ => Ok(Value::Text(text.into())),
            },
            Leaf::Hold | Leaf::RollBack => match text {
                "true" => Ok(Value::Boolean(true)),
                "false" => Ok(Value::Boolean(false)),
                _ => Err("is neither true nor false".into()),
            },
        }
    }
}

/// The least and the greatest weight: beyond them a state is meant, or an error was made.
pub const WEIGHTS: [f64; 2] = [0.01, 100.0];

/// Unix seconds; from text that is that, or a date and time in UTC (RFC 3339).
fn time(text: &str) -> Result<f64, String> {
    let seconds = match text.parse::<f64>() {
        Ok(seconds) => Some(seconds),
        Err(_) => humantime::parse_rfc3339(text).ok().and_then(|at| {
            at.duration_since(std::time::UNIX_EPOCH)
                .ok()
                .map(|since| since.as_secs_f64())
        }),
    };
    // To the microsecond, so that a time that was written out and read again is the same.
    let sense = seconds
        .map(|at| (at * 1e6).round() / 1e6)
        .filter(|at| (0.0..=LAST_TIME).contains(at));
    sense.ok_or_else(|| "is no time".into())
}

/// Seconds: the year 9999, after which dates have no form.
const LAST_TIME: f64 = 253_402_300_799.0;

/// A value at a leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    Address(SocketAddr),
    Text(Arc<str>),
    #[serde(rename = "Whole")]
    Integer(u32),
    Number(f64),
    State(AdminState),
    #[serde(rename = "Flag")]
    Boolean(bool),
    /// In no order.
    Names(BTreeSet<Arc<str>>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Address(at) => at.fmt(f),
            Value::Text(text) => text.fmt(f),
            Value::Integer(number) => number.fmt(f),
            Value::Number(number) => number.fmt(f),
            Value::State(state) => state.fmt(f),
            Value::Boolean(flag) => flag.fmt(f),
            Value::Names(names) => {
                let names: Vec<&str> = names.iter().map(|name| &**name).collect();
                f.write_str(&names.join(" "))
            }
        }
    }
}

/// Where a leaf stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Path {
    Host(HostName, Leaf),
    Guards(Leaf),
    Route(RouteName, Leaf),
    #[serde(rename = "Ring")]
    Rollout(Leaf),
}

impl Path {
    pub fn leaf(&self) -> Leaf {
        match self {
            Path::Host(_, leaf)
            | Path::Guards(leaf)
            | Path::Route(_, leaf)
            | Path::Rollout(leaf) => *leaf,
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Host(host, leaf) => write!(f, "hosts/{host}/{}", leaf.name()),
            Path::Guards(leaf) => write!(f, "guards/{}", leaf.name()),
            Path::Route(route, leaf) => write!(f, "routes/{route}/{}", leaf.name()),
            Path::Rollout(leaf) => write!(f, "ring/{}", leaf.name()),
        }
    }
}

impl FromStr for Path {
    type Err = ValidationError;

    fn from_str(text: &str) -> Result<Self, ValidationError> {
        let unknown = |what: &str, takes: &str| ValidationError::new(text, what, text, takes);
        let leaf = |place: Container, name: &str| {
            let names = || {
                Leaf::all_of(place)
                    .map(Leaf::name)
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            Leaf::by_name(place, name).ok_or_else(|| unknown("no such leaf", &names()))
        };
        let well = |why: String| unknown(&format!("the name {why}"), NAMED);
        let parts: Vec<_> = text.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["hosts", host, name] => Ok(Path::Host(
                host.parse().map_err(well)?,
                leaf(Container::Host, name)?,
            )),
            ["routes", route, name] => Ok(Path::Route(
                route.parse().map_err(well)?,
                leaf(Container::Route, name)?,
            )),
            ["guards", name] => Ok(Path::Guards(leaf(Container::Guards, name)?)),
            ["ring", name] => Ok(Path::Rollout(leaf(Container::Rollout, name)?)),
            _ => Err(unknown(
                "no such path",
                "hosts/NAME/LEAF, routes/NAME/LEAF, guards/LEAF or ring/LEAF",
            )),
        }
    }
}

/// The getter and setter of a set of leaves, each of a kind of value. Setting tells whether the value was of the
/// leaf's type.
macro_rules! leaves {
    ($set:ident { $($leaf:ident => $field:ident : $kind:ident),+ $(,)? }) => {
        impl $set {
            pub fn get(&self, leaf: Leaf) -> Option<Value> {
                match leaf {
                    $(Leaf::$leaf => self.$field.clone().map(Value::$kind),)+
                    _ => None,
                }
            }

            fn set(&mut self, leaf: Leaf, value: Option<Value>) -> bool {
                match (leaf, value) {
                    $((Leaf::$leaf, Some(Value::$kind(value))) => self.$field = Some(value),
                    (Leaf::$leaf, None) => self.$field = None,)+
                    _ => return false,
                }
                true
            }
        }
    };
}

/// What is set of one host. With an endpoint it is an entry of its own; without one it says more of a host that
/// discovery lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostConfig {
    pub endpoint: Option<SocketAddr>,
    pub zone: Option<Arc<str>>,
    pub cell: Option<u32>,
    pub kind: Option<Arc<str>>,
    pub size: Option<f64>,
    pub build: Option<u32>,
    pub started: Option<f64>,
    pub weight: Option<f64>,
    pub state: Option<AdminState>,
}

leaves!(HostConfig {
    Endpoint => endpoint: Address,
    Zone => zone: Text,
    Cell => cell: Integer,
    Kind => kind: Text,
    Size => size: Number,
    Build => build: Integer,
    Started => started: Number,
    Weight => weight: Number,
    State => state: State,
});

/// What is set of one route: which invocations it is for, and which hosts they may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Lower goes first.
    pub precedence: Option<u32>,
    pub operations: Option<BTreeSet<Arc<str>>>,
    pub key_prefix: Option<Arc<str>>,
    pub zones: Option<BTreeSet<Arc<str>>>,
    pub kinds: Option<BTreeSet<Arc<str>>>,
    pub hosts: Option<BTreeSet<Arc<str>>>,
}

leaves!(RouteConfig {
    Precedence => precedence: Integer,
    Operations => operations: Names,
    KeyPrefix => key_prefix: Text,
    Zones => zones: Names,
    Kinds => kinds: Names,
    Hosts => hosts: Names,
});

/// What operators ask of the build on trial.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutConfig {
    pub build: Option<u32>,
    pub hold: Option<bool>,
    #[serde(rename = "back")]
    pub roll_back: Option<bool>,
    pub cap: Option<f64>,
}

leaves!(RolloutConfig {
    RolloutBuild => build: Integer,
    Hold => hold: Boolean,
    RollBack => roll_back: Boolean,
    Cap => cap: Number,
});

/// What a single change may do at most; unset ones are as in [`Guards::IN_FORCE`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Guards {
    /// Share of the hosts in service that one revision may take out.
    pub largest_removal: Option<f64>,
    /// Hosts that a revision leaves in service in each zone that it takes some from.
    #[serde(rename = "least_hosts_zone")]
    pub min_hosts_per_zone: Option<u32>,
    /// The same for the build that is released, and the one on trial.
    #[serde(rename = "least_hosts_build")]
    pub min_hosts_per_build: Option<u32>,
}

impl Guards {
    /// What counts where nothing is set: a file that lost half of its lines is an accident.
    pub const IN_FORCE: (f64, u32, u32) = (0.5, 1, 1);

    pub fn in_force(&self) -> (f64, u32, u32) {
        let (removal, zone, build) = Self::IN_FORCE;
        let least = (
            self.min_hosts_per_zone.unwrap_or(zone),
            self.min_hosts_per_build.unwrap_or(build),
        );
        (self.largest_removal.unwrap_or(removal), least.0, least.1)
    }
}

leaves!(Guards {
    LargestRemoval => largest_removal: Number,
    MinHostsPerZone => min_hosts_per_zone: Integer,
    MinHostsPerBuild => min_hosts_per_build: Integer,
});

/// A leaf that differs: what it was, and what it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    pub path: Path,
    pub old: Option<Value>,
    pub new: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text =
            |value: &Option<Value>| value.as_ref().map_or("nothing".into(), Value::to_string);
        write!(
            f,
            "{}: {} -> {}",
            self.path,
            text(&self.old),
            text(&self.new)
        )
    }
}

/// All that operators have set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    pub hosts: BTreeMap<HostName, HostConfig>,
    pub guards: Guards,
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RouteConfig>,
    #[serde(default)]
    #[serde(rename = "ring")]
    pub rollout: RolloutConfig,
}

impl Tree {
    pub fn get(&self, path: &Path) -> Option<Value> {
        match path {
            Path::Host(host, leaf) => self.hosts.get(host)?.get(*leaf),
            Path::Guards(leaf) => self.guards.get(*leaf),
            Path::Route(route, leaf) => self.routes.get(route)?.get(*leaf),
            Path::Rollout(leaf) => self.rollout.get(*leaf),
        }
    }

    /// Sets a leaf, or takes it away. A host or route of which nothing is set any more is no longer in the tree.
    pub fn set(&mut self, path: &Path, value: Option<Value>) -> Result<(), ValidationError> {
        let given = value.as_ref().map(Value::to_string).unwrap_or_default();
        let well = match path {
            Path::Host(host, leaf) => {
                let set = self.hosts.entry(host.clone()).or_default();
                let well = set.set(*leaf, value);
                if *set == HostConfig::default() {
                    self.hosts.remove(host);
                }
                well
            }
            Path::Route(route, leaf) => {
                let set = self.routes.entry(route.clone()).or_default();
                let well = set.set(*leaf, value);
                if *set == RouteConfig::default() {
                    self.routes.remove(route);
                }
                well
            }
            Path::Guards(leaf) => self.guards.set(*leaf, value),
            Path::Rollout(leaf) => self.rollout.set(*leaf, value),
        };
        if well {
            Ok(())
        } else {
            Err(ValidationError::new(
                path,
                "is of another type",
                given,
                path.leaf().expected_format(),
            ))
        }
    }

    /// The leaves that differ, in the order of their paths.
    pub fn differences(&self, new: &Tree) -> Vec<Difference> {
        let mut found = Vec::new();
        both(&self.hosts, &new.hosts, |name, old, new| {
            differ(
                Container::Host,
                |leaf| (old.get(leaf), new.get(leaf)),
                |leaf| Path::Host(name.clone(), leaf),
                &mut found,
            );
        });
        differ(
            Container::Guards,
            |leaf| (self.guards.get(leaf), new.guards.get(leaf)),
            Path::Guards,
            &mut found,
        );
        both(&self.routes, &new.routes, |name, old, new| {
            differ(
                Container::Route,
                |leaf| (old.get(leaf), new.get(leaf)),
                |leaf| Path::Route(name.clone(), leaf),
                &mut found,
            );
        });
        differ(
            Container::Rollout,
            |leaf| (self.rollout.get(leaf), new.rollout.get(leaf)),
            Path::Rollout,
            &mut found,
        );
        found
    }

    /// The tree after these changes, or before them.
    pub fn patched(
        &self,
        differences: &[Difference],
        back: bool,
    ) -> Result<Tree, ValidationErrors> {
        let (mut tree, mut errors) = (self.clone(), ValidationErrors::default());
        for difference in differences {
            let value = if back {
                &difference.old
            } else {
                &difference.new
            };
            errors.extend(tree.set(&difference.path, value.clone()).err());
        }
        errors.into_result().map(|()| tree)
    }
}

/// Walks two maps by their keys, where what stands there differs.
fn both<K: Ord, V: Default + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    mut differs: impl FnMut(&K, &V, &V),
) {
    let nothing = V::default();
    let (mut olds, mut news) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let order = match (olds.peek(), news.peek()) {
            (Some((a, _)), Some((b, _))) => a.cmp(b),
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (None, None) => return,
        };
        let old = if order == Ordering::Greater {
            None
        } else {
            olds.next()
        };
        let new = if order == Ordering::Less {
            None
        } else {
            news.next()
        };
        let Some((key, _)) = old.or(new) else { return };
        let (old, new) = (
            old.map_or(&nothing, |old| old.1),
            new.map_or(&nothing, |new| new.1),
        );
        if old != new {
            differs(key, old, new);
        }
    }
}

fn differ(
    place: Container,
    values: impl Fn(Leaf) -> (Option<Value>, Option<Value>),
    path: impl Fn(Leaf) -> Path,
    found: &mut Vec<Difference>,
) {
    for leaf in Leaf::all_of(place) {
        let (old, new) = values(leaf);
        if old != new {
            found.push(Difference {
                path: path(leaf),
                old,
                new,
            });
        }
    }
}

#[cfg(test)]
mod tests;
