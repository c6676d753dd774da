//! Where discovery and operators both list a host: whose value counts, leaf by leaf.

use std::collections::BTreeMap;
use std::sync::Arc;

use kestreltide::interface::{BuildId, HostState};

use crate::host_record::HostRecord;
use crate::tree::{AdminState, HostConfig, HostName, Leaf, Tree};

/// When operators first listed each host of which no start is known, in Unix seconds.
pub type FirstListed = BTreeMap<HostName, f64>;

/// The size of a host where nobody gives one.
const DEFAULT_SIZE: f64 = 1.0;
/// The cell of a host where nobody gives one.
const DEFAULT_CELL: u32 = 0;

/// Whose value counts where both give one; where only one does, that one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// Discovery's: it observes the processes.
    Discovery,
    /// The operators': they know what they want of a machine.
    Operators,
    /// The later time.
    LaterTime,
    /// The one that lets less traffic go to the host.
    MostRestrictive,
}

/// Whose value of a leaf counts. Zone and cell are discovery's as rule 2 rests on them: they tell which hosts drop each
/// other's repeated requests.
pub fn precedence_of(leaf: Leaf) -> Precedence {
    match leaf {
        Leaf::Size | Leaf::Weight => Precedence::Operators,
        Leaf::Started => Precedence::LaterTime,
        Leaf::State => Precedence::MostRestrictive,
        _ => Precedence::Discovery,
    }
}

impl AdminState {
    /// The state for the decisions: nothing new goes to a host that is draining or out.
    pub fn host_state(self) -> HostState {
        match self {
            AdminState::InService => HostState::Running,
            AdminState::Draining | AdminState::Out => HostState::Stopping,
        }
    }
}

/// How little may go to a host in this state: higher is less.
fn restriction(state: HostState) -> u8 {
    match state {
        HostState::Running => 0,
        HostState::Stopping => 1,
        HostState::Removed => 2,
    }
}

fn more_restrictive(first: HostState, second: HostState) -> HostState {
    if restriction(first) >= restriction(second) {
        first
    } else {
        second
    }
}

/// The value of a leaf that counts; `combine` decides where its precedence compares the values.
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

/// The value of a leaf whose precedence is discovery's or the operators'.
fn pick_either<T>(leaf: Leaf, discovery: Option<T>, operators: Option<T>) -> Option<T> {
    pick(leaf, discovery, operators, |first, _| first)
}

/// The host as it counts; `None` where all that is known of it makes no complete entry.
///
/// `first_listed` is when operators listed it first (Unix seconds), where no start is known: that it has just started
/// is the careful guess.
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

/// All hosts as they count under a tree, by name.
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

/// A host of discovery with what operators set of it.
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
