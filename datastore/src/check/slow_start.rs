//! Rule 4: weights do not overload a host that is warming up.
//!
//! The check assumes that the service's traffic equals the capacity of all its hosts. A host's fair share is its own
//! capacity once it is warm. All routers together send it a multiple of this share: its weight over the mean of all
//! weights, each weighted by the capacity of its host. A host that is warming up can handle its warm-up fraction of
//! the fair share, and is overloaded at the overload multiple of that.

use std::sync::Arc;

use kestreltide::operator_weights::{self, EffectiveWeight};

use super::context::{Context, MergedTree};
use crate::settings::RuleSettings;
use crate::tree::{AdminState, HostName, Leaf, Path, Value};
use crate::validation::{Rule, ValidationError, ValidationErrors};

/// The factor by which a share has to exceed the previous one to count as grown; a smaller difference may be a rounding
/// error.
const SHARE_GROWTH_TOLERANCE: f64 = 1.0001;
/// The smallest warm-up range that is used as a divisor, which avoids a division by zero.
const MIN_WARM_UP_RANGE: f64 = 1e-9;

/// The weights of all hosts in service. Both lists are in the order of the hosts' names.
struct Weights {
    names: Vec<Arc<str>>,
    weights: Vec<EffectiveWeight>,
}

impl Weights {
    fn new(context: &Context, merged_tree: &MergedTree) -> Self {
        let configured_weight = |name: &Arc<str>| {
            let name: Option<HostName> = name.parse().ok();
            name.and_then(|name| merged_tree.tree.hosts.get(&name)?.weight)
                .unwrap_or(1.0)
        };
        let in_service = merged_tree
            .hosts
            .iter()
            .filter(|(_, host)| host.is_in_service());
        let (names, weights) = in_service
            .map(|(name, host)| {
                let weight = EffectiveWeight {
                    size: host.size,
                    weight: configured_weight(name),
                    warm_up_fraction: context
                        .settings
                        .warm_up_fraction(host.started, context.facts.now),
                };
                (name.clone(), weight)
            })
            .unzip();
        Weights { names, weights }
    }

    /// Returns the multiple of its fair share that a host gets; `None` if it is not in service.
    fn share_of(&self, name: &Arc<str>) -> Option<f64> {
        let position = self.names.binary_search(name).ok()?;
        let weight = &self.weights[position];
        Some(operator_weights::relative_share(weight, &self.weights))
    }
}

/// Reports weights that overload a host that is warming up, unless the host got the same share before.
pub(super) fn check_weights_of_warming_hosts(context: &Context, errors: &mut ValidationErrors) {
    if only_removes_hosts(context) {
        // A drain is never delayed. Its effect on the other hosts is limited when the weights are applied.
        return;
    }
    let after = Weights::new(context, &context.after);
    let before = Weights::new(context, &context.before);
    if after.weights.iter().all(|host| host.weight == 1.0) {
        return;
    }
    for (name, weight) in after.names.iter().zip(&after.weights) {
        if weight.warm_up_fraction >= 1.0 {
            continue;
        }
        let overload = context.settings.overload_multiple * weight.warm_up_fraction;
        let share = operator_weights::relative_share(weight, &after.weights);
        // The fair share is always allowed, as every host gets it without weights.
        if share <= overload.max(1.0) {
            continue;
        }
        let has_grown = before
            .share_of(name)
            .is_none_or(|share_before| share > SHARE_GROWTH_TOLERANCE * share_before);
        if has_grown {
            errors.push(overload_error(context, name, weight, share, overload));
        }
    }
}

/// Returns whether all that the candidate does is to drain hosts, take them out of service or remove their entries.
fn only_removes_hosts(context: &Context) -> bool {
    let leaves_service = |value: &Option<Value>| matches!(value, Some(Value::State(state)) if *state != AdminState::InService);
    context.differences.iter().all(|change| match &change.path {
        Path::Host(name, _) if !context.after.tree.hosts.contains_key(name) => true,
        Path::Host(_, Leaf::State) => leaves_service(&change.new),
        _ => false,
    })
}

fn overload_error(
    context: &Context,
    name: &Arc<str>,
    weight: &EffectiveWeight,
    share: f64,
    overload: f64,
) -> ValidationError {
    let now = context.facts.now;
    let host = context.after.hosts.get(name);
    let started = host.and_then(|host| host.started).unwrap_or(now);
    // From this time on the share no longer overloads the host.
    let allowed_at = started + warm_up_seconds(context.settings, share);
    let problem = format!(
        "{} would send the host {share:.2} times its fair share; it started {:.1} s ago, has {:.2} of \
         its capacity and is overloaded at {overload:.2}",
        describe_senders(context.settings, share, overload),
        now - started,
        weight.warm_up_fraction
    );
    let expected = format!(
        "a weight of {:.3} at most, or the same {:.1} s later",
        weight.weight * overload.max(1.0) / share,
        allowed_at - now
    );
    ValidationError::new(
        format!("hosts/{name}/weight"),
        problem,
        weight.weight,
        expected,
    )
    .with_rule(Rule::WarmUpRespected)
    .with_retry_at(allowed_at)
}

/// Returns the seconds after its start at which a host can handle this multiple of its fair share.
fn warm_up_seconds(settings: &RuleSettings, share: f64) -> f64 {
    let initial = settings.slow_start_initial_fraction;
    let progress = ((share / settings.overload_multiple).min(1.0) - initial)
        / (1.0 - initial).max(MIN_WARM_UP_RANGE);
    settings.slow_start_duration * progress.clamp(0.0, 1.0)
}

/// Describes who overloads the host, for error texts: one router by itself, or only all of them together.
fn describe_senders(settings: &RuleSettings, share: f64, overload: f64) -> String {
    let overloads_alone = share / f64::from(settings.routers) > overload;
    if settings.routers == 1 {
        "this router".into()
    } else if overloads_alone {
        "this router alone".into()
    } else {
        format!(
            "all {} routers together, though none alone,",
            settings.routers
        )
    }
}
