//! The guards: limits on how many hosts one revision takes out of service.

use std::collections::BTreeSet;

use kestreltide::interface::Phase;

use super::context::Context;
use crate::host_record::HostRecord;
use crate::validation::{ValidationError, ValidationErrors};

/// The minimum number of hosts that a revision leaves in service in a group of hosts.
struct MinimumHosts {
    /// The group of hosts, for error texts.
    group: String,
    /// The path of the guard that sets the minimum.
    guard: &'static str,
    minimum: u32,
}

impl MinimumHosts {
    /// Returns an error if the candidate takes hosts of the group out of service and leaves fewer than the minimum.
    fn check(
        &self,
        context: &Context,
        in_group: impl Fn(&HostRecord) -> bool,
    ) -> Option<ValidationError> {
        let before = context.before.count_in_service(&in_group);
        let after = context.after.count_in_service(&in_group);
        if after >= before || after >= self.minimum as usize {
            return None;
        }
        Some(ValidationError::new(
            "hosts",
            format!("{} would be left without hosts enough", self.group),
            format!("{after} of {before} left"),
            format!(
                "{} at least, or a lower {} set before",
                self.minimum, self.guard
            ),
        ))
    }
}

/// Reports zones and builds (the released one and the canary) of which too few hosts would stay in service. The guards
/// of the tree before the candidate apply, so that a candidate cannot loosen them for itself.
pub(super) fn check_zones_and_builds_keep_hosts(context: &Context, errors: &mut ValidationErrors) {
    let guards = context.before.tree.guards.effective();
    let before = context.before.hosts.values();
    let zones: BTreeSet<_> = before.map(|host| host.zone.clone()).collect();
    for zone in zones {
        let minimum = MinimumHosts {
            group: format!("zone {zone}"),
            guard: "guards/least-hosts-zone",
            minimum: guards.min_hosts_per_zone,
        };
        errors.extend(minimum.check(context, |host| host.zone == zone));
    }
    let canary = context
        .facts
        .rollout
        .filter(|rollout| rollout.phase == Phase::Canary)
        .map(|rollout| rollout.build);
    let released = context.released_builds(&context.before);
    for build in released.into_iter().chain(canary) {
        let minimum = MinimumHosts {
            group: format!("build {}", build.0),
            guard: "guards/least-hosts-build",
            minimum: guards.min_hosts_per_build,
        };
        errors.extend(minimum.check(context, |host| host.build == build));
    }
}

/// Reports a candidate that takes a larger share of the hosts out of service than the guard allows: a file that has
/// lost most of its lines is taken for an accident.
pub(super) fn check_largest_removal(context: &Context, errors: &mut ValidationErrors) {
    let largest = context.before.tree.guards.effective().largest_removal;
    let mut before = 0_u32;
    let mut removed = 0_u32;
    for host in context.before.hosts.values() {
        if !host.is_in_service() {
            continue;
        }
        before += 1;
        let host_after = context.after.hosts.get(&host.name);
        let stays = host_after.is_some_and(HostRecord::is_in_service);
        removed += u32::from(!stays);
    }
    let removed_share = f64::from(removed) / f64::from(before.max(1));
    // A single host may exceed the share in a short list, unless the guard is 0: the minimums protect such a list.
    if removed_share > largest && (removed > 1 || largest <= 0.0) {
        errors.push(ValidationError::new(
            "hosts",
            "too many are taken out of service at once",
            format!("{removed} of {before}"),
            format!("{largest} of them at most, or a higher guards/largest-removal set before"),
        ));
    }
}
