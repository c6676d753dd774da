//! A revision as the router's event loop takes it: immutable, and computed in advance as far as possible.
//!
//! What depends on the latest list of discovery is merged where that list is known, in the event loop.

use std::sync::Arc;

use kestreltide::interface::{
    BuildId, HostEntry, HostId, HostState, OperatorOverrides, Revision, RolloutOverride,
};
use kestreltide_routes::Routes;

use crate::host_record::HostRecord;
use crate::merge::{FirstListed, merge_host};
use crate::route_table::build_routes;
use crate::tree::{Difference, HostConfig, HostName, Path, Tree};

/// What a revision sets of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredHost {
    /// The id that the decisions know it by.
    pub host: HostId,
    /// Its name.
    pub name: HostName,
    /// What is set.
    pub config: HostConfig,
    /// When it was first listed, where no start is known (Unix seconds).
    pub first_listed: Option<f64>,
    /// As it counts where discovery does not list it; `None` where that makes no complete entry.
    pub standalone: Option<HostRecord>,
    /// The same for the decisions.
    pub entry: Option<HostEntry>,
}

impl ConfiguredHost {
    fn new(name: &HostName, config: &HostConfig, first_listed: Option<f64>) -> Self {
        let standalone = merge_host(name, None, Some(config), first_listed);
        let entry = standalone.as_ref().map(HostRecord::entry);
        ConfiguredHost {
            host: HostId::from_name(name.as_str()),
            name: name.clone(),
            config: config.clone(),
            first_listed,
            standalone,
            entry,
        }
    }
}

/// A revision, with its changes from the revision before.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Weights and rollout override, for the decisions.
    pub overrides: Arc<OperatorOverrides>,
    /// In ascending order of ids.
    pub hosts: Box<[ConfiguredHost]>,
    /// The hosts that are set otherwise than in the revision before, in ascending order of ids.
    pub changed_hosts: Box<[HostId]>,
    /// Those hosts for the decisions, as they count where discovery does not list them.
    pub changed_entries: Arc<[HostEntry]>,
    /// The revision before.
    pub previous_revision: Revision,
    /// The routes.
    pub routes: Arc<Routes>,
    /// When it was committed, in Unix seconds.
    pub committed_at: f64,
}

impl Snapshot {
    /// The snapshot of a tree that was committed as `revision`; `differences` are its changes from `previous`.
    pub fn new(
        previous: &Snapshot,
        revision: Revision,
        committed_at: f64,
        tree: &Tree,
        first_listed: &FirstListed,
        differences: &[Difference],
    ) -> Self {
        let hosts = configured_hosts(tree, first_listed);
        let overrides = OperatorOverrides {
            revision,
            weights: weights_of(&hosts),
            rollout: rollout_override(tree),
        };
        let mut snapshot = Snapshot {
            overrides: Arc::new(overrides),
            hosts,
            changed_hosts: changed_hosts(differences),
            changed_entries: Arc::default(),
            previous_revision: previous.revision(),
            routes: Arc::new(Routes::new(build_routes(tree))),
            committed_at,
        };
        let not_listed = |_: HostId| None;
        snapshot.changed_entries = snapshot
            .host_changes(previous, &snapshot.changed_hosts, not_listed, not_listed)
            .into();
        snapshot
    }

    /// The entries that the decisions are given of hosts that may have changed since `previous`. `before` and `after`
    /// give those hosts that discovery lists too as they counted and count; `None` for any other.
    pub fn host_changes<'a>(
        &'a self,
        previous: &'a Snapshot,
        hosts: &[HostId],
        before: impl Fn(HostId) -> Option<HostRecord>,
        after: impl Fn(HostId) -> Option<HostRecord>,
    ) -> Vec<HostEntry> {
        let mut entries = Vec::with_capacity(hosts.len());
        for host in hosts {
            let before = before(*host);
            let after = after(*host);
            let before = before
                .as_ref()
                .or_else(|| previous.configured(*host)?.standalone.as_ref());
            let after = after
                .as_ref()
                .or_else(|| self.configured(*host)?.standalone.as_ref());
            entries.extend(entry_changes(before, after));
        }
        entries
    }

    /// The number of the revision.
    pub fn revision(&self) -> Revision {
        self.overrides.revision
    }

    /// What is set of a host, if anything.
    pub fn configured(&self, host: HostId) -> Option<&ConfiguredHost> {
        let position = self
            .hosts
            .binary_search_by_key(&host, |configured| configured.host);
        position.ok().map(|position| &self.hosts[position])
    }
}

/// The entries that lead from one state of a host to another.
fn entry_changes(
    before: Option<&HostRecord>,
    after: Option<&HostRecord>,
) -> impl Iterator<Item = HostEntry> {
    // A replaced process is gone first: another machine under the same id begins anew.
    let replaced = before.filter(|before| after.is_none_or(|after| before.is_replaced_by(after)));
    let gone = replaced.map(|before| HostEntry {
        state: HostState::Removed,
        ..before.entry()
    });
    // A weight is no part of an entry, so that most revisions change none.
    let entry_before = before.map(HostRecord::entry);
    let entry_after = after
        .map(HostRecord::entry)
        .filter(|entry| replaced.is_some() || entry_before != Some(*entry));
    gone.into_iter().chain(entry_after)
}

/// The hosts of a tree in ascending order of ids.
fn configured_hosts(tree: &Tree, first_listed: &FirstListed) -> Box<[ConfiguredHost]> {
    let mut hosts: Box<[ConfiguredHost]> = tree
        .hosts
        .iter()
        .map(|(name, config)| ConfiguredHost::new(name, config, first_listed.get(name).copied()))
        .collect();
    hosts.sort_by_key(|configured| configured.host);
    hosts
}

/// The weights other than 1, in ascending order of ids.
fn weights_of(hosts: &[ConfiguredHost]) -> Box<[(HostId, f64)]> {
    hosts
        .iter()
        .filter_map(|configured| Some((configured.host, configured.config.weight?)))
        .filter(|(_, weight)| *weight != 1.0)
        .collect()
}

/// The hosts of which a leaf changed, in ascending order of ids.
fn changed_hosts(differences: &[Difference]) -> Box<[HostId]> {
    let mut changed: Vec<HostId> = differences
        .iter()
        .filter_map(|difference| match &difference.path {
            Path::Host(name, _) => Some(HostId::from_name(name.as_str())),
            Path::Guards(_) | Path::Route(..) | Path::Rollout(_) => None,
        })
        .collect();
    changed.sort();
    changed.dedup();
    changed.into()
}

/// The override of the canary's rollout, where one is set.
fn rollout_override(tree: &Tree) -> Option<RolloutOverride> {
    /// The cap where none is set: no limit.
    const NO_CAP: f64 = 1.0;
    let config = &tree.rollout;
    let build = u16::try_from(config.build?).ok()?;
    Some(RolloutOverride {
        build: BuildId(build),
        hold: config.hold == Some(true),
        roll_back: config.roll_back == Some(true),
        cap: config.cap.unwrap_or(NO_CAP),
    })
}
