//! Which groups of hosts may serve a request: exposure, sticky keys, idempotency and the time left.

use super::Router;
use super::request_table::TrackedRequest;
use super::retry::WAIT_PART_OF_OBJECTIVE;
use crate::arm::Arm;
use crate::host_group::{HostGroup, Requirements};
use crate::interface::{BuildId, HostEntry, IdempotencyScope};

/// Whether an idempotency key is known to both the group and the host that may have run the request already.
fn shares_keys(scope: IdempotencyScope, first: &HostEntry, group: &HostGroup) -> bool {
    match scope {
        IdempotencyScope::All => true,
        IdempotencyScope::Zone => first.zone == group.zone,
        IdempotencyScope::Cell => Some(first.cell) == group.cell,
    }
}

impl Router {
    /// The requirements of a request, worked out once for each group of hosts, however many are of it.
    pub(super) fn requirements(&self, now: f64, request: &TrackedRequest) -> Requirements {
        let mut arms = vec![];
        let mut last_build: Option<(BuildId, bool)> = None;
        for group in self.hosts.index.groups() {
            let is_open = match last_build {
                Some((build, is_open)) if build == group.build => is_open,
                _ => self.may_go_to(now, request, group.build),
            };
            last_build = Some((group.build, is_open));
            if is_open && self.group_may_serve(now, request, group) {
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

    /// Whether a build has room for a request, whose key does not return to an older one.
    fn may_go_to(&self, now: f64, request: &TrackedRequest, build: BuildId) -> bool {
        let bound = self.sticky_builds.get(request.key.as_ref());
        let binds_new_key = bound.is_none_or(|bound| bound < build);
        let may_return = bound.is_none_or(|bound| build >= bound);
        may_return && self.has_exposure_room(now, build, request.operation, binds_new_key)
    }

    /// Whether hosts of a group may serve a request. No work is begun where the time left is under what even quick
    /// answers take; the limit to part of the objective lets hosts be tried again that have long not answered.
    fn group_may_serve(&self, now: f64, request: &TrackedRequest, group: &HostGroup) -> bool {
        let scope = self.settings.operations[request.operation].idempotency_scope;
        let knows_key = request
            .first_effect()
            .is_none_or(|first| shares_keys(scope, &first.host, group));
        let least = self
            .latency
            .floor_time(request.operation, group.kind)
            .map_or(0.0, |floor| {
                let of_objective = WAIT_PART_OF_OBJECTIVE * (request.objective_at - now);
                (floor * request.work).min(of_objective)
            });
        let is_in_pool = request
            .pool
            .as_ref()
            .is_none_or(|pool| pool.may_contain(group.zone, group.kind));
        knows_key && is_in_pool && now + least < request.deadline
    }
}
