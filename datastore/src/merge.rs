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
pub enum MergePolicy {
    /// Discovery's value is used, as discovery observes the processes.
    PreferDiscovery,
    /// The operators' value is used, as operators decide how to use a machine.
    PreferOperators,
    /// The later time is used.
    LaterTime,
    /// The state that lets less traffic go to the host is used.
    MostRestrictive,
}

/// Returns how the value of a leaf is chosen. Discovery decides on zone and cell because rule 2 depends on them: hosts
/// of one zone and cell share their record of idempotency keys and drop each other's repeated requests.
pub fn merge_policy(leaf: Leaf) -> MergePolicy {
    match leaf {
        Leaf::Size | Leaf::Weight => MergePolicy::PreferOperators,
        Leaf::Started => MergePolicy::LaterTime,
        Leaf::State => MergePolicy::MostRestrictive,
        _ => MergePolicy::PreferDiscovery,
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
fn restriction_rank(state: HostState) -> u8 {
    match state {
        HostState::Running => 0,
        HostState::Stopping => 1,
        HostState::Removed => 2,
    }
}

fn more_restrictive(first: HostState, second: HostState) -> HostState {
    if restriction_rank(first) >= restriction_rank(second) {
        first
    } else {
        second
    }
}

/// Returns the value of a leaf that is used. `combine` chooses where the values themselves decide.
fn resolve_leaf<T>(
    leaf: Leaf,
    discovery: Option<T>,
    operators: Option<T>,
    combine: impl Fn(T, T) -> T,
) -> Option<T> {
    match (merge_policy(leaf), discovery, operators) {
        (MergePolicy::PreferDiscovery, Some(value), _)
        | (MergePolicy::PreferOperators, _, Some(value)) => Some(value),
        (MergePolicy::LaterTime | MergePolicy::MostRestrictive, Some(first), Some(second)) => {
            Some(combine(first, second))
        }
        (_, first, second) => first.or(second),
    }
}

/// Returns the value of a leaf for which either discovery or operators decide, whatever the values are.
fn resolve_leaf_by_source<T>(leaf: Leaf, discovery: Option<T>, operators: Option<T>) -> Option<T> {
    resolve_leaf(leaf, discovery, operators, |first, _| first)
}

/// Merges what discovery and operators list of one host; `None` if this makes no complete entry.
///
/// `first_listed` is when operators first listed the host (Unix seconds), if its start is not known. It stands in for
/// the start of a host that discovery does not list: the safe assumption is that the host has just started.
pub fn merge_host(
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
        endpoint: resolve_leaf_by_source(
            Leaf::Endpoint,
            discovery.map(|host| host.endpoint),
            config.endpoint,
        )?,
        zone: resolve_leaf_by_source(
            Leaf::Zone,
            discovery.map(|host| host.zone.clone()),
            config.zone.clone(),
        )?,
        cell: resolve_leaf_by_source(Leaf::Cell, discovery.map(|host| host.cell), config.cell)
            .unwrap_or(DEFAULT_CELL),
        kind: resolve_leaf_by_source(
            Leaf::Kind,
            discovery.map(|host| host.kind.clone()),
            config.kind.clone(),
        )?,
        size: resolve_leaf_by_source(Leaf::Size, discovery.map(|host| host.size), config.size)
            .unwrap_or(DEFAULT_SIZE),
        build: resolve_leaf_by_source(
            Leaf::Build,
            discovery.map(|host| host.build),
            configured_build,
        )?,
        started: resolve_leaf(
            Leaf::Started,
            discovery.and_then(|host| host.started),
            configured_start,
            f64::max,
        ),
        state: resolve_leaf(
            Leaf::State,
            discovery.map(|host| host.state),
            config.state.map(AdminState::host_state),
            more_restrictive,
        )
        .unwrap_or(HostState::Running),
    })
}

/// Merges all hosts of a tree with those of discovery, and returns them by name.
pub fn merge_hosts(
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
        if let Some(host) = merge_host(name, None, Some(config), first_listed.get(name).copied()) {
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
        Some((name, config)) => merge_host(&name, Some(listed), Some(config), None),
        None => Some(listed.clone()),
    }
}
