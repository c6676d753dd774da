//! The leaves of the tree: the container of each, its name there, and the format of its value.

use serde::{Deserialize, Serialize};

/// A leaf of a host, the guards, a route or the rollout, in the order in which they are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Leaf {
    /// The address where a host accepts connections.
    Endpoint,
    /// A host's zone.
    Zone,
    /// A host's cell in its zone.
    Cell,
    /// A host's kind of machine.
    Kind,
    /// A host's capacity.
    Size,
    /// The build that a host runs.
    Build,
    /// The time when a host's process started.
    Started,
    /// A host's weight.
    Weight,
    /// A host's administrative state.
    State,
    /// The guard that limits the share of hosts that a revision takes out of service.
    LargestRemoval,
    /// The guard of the minimum number of hosts in each zone.
    #[serde(rename = "least-hosts-zone")]
    MinHostsPerZone,
    /// The guard of the minimum number of hosts of the released build and of the canary.
    #[serde(rename = "least-hosts-build")]
    MinHostsPerBuild,
    /// A route's precedence.
    Precedence,
    /// A route's operations.
    Operations,
    /// A route's key prefix.
    KeyPrefix,
    /// The zones of a route's pool.
    Zones,
    /// The kinds of machine of a route's pool.
    Kinds,
    /// The hosts of a route's pool.
    Hosts,
    /// The build of the canary that an override applies to.
    #[serde(rename = "ring-build")]
    RolloutBuild,
    /// Whether promotion of the canary is suspended.
    Hold,
    /// Whether the canary is to be rolled back.
    #[serde(rename = "back")]
    RollBack,
    /// The canary's largest share of the requests.
    Cap,
}

/// A part of the tree that has leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Container {
    /// A host.
    Host,
    /// The guards.
    Guards,
    /// A route.
    Route,
    /// The override of a rollout.
    Rollout,
}

/// The format of a name, for error texts.
pub(super) const NAME_FORMAT: &str = "a name of letters, digits and . _ : -";
/// The format of a list of names, for error texts.
const NAMES_FORMAT: &str = "names of letters, digits and . _ : -";

/// The properties of a leaf.
struct LeafDescription {
    leaf: Leaf,
    /// The container that has the leaf.
    container: Container,
    /// The name of the leaf in its container.
    name: &'static str,
    /// The format of its value, for error texts.
    expected_format: &'static str,
}

/// All leaves, in the order of their declaration, which [`Leaf::description`] relies on.
const LEAVES: [LeafDescription; 22] = [
    LeafDescription {
        leaf: Leaf::Endpoint,
        container: Container::Host,
        name: "endpoint",
        expected_format: "an address and port, such as 10.1.0.18:6379",
    },
    LeafDescription {
        leaf: Leaf::Zone,
        container: Container::Host,
        name: "zone",
        expected_format: NAME_FORMAT,
    },
    LeafDescription {
        leaf: Leaf::Cell,
        container: Container::Host,
        name: "cell",
        expected_format: "a whole number from 0 to 4294967295",
    },
    LeafDescription {
        leaf: Leaf::Kind,
        container: Container::Host,
        name: "kind",
        expected_format: NAME_FORMAT,
    },
    LeafDescription {
        leaf: Leaf::Size,
        container: Container::Host,
        name: "size",
        expected_format: "a number over 0, at most 1000000, 1 for a standard machine",
    },
    LeafDescription {
        leaf: Leaf::Build,
        container: Container::Host,
        name: "build",
        expected_format: "a whole number from 0 to 65535",
    },
    LeafDescription {
        leaf: Leaf::Started,
        container: Container::Host,
        name: "started",
        expected_format: "a time such as 2026-12-01T03:00:00Z, or seconds since 1970",
    },
    LeafDescription {
        leaf: Leaf::Weight,
        container: Container::Host,
        name: "weight",
        expected_format: "a number from 0.01 to 100, 1 for an even share",
    },
    LeafDescription {
        leaf: Leaf::State,
        container: Container::Host,
        name: "state",
        expected_format: "in-service, draining or out",
    },
    LeafDescription {
        leaf: Leaf::LargestRemoval,
        container: Container::Guards,
        name: "largest-removal",
        expected_format: "a share from 0 to 1 of the hosts in service",
    },
    LeafDescription {
        leaf: Leaf::MinHostsPerZone,
        container: Container::Guards,
        name: "least-hosts-zone",
        expected_format: "a whole number from 0 to 16384",
    },
    LeafDescription {
        leaf: Leaf::MinHostsPerBuild,
        container: Container::Guards,
        name: "least-hosts-build",
        expected_format: "a whole number from 0 to 16384",
    },
    LeafDescription {
        leaf: Leaf::Precedence,
        container: Container::Route,
        name: "precedence",
        expected_format: "a whole number from 0 to 4294967295, lower first",
    },
    LeafDescription {
        leaf: Leaf::Operations,
        container: Container::Route,
        name: "operation",
        expected_format: "names of the service's operations",
    },
    LeafDescription {
        leaf: Leaf::KeyPrefix,
        container: Container::Route,
        name: "key-prefix",
        expected_format: "up to 128 bytes without control characters",
    },
    LeafDescription {
        leaf: Leaf::Zones,
        container: Container::Route,
        name: "zone",
        expected_format: NAMES_FORMAT,
    },
    LeafDescription {
        leaf: Leaf::Kinds,
        container: Container::Route,
        name: "kind",
        expected_format: NAMES_FORMAT,
    },
    LeafDescription {
        leaf: Leaf::Hosts,
        container: Container::Route,
        name: "host",
        expected_format: NAMES_FORMAT,
    },
    LeafDescription {
        leaf: Leaf::RolloutBuild,
        container: Container::Rollout,
        name: "build",
        expected_format: "the number of the canary build",
    },
    LeafDescription {
        leaf: Leaf::Hold,
        container: Container::Rollout,
        name: "hold",
        expected_format: "true or false",
    },
    LeafDescription {
        leaf: Leaf::RollBack,
        container: Container::Rollout,
        name: "back",
        expected_format: "true or false",
    },
    LeafDescription {
        leaf: Leaf::Cap,
        container: Container::Rollout,
        name: "cap",
        expected_format: "a share from 0 to 1, at most the platform's cap",
    },
];

impl Leaf {
    fn description(self) -> &'static LeafDescription {
        // A test checks that the table is in the order of the declaration.
        &LEAVES[self as usize]
    }

    /// Returns the name of the leaf in its container.
    pub fn name(self) -> &'static str {
        self.description().name
    }

    /// Returns the format of the leaf's value, for error texts.
    pub fn expected_format(self) -> &'static str {
        self.description().expected_format
    }

    /// Returns the container that has the leaf.
    pub fn container(self) -> Container {
        self.description().container
    }

    /// Returns the leaf of a container with this name.
    pub fn by_name(container: Container, name: &str) -> Option<Leaf> {
        Leaf::all_of(container).find(|leaf| leaf.name() == name)
    }

    /// Returns the leaves of a container, in the order in which they are shown.
    pub fn all_of(container: Container) -> impl Iterator<Item = Leaf> {
        LEAVES
            .iter()
            .filter(move |description| description.container == container)
            .map(|description| description.leaf)
    }

    /// Returns the leaf of a host with this name.
    pub fn host_leaf_by_name(name: &str) -> Option<Leaf> {
        Leaf::by_name(Container::Host, name)
    }

    /// Returns the guard with this name.
    pub fn guard_by_name(name: &str) -> Option<Leaf> {
        Leaf::by_name(Container::Guards, name)
    }
}

#[cfg(test)]
mod tests;
