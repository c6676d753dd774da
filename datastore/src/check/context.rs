//! What the checks see: the tree and its hosts before and after the candidate, and what the router observes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kestreltide::interface::{BuildId, Phase, RolloutStatus};

use super::drains::DrainedHosts;
use crate::facts::Facts;
use crate::host_record::HostRecord;
use crate::merge::{FirstListed, merge_hosts};
use crate::settings::RuleSettings;
use crate::tree::{Difference, Tree};

/// Seconds after which a candidate that waits for discovery is checked again.
pub(super) const RETRY_DELAY: f64 = 0.2;

/// A tree, and all hosts as they count under it.
pub(crate) struct HostsOfTree<'a> {
    pub(super) tree: &'a Tree,
    /// In the order of names.
    pub(super) hosts: BTreeMap<Arc<str>, HostRecord>,
}

impl<'a> HostsOfTree<'a> {
    /// Merges the hosts of a tree with those of discovery.
    pub(crate) fn new(tree: &'a Tree, first_listed: &FirstListed, facts: &Facts) -> Self {
        HostsOfTree {
            tree,
            hosts: merge_hosts(tree, first_listed, facts.discovery.as_deref()),
        }
    }

    /// How many hosts in service fulfil a condition.
    pub(super) fn count_in_service(&self, condition: impl Fn(&HostRecord) -> bool) -> usize {
        self.hosts
            .values()
            .filter(|host| host.is_in_service() && condition(host))
            .count()
    }
}

/// Everything that a check may look at.
pub(crate) struct Context<'a> {
    pub(crate) settings: &'a RuleSettings,
    pub(crate) facts: &'a Facts,
    pub(crate) before: HostsOfTree<'a>,
    pub(crate) after: HostsOfTree<'a>,
    pub(crate) drained: &'a DrainedHosts,
    /// The leaves that the candidate changes.
    pub(crate) differences: &'a [Difference],
}

impl Context<'_> {
    /// The released build among these hosts: the newest that is no canary any more, or every listed build before
    /// the platform has sent a rollout status.
    pub(super) fn released_builds(&self, side: &HostsOfTree) -> Vec<BuildId> {
        let builds: BTreeSet<BuildId> = side.hosts.values().map(|host| host.build).collect();
        let baseline = |rollout: &RolloutStatus| builds.range(..rollout.build).next_back().copied();
        match &self.facts.rollout {
            Some(rollout) if rollout.phase == Phase::Released => vec![rollout.build],
            Some(rollout) => baseline(rollout).into_iter().collect(),
            None => builds.into_iter().collect(),
        }
    }
}
