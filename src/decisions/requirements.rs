//! The groups of hosts that may serve a request, by exposure, sticky keys, idempotency and the time left.

use super::Router;
use super::request_table::TrackedRequest;
use super::retry::WAIT_OBJECTIVE_FRACTION;
use crate::arm::Arm;
use crate::host_group::{HostGroup, Requirements};
use crate::interface::{BuildId, HostEntry, IdempotencyScope};

/// Whether the hosts of a group know the idempotency keys of the host that may already have run the request. A group
/// has a cell only where some operation has the scope `Cell`, see [`HostGroup`].
fn shares_idempotency_keys(
    scope: IdempotencyScope,
    earlier_host: &HostEntry,
    group: &HostGroup,
) -> bool {
    match scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => earlier_host.zone == group.zone,
        IdempotencyScope::Cell => Some(earlier_host.cell) == group.cell,
    }
}

impl Router {
    /// The requirements of a request. They are computed once for each group of hosts, so that the cost does not
    /// depend on the number of hosts.
    pub(super) fn requirements(&self, now: f64, request: &TrackedRequest) -> Requirements {
        // The groups that may serve the request, each with its arm: the baseline or the canary.
        let mut arms = vec![];
        let mut last_build: Option<(BuildId, bool)> = None;
        for group in self.hosts.index.groups() {
            let may_use_build = match last_build {
                Some((build, may_use_build)) if build == group.build => may_use_build,
                _ => self.may_use_build(now, request, group.build),
            };
            last_build = Some((group.build, may_use_build));
            if may_use_build && self.group_may_serve(now, request, group) {
                let arm = Arm::canary_if(self.is_canary(group.build));
                arms.push((*group, arm));
            }
        }
        Requirements {
            arms,
            tried: request
                .attempts
                .iter()
                .map(|attempt| attempt.host.host)
                .collect(),
            pool: request.pool.clone(),
            revision: request.overrides.revision,
        }
    }

    /// Whether a build has exposure left for a request and is not older than the build that the request's sticky
    /// key is bound to.
    fn may_use_build(&self, now: f64, request: &TrackedRequest, build: BuildId) -> bool {
        let bound_build = self.sticky_builds.get(request.key);
        // Also true for a key that is bound to an older build, and for a request without a key.
        let is_unbound = bound_build.is_none_or(|bound_build| bound_build < build);
        let is_not_older = bound_build.is_none_or(|bound_build| build >= bound_build);
        let may_bind = request.key.is_none()
            || !self.settings.sticky_keys
            || !is_unbound
            || self.may_bind_key(build);
        is_not_older
            && may_bind
            && self.has_exposure_room(now, build, request.operation, is_unbound)
    }

    /// Whether hosts of a group may serve a request. An attempt is not started where the time left is shorter than
    /// even the group's quickest answers take. That minimum is limited to a fraction of the time to the latency
    /// objective, so that hosts which have not answered for long are still tried.
    fn group_may_serve(&self, now: f64, request: &TrackedRequest, group: &HostGroup) -> bool {
        let scope = self.settings.operations[request.operation].idempotency_scope;
        let knows_idempotency_key = request
            .first_attempt_with_possible_effect()
            .is_none_or(|earlier| shares_idempotency_keys(scope, &earlier.host, group));
        let min_time = self
            .latency
            .floor_time(request.operation, group.kind)
            .map_or(0.0, |time_per_work| {
                let max_min_time = WAIT_OBJECTIVE_FRACTION * (request.objective_at - now);
                (time_per_work * request.work).min(max_min_time)
            });
        let is_in_pool = request
            .pool
            .as_ref()
            .is_none_or(|pool| pool.may_contain(group.zone, group.kind));
        knows_idempotency_key && is_in_pool && now + min_time < request.deadline
    }
}
