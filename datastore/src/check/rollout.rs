//! Rule 5: an override of a rollout can only lower the exposure of the canary, and names the canary's build.

use kestreltide::interface::RolloutStatus;

use super::context::Context;
use crate::tree::RolloutConfig;
use crate::validation::{Rule, ValidationError, ValidationErrors};

/// Reports a changed override that names no build, names another than the newest build, or raises the cap of the platform.
pub(super) fn check_rollout_override(context: &Context, errors: &mut ValidationErrors) {
    let config = &context.after.tree.rollout;
    if context.before.tree.rollout == *config || !overrides_anything(config) {
        return;
    }
    match (config.build, &context.facts.rollout) {
        (None, _) => errors.push(ValidationError::new(
            "ring/build",
            "does not say which build is meant",
            "nothing",
            "the number of the canary build",
        )),
        (Some(build), None) => errors.push(ValidationError::new(
            "ring/build",
            "the platform has not sent a rollout status yet",
            build,
            "a build that is rolled out",
        )),
        (Some(build), Some(rollout)) => {
            errors.extend(other_build_error(build, rollout));
            errors.extend(raised_cap_error(config, rollout));
        }
    }
}

fn overrides_anything(config: &RolloutConfig) -> bool {
    config.hold == Some(true) || config.roll_back == Some(true) || config.cap.is_some()
}

fn other_build_error(build: u32, rollout: &RolloutStatus) -> Option<ValidationError> {
    if build == u32::from(rollout.build.0) {
        return None;
    }
    Some(ValidationError::new(
        "ring/build",
        "is not the build that the platform tells of",
        build,
        format!("{}, the newest build", rollout.build.0),
    ))
}

fn raised_cap_error(config: &RolloutConfig, rollout: &RolloutStatus) -> Option<ValidationError> {
    let cap = config.cap.filter(|cap| *cap > rollout.cap)?;
    let error = ValidationError::new(
        "ring/cap",
        "would be raised, and can only be lowered",
        cap,
        format!("{} at most, the platform's cap", rollout.cap),
    );
    Some(error.with_rule(Rule::ExposureCapped))
}
