//! A revision as the router's loop takes it: immutable, and worked out beforehand as far as the loop need not
//! know it. What depends on discovery's latest word is merged where that word is known, in the loop.

use std::sync::Arc;

use kestreltide::interface::*;

use crate::check::Seen;
use crate::merge::{Listed, merge};
use crate::tree::{Difference, HostName, HostSet, Path, Tree};

/// What a revision says of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    pub host: HostId,
    pub name: HostName,
    pub set: HostSet,
    /// Since when it is listed, where nobody says when it started.
    pub since: Option<f64>,
    /// As it counts where discovery does not list it; `None` where that makes no entry.
    pub alone: Option<Listed>,
    /// The same for the decisions.
    pub entry: Option<HostEntry>,
}

#[derive(Debug, Default)]
pub struct Snapshot {
    pub set: Arc<OperatorSet>,
    /// In ascending order of ids.
    pub hosts: Box<[Said]>,
    /// Of which hosts it says something else than the revision before, in ascending order.
    pub changed: Box<[HostId]>,
    /// When it was committed.
    pub at: f64,
}

impl Snapshot {
    pub fn new(revision: Revision, at: f64, (tree, seen): (&Tree, &Seen), changes: &[Difference]) -> Self {
        let said = tree.hosts.iter().map(|(name, set)| {
            let since = seen.get(name).copied();
            let alone = merge(name, None, Some(set), since);
            let entry = alone.as_ref().map(Listed::entry);
            Said {
                host: HostId::named(name.as_str()),
                name: name.clone(),
                set: set.clone(),
                since,
                alone,
                entry,
            }
        });
        let mut hosts: Box<[Said]> = said.collect();
        hosts.sort_by_key(|said| said.host);
        let weights = hosts.iter().filter_map(|said| Some((said.host, said.set.weight?)));
        let weights = weights.filter(|(_, weight)| *weight != 1.0).collect();
        let mut changed: Vec<_> = changes
            .iter()
            .filter_map(|change| match &change.path {
                Path::Host(name, _) => Some(HostId::named(name.as_str())),
                Path::Guards(_) => None,
            })
            .collect();
        changed.sort();
        changed.dedup();
        Snapshot { set: Arc::new(OperatorSet { revision, weights }), hosts, changed: changed.into(), at }
    }

    pub fn revision(&self) -> Revision {
        self.set.revision
    }

    pub fn said(&self, host: HostId) -> Option<&Said> {
        let place = self.hosts.binary_search_by_key(&host, |said| said.host);
        place.ok().map(|place| &self.hosts[place])
    }
}
