//! Merges what discovery and operators list of a host, leaf by leaf.

use std::collections::BTreeMap;
use std::sync::Arc;

use kestreltide::interface::{BuildId, HostState};

use crate::host_record::HostRecord;
use crate::tree::{AdminState, HostConfig, HostName, Leaf, Tree};

/// When operators first listed each host whose start is not known, in Unix seconds.
pub type FirstListed = BTreeMap<HostName, f64>;

/// The size of a host if neither discovery nor operators set it.
const DEFAULT_SIZE: f64 = 1.0;
/// The cell of a host if neither discovery nor operators set it.
const DEFAULT_CELL: u32 = 0;

/// How a value is chosen if both discovery and operators set a leaf. If only one of them does, its value is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// Discovery's value is used, as discovery observes the processes.
    Discovery,
    /// The operators' value is used, as operators decide how to use a machine.
    Operators,
    /// The later time is used.
    LaterTime,
    /// The state that lets less traffic go to the host is used.
    MostRestrictive,
}

/// Returns how the value of a leaf is chosen. Discovery decides on zone and cell because rule 2 depends on them: hosts
/// of one zone and cell share their record of idempotency keys and drop each other's repeated requests.
pub fn precedence_of(leaf: Leaf) -> Precedence {
    match leaf {
        Leaf::Size | Leaf::Weight => Precedence::Operators,
        Leaf::Started => Precedence::LaterTime,
        Leaf::State => Precedence::MostRestrictive,
        _ => Precedence::Discovery,
    }
}

impl AdminState {
    /// Returns the state for the decision module: no new requests go to a host that is draining or out.
    pub fn host_state(self) -> HostState {
        match self {
            AdminState::InService => HostState::Running,
            AdminState::Draining | AdminState::Out => HostState::Stopping,
        }
    }
}

/// Ranks states by how little traffic may go to a host; a higher rank means less traffic.
fn restriction(state: HostState) -> u8 {
    match state {
        HostState::Running => 0,
        HostState::Stopping => 1,
        HostState::Gone => 2,
    }
}

fn more_restrictive(first: HostState, second: HostState) -> HostState {
    if restriction(first) >= restriction(second) {
        first
    } else {
        second
    }
}

/// Returns the value of a leaf that is used. `combine` chooses where the values themselves decide.
fn pick<T>(
    leaf: Leaf,
    discovery: Option<T>,
    operators: Option<T>,
    combine: impl Fn(T, T) -> T,
) -> Option<T> {
    match (precedence_of(leaf), discovery, operators) {
        (Precedence::Discovery, Some(value), _) | (Precedence::Operators, _, Some(value)) => {
            Some(value)
        }
        (Precedence::LaterTime | Precedence::MostRestrictive, Some(first), Some(second)) => {
            Some(combine(first, second))
        }
        (_, first, second) => first.or(second),
    }
}

/// Returns the value of a leaf for which either discovery or operators decide, whatever the values are.
fn pick_either<T>(leaf: Leaf, discovery: Option<T>, operators: Option<T>) -> Option<T> {
    pick(leaf, discovery, operators, |first, _| first)
}

/// Merges what discovery and operators list of one host; `None` if this makes no complete entry.
///
/// `first_listed` is when operators first listed the host (Unix seconds), if its start is not known. It stands in for
/// the start of a host that discovery does not list: the safe assumption is that the host has just started.
pub fn merge(
    name: &HostName,
    discovery: Option<&HostRecord>,
    config: Option<&HostConfig>,
    first_listed: Option<f64>,
) -> Option<HostRecord> {
    let unset = HostConfig::default();
    let config = config.unwrap_or(&unset);
    let configured_build = config
        .build
        .and_then(|build| u16::try_from(build).ok())
        .map(BuildId);
    let configured_start = config
        .started
        .or(first_listed.filter(|_| discovery.is_none()));
    Some(HostRecord {
        name: discovery.map_or_else(|| name.shared(), |host| host.name.clone()),
        endpoint: pick_either(
            Leaf::Endpoint,
            discovery.map(|host| host.endpoint),
            config.endpoint,
        )?,
        zone: pick_either(
            Leaf::Zone,
            discovery.map(|host| host.zone.clone()),
            config.zone.clone(),
        )?,
        cell: pick_either(Leaf::Cell, discovery.map(|host| host.cell), config.cell)
            .unwrap_or(DEFAULT_CELL),
        kind: pick_either(
            Leaf::Kind,
            discovery.map(|host| host.kind.clone()),
            config.kind.clone(),
        )?,
        size: pick_either(Leaf::Size, discovery.map(|host| host.size), config.size)
            .unwrap_or(DEFAULT_SIZE),
        build: pick_either(
            Leaf::Build,
            discovery.map(|host| host.build),
            configured_build,
        )?,
        started: pick(
            Leaf::Started,
            discovery.and_then(|host| host.started),
            configured_start,
            f64::max,
        ),
        state: pick(
            Leaf::State,
            discovery.map(|host| host.state),
            config.state.map(AdminState::host_state),
            more_restrictive,
        )
        .unwrap_or(HostState::Running),
    })
}

/// Merges all hosts of a tree with those of discovery, and returns them by name.
pub fn merge_all(
    tree: &Tree,
    first_listed: &FirstListed,
    discovery: Option<&[HostRecord]>,
) -> BTreeMap<Arc<str>, HostRecord> {
    let mut hosts = BTreeMap::new();
    for listed in discovery.unwrap_or_default() {
        if let Some(host) = merge_listed(tree, listed) {
            hosts.insert(listed.name.clone(), host);
        }
    }
    for (name, config) in &tree.hosts {
        if hosts.contains_key(name.as_str()) {
            continue;
        }
        if let Some(host) = merge(name, None, Some(config), first_listed.get(name).copied()) {
            hosts.insert(name.shared(), host);
        }
    }
    hosts
}

/// Merges a host of discovery with what operators configure for it.
fn merge_listed(tree: &Tree, listed: &HostRecord) -> Option<HostRecord> {
    let name: Option<HostName> = listed.name.parse().ok();
    let configured = name.and_then(|name| {
        let config = tree.hosts.get(&name)?;
        Some((name, config))
    });
    match configured {
        Some((name, config)) => merge(&name, Some(listed), Some(config), None),
        None => Some(listed.clone()),
    }
}
