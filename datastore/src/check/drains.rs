//! Rule 3: a drained host returns to service only as a new process.

use std::collections::BTreeMap;

use super::context::Context;
use crate::tree::{HostName, Leaf, Path};
use crate::validation::{Rule, ValidationError, ValidationErrors};

/// The hosts that operators have drained, each with the start of the drained process, or with the time of the drain if
/// the start is not known (Unix seconds).
pub type DrainedHosts = BTreeMap<HostName, f64>;

/// Reports drained hosts that are in service and have not been restarted since.
pub(super) fn check_drained_hosts_stay_out(context: &Context, errors: &mut ValidationErrors) {
    for (name, drained_process_start) in context.drained {
        let host = context.after.hosts.get(name.as_str());
        let Some(host) = host.filter(|host| host.is_in_service()) else {
            continue;
        };
        let restarted = host
            .started
            .is_some_and(|started| started > *drained_process_start);
        if restarted {
            continue;
        }
        let found = host
            .started
            .map_or("no start".into(), |started| format!("started {started}"));
        let error = ValidationError::new(
            Path::Host(name.clone(), Leaf::State),
            "it was drained and has not been restarted since",
            found,
            format!(
                "a start after {drained_process_start} (Unix seconds), or a state other than in-service"
            ),
        );
        errors.push(error.with_rule(Rule::DrainsKept));
    }
}
