//! A revision as the router's loop takes it: immutable, and worked out beforehand as far as the loop need not
//! know it. What depends on discovery's latest word is merged where that word is known, in the loop.

use std::collections::BTreeSet;
use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_routes::{Match, Route, Routes};

use crate::check::FirstListed;
use crate::merge::{HostRecord, merge};
use crate::tree::{Difference, HostConfig, HostName, Path, Tree};

/// What a revision says of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredHost {
    pub host: HostId,
    pub name: HostName,
    pub config: HostConfig,
    /// Since when it is listed, where nobody says when it started.
    pub first_listed: Option<f64>,
    /// As it counts where discovery does not list it; `None` where that makes no entry.
    pub standalone: Option<HostRecord>,
    /// The same for the decisions.
    pub entry: Option<HostEntry>,
}

#[derive(Debug, Default)]
pub struct Snapshot {
    pub overrides: Arc<OperatorOverrides>,
    /// In ascending order of ids.
    pub hosts: Box<[ConfiguredHost]>,
    /// Of which hosts it says something else than the revision before, in ascending order.
    pub changed: Box<[HostId]>,
    /// The same for the decisions, as it counts for hosts that discovery does not list.
    pub entries: Arc<[HostEntry]>,
    /// The revision that the changes are from.
    pub changed_since: Revision,
    pub routes: Arc<Routes>,
    /// When it was committed.
    pub committed_at: f64,
}

impl Snapshot {
    pub fn new(
        old: &Snapshot,
        revision: Revision,
        at: f64,
        (tree, seen): (&Tree, &FirstListed),
        changes: &[Difference],
    ) -> Self {
        let said = tree.hosts.iter().map(|(name, set)| {
            let since = seen.get(name).copied();
            let alone = merge(name, None, Some(set), since);
            let entry = alone.as_ref().map(HostRecord::entry);
            ConfiguredHost {
                host: HostId::named(name.as_str()),
                name: name.clone(),
                config: set.clone(),
                first_listed: since,
                standalone: alone,
                entry,
            }
        });
        let mut hosts: Box<[ConfiguredHost]> = said.collect();
        hosts.sort_by_key(|said| said.host);
        let weights = hosts
            .iter()
            .filter_map(|said| Some((said.host, said.config.weight?)));
        let weights = weights.filter(|(_, weight)| *weight != 1.0).collect();
        let mut changed: Vec<_> = changes
            .iter()
            .filter_map(|change| match &change.path {
                Path::Host(name, _) => Some(HostId::named(name.as_str())),
                Path::Guards(_) | Path::Route(..) | Path::Rollout(_) => None,
            })
            .collect();
        changed.sort();
        changed.dedup();
        let set = Arc::new(OperatorOverrides {
            revision,
            weights,
            rollout: rollout_override(tree),
        });
        let routes = Arc::new(Routes::new(build_routes(tree)));
        let (follows, entries) = (old.revision(), Arc::default());
        let mut new = Snapshot {
            overrides: set,
            hosts,
            changed: changed.into(),
            entries,
            changed_since: follows,
            routes,
            committed_at: at,
        };
        let none = |_: HostId| None;
        new.entries = new.host_changes(old, &new.changed, none, none).into();
        new
    }

    /// What the decisions are told of hosts that may have changed. `was` and `is` say how those count that
    /// discovery lists too; `None` where it does not.
    pub fn host_changes<'a>(
        &'a self,
        old: &'a Snapshot,
        hosts: &[HostId],
        was: impl Fn(HostId) -> Option<HostRecord>,
        is: impl Fn(HostId) -> Option<HostRecord>,
    ) -> Vec<HostEntry> {
        let mut entries = Vec::with_capacity(hosts.len());
        for host in hosts {
            let (was, is) = (was(*host), is(*host));
            let was = was
                .as_ref()
                .or_else(|| old.configured(*host)?.standalone.as_ref());
            let is = is
                .as_ref()
                .or_else(|| self.configured(*host)?.standalone.as_ref());
            // What stood there before goes first: another machine under the same id begins anew.
            let went = was.filter(|was| is.is_none_or(|is| was.is_replaced_by(is)));
            entries.extend(went.map(|was| HostEntry {
                state: HostState::Gone,
                ..was.entry()
            }));
            // A weight is no part of it: most revisions change nothing else.
            let entry = is
                .map(HostRecord::entry)
                .filter(|entry| went.is_some() || was.map(HostRecord::entry) != Some(*entry));
            entries.extend(entry);
        }
        entries
    }

    pub fn revision(&self) -> Revision {
        self.overrides.revision
    }

    pub fn configured(&self, host: HostId) -> Option<&ConfiguredHost> {
        let place = self.hosts.binary_search_by_key(&host, |said| said.host);
        place.ok().map(|place| &self.hosts[place])
    }
}

/// What operators ask of the build on trial, if they ask anything.
fn rollout_override(tree: &Tree) -> Option<RolloutOverride> {
    let ring = &tree.rollout;
    let build = BuildId(u16::try_from(ring.build?).ok()?);
    let (hold, roll_back) = (ring.hold == Some(true), ring.roll_back == Some(true));
    Some(RolloutOverride {
        build,
        hold,
        roll_back,
        cap: ring.cap.unwrap_or(1.0),
    })
}

/// The routes of a tree, each with its pool.
pub fn build_routes(tree: &Tree) -> Vec<Route> {
    let routes = tree.routes.iter().map(|(name, set)| {
        let named = |names: &Option<BTreeSet<Arc<str>>>| names.clone().unwrap_or_default();
        let pool = Pool {
            zones: named(&set.zones)
                .iter()
                .map(|zone| ZoneId::named(zone))
                .collect(),
            kinds: named(&set.kinds)
                .iter()
                .map(|kind| KindId::named(kind))
                .collect(),
            hosts: named(&set.hosts)
                .iter()
                .map(|host| HostId::named(host))
                .collect(),
        };
        let of = Match {
            operations: named(&set.operations),
            key_prefix: set.key_prefix.clone().unwrap_or_default(),
        };
        Route {
            name: name.shared(),
            precedence: set.precedence,
            of,
            pool: Arc::new(pool),
        }
    });
    routes.collect()
}
