//! The typed tree of what operators set: hosts (entries, weights, administrative states) and guards. Every
//! value stands at a leaf with a path; two trees differ by leaves, and a change is a list of them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::fault::{Fault, Faults};

/// A host's name, the same as discovery's id where both list it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HostName(Arc<str>);

/// Characters of a name, of a host, a zone or a kind.
const NAME_MOST: usize = 128;

fn name(text: &str) -> Result<Arc<str>, String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    match text {
        "" => Err("is empty".into()),
        _ if text.len() > NAME_MOST => Err(format!("is longer than {NAME_MOST} characters")),
        _ if !text.chars().all(plain) => Err("has characters other than letters, digits and . _ : -".into()),
        _ => Ok(text.into()),
    }
}

impl HostName {
    pub fn as_str(&self) -> &str {
        &self.0
    }

    pub fn shared(&self) -> Arc<str> {
        self.0.clone()
    }
}

impl FromStr for HostName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        name(text).map(HostName)
    }
}

impl TryFrom<String> for HostName {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        text.parse()
    }
}

impl From<HostName> for String {
    fn from(name: HostName) -> String {
        name.0.as_ref().into()
    }
}

impl fmt::Display for HostName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

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

const STATES: [(AdminState, &str); 3] =
    [(AdminState::InService, "in-service"), (AdminState::Draining, "draining"), (AdminState::Out, "out")];

impl fmt::Display for AdminState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = STATES.iter().find(|(state, _)| state == self).map_or("", |(_, text)| text);
        f.write_str(text)
    }
}

/// The leaves of a host, in the order in which they are shown.
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
    // Of the guards.
    LargestRemoval,
    LeastHostsZone,
    LeastHostsBuild,
}

/// The name of each leaf, and what it takes.
const LEAVES: [(Leaf, &str, &str); 12] = [
    (Leaf::Endpoint, "endpoint", "an address and port, such as 10.1.0.18:6379"),
    (Leaf::Zone, "zone", "a name of letters, digits and . _ : -"),
    (Leaf::Cell, "cell", "a whole number from 0 to 4294967295"),
    (Leaf::Kind, "kind", "a name of letters, digits and . _ : -"),
    (Leaf::Size, "size", "a number over 0, at most 1000000, 1 for a usual host"),
    (Leaf::Build, "build", "a whole number from 0 to 65535"),
    (Leaf::Started, "started", "a time such as 2026-12-01T03:00:00Z, or seconds since 1970"),
    (Leaf::Weight, "weight", "a number from 0.01 to 100, 1 for an even share"),
    (Leaf::State, "state", "in-service, draining or out"),
    (Leaf::LargestRemoval, "largest-removal", "a share from 0 to 1 of the hosts in service"),
    (Leaf::LeastHostsZone, "least-hosts-zone", "a whole number from 0 to 16384"),
    (Leaf::LeastHostsBuild, "least-hosts-build", "a whole number from 0 to 16384"),
];

const HOST_LEAVES: usize = 9;

impl Leaf {
    pub fn name(self) -> &'static str {
        LEAVES.iter().find(|row| row.0 == self).map_or("", |row| row.1)
    }

    /// What the leaf takes, in words.
    pub fn takes(self) -> &'static str {
        LEAVES.iter().find(|row| row.0 == self).map_or("", |row| row.2)
    }

    pub fn of_host(name: &str) -> Option<Leaf> {
        LEAVES[..HOST_LEAVES].iter().find(|row| row.1 == name).map(|row| row.0)
    }

    pub fn of_guards(name: &str) -> Option<Leaf> {
        LEAVES[HOST_LEAVES..].iter().find(|row| row.1 == name).map(|row| row.0)
    }

    pub fn all_of_host() -> impl Iterator<Item = Leaf> {
        LEAVES[..HOST_LEAVES].iter().map(|row| row.0)
    }

    pub fn all_of_guards() -> impl Iterator<Item = Leaf> {
        LEAVES[HOST_LEAVES..].iter().map(|row| row.0)
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
            Ok(number) if number <= most => Ok(Value::Whole(number)),
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
                let state =
                    STATES.iter().find(|(_, name)| *name == text).map(|(state, _)| Value::State(*state));
                state.ok_or_else(|| "is no administrative state".into())
            }
            Leaf::LargestRemoval => number(0.0, 1.0),
            Leaf::LeastHostsZone | Leaf::LeastHostsBuild => whole(16 * 1024),
        }
    }
}

/// The least and the greatest weight: beyond them a state is meant, or an error was made.
pub const WEIGHTS: [f64; 2] = [0.01, 100.0];

/// Unix seconds; from text that is that, or a date and time in UTC (RFC 3339).
fn time(text: &str) -> Result<f64, String> {
    let seconds = match text.parse::<f64>() {
        Ok(seconds) => Some(seconds),
        Err(_) => humantime::parse_rfc3339(text)
            .ok()
            .and_then(|at| at.duration_since(std::time::UNIX_EPOCH).ok().map(|since| since.as_secs_f64())),
    };
    let sense = seconds.filter(|at| (0.0..=LAST_TIME).contains(at));
    sense.ok_or_else(|| "is no time".into())
}

