//! The JSON structure of endpoint lists.
//!
//! serde's error texts, which routers print and log, contain the Rust names of these types. The types therefore keep
//! their names, and the parent module exports them under other names.

use std::borrow::Cow;
use std::net::SocketAddr;

use kestreltide::interface::{BuildId, HostState};
use kestreltide_datastore::HostRecord;
use serde::Deserialize;

/// An endpoint list, or the changes since an earlier revision.
#[derive(Debug, Deserialize)]
pub struct List<'a> {
    /// The revision of the list.
    pub rev: u64,
    /// Whether this is the full list; otherwise it holds only the hosts that changed.
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
    /// The address on which the host serves requests.
    pub endpoint: SocketAddr,
    /// The name of its zone.
    #[serde(borrow)]
    pub az: Cow<'a, str>,
    /// The name of its machine kind.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// The number of its cell.
    pub pod_group: u32,
    /// Whether the host takes requests.
    state: State,
    /// The capacity of the host; 1 for a standard machine.
    pub capacity_hint: f64,
    /// When the host started last, in Unix milliseconds; 0 if it is not known.
    boot_ms: u64,
    /// The number of its build.
    pub build: u16,
}

/// The state of a host as discovery names it.
#[derive(Clone, Copy, Debug, Deserialize)]
enum State {
    /// The host takes requests.
    Ready,
    /// The host shuts down and takes no new requests.
    Terminating,
    /// The host has ended.
    Gone,
}

impl Target<'_> {
    /// The lifecycle state of the host.
    pub fn state(&self) -> HostState {
        match self.state {
            State::Ready => HostState::Running,
            State::Terminating => HostState::Stopping,
            State::Gone => HostState::Removed,
        }
    }

    /// Converts the host to the datastore's representation.
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

    /// When the host started last, in Unix seconds; `None` if it is not known.
    pub fn started(&self) -> Option<f64> {
        (self.boot_ms > 0).then(|| self.boot_ms as f64 / 1e3)
    }
}
