//! The known hosts, and the changes to them by an endpoint list that is being handed over.

use std::collections::BTreeMap;

use super::Router;
use super::outlier_detection::{HostHealth, is_failing};
use super::settings::DecisionSettings;
use crate::host_group::HostGroup;
use crate::host_index::{HostIndex, IndexedHost};
use crate::interface::{BuildId, HostEntry, HostId, HostState, OperatorOverrides, Revision};
use crate::operator_weights::{EffectiveWeight, apply_weights};

/// Seconds for which the record of a host that left the list is kept after its last attempt.
const RECORD_RETENTION: f64 = 60.0;

/// The record of a host.
pub(super) struct Host {
    pub(super) entry: HostEntry,
    /// It is listed as running.
    pub(super) usable: bool,
    /// Start times of the attempts in flight, in seconds.
    pub(super) in_flight: Vec<f64>,
    /// When the last attempt was started, in seconds; `f64::MIN` before the first.
    pub(super) last_used: f64,
    pub(super) health: HostHealth,
    /// The operators' revision in force when it was listed, or listed again.
    pub(super) since_revision: Revision,
    /// The change to it by the list that is being handed over.
    staged: StagedChange,
    /// Its effective weight; 1 is an even share.
    pub(super) weight: f64,
}

/// The change to a host once the list that is being handed over is complete.
#[derive(Clone, Default, PartialEq)]
enum StagedChange {
    #[default]
    Unchanged,
    Joins,
    Leaves,
    /// It stays with a new entry. A host that leaves and returns within one list counts as listed again.
    Changes {
        entry: Box<HostEntry>,
        left_before: bool,
    },
}

impl Host {
    fn new(entry: &HostEntry) -> Self {
        Host {
            entry: *entry,
            usable: false,
            in_flight: vec![],
            last_used: f64::MIN,
            health: HostHealth::UNKNOWN,
            since_revision: Revision(0),
            staged: StagedChange::Unchanged,
            weight: 1.0,
        }
    }

    /// Whether it has ever been sent an attempt.
    pub(super) fn was_used(&self) -> bool {
        self.last_used > f64::MIN
    }

    /// Stages an entry of a list that is being handed over; it takes effect in [`Host::commit_staged`].
    fn stage(&mut self, entry: &HostEntry) {
        let is_running = entry.state == HostState::Running;
        let left_before = self.staged == StagedChange::Leaves;
        self.staged = match (self.usable, is_running) {
            (_, false) => StagedChange::Leaves,
            (true, true) => StagedChange::Changes {
                entry: Box::new(*entry),
                left_before,
            },
            (false, true) => {
                self.replace_entry(entry);
                StagedChange::Joins
            }
        };
    }

    /// Applies the staged change. A host that a full list does not name leaves.
    fn commit_staged(&mut self, list_is_full: bool, revision: Revision) {
        match std::mem::take(&mut self.staged) {
            StagedChange::Unchanged => self.usable &= !list_is_full,
            StagedChange::Leaves => self.usable = false,
            StagedChange::Joins => {
                self.usable = true;
                self.since_revision = revision;
            }
            StagedChange::Changes { entry, left_before } => {
                if left_before || !self.entry.same_process(&entry) {
                    self.since_revision = revision;
                }
                self.replace_entry(&entry);
            }
        }
    }

    /// Replaces the entry. If it is of another process, the health and the attempts in flight are reset.
    fn replace_entry(&mut self, entry: &HostEntry) {
        if !self.entry.same_process(entry) {
            self.health = HostHealth::UNKNOWN;
            self.in_flight = vec![];
        }
        self.entry = *entry;
    }

    /// Whether its record is still needed.
    fn is_retained(&self, now: f64) -> bool {
        self.usable
            || self.staged != StagedChange::Unchanged
            || !self.in_flight.is_empty()
            || now - self.last_used < RECORD_RETENTION
    }

    /// Its entry in the index; none while it is not usable. Hosts that are warming up, ejected or failing are
    /// unsettled: they are examined for each request, all others by group.
    fn index_entry(&self, settings: &DecisionSettings, now: f64) -> Option<IndexedHost> {
        let is_healthy = self.health.ejected_until <= now && !is_failing(self.health.failure_rate);
        let is_warm = settings.warm_up_fraction(&self.entry, now) >= 1.0;
        self.usable.then_some(IndexedHost {
            group: HostGroup::of(&self.entry, settings.idempotency_by_cell),
            size: self.entry.size,
            weight: self.weight,
            settled: is_healthy && is_warm,
            failure_rate: self.health.failure_rate,
            slowdown: self.health.slowdown,
        })
    }
}

