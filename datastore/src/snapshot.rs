//! A revision in the form that the router's event loop applies: immutable, and computed in advance as far as possible.
//!
//! What depends on the latest endpoint list of discovery is merged in the event loop, where that list is known.

use std::sync::Arc;

use kestreltide::interface::{
    BuildId, HostEntry, HostId, HostState, OperatorOverrides, Revision, RolloutOverride,
};
use kestreltide_routes::Routes;

use crate::host_record::HostRecord;
use crate::merge::{FirstListed, merge_host};
use crate::route_table::build_routes;
use crate::tree::{Difference, HostConfig, HostName, Path, Tree};

/// The configuration of one host in a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredHost {
    /// The id by which the decision module knows the host.
    pub host: HostId,
    /// The name of the host.
    pub name: HostName,
    /// The leaves that operators set.
    pub config: HostConfig,
    /// When operators first listed the host, if its start is not known (Unix seconds).
    pub first_listed: Option<f64>,
    /// The record of the host if discovery does not list it; `None` if the configuration makes no complete entry.
    pub standalone: Option<HostRecord>,
    /// The entry of `standalone` for the decision module.
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

/// A revision, with its changes from the previous revision.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Weights and rollout override, for the decision module.
    pub overrides: Arc<OperatorOverrides>,
    /// The configured hosts, in ascending order of ids.
    pub hosts: Box<[ConfiguredHost]>,
    /// The hosts whose configuration differs from the previous revision, in ascending order of ids.
    pub changed_hosts: Box<[HostId]>,
    /// The changed entries for the decision module if discovery lists none of the changed hosts.
    pub changed_entries: Arc<[HostEntry]>,
    /// The previous revision, from which the changes are counted.
    pub previous_revision: Revision,
    /// The routes of the revision.
    pub routes: Arc<Routes>,
    /// When the revision was committed, in Unix seconds.
    pub committed_at: f64,
}

impl Snapshot {
    /// Creates the snapshot of a tree that is committed as `revision`; `differences` are its changes from `previous`.
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

    /// Returns the entries that tell the decision module how these hosts changed from `previous` to this revision.
    /// `before` and `after` return the merged record of a host that discovery lists, under the previous and under this
    /// revision; `None` for any other host.
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

    /// Returns the number of the revision.
    pub fn revision(&self) -> Revision {
        self.overrides.revision
    }

    /// Returns the configuration of a host, if it has one.
    pub fn configured(&self, host: HostId) -> Option<&ConfiguredHost> {
        let position = self
            .hosts
            .binary_search_by_key(&host, |configured| configured.host);
        position.ok().map(|position| &self.hosts[position])
    }
}

/// Returns the entries that turn one record of a host into another.
fn entry_changes(
    before: Option<&HostRecord>,
    after: Option<&HostRecord>,
) -> impl Iterator<Item = HostEntry> {
    // A replaced process is first reported as removed, so that the new process under the same id starts without the old
    // one's state.
    let replaced = before.filter(|before| after.is_none_or(|after| before.is_replaced_by(after)));
    let removed = replaced.map(|before| HostEntry {
        state: HostState::Removed,
        ..before.entry()
    });
    // Weights are not part of an entry, so most revisions change no entry.
    let entry_before = before.map(HostRecord::entry);
    let entry_after = after
        .map(HostRecord::entry)
        .filter(|entry| replaced.is_some() || entry_before != Some(*entry));
    removed.into_iter().chain(entry_after)
}

/// Returns the configured hosts of a tree, in ascending order of ids.
fn configured_hosts(tree: &Tree, first_listed: &FirstListed) -> Box<[ConfiguredHost]> {
    let mut hosts: Box<[ConfiguredHost]> = tree
        .hosts
        .iter()
        .map(|(name, config)| ConfiguredHost::new(name, config, first_listed.get(name).copied()))
        .collect();
    hosts.sort_by_key(|configured| configured.host);
    hosts
}

/// Returns the weights other than 1, in ascending order of ids.
fn weights_of(hosts: &[ConfiguredHost]) -> Box<[(HostId, f64)]> {
    hosts
        .iter()
        .filter_map(|configured| Some((configured.host, configured.config.weight?)))
        .filter(|(_, weight)| *weight != 1.0)
        .collect()
}

/// Returns the hosts of which a leaf changed, in ascending order of ids.
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

/// Returns the override of the canary's rollout, if one is set.
fn rollout_override(tree: &Tree) -> Option<RolloutOverride> {
    /// The cap if none is set: all requests, which is no limit.
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
