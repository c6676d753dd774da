//! The configuration of a host, of a route and of the rollout, and the guards.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::leaf::Leaf;
use super::value::{AdminState, Value};

/// Defines the getter and the setter of a container's leaves. For each leaf it lists the field and the variant of
/// [`Value`].
macro_rules! leaf_accessors {
    ($container:ident { $($leaf:ident => $field:ident : $kind:ident),+ $(,)? }) => {
        impl $container {
            /// Returns the value of a leaf, if it is set.
            pub fn get(&self, leaf: Leaf) -> Option<Value> {
                match leaf {
                    $(Leaf::$leaf => self.$field.clone().map(Value::$kind),)+
                    _ => None,
                }
            }

            /// Sets or removes the value of a leaf; returns false if the value is not of the leaf's type.
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

/// The configuration of one host.
///
/// With an endpoint it can be a complete entry of the endpoint list; without one it supplements a host that discovery
/// lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostConfig {
    /// The address where the host accepts connections.
    pub endpoint: Option<SocketAddr>,
    /// The zone of the host.
    pub zone: Option<Arc<str>>,
    /// The cell of the host: hosts of one zone and cell share their record of idempotency keys.
    pub cell: Option<u32>,
    /// The kind of machine.
    pub kind: Option<Arc<str>>,
    /// The capacity of the host; 1 for a standard machine.
    pub size: Option<f64>,
    /// The build that the host runs.
    pub build: Option<u32>,
    /// When the host's process started, in Unix seconds.
    pub started: Option<f64>,
    /// The host's share of the requests, relative to that of a host with weight 1.
    pub weight: Option<f64>,
    /// Whether the host takes new requests.
    pub state: Option<AdminState>,
}

leaf_accessors!(HostConfig {
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

/// The configuration of one route: which requests it matches, and which hosts they may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Of overlapping routes, the one with the lowest precedence is used.
    pub precedence: Option<u32>,
    /// The operations whose requests match; all if not set.
    pub operations: Option<BTreeSet<Arc<str>>>,
    /// The prefix of the keys of matching requests; any key if not set.
    pub key_prefix: Option<Arc<str>>,
    /// The zones whose hosts may be used; all if not set.
    pub zones: Option<BTreeSet<Arc<str>>>,
    /// The kinds of machine that may be used; all if not set.
    pub kinds: Option<BTreeSet<Arc<str>>>,
    /// The hosts that may be used; all if not set.
    pub hosts: Option<BTreeSet<Arc<str>>>,
}

leaf_accessors!(RouteConfig {
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
    /// The build of the canary that the override applies to.
    pub build: Option<u32>,
    /// Whether promotion of the canary is suspended.
    pub hold: Option<bool>,
    /// Whether the canary is to be rolled back.
    #[serde(rename = "back")]
    pub roll_back: Option<bool>,
    /// The largest share of the requests that the canary may get, from 0 to 1.
    pub cap: Option<f64>,
}

leaf_accessors!(RolloutConfig {
    RolloutBuild => build: Integer,
    Hold => hold: Boolean,
    RollBack => roll_back: Boolean,
    Cap => cap: Number,
});

/// Limits on what a single revision may change; a limit that is not set is as in [`Guards::DEFAULT`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Guards {
    /// The largest share of the hosts in service that one revision may take out of service, from 0 to 1.
    pub largest_removal: Option<f64>,
    /// The number of hosts that a revision has to leave in service in each zone that it takes hosts out of.
    #[serde(rename = "least_hosts_zone")]
    pub min_hosts_per_zone: Option<u32>,
    /// The number of hosts that a revision has to leave in service of the released build, and of the canary.
    #[serde(rename = "least_hosts_build")]
    pub min_hosts_per_build: Option<u32>,
}

/// The guards that apply: those that are set, and the defaults of the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EffectiveGuards {
    /// The largest share of the hosts in service that one revision may take out of service, from 0 to 1.
    pub largest_removal: f64,
    /// The number of hosts that a revision has to leave in service in each zone that it takes hosts out of.
    pub min_hosts_per_zone: u32,
    /// The number of hosts that a revision has to leave in service of the released build, and of the canary.
    pub min_hosts_per_build: u32,
}

impl Guards {
    /// The guards that apply if none is set. They reject the removal of more than half of the hosts, as a file that has
    /// lost half of its lines is taken for an accident.
    pub const DEFAULT: EffectiveGuards = EffectiveGuards {
        largest_removal: 0.5,
        min_hosts_per_zone: 1,
        min_hosts_per_build: 1,
    };

    /// Returns the guards that apply: those that are set, and the defaults of the others.
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

leaf_accessors!(Guards {
    LargestRemoval => largest_removal: Number,
    MinHostsPerZone => min_hosts_per_zone: Integer,
    MinHostsPerBuild => min_hosts_per_build: Integer,
});
