//! What is set of one host, one route, the rollout and the guards.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::leaf::Leaf;
use super::value::{AdminState, Value};

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

            pub(super) fn set(&mut self, leaf: Leaf, value: Option<Value>) -> bool {
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
