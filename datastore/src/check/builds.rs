//! Rule 5: no host enters service with a build that the platform has rolled back or is rolling back.

use kestreltide::interface::{Phase, RolloutStatus};

use super::context::Context;
use crate::host_record::HostRecord;
use crate::validation::{Rule, ValidationError, ValidationErrors};

/// Reports hosts that enter service with a build that is rolled back or being rolled back. Hosts that already served
/// with this build are not reported.
pub(super) fn check_no_host_joins_rolled_back_build(
    context: &Context,
    errors: &mut ValidationErrors,
) {
    let Some(rollout) = context.facts.rollout.filter(is_rolled_back) else {
        return;
    };
    let serves_build = |host: &HostRecord| host.is_in_service() && host.build == rollout.build;
    let after = context.after.hosts.iter();
    for (name, host) in after.filter(|(_, host)| serves_build(host)) {
        let served_before = context.before.hosts.get(name).is_some_and(serves_build);
        if served_before {
            continue;
        }
        let error = ValidationError::new(
            format!("hosts/{name}/build"),
            "the platform has rolled back this build or is rolling it back",
            host.build.0,
            "an earlier build",
        );
        errors.push(error.with_rule(Rule::ExposureCapped));
    }
}

fn is_rolled_back(rollout: &RolloutStatus) -> bool {
    matches!(rollout.phase, Phase::RollingBack | Phase::RolledBack)
}
