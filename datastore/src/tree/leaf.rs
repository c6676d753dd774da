//! The leaves of the tree: what each is of, its name there, and what it takes.

use serde::{Deserialize, Serialize};

/// A leaf of a host, the guards, a route or the ring, in the order in which they are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Leaf {
    Endpoint,
    Zone,
    Cell,
    Kind,
    Size,
    Build,
    Started,
    Weight,
    State,
    LargestRemoval,
    #[serde(rename = "least-hosts-zone")]
    MinHostsPerZone,
    #[serde(rename = "least-hosts-build")]
    MinHostsPerBuild,
    Precedence,
    Operations,
    KeyPrefix,
    Zones,
    Kinds,
    Hosts,
    #[serde(rename = "ring-build")]
    RolloutBuild,
    Hold,
    #[serde(rename = "back")]
    RollBack,
    Cap,
}

/// What a leaf is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Container {
    Host,
    Guards,
    Route,
    Rollout,
}

pub(super) const NAMED: &str = "a name of letters, digits and . _ : -";
const NAMES: &str = "names of letters, digits and . _ : -";

/// What each leaf is of, its name there, and what it takes.
const LEAVES: [(Leaf, Container, &str, &str); 22] = [
    (
        Leaf::Endpoint,
        Container::Host,
        "endpoint",
        "an address and port, such as 10.1.0.18:6379",
    ),
    (Leaf::Zone, Container::Host, "zone", NAMED),
    (
        Leaf::Cell,
        Container::Host,
        "cell",
        "a whole number from 0 to 4294967295",
    ),
    (Leaf::Kind, Container::Host, "kind", NAMED),
    (
        Leaf::Size,
        Container::Host,
        "size",
        "a number over 0, at most 1000000, 1 for a usual host",
    ),
    (
        Leaf::Build,
        Container::Host,
        "build",
        "a whole number from 0 to 65535",
    ),
    (
        Leaf::Started,
        Container::Host,
        "started",
        "a time such as 2026-12-01T03:00:00Z, or seconds since 1970",
    ),
    (
        Leaf::Weight,
        Container::Host,
        "weight",
        "a number from 0.01 to 100, 1 for an even share",
    ),
    (
        Leaf::State,
        Container::Host,
        "state",
        "in-service, draining or out",
    ),
    (
        Leaf::LargestRemoval,
        Container::Guards,
        "largest-removal",
        "a share from 0 to 1 of the hosts in service",
    ),
    (
        Leaf::MinHostsPerZone,
        Container::Guards,
        "least-hosts-zone",
        "a whole number from 0 to 16384",
    ),
    (
        Leaf::MinHostsPerBuild,
        Container::Guards,
        "least-hosts-build",
        "a whole number from 0 to 16384",
    ),
    (
        Leaf::Precedence,
        Container::Route,
        "precedence",
        "a whole number from 0 to 4294967295, lower first",
    ),
    (
        Leaf::Operations,
        Container::Route,
        "operation",
        "names of the service's operations",
    ),
    (
        Leaf::KeyPrefix,
        Container::Route,
        "key-prefix",
        "up to 128 characters",
    ),
    (Leaf::Zones, Container::Route, "zone", NAMES),
    (Leaf::Kinds, Container::Route, "kind", NAMES),
    (Leaf::Hosts, Container::Route, "host", NAMES),
    (
        Leaf::RolloutBuild,
        Container::Rollout,
        "build",
        "the number of the build on trial",
    ),
    (Leaf::Hold, Container::Rollout, "hold", "true or false"),
    (Leaf::RollBack, Container::Rollout, "back", "true or false"),
    (
        Leaf::Cap,
        Container::Rollout,
        "cap",
        "a share from 0 to 1, at most the cap told",
    ),
];

impl Leaf {
    fn row(self) -> &'static (Leaf, Container, &'static str, &'static str) {
        // The table has them in the order of their numbers; a story walks all of them.
        &LEAVES[self as usize]
    }

    pub fn name(self) -> &'static str {
        self.row().2
    }

    /// What the leaf takes, in words.
    pub fn expected_format(self) -> &'static str {
        self.row().3
    }

    pub fn container(self) -> Container {
        self.row().1
    }

    pub fn by_name(place: Container, name: &str) -> Option<Leaf> {
        Leaf::all_of(place).find(|leaf| leaf.name() == name)
    }

    pub fn all_of(place: Container) -> impl Iterator<Item = Leaf> {
        LEAVES
            .iter()
            .filter(move |row| row.1 == place)
            .map(|row| row.0)
    }

    pub fn of_host(name: &str) -> Option<Leaf> {
        Leaf::by_name(Container::Host, name)
    }

    pub fn of_guards(name: &str) -> Option<Leaf> {
        Leaf::by_name(Container::Guards, name)
    }
}

#[cfg(test)]
mod tests;
