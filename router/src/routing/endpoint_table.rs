//! The endpoint table: which endpoints discovery and the operators list, and where they are.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_datastore::merge::merge_host;
use kestreltide_datastore::{HostRecord, Snapshot};
use kestreltide_routes::Route;

use crate::protocol::discovery::ListedEndpoint;

/// Where hosts are: what discovery told last, under what operators have set.
pub(super) struct EndpointTable {
    discovered: BTreeMap<HostId, HostRecord>,
    revision: Arc<Snapshot>,
    capacity: usize,
}

/// What a list entry changed.
pub(super) struct StagedEntry {
    pub(super) entry: HostEntry,
    /// Connections without use lead nowhere now, or are not wanted.
    pub(super) drop_idle: bool,
}

impl EndpointTable {
    pub(super) fn new(capacity: usize) -> Self {
        EndpointTable {
            discovered: BTreeMap::new(),
            revision: Arc::default(),
            capacity,
        }
    }

    pub(super) fn len(&self) -> usize {
        let alone = self
            .revision
            .hosts
            .iter()
            .filter(|configured| !self.discovered.contains_key(&configured.host));
        self.discovered.len() + alone.count()
    }

    /// A host as it counts, whoever lists it.
    fn effective(&self, host: HostId) -> Option<Cow<'_, HostRecord>> {
        self.merged(&self.revision, host)
    }

    fn merged<'a>(&'a self, revision: &'a Snapshot, host: HostId) -> Option<Cow<'a, HostRecord>> {
        match (self.discovered.get(&host), revision.configured(host)) {
            (Some(discovered), Some(configured)) => merge_host(
                &configured.name,
                Some(discovered),
                Some(&configured.config),
                None,
            )
            .map(Cow::Owned),
            (Some(discovered), None) => Some(Cow::Borrowed(discovered)),
            (None, configured) => configured?.standalone.as_ref().map(Cow::Borrowed),
        }
    }

    pub(super) fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.effective(host).map(|host| host.endpoint)
    }

    /// The route of an invocation; none: all hosts are for it.
    pub(super) fn route(&self, operation: &str, key: &str) -> Option<&Route> {
        self.revision.routes.find(operation, key)
    }

    /// Whether a connection to this host at this address may be used again.
    pub(super) fn is_usable(&self, host: HostId, at: SocketAddr) -> bool {
        self.effective(host)
            .is_some_and(|host| host.is_in_service() && host.endpoint == at)
    }

    /// Notes one entry of discovery's list; None where there is no room for one more host.
    pub(super) fn stage_entry(&mut self, target: &ListedEndpoint) -> Option<StagedEntry> {
        let host = HostId::from_name(&target.uid);
        if !self.discovered.contains_key(&host) && self.discovered.len() >= self.capacity {
            return None;
        }
        let old = self.effective(host).map(Cow::into_owned);
        self.discovered.insert(host, target.to_host_record());
        let new = self.effective(host)?;
        let moved = old.is_some_and(|old| old.is_replaced_by(&new));
        Some(StagedEntry {
            entry: new.entry(),
            drop_idle: moved || !new.is_in_service(),
        })
    }

    /// A whole list has come: who is not in it is gone.
    pub(super) fn retain_listed(&mut self, listed: &[HostEntry]) -> Vec<HostId> {
        let listed: BTreeSet<_> = listed.iter().map(|entry| entry.host).collect();
        let missing = self
            .discovered
            .iter_mut()
            .filter(|(host, _)| !listed.contains(host));
        let gone = missing.map(|(host, discovered)| {
            discovered.state = HostState::Removed;
            *host
        });
        gone.collect()
    }

    /// The entries of operators alone, which discovery does not list.
    pub(super) fn operator_only_entries(&self) -> impl Iterator<Item = HostEntry> {
        let alone = self
            .revision
            .hosts
            .iter()
            .filter(|configured| !self.discovered.contains_key(&configured.host));
        alone.filter_map(|configured| configured.entry)
    }

    /// Whether a revision's own entries are all that it changes: discovery lists nobody, so that they are worked
    /// out already and can be told ahead.
    pub(super) fn can_stage(&self, new: &Snapshot) -> bool {
        new.previous_revision == self.revision.revision() && self.discovered.is_empty()
    }

    /// Takes a revision; the entries that it changes, where what was staged for it has been told or not.
    pub(super) fn take(&mut self, new: &Arc<Snapshot>, staged: bool) -> Arc<[HostEntry]> {
        let old = std::mem::replace(&mut self.revision, new.clone());
        let follows = new.previous_revision == old.revision();
        if staged {
            return Arc::default();
        }
        if follows && self.discovered.is_empty() {
            return new.changed_entries.clone();
        }
        let mut hosts = new.changed_hosts.to_vec();
        if !follows {
            hosts = old
                .hosts
                .iter()
                .chain(&new.hosts)
                .map(|configured| configured.host)
                .collect();
            hosts.sort();
            hosts.dedup();
        }
        let discovered = |revision: &Snapshot, host| {
            self.discovered.get(&host)?;
            self.merged(revision, host).map(Cow::into_owned)
        };
        new.host_changes(
            &old,
            &hosts,
            |host| discovered(&old, host),
            |host| discovered(new, host),
        )
        .into()
    }

    /// All that discovery told and did not take back.
    pub(super) fn discovered(&self) -> impl Iterator<Item = &HostRecord> {
        self.discovered.values()
    }

    pub(super) fn forget_gone(&mut self, using: &BTreeSet<HostId>) {
        // Who is gone stays gone though operators still list it, until discovery says otherwise.
        let configured = |host: &HostId| self.revision.configured(*host).is_some();
        self.discovered.retain(|host, discovered| {
            discovered.state != HostState::Removed || using.contains(host) || configured(host)
        });
    }
}