/// Seconds: the year 9999, after which dates have no form.
const LAST_TIME: f64 = 253_402_300_799.0;

/// A value at a leaf.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    Address(SocketAddr),
    Text(Arc<str>),
    Whole(u32),
    Number(f64),
    State(AdminState),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Address(at) => at.fmt(f),
            Value::Text(text) => text.fmt(f),
            Value::Whole(number) => number.fmt(f),
            Value::Number(number) => number.fmt(f),
            Value::State(state) => state.fmt(f),
        }
    }
}

/// Where a leaf stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Path {
    Host(HostName, Leaf),
    Guards(Leaf),
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Host(host, leaf) => write!(f, "hosts/{host}/{}", leaf.name()),
            Path::Guards(leaf) => write!(f, "guards/{}", leaf.name()),
        }
    }
}

impl FromStr for Path {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        let unknown = |what: &str, takes: String| Fault::new(text, what, text, takes);
        let names =
            |leaves: &mut dyn Iterator<Item = Leaf>| leaves.map(Leaf::name).collect::<Vec<_>>().join(", ");
        let parts: Vec<_> = text.trim_start_matches('/').split('/').collect();
        match parts.as_slice() {
            ["hosts", host, leaf] => {
                let takes = "a name of letters, digits and . _ : -".into();
                let host =
                    host.parse().map_err(|why: String| unknown(&format!("the host's name {why}"), takes))?;
                let leaf = Leaf::of_host(leaf);
                let leaf =
                    leaf.ok_or_else(|| unknown("no such leaf of a host", names(&mut Leaf::all_of_host())))?;
                Ok(Path::Host(host, leaf))
            }
            ["guards", leaf] => {
                let leaf = Leaf::of_guards(leaf);
                let leaf = leaf.ok_or_else(|| unknown("no such guard", names(&mut Leaf::all_of_guards())))?;
                Ok(Path::Guards(leaf))
            }
            _ => Err(unknown("no such path", "hosts/NAME/LEAF or guards/LEAF".into())),
        }
    }
}

/// What is set of one host. With an endpoint it is an entry of its own; without one it says more of a host that
/// discovery lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostSet {
    pub endpoint: Option<SocketAddr>,
    pub zone: Option<Arc<str>>,
    pub cell: Option<u32>,
    pub kind: Option<Arc<str>>,
    pub size: Option<f64>,
    pub build: Option<u16>,
    pub started: Option<f64>,
    pub weight: Option<f64>,
    pub state: Option<AdminState>,
}

impl HostSet {
    pub fn get(&self, leaf: Leaf) -> Option<Value> {
        match leaf {
            Leaf::Endpoint => self.endpoint.map(Value::Address),
            Leaf::Zone => self.zone.clone().map(Value::Text),
            Leaf::Cell => self.cell.map(Value::Whole),
            Leaf::Kind => self.kind.clone().map(Value::Text),
            Leaf::Size => self.size.map(Value::Number),
            Leaf::Build => self.build.map(|build| Value::Whole(build.into())),
            Leaf::Started => self.started.map(Value::Number),
            Leaf::Weight => self.weight.map(Value::Number),
            Leaf::State => self.state.map(Value::State),
            Leaf::LargestRemoval | Leaf::LeastHostsZone | Leaf::LeastHostsBuild => None,
        }
    }

    /// False where the value is not of the leaf's type.
    fn set(&mut self, leaf: Leaf, value: Option<Value>) -> bool {
        macro_rules! put {
            ($field:ident, $kind:ident) => {
                match value {
                    Some(Value::$kind(value)) => self.$field = Some(value),
                    None => self.$field = None,
                    Some(_) => return false,
                }
            };
        }
        match leaf {
            Leaf::Endpoint => put!(endpoint, Address),
            Leaf::Zone => put!(zone, Text),
            Leaf::Cell => put!(cell, Whole),
            Leaf::Kind => put!(kind, Text),
            Leaf::Size => put!(size, Number),
            Leaf::Started => put!(started, Number),
            Leaf::Weight => put!(weight, Number),
            Leaf::State => put!(state, State),
            Leaf::Build => match value
                .map(|value| if let Value::Whole(n) = value { u16::try_from(n).ok() } else { None })
            {
                Some(None) => return false,
                build => self.build = build.flatten(),
            },
            Leaf::LargestRemoval | Leaf::LeastHostsZone | Leaf::LeastHostsBuild => return false,
        }
        true
    }

    fn is_nothing(&self) -> bool {
        *self == HostSet::default()
    }
}

/// What a single change may do at most; unset ones are as in [`Guards::IN_FORCE`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Guards {
    /// Share of the hosts in service that one revision may take out.
    pub largest_removal: Option<f64>,
    /// Hosts that a revision leaves in service in each zone that it takes some from.
    pub least_hosts_zone: Option<u32>,
    /// The same for the build that is released, and the one on trial.
    pub least_hosts_build: Option<u32>,
}

