//! The input of the checks: the tree and its hosts before and after the candidate, and what the router observes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use kestreltide::interface::{BuildId, Phase, RolloutStatus};

use super::drains::DrainedHosts;
use crate::facts::Facts;
use crate::host_record::HostRecord;
use crate::merge::{FirstListed, merge_hosts};
use crate::settings::RuleSettings;
use crate::tree::{Difference, Tree};

/// Seconds after which a candidate that depends on missing data of discovery may be checked again.
pub(super) const RETRY_DELAY_SECONDS: f64 = 0.2;

/// A tree, and its hosts merged with those of discovery. `tree.hosts` are the entries that operators configure.
pub(crate) struct MergedTree<'a> {
    pub(super) tree: &'a Tree,
    /// The hosts that discovery or a complete entry lists, by name.
    pub(super) hosts: BTreeMap<Arc<str>, HostRecord>,
}

impl<'a> MergedTree<'a> {
    /// Merges the hosts of a tree with those of discovery.
    pub(crate) fn new(tree: &'a Tree, first_listed: &FirstListed, facts: &Facts) -> Self {
        MergedTree {
            tree,
            hosts: merge_hosts(tree, first_listed, facts.discovery.as_deref()),
        }
    }

    /// Returns the number of hosts in service that fulfil a condition.
    pub(super) fn count_in_service(&self, condition: impl Fn(&HostRecord) -> bool) -> usize {
        self.hosts
            .values()
            .filter(|host| host.is_in_service() && condition(host))
            .count()
    }
}

/// Everything that a check may use.
pub(crate) struct Context<'a> {
    pub(crate) settings: &'a RuleSettings,
    pub(crate) facts: &'a Facts,
    pub(crate) before: MergedTree<'a>,
    pub(crate) after: MergedTree<'a>,
    /// The hosts that operators have drained.
    pub(crate) drained: &'a DrainedHosts,
    /// The leaves that the candidate changes.
    pub(crate) differences: &'a [Difference],
}

impl Context<'_> {
    /// Returns the released build of a tree. Unless the platform reports its newest build as released, that is the
    /// newest listed build before it. Returns every listed build if the platform has not sent a rollout status yet.
    pub(super) fn released_builds(&self, merged_tree: &MergedTree) -> Vec<BuildId> {
        let builds: BTreeSet<BuildId> = merged_tree.hosts.values().map(|host| host.build).collect();
        let baseline = |rollout: &RolloutStatus| builds.range(..rollout.build).next_back().copied();
        match &self.facts.rollout {
            Some(rollout) if rollout.phase == Phase::Released => vec![rollout.build],
            Some(rollout) => baseline(rollout).into_iter().collect(),
            None => builds.into_iter().collect(),
        }
    }
}