/// All known hosts with their index.
#[derive(Default)]
pub(super) struct HostTable {
    /// Boxed because a list can add thousands of hosts at once and the map moves its values.
    hosts: BTreeMap<HostId, Box<Host>>,
    pub(super) index: HostIndex,
    /// The hosts named by the list that is being handed over.
    staged: Vec<HostId>,
    /// Some host's effective weight may differ from 1.
    has_weights: bool,
    /// The lowest build that is listed.
    pub(super) lowest_build: Option<BuildId>,
    /// The largest sum of sizes of the hosts listed at one time.
    pub(super) largest_listed_size: f64,
}

impl HostTable {
    pub(super) fn get(&self, host: HostId) -> Option<&Host> {
        self.hosts.get(&host).map(|host| &**host)
    }

    pub(super) fn get_mut(&mut self, host: HostId) -> Option<&mut Host> {
        self.hosts.get_mut(&host).map(|host| &mut **host)
    }

    /// The record of the process that an entry is of; none if another process has replaced it.
    pub(super) fn process_mut(&mut self, entry: &HostEntry) -> Option<&mut Host> {
        self.get_mut(entry.host)
            .filter(|host| host.entry.same_process(entry))
    }

    /// All usable hosts, in the order of their ids.
    pub(super) fn usable(&self) -> impl Iterator<Item = &Host> {
        self.hosts
            .values()
            .map(|host| &**host)
            .filter(|host| host.usable)
    }

    /// Whether a host with an older build is listed.
    pub(super) fn lists_older_than(&self, build: BuildId) -> bool {
        self.index.builds().any(|listed| listed < build)
    }

    /// Stages entries in advance; they take effect in [`HostTable::commit_staged`].
    pub(super) fn stage(&mut self, entries: &[HostEntry]) {
        for entry in entries {
            self.hosts
                .entry(entry.host)
                .or_insert_with(|| Box::new(Host::new(entry)))
                .stage(entry);
            self.staged.push(entry.host);
        }
    }

    /// Applies all staged entries, and returns the hosts that may have changed.
    pub(super) fn commit_staged(&mut self, list_is_full: bool, revision: Revision) -> Vec<HostId> {
        let staged = std::mem::take(&mut self.staged);
        let changed = if list_is_full { self.ids() } else { staged };
        for id in &changed {
            if let Some(host) = self.get_mut(*id) {
                host.commit_staged(list_is_full, revision);
            }
        }
        changed
    }

    /// All known hosts, usable or not.
    pub(super) fn ids(&self) -> Vec<HostId> {
        self.hosts.keys().copied().collect()
    }

    /// Updates the index for these hosts.
    pub(super) fn update_index(
        &mut self,
        settings: &DecisionSettings,
        now: f64,
        changed: Vec<HostId>,
    ) {
        let HostTable { hosts, index, .. } = self;
        let index_entry = |id: &HostId| {
            hosts
                .get(id)
                .and_then(|host| host.index_entry(settings, now))
        };
        index.update(changed.into_iter().map(|id| (id, index_entry(&id))));
    }

    /// Removes the records that are no longer needed.
    pub(super) fn expire(&mut self, now: f64) {
        if self.hosts.len() > self.index.len() {
            self.hosts.retain(|_, host| host.is_retained(now));
        }
    }

    /// All usable hosts in the order of their ids, with their weights as set by a revision, before [`apply_weights`].
    pub(super) fn weights_under(
        &self,
        settings: &DecisionSettings,
        now: f64,
        overrides: &OperatorOverrides,
    ) -> Vec<EffectiveWeight> {
        let mut weight = overrides.weights_in_order();
        self.usable()
            .map(|host| EffectiveWeight {
                size: host.entry.size,
                weight: weight(host.entry.host),
                warm_up_fraction: settings.warm_up_fraction(&host.entry, now),
            })
            .collect()
    }
}

impl Router {
    /// Recomputes the effective weights if operators have set any, or had until now. They change with time because
    /// the weight that a host can carry grows while it is warming up.
    pub(super) fn refresh_weights(&mut self, now: f64) {
        let are_set = !self.overrides.weights.is_empty();
        if !self.hosts.has_weights && !are_set {
            return;
        }
        let mut weights = self
            .hosts
            .weights_under(&self.settings, now, &self.overrides);
        apply_weights(&mut weights, self.settings.overload_multiple);
        let usable = self.hosts.hosts.values_mut().filter(|host| host.usable);
        for (host, weight) in usable.zip(weights) {
            host.weight = weight.weight;
        }
        self.hosts.has_weights = are_set;
        self.update_index(now, self.hosts.ids());
    }

    /// Updates the index for these hosts.
    pub(super) fn update_index(&mut self, now: f64, changed: Vec<HostId>) {
        self.hosts.update_index(&self.settings, now, changed);
    }
}
