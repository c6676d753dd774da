//! The hosts that a router knows, and what the list being handed over changes about them.

use std::collections::BTreeMap;

use super::Router;
use super::outlier_detection::{HostHealth, is_failing};
use super::settings::DecisionSettings;
use crate::host_group::HostGroup;
use crate::host_index::{HostIndex, IndexedHost};
use crate::interface::{BuildId, HostEntry, HostId, HostState, OperatorOverrides, Revision};
use crate::operator_weights::{EffectiveWeight, apply_weights};

/// Seconds that the record of a host which left the list is kept.
const RETENTION: f64 = 60.0;

/// The one record of a host.
pub(super) struct Host {
    pub(super) entry: HostEntry,
    pub(super) usable: bool,
    /// Start times of the attempts in flight.
    pub(super) in_flight: Vec<f64>,
    /// When the last attempt of all was started; `f64::MIN` before the first.
    pub(super) last_used: f64,
    pub(super) health: HostHealth,
    /// The revision that it came with, or came back with.
    pub(super) since: Revision,
    /// What the list that is being handed over changes about it.
    staged: StagedChange,
    /// Its effective weight, 1 being an even share.
    pub(super) weight: f64,
}

/// What becomes of a host when the list that is being handed over is complete.
#[derive(Clone, Default, PartialEq)]
enum StagedChange {
    #[default]
    Unchanged,
    Joins,
    Leaves,
    /// It stays with another entry; a host that left and came back in one list begins anew.
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
            since: Revision(0),
            staged: StagedChange::Unchanged,
            weight: 1.0,
        }
    }

    /// Whether it has ever had an attempt.
    pub(super) fn was_used(&self) -> bool {
        self.last_used > f64::MIN
    }

    /// Notes an entry of a list that is being handed over; nothing of it counts yet.
    fn stage(&mut self, entry: &HostEntry) {
        let runs = entry.state == HostState::Running;
        let left_before = self.staged == StagedChange::Leaves;
        self.staged = match (self.usable, runs) {
            (_, false) => StagedChange::Leaves,
            (true, true) => StagedChange::Changes {
                entry: Box::new(*entry),
                left_before,
            },
            (false, true) => {
                self.replace(entry);
                StagedChange::Joins
            }
        };
    }

    /// Applies what was staged; in a full list, a host that was not named leaves.
    fn commit_staged(&mut self, list_is_full: bool, revision: Revision) {
        match std::mem::take(&mut self.staged) {
            StagedChange::Unchanged => self.usable &= !list_is_full,
            StagedChange::Leaves => self.usable = false,
            StagedChange::Joins => {
                self.usable = true;
                self.since = revision;
            }
            StagedChange::Changes { entry, left_before } => {
                if left_before || !self.entry.same_process(&entry) {
                    self.since = revision;
                }
                self.replace(&entry);
            }
        }
    }

    /// Takes an entry; another process begins afresh, as nothing is known of it yet.
    fn replace(&mut self, entry: &HostEntry) {
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
            || now - self.last_used < RETENTION
    }

    /// Its entry in the index; none while it is not in use. Hosts that warm up, are ejected or fail are looked at
    /// for each request, all others by their groups.
    fn indexed(&self, settings: &DecisionSettings, now: f64) -> Option<IndexedHost> {
        let is_well = self.health.ejected_until <= now && !is_failing(self.health.failure_rate);
        let is_warm = settings.warm_up_fraction(&self.entry, now) >= 1.0;
        self.usable.then_some(IndexedHost {
            group: HostGroup::of(&self.entry, settings.idempotency_by_cell),
            size: self.entry.size,
            weight: self.weight,
            settled: is_well && is_warm,
            failure_rate: self.health.failure_rate,
            slowdown: self.health.slowdown,
        })
    }
}

/// All hosts with their index.
#[derive(Default)]
pub(super) struct HostTable {
    /// Boxed: lists of thousands are taken at once, and a map moves what it holds.
    hosts: BTreeMap<HostId, Box<Host>>,
    pub(super) index: HostIndex,
    /// The hosts that the list being handed over names.
    staged: Vec<HostId>,
    /// Some host's effective weight may be other than 1.
    weights_in_force: bool,
    /// The lowest build that is listed.
    pub(super) lowest_build: Option<BuildId>,
    /// The largest sum of sizes that was ever listed at once.
    pub(super) largest_fleet: f64,
}

impl HostTable {
    pub(super) fn get(&self, host: HostId) -> Option<&Host> {
        self.hosts.get(&host).map(|host| &**host)
    }

    pub(super) fn get_mut(&mut self, host: HostId) -> Option<&mut Host> {
        self.hosts.get_mut(&host).map(|host| &mut **host)
    }

    /// The record of the process behind an entry; none where another process has taken its place.
    pub(super) fn process_mut(&mut self, entry: &HostEntry) -> Option<&mut Host> {
        self.get_mut(entry.host)
            .filter(|host| host.entry.same_process(entry))
    }

    /// All hosts in use, in the order of their ids.
    pub(super) fn usable(&self) -> impl Iterator<Item = &Host> {
        self.hosts
            .values()
            .map(|host| &**host)
            .filter(|host| host.usable)
    }

    /// Whether a build older than this one is listed.
    pub(super) fn lists_older_than(&self, build: BuildId) -> bool {
        self.index.builds().any(|listed| listed < build)
    }

    /// Notes entries ahead: nothing of them counts before the list that they belong to is applied.
    pub(super) fn stage(&mut self, entries: &[HostEntry]) {
        for entry in entries {
            self.hosts
                .entry(entry.host)
                .or_insert_with(|| Box::new(Host::new(entry)))
                .stage(entry);
            self.staged.push(entry.host);
        }
    }

    /// Applies all that was staged, and names the hosts that it may have changed.
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

    /// All known hosts, in use or not.
    pub(super) fn ids(&self) -> Vec<HostId> {
        self.hosts.keys().copied().collect()
    }

    /// Brings the index up to date with these hosts.
    pub(super) fn update_index(
        &mut self,
        settings: &DecisionSettings,
        now: f64,
        changed: Vec<HostId>,
    ) {
        let HostTable { hosts, index, .. } = self;
        let indexed = |id: &HostId| hosts.get(id).and_then(|host| host.indexed(settings, now));
        index.update(changed.into_iter().map(|id| (id, indexed(&id))));
    }

    /// Drops the records of hosts that left long ago.
    pub(super) fn expire(&mut self, now: f64) {
        if self.hosts.len() > self.index.len() {
            self.hosts.retain(|_, host| host.is_retained(now));
        }
    }

    /// All hosts in use, in their order, with their weights under a revision, which are not in force yet.
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
    /// Applies the operators' weights anew where any are set, or were until now: what a host that warms up can
    /// carry of its weight grows with time.
    pub(super) fn refresh_weights(&mut self, now: f64) {
        let are_set = !self.overrides.weights.is_empty();
        if !self.hosts.weights_in_force && !are_set {
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
        self.hosts.weights_in_force = are_set;
        self.update_index(now, self.hosts.ids());
    }

    /// Brings the index up to date with these hosts.
    pub(super) fn update_index(&mut self, now: f64, changed: Vec<HostId>) {
        self.hosts.update_index(&self.settings, now, changed);
    }
}
