//! The groups of hosts that may serve a request, by exposure, sticky keys, idempotency and the time left.

use super::Router;
use super::request_table::TrackedRequest;
use super::retry::WAIT_OBJECTIVE_FRACTION;
use crate::arm::Arm;
use crate::host_group::{HostGroup, Requirements};
use crate::interface::{BuildId, HostEntry, IdempotencyScope};

/// Whether the hosts of a group know the idempotency keys of the host that may already have run the request.
fn shares_keys(scope: IdempotencyScope, first: &HostEntry, group: &HostGroup) -> bool {
    match scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => first.zone == group.zone,
        IdempotencyScope::Cell => Some(first.cell) == group.cell,
    }
}

impl Router {
    /// The requirements of a request. They are computed once for each group of hosts, so that the cost does not
    /// depend on the number of hosts.
    pub(super) fn requirements(&self, now: f64, request: &TrackedRequest) -> Requirements {
        let mut arms = vec![];
        let mut last_build: Option<(BuildId, bool)> = None;
        for group in self.hosts.index.groups() {
            let build_is_open = match last_build {
                Some((build, build_is_open)) if build == group.build => build_is_open,
                _ => self.may_use_build(now, request, group.build),
            };
            last_build = Some((group.build, build_is_open));
            if build_is_open && self.group_may_serve(now, request, group) {
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

    /// Whether a build has exposure left for a request and is not older than the build that the request's key is
    /// bound to.
    fn may_use_build(&self, now: f64, request: &TrackedRequest, build: BuildId) -> bool {
        let bound_build = self.sticky_builds.get(request.key.as_ref());
        let binds_new_key = bound_build.is_none_or(|bound_build| bound_build < build);
        let may_return = bound_build.is_none_or(|bound_build| build >= bound_build);
        may_return && self.has_exposure_room(now, build, request.operation, binds_new_key)
    }

    /// Whether hosts of a group may serve a request. An attempt is not started where the time left is shorter than
    /// even the group's quickest answers take. That minimum is limited to a fraction of the time to the objective, so
    /// that hosts which have not answered for long are still tried.
    fn group_may_serve(&self, now: f64, request: &TrackedRequest, group: &HostGroup) -> bool {
        let scope = self.settings.operations[request.operation].idempotency_scope;
        let knows_key = request
            .first_effect()
            .is_none_or(|first| shares_keys(scope, &first.host, group));
        let min_time = self
            .latency
            .floor_time(request.operation, group.kind)
            .map_or(0.0, |floor| {
                let objective_wait = WAIT_OBJECTIVE_FRACTION * (request.objective_at - now);
                (floor * request.work).min(objective_wait)
            });
        let is_in_pool = request
            .pool
            .as_ref()
            .is_none_or(|pool| pool.may_contain(group.zone, group.kind));
        knows_key && is_in_pool && now + min_time < request.deadline
    }
}
