//! The service's settings in the form that the decisions use, computed once at the start.

use super::MIN_DURATION;
use super::admission::is_low_priority;
use super::canary_assessment::bake_scale;
use super::endpoint_list::{is_large_fleet, poll_spread};
use super::evidence::signal_slots;
use super::slow_start::slow_start_allowance;
use super::voting::VotePacing;
use crate::interface::{
    Idempotency, IdempotencyScope, OperationSettings, PromotionGate, RouterId, ServiceSettings,
    ZoneId,
};

/// One operation; all times are in seconds.
pub(super) struct Operation {
    pub(super) latency_objective: f64,
    /// An answer after the latency objective has no value.
    pub(super) late_is_worthless: bool,
    /// Its value per unit of time is far below that of the best operation.
    pub(super) low_priority: bool,
    pub(super) idempotency_scope: IdempotencyScope,
    /// For how long a retry has no second effect: infinite for idempotent operations, 0 for those that must not run
    /// twice.
    pub(super) idempotency_window: f64,
}

impl Operation {
    fn new(settings: &OperationSettings, low_priority: bool) -> Self {
        let (idempotency_scope, idempotency_window) = match settings.idempotency {
            Idempotency::Idempotent => (IdempotencyScope::All, f64::INFINITY),
            Idempotency::IdempotencyKey { scope, window } => (scope, window),
            Idempotency::NonIdempotent => (IdempotencyScope::All, 0.0),
        };
        Operation {
            latency_objective: settings.latency_objective,
            late_is_worthless: settings.late_value_fraction <= 0.0,
            low_priority,
            idempotency_scope,
            idempotency_window,
        }
    }
}

/// The service's settings; all times are in seconds.
pub(super) struct DecisionSettings {
    pub(super) router: RouterId,
    pub(super) routers: u32,
    /// There are too many routers for the platform and discovery to serve all of them at once.
    pub(super) is_large_fleet: bool,
    pub(super) zone: Option<ZoneId>,
    pub(super) operations: Vec<Operation>,
    /// Some operation's idempotency keys are known only to the hosts of one cell.
    pub(super) idempotency_by_cell: bool,
    pub(super) polls_endpoint_list: bool,
    /// The time over which all routers together spread their first polls for an endpoint list.
    pub(super) poll_spread: f64,
    pub(super) stage_shares: Vec<f64>,
    /// A timer promotes a canary, unless votes stop it.
    pub(super) timer_gated: bool,
    pub(super) vote_pacing: VotePacing,
    /// Factor by which the delays of the slowdown assessment are shortened for short stages.
    pub(super) bake_scale: f64,
    pub(super) first_cap: f64,
    pub(super) exposure_window: f64,
    pub(super) exposure_allowance: f64,
    pub(super) exposure_by_operation: bool,
    pub(super) idempotent_only_stages: u32,
    pub(super) sticky_keys: bool,
    pub(super) key_affinity: bool,
    /// The baseline's hosts stay beside the canary's until the release.
    pub(super) baseline_stays: bool,
    /// The weight of a disputed answer, which also stands for the wrong answers that are not disputed.
    pub(super) dispute_weight: f64,
    pub(super) drain_grace: f64,
    pub(super) slow_start_initial_fraction: f64,
    pub(super) slow_start_duration: f64,
    pub(super) slow_start_allowance: f64,
    pub(super) overload_multiple: f64,
    pub(super) may_gossip: bool,
    pub(super) may_hedge: bool,
    /// None where responses to shed requests may not carry a time to retry after.
    pub(super) max_retry_after: Option<f64>,
    pub(super) max_attempts: usize,
    /// The number of slots by which the evidence separates operations.
    pub(super) signal_slots: usize,
    pub(super) tick: f64,
}

impl DecisionSettings {
    /// Converts a service's settings.
    pub(super) fn new(settings: &ServiceSettings) -> Self {
        let operations = operations(settings);
        let routers = settings.routers.max(1);
        let tick = settings.tick.max(MIN_DURATION);
        let has_disputes = settings.disputed_fraction > 0.0;
        DecisionSettings {
            router: settings.router_id,
            routers,
            is_large_fleet: is_large_fleet(routers),
            zone: settings.zone,
            idempotency_by_cell: operations
                .iter()
                .any(|operation| operation.idempotency_scope == IdempotencyScope::Cell),
            operations,
            polls_endpoint_list: settings.polls_endpoint_list,
            poll_spread: poll_spread(settings.endpoint_poll_interval, routers),
            stage_shares: settings.stage_shares.clone(),
            timer_gated: settings.promotion_gate == PromotionGate::Timer,
            vote_pacing: VotePacing::new(settings),
            bake_scale: bake_scale(settings.bake_time),
            first_cap: settings.stage_caps.first().copied().unwrap_or(0.0),
            exposure_window: settings.exposure_window + tick,
            exposure_allowance: settings.exposure_allowance,
            exposure_by_operation: settings.exposure_by_operation,
            idempotent_only_stages: settings.idempotent_only_stages,
            sticky_keys: settings.sticky_keys,
            key_affinity: settings.key_affinity,
            baseline_stays: !settings.replaces_in_place,
            dispute_weight: if has_disputes {
                1.0 / settings.disputed_fraction
            } else {
                0.0
            },
            drain_grace: settings.drain_grace,
            slow_start_initial_fraction: settings.slow_start_initial_fraction,
            slow_start_duration: settings.slow_start_duration.max(MIN_DURATION),
            slow_start_allowance: slow_start_allowance(settings.overload_multiple),
            overload_multiple: settings.overload_multiple,
            may_gossip: settings.may_gossip,
            may_hedge: settings.may_hedge,
            max_retry_after: settings
                .may_send_retry_after
                .then_some(settings.max_retry_after),
            max_attempts: settings.max_attempts.max(1) as usize,
            signal_slots: signal_slots(settings.operations.len()),
            tick,
        }
    }

    /// The longest latency objective of all operations, in seconds.
    pub(super) fn longest_objective(&self) -> f64 {
        self.operations
            .iter()
            .map(|operation| operation.latency_objective)
            .fold(MIN_DURATION, f64::max)
    }
}

/// The operations, with a mark on those whose value per unit of time is low.
fn operations(settings: &ServiceSettings) -> Vec<Operation> {
    let value_rate = |operation: &OperationSettings| {
        let cost = if settings.weighted_by_work {
            1.0
        } else {
            operation.latency_objective
        };
        operation.priority_weight / cost
    };
    let best = settings
        .operations
        .iter()
        .map(value_rate)
        .fold(0.0, f64::max);
    settings
        .operations
        .iter()
        .map(|operation| Operation::new(operation, is_low_priority(value_rate(operation), best)))
        .collect()
}
