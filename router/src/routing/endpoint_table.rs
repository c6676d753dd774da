//! The endpoint table: which endpoints discovery and the operators list, and where they are.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_datastore::merge::merge;
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
pub(super) struct AppliedEntry {
    pub(super) entry: HostEntry,
    /// Connections without use lead nowhere now, or are not wanted.
    pub(super) close_idle_connections: bool,
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
        let operator_only = self
            .revision
            .hosts
            .iter()
            .filter(|configured| !self.discovered.contains_key(&configured.host));
        self.discovered.len() + operator_only.count()
    }

    /// A host as it counts, whoever lists it.
    fn effective(&self, host: HostId) -> Option<Cow<'_, HostRecord>> {
        self.merged(&self.revision, host)
    }

    fn merged<'a>(&'a self, revision: &'a Snapshot, host: HostId) -> Option<Cow<'a, HostRecord>> {
        match (self.discovered.get(&host), revision.configured(host)) {
            (Some(discovered), Some(configured)) => merge(
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
    pub(super) fn is_usable(&self, host: HostId, address: SocketAddr) -> bool {
        self.effective(host)
            .is_some_and(|host| host.is_in_service() && host.endpoint == address)
    }

    /// Notes one entry of discovery's list; None where there is no room for one more host.
    pub(super) fn apply_entry(&mut self, target: &ListedEndpoint) -> Option<AppliedEntry> {
        let host = HostId::named(&target.uid);
        if !self.discovered.contains_key(&host) && self.discovered.len() >= self.capacity {
            return None;
        }
        let old = self.effective(host).map(Cow::into_owned);
        self.discovered.insert(host, target.to_host_record());
        let new = self.effective(host)?;
        let is_replaced = old.is_some_and(|old| old.is_replaced_by(&new));
        Some(AppliedEntry {
            entry: new.entry(),
            close_idle_connections: is_replaced || !new.is_in_service(),
        })
    }

    /// A whole list has come: who is not in it is gone.
    pub(super) fn retain_listed(&mut self, listed: &[HostEntry]) -> Vec<HostId> {
        let listed: BTreeSet<_> = listed.iter().map(|entry| entry.host).collect();
        let missing = self
            .discovered
            .iter_mut()
            .filter(|(host, _)| !listed.contains(host));
        let newly_gone = missing.map(|(host, discovered)| {
            discovered.state = HostState::Gone;
            *host
        });
        newly_gone.collect()
    }

    /// The entries of operators alone, which discovery does not list.
    pub(super) fn operator_only_entries(&self) -> impl Iterator<Item = HostEntry> {
        let operator_only = self
            .revision
            .hosts
            .iter()
            .filter(|configured| !self.discovered.contains_key(&configured.host));
        operator_only.filter_map(|configured| configured.entry)
    }

    /// Whether a revision's own entries are all that it changes: discovery lists nobody, so that they are worked
    /// out already and can be told ahead.
    pub(super) fn can_stage(&self, new: &Snapshot) -> bool {
        new.changed_since == self.revision.revision() && self.discovered.is_empty()
    }

    /// Takes a revision; the entries that it changes, where what was staged for it has been told or not.
    pub(super) fn apply_revision(
        &mut self,
        new: &Arc<Snapshot>,
        is_staged: bool,
    ) -> Arc<[HostEntry]> {
        let old = std::mem::replace(&mut self.revision, new.clone());
        let is_successor = new.changed_since == old.revision();
        if is_staged {
            return Arc::default();
        }
        if is_successor && self.discovered.is_empty() {
            return new.entries.clone();
        }
        let mut hosts = new.changed.to_vec();
        if !is_successor {
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

    pub(super) fn forget_gone(&mut self, connected_hosts: &BTreeSet<HostId>) {
        // Who is gone stays gone though operators still list it, until discovery says otherwise.
        let is_configured = |host: &HostId| self.revision.configured(*host).is_some();
        self.discovered.retain(|host, discovered| {
            discovered.state != HostState::Gone
                || connected_hosts.contains(host)
                || is_configured(host)
        });
    }
}
