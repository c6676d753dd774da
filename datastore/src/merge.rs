//! Where the list of discovery and what operators set both speak of a host: who wins, field by field.

use std::net::SocketAddr;
use std::sync::Arc;

use kestreltide::interface::*;

use crate::tree::{AdminState, HostConfig, HostName, Leaf};

/// Who is believed where both say something; where only one does, it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precedence {
    /// It sees the processes.
    Discovery,
    /// They know what they want of a machine.
    Operators,
    /// Whichever says the later time.
    LaterTime,
    /// Whichever lets less go to the host.
    MostRestrictive,
}

/// Zone and cell stand with discovery as rule 2 rests on them: they say which hosts drop each other's repeats.
pub const PRECEDENCE: [(Leaf, Precedence); 9] = [
    (Leaf::Endpoint, Precedence::Discovery),
    (Leaf::Zone, Precedence::Discovery),
    (Leaf::Cell, Precedence::Discovery),
    (Leaf::Kind, Precedence::Discovery),
    (Leaf::Size, Precedence::Operators),
    (Leaf::Build, Precedence::Discovery),
    (Leaf::Started, Precedence::LaterTime),
    (Leaf::Weight, Precedence::Operators),
    (Leaf::State, Precedence::MostRestrictive),
];

pub fn precedence_of(leaf: Leaf) -> Precedence {
    PRECEDENCE
        .iter()
        .find(|row| row.0 == leaf)
        .map_or(Precedence::Discovery, |row| row.1)
}

/// A host as somebody lists it, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct HostRecord {
    pub name: Arc<str>,
    pub endpoint: SocketAddr,
    pub zone: Arc<str>,
    pub cell: u32,
    pub kind: Arc<str>,
    pub size: f64,
    pub build: BuildId,
    /// `None`: long ago.
    pub started: Option<f64>,
    pub state: HostState,
}

impl HostRecord {
    pub fn id(&self) -> HostId {
        HostId::named(&self.name)
    }

    pub fn entry(&self) -> HostEntry {
        HostEntry {
            host: self.id(),
            build: self.build,
            zone: ZoneId::named(&self.zone),
            cell: CellId(self.cell),
            kind: KindId::named(&self.kind),
            size: self.size,
            started: self.started,
            state: self.state,
        }
    }

    /// Another process, or the same elsewhere: an id and its address may come back.
    pub fn is_replaced_by(&self, new: &HostRecord) -> bool {
        self.endpoint != new.endpoint || self.build != new.build || self.started != new.started
    }

    pub fn is_in_service(&self) -> bool {
        self.state == HostState::Running
    }
}

impl AdminState {
    /// What it is to the decisions: nothing new goes to a host that drains or is out.
    pub fn host_state(self) -> HostState {
        match self {
            AdminState::InService => HostState::Running,
            AdminState::Draining | AdminState::Out => HostState::Stopping,
        }
    }
}

fn care(state: HostState) -> u8 {
    match state {
        HostState::Running => 0,
        HostState::Stopping => 1,
        HostState::Gone => 2,
    }
}

fn pick<T>(
    leaf: Leaf,
    discovery: Option<T>,
    operators: Option<T>,
    later: impl Fn(T, T) -> T,
) -> Option<T> {
    match (precedence_of(leaf), discovery, operators) {
        (Precedence::Discovery, Some(said), _) | (Precedence::Operators, _, Some(said)) => {
            Some(said)
        }
        (Precedence::LaterTime | Precedence::MostRestrictive, Some(a), Some(b)) => {
            Some(later(a, b))
        }
        (_, a, b) => a.or(b),
    }
}

/// The host as it counts. `since` is when operators listed it first, where nobody says when it started: a new
/// machine is the careful guess. `None` where what there is makes no entry.
pub fn merge(
    name: &HostName,
    discovery: Option<&HostRecord>,
    set: Option<&HostConfig>,
    since: Option<f64>,
) -> Option<HostRecord> {
    let nothing = HostConfig::default();
    let set = set.unwrap_or(&nothing);
    let told = |of: fn(&HostRecord) -> Arc<str>| discovery.map(of);
    let first = |a, _| a;
    let state = set.state.map(AdminState::host_state);
    let build = set
        .build
        .and_then(|build| u16::try_from(build).ok())
        .map(BuildId);
    let started = set.started.or(since.filter(|_| discovery.is_none()));
    Some(HostRecord {
        name: discovery.map_or_else(|| name.shared(), |told| told.name.clone()),
        endpoint: pick(
            Leaf::Endpoint,
            discovery.map(|told| told.endpoint),
            set.endpoint,
            first,
        )?,
        zone: pick(
            Leaf::Zone,
            told(|told| told.zone.clone()),
            set.zone.clone(),
            |a, _| a,
        )?,
        cell: pick(
            Leaf::Cell,
            discovery.map(|told| told.cell),
            set.cell,
            |a, _| a,
        )
        .unwrap_or(0),
        kind: pick(
            Leaf::Kind,
            told(|told| told.kind.clone()),
            set.kind.clone(),
            |a, _| a,
        )?,
        size: pick(
            Leaf::Size,
            discovery.map(|told| told.size),
            set.size,
            |a, _| a,
        )
        .unwrap_or(1.0),
        build: pick(
            Leaf::Build,
            discovery.map(|told| told.build),
            build,
            |a, _| a,
        )?,
        started: pick(
            Leaf::Started,
            discovery.and_then(|told| told.started),
            started,
            f64::max,
        ),
        state: pick(
            Leaf::State,
            discovery.map(|told| told.state),
            state,
            |a, b| {
                if care(a) >= care(b) { a } else { b }
            },
        )
        .unwrap_or(HostState::Running),
    })
}