impl Guards {
    /// What counts where nothing is set: a file that lost half of its lines is an accident.
    pub const IN_FORCE: (f64, u32, u32) = (0.5, 1, 1);

    pub fn in_force(&self) -> (f64, u32, u32) {
        let (removal, zone, build) = Self::IN_FORCE;
        let least = (self.least_hosts_zone.unwrap_or(zone), self.least_hosts_build.unwrap_or(build));
        (self.largest_removal.unwrap_or(removal), least.0, least.1)
    }

    fn get(&self, leaf: Leaf) -> Option<Value> {
        match leaf {
            Leaf::LargestRemoval => self.largest_removal.map(Value::Number),
            Leaf::LeastHostsZone => self.least_hosts_zone.map(Value::Whole),
            Leaf::LeastHostsBuild => self.least_hosts_build.map(Value::Whole),
            _ => None,
        }
    }

    fn set(&mut self, leaf: Leaf, value: Option<Value>) -> bool {
        match (leaf, value) {
            (Leaf::LargestRemoval, Some(Value::Number(share))) => self.largest_removal = Some(share),
            (Leaf::LargestRemoval, None) => self.largest_removal = None,
            (Leaf::LeastHostsZone, Some(Value::Whole(hosts))) => self.least_hosts_zone = Some(hosts),
            (Leaf::LeastHostsZone, None) => self.least_hosts_zone = None,
            (Leaf::LeastHostsBuild, Some(Value::Whole(hosts))) => self.least_hosts_build = Some(hosts),
            (Leaf::LeastHostsBuild, None) => self.least_hosts_build = None,
            _ => return false,
        }
        true
    }
}

/// A leaf that differs: what it was, and what it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    pub path: Path,
    pub old: Option<Value>,
    pub new: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<Value>| value.as_ref().map_or("nothing".into(), Value::to_string);
        write!(f, "{}: {} -> {}", self.path, text(&self.old), text(&self.new))
    }
}

/// All that operators have set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    pub hosts: BTreeMap<HostName, HostSet>,
    pub guards: Guards,
}

impl Tree {
    pub fn get(&self, path: &Path) -> Option<Value> {
        match path {
            Path::Host(host, leaf) => self.hosts.get(host)?.get(*leaf),
            Path::Guards(leaf) => self.guards.get(*leaf),
        }
    }

    /// Sets a leaf, or takes it away. A host of which nothing is set any more is no longer in the tree.
    pub fn set(&mut self, path: &Path, value: Option<Value>) -> Result<(), Fault> {
        let (leaf, given) = match path {
            Path::Host(_, leaf) | Path::Guards(leaf) => (*leaf, value.as_ref().map(Value::to_string)),
        };
        let well = match path {
            Path::Host(host, leaf) => {
                let set = self.hosts.entry(host.clone()).or_default();
                let well = set.set(*leaf, value);
                if set.is_nothing() {
                    self.hosts.remove(host);
                }
                well
            }
            Path::Guards(leaf) => self.guards.set(*leaf, value),
        };
        let given = given.unwrap_or_default();
        if well { Ok(()) } else { Err(Fault::new(path, "is of another type", given, leaf.takes())) }
    }

    /// The leaves that differ, in the order of their paths.
    pub fn differences(&self, new: &Tree) -> Vec<Difference> {
        let mut found = Vec::new();
        let nothing = HostSet::default();
        let mut host = |name: &HostName, old: &HostSet, new: &HostSet| {
            if old != new {
                for leaf in Leaf::all_of_host() {
                    let (old, new) = (old.get(leaf), new.get(leaf));
                    if old != new {
                        found.push(Difference { path: Path::Host(name.clone(), leaf), old, new });
                    }
                }
            }
        };
        let (mut olds, mut news) = (self.hosts.iter().peekable(), new.hosts.iter().peekable());
        loop {
            match (olds.peek(), news.peek()) {
                (Some((a, old)), Some((b, new))) if a == b => {
                    host(a, old, new);
                    olds.next();
                    news.next();
                }
                (Some((a, old)), other) if other.is_none_or(|(b, _)| a < b) => {
                    host(a, old, &nothing);
                    olds.next();
                }
                (_, Some((b, new))) => {
                    host(b, &nothing, new);
                    news.next();
                }
                (_, None) => break,
            }
        }
        for leaf in Leaf::all_of_guards() {
            let (old, new) = (self.guards.get(leaf), new.guards.get(leaf));
            if old != new {
                found.push(Difference { path: Path::Guards(leaf), old, new });
            }
        }
        found
    }

    /// The tree after these changes, or before them.
    pub fn patched(&self, differences: &[Difference], back: bool) -> Result<Tree, Faults> {
        let (mut tree, mut faults) = (self.clone(), Faults::default());
        for difference in differences {
            let value = if back { &difference.old } else { &difference.new };
            faults.extend(tree.set(&difference.path, value.clone()).err());
        }
        faults.into_result().map(|()| tree)
    }
}
