//! The checks of a candidate against the service's settings and rules. Each check sees the entire candidate, reports
//! every violation that it finds, and changes nothing.

mod builds;
mod context;
mod drains;
mod hosts;
mod maximums;
mod removal;
mod rollout;
mod routes;
mod slow_start;

pub(crate) use self::context::{Context, MergedTree};
pub use self::drains::DrainedHosts;
pub use self::maximums::exceeded_maximums;

use self::context::RETRY_DELAY_SECONDS;
use crate::validation::{ValidationError, ValidationErrors};

/// A check: adds an error for each violation that it finds in a candidate.
type Check = fn(&Context, &mut ValidationErrors);

/// All checks, in the order in which their errors are shown.
const CHECKS: [Check; 13] = [
    hosts::check_entries_complete,
    maximums::check_maximums,
    hosts::check_addresses_distinct,
    hosts::check_starts_not_in_future,
    drains::check_drained_hosts_stay_out,
    builds::check_no_host_joins_rolled_back_build,
    removal::check_zones_and_builds_keep_hosts,
    removal::check_largest_removal,
    slow_start::check_weights_of_warming_hosts,
    routes::check_references,
    routes::check_precedences_unambiguous,
    routes::check_pools_keep_hosts,
    rollout::check_rollout_override,
];

/// Runs all checks on a candidate and returns their errors. Until discovery has sent its endpoint list, no check runs
/// and the only error is that the list is missing.
pub(crate) fn run_checks(context: &Context) -> ValidationErrors {
    let mut errors = ValidationErrors::default();
    if context.facts.discovery.is_some() && !context.facts.discovery_received {
        let error = ValidationError::new(
            "hosts",
            "discovery has not sent its endpoint list yet",
            "nothing",
            "an endpoint list",
        );
        errors.push(error.with_retry_at(context.facts.now + RETRY_DELAY_SECONDS));
        return errors;
    }
    CHECKS.iter().for_each(|check| check(context, &mut errors));
    errors
}
