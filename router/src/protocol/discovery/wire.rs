//! Endpoint lists by their names on the wire.
//!
//! serde's error texts hold the Rust names of these types, which routers print and log: they are kept as they have
//! been, and exported by the names that the rest of the program uses.

use std::borrow::Cow;
use std::net::SocketAddr;

use kestreltide::interface::{BuildId, HostState};
use kestreltide_datastore::HostRecord;
use serde::Deserialize;

/// An endpoint list, or what has changed in it.
#[derive(Debug, Deserialize)]
pub struct List<'a> {
    /// The list's version.
    pub rev: u64,
    /// It is the full list, not only what changed.
    pub all: bool,
    /// The hosts.
    #[serde(borrow)]
    pub targets: Vec<Target<'a>>,
}

/// A host as discovery lists it.
#[derive(Debug, Deserialize)]
pub struct Target<'a> {
    /// The host's name.
    #[serde(borrow)]
    pub uid: Cow<'a, str>,
    /// Where it serves.
    pub endpoint: SocketAddr,
    /// The name of its zone.
    #[serde(borrow)]
    pub az: Cow<'a, str>,
    /// The name of its machine kind.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// The number of its cell.
    pub pod_group: u32,
    state: State,
    /// Its size in comparison to other hosts.
    pub capacity_hint: f64,
    boot_ms: u64,
    /// The number of its build.
    pub build: u16,
}

#[derive(Clone, Copy, Debug, Deserialize)]
enum State {
    Ready,
    Terminating,
    Gone,
}

impl Target<'_> {
    /// Whether it runs.
    pub fn state(&self) -> HostState {
        match self.state {
            State::Ready => HostState::Running,
            State::Terminating => HostState::Stopping,
            State::Gone => HostState::Removed,
        }
    }

    /// The host as the datastore keeps it.
    pub fn to_host_record(&self) -> HostRecord {
        HostRecord {
            name: self.uid.as_ref().into(),
            endpoint: self.endpoint,
            zone: self.az.as_ref().into(),
            cell: self.pod_group,
            kind: self.model.as_ref().into(),
            size: self.capacity_hint,
            build: BuildId(self.build),
            started: self.started(),
            state: self.state(),
        }
    }

    /// When it started last, in Unix time in seconds.
    pub fn started(&self) -> Option<f64> {
        (self.boot_ms > 0).then(|| self.boot_ms as f64 / 1e3)
    }
}
