//! What is set of one host, of one route, of the rollout, and the guards.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::leaf::Leaf;
use super::value::{AdminState, Value};

/// The getter and setter of the leaves of a container, each with the kind of value that it takes.
macro_rules! leaves {
    ($container:ident { $($leaf:ident => $field:ident : $kind:ident),+ $(,)? }) => {
        impl $container {
            /// The value of a leaf, where it is set.
            pub fn get(&self, leaf: Leaf) -> Option<Value> {
                match leaf {
                    $(Leaf::$leaf => self.$field.clone().map(Value::$kind),)+
                    _ => None,
                }
            }

            /// Sets or removes the value of a leaf; false where the value is not of the leaf's type.
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

/// What is set of one host.
///
/// With an endpoint it is an entry of its own; without one it adds to a host that discovery lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostConfig {
    /// Where it accepts connections.
    pub endpoint: Option<SocketAddr>,
    /// The zone that it is in.
    pub zone: Option<Arc<str>>,
    /// Hosts of one zone and cell drop each other's repeated requests.
    pub cell: Option<u32>,
    /// The kind of machine.
    pub kind: Option<Arc<str>>,
    /// Its capacity; 1 for a usual host.
    pub size: Option<f64>,
    /// The build that it runs.
    pub build: Option<u32>,
    /// When its process started, in Unix seconds.
    pub started: Option<f64>,
    /// The share of requests that it gets, over that of a host with weight 1.
    pub weight: Option<f64>,
    /// Whether it takes new requests.
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

/// What is set of one route: which requests it is for, and which hosts they may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Of overlapping routes, the lower goes first.
    pub precedence: Option<u32>,
    /// The operations whose requests it is for; all where it is not set.
    pub operations: Option<BTreeSet<Arc<str>>>,
    /// How the keys of its requests begin.
    pub key_prefix: Option<Arc<str>>,
    /// The zones whose hosts its requests may use; all where it is not set.
    pub zones: Option<BTreeSet<Arc<str>>>,
    /// The kinds of machine that its requests may use; all where it is not set.
    pub kinds: Option<BTreeSet<Arc<str>>>,
    /// The hosts that its requests may use; all where it is not set.
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

/// The override of the rollout of a canary.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutConfig {
    /// The canary that this is about.
    pub build: Option<u32>,
    /// Do not promote the canary.
    pub hold: Option<bool>,
    /// Roll the canary back.
    #[serde(rename = "back")]
    pub roll_back: Option<bool>,
    /// The largest share of the requests that the canary may get.
    pub cap: Option<f64>,
}

leaves!(RolloutConfig {
    RolloutBuild => build: Integer,
    Hold => hold: Boolean,
    RollBack => roll_back: Boolean,
    Cap => cap: Number,
});

/// What a single change may do at most; unset ones are as in [`Guards::DEFAULT`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Guards {
    /// Share of the hosts in service that one revision may take out.
    pub largest_removal: Option<f64>,
    /// Hosts that a revision leaves in service in each zone that it takes some from.
    #[serde(rename = "least_hosts_zone")]
    pub min_hosts_per_zone: Option<u32>,
    /// Hosts that a revision leaves in service of the released build, and of the canary.
    #[serde(rename = "least_hosts_build")]
    pub min_hosts_per_build: Option<u32>,
}

/// The guards as they count, each with its default where it is not set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveGuards {
    /// Share of the hosts in service that one revision may take out.
    pub largest_removal: f64,
    /// Hosts that a revision leaves in service in each zone that it takes some from.
    pub min_hosts_per_zone: u32,
    /// Hosts that a revision leaves in service of the released build, and of the canary.
    pub min_hosts_per_build: u32,
}

impl Guards {
    /// What counts where nothing is set: a file that lost half of its lines is an accident.
    pub const DEFAULT: EffectiveGuards = EffectiveGuards {
        largest_removal: 0.5,
        min_hosts_per_zone: 1,
        min_hosts_per_build: 1,
    };

    /// What counts: what is set, and the defaults.
    pub fn effective(&self) -> EffectiveGuards {
        let default = Self::DEFAULT;
        EffectiveGuards {
            largest_removal: self.largest_removal.unwrap_or(default.largest_removal),
            min_hosts_per_zone: self
                .min_hosts_per_zone
                .unwrap_or(default.min_hosts_per_zone),
            min_hosts_per_build: self
                .min_hosts_per_build
                .unwrap_or(default.min_hosts_per_build),
        }
    }
}

leaves!(Guards {
    LargestRemoval => largest_removal: Number,
    MinHostsPerZone => min_hosts_per_zone: Integer,
    MinHostsPerBuild => min_hosts_per_build: Integer,
});
