//! The endpoint table: the hosts that discovery and operators list, merged.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_datastore::merge::merge_host;
use kestreltide_datastore::{HostRecord, Snapshot};
use kestreltide_routes::Route;

use crate::protocol::discovery::ListedEndpoint;

/// All known hosts: discovery's last records, and the revision of the operators' settings that is in force.
pub(super) struct EndpointTable {
    /// Includes hosts in the state `Removed`, until [`EndpointTable::forget_removed`] drops them.
    discovered: BTreeMap<HostId, HostRecord>,
    revision: Arc<Snapshot>,
    /// The most hosts of discovery that are kept.
    capacity: usize,
}

/// The result of applying an entry of discovery's list.
pub(super) struct AppliedEntry {
    pub(super) entry: HostEntry,
    /// Whether idle connections to the host are to be closed, as it was replaced or is not in service.
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

    /// The number of hosts that discovery or operators list.
    pub(super) fn len(&self) -> usize {
        let operator_only = self
            .revision
            .hosts
            .iter()
            .filter(|configured| !self.discovered.contains_key(&configured.host));
        self.discovered.len() + operator_only.count()
    }

    /// The record of a host by the revision in force; `None` where neither discovery nor operators list it completely.
    fn effective(&self, host: HostId) -> Option<Cow<'_, HostRecord>> {
        self.merged(&self.revision, host)
    }

    /// The record of a host, merged from discovery's and that of `revision`.
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

    /// The route of a request; without one, it may go to all hosts.
    pub(super) fn route(&self, operation: &str, key: &str) -> Option<&Route> {
        self.revision.routes.find(operation, key)
    }

    /// Whether a connection to this host at this address may be reused.
    pub(super) fn is_usable(&self, host: HostId, address: SocketAddr) -> bool {
        self.effective(host)
            .is_some_and(|host| host.is_in_service() && host.endpoint == address)
    }

    /// Applies one entry of discovery's list; `None` where the table is full and the host is new.
    pub(super) fn apply_entry(&mut self, target: &ListedEndpoint) -> Option<AppliedEntry> {
        let host = HostId::from_name(&target.uid);
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

    /// Marks the hosts that are not in a full list of discovery as removed, and returns them.
    pub(super) fn retain_listed(&mut self, listed: &[HostEntry]) -> Vec<HostId> {
        let listed: BTreeSet<_> = listed.iter().map(|entry| entry.host).collect();
        let missing = self
            .discovered
            .iter_mut()
            .filter(|(host, _)| !listed.contains(host));
        let newly_removed = missing.map(|(host, discovered)| {
            discovered.state = HostState::Removed;
            *host
        });
        newly_removed.collect()
    }

    /// The entries of the hosts that operators list and discovery does not.
    pub(super) fn operator_only_entries(&self) -> impl Iterator<Item = HostEntry> {
        let operator_only = self
            .revision
            .hosts
            .iter()
            .filter(|configured| !self.discovered.contains_key(&configured.host));
        operator_only.filter_map(|configured| configured.entry)
    }

    /// Whether the entries in a revision are all that it changes, so that they can be passed to the decisions in parts
    /// before it is in force. That is so where it follows the current revision and discovery lists no hosts.
    pub(super) fn can_stage(&self, new: &Snapshot) -> bool {
        new.previous_revision == self.revision.revision() && self.discovered.is_empty()
    }

    /// Puts a revision in force and returns the entries that it changes. `is_staged` says that the decisions have
    /// already been given its entries; none are returned then.
    pub(super) fn apply_revision(
        &mut self,
        new: &Arc<Snapshot>,
        is_staged: bool,
    ) -> Arc<[HostEntry]> {
        let old = std::mem::replace(&mut self.revision, new.clone());
        let is_successor = new.previous_revision == old.revision();
        if is_staged {
            return Arc::default();
        }
        if is_successor && self.discovered.is_empty() {
            return new.changed_entries.clone();
        }
        let mut hosts = new.changed_hosts.to_vec();
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

    /// The hosts of discovery, including removed ones that were not dropped yet.
    pub(super) fn discovered(&self) -> impl Iterator<Item = &HostRecord> {
        self.discovered.values()
    }

    /// Drops removed hosts from the table, unless connections to them are open or operators list them.
    pub(super) fn forget_removed(&mut self, connected_hosts: &BTreeSet<HostId>) {
        // A removed host that operators still list stays removed until discovery lists it again.
        let is_configured = |host: &HostId| self.revision.configured(*host).is_some();
        self.discovered.retain(|host, discovered| {
            discovered.state != HostState::Removed
                || connected_hosts.contains(host)
                || is_configured(host)
        });
    }
}
