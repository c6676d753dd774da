//! Settings, hosts and events for tests and measurements that drive the decisions of a router without any I/O.

use kestreltide::interface::{
    AttemptOutcome, BuildId, CellId, Effect, Event, HostEntry, HostId, HostState, Idempotency,
    IdempotencyScope, MachineKindId, OperationSettings, Phase, PromotionGate, RolloutStatus,
    RouterId, ServiceSettings, SizeSource, ZoneId,
};

/// An idempotency key that is valid for this time, in seconds, at all hosts.
pub fn idempotency_key(window: f64) -> Idempotency {
    Idempotency::IdempotencyKey {
        scope: IdempotencyScope::All,
        window,
    }
}

/// An operation with this latency objective, in seconds, a time limit of 2 s and weight 1.
pub fn operation_settings(idempotency: Idempotency, latency_objective: f64) -> OperationSettings {
    OperationSettings {
        latency_objective,
        latency_objective_work_factor: 0.0,
        time_limit: 2.0,
        idempotency,
        priority_weight: 1.0,
        late_value_fraction: 0.0,
        streamed: false,
    }
}

/// The settings of a service with one router, two rollout stages and no votes of others.
///
/// Its operations are an idempotent one, one with an idempotency key and one that is neither.
pub fn service_settings() -> ServiceSettings {
    ServiceSettings {
        router_id: RouterId(0),
        routers: 1,
        zone: None,
        operations: vec![
            operation_settings(Idempotency::Idempotent, 0.8),
            operation_settings(idempotency_key(0.5), 1.5),
            operation_settings(Idempotency::NonIdempotent, 0.8),
        ],
        weighted_by_work: false,
        polls_endpoint_list: false,
        endpoint_poll_interval: 10.0,
        size_source: SizeSource::Unspecified,
        promotion_gate: PromotionGate::VoteCount,
        promote_votes: 0,
        roll_back_votes: 0,
        hold_votes: 0,
        bake_time: 1.0,
        vote_lifetime: 6.0,
        vote_timeout: 1.0,
        vote_rate: 250.0,
        stage_shares: vec![0.25, 1.0],
        stage_caps: vec![0.3, 1.0],
        exposure_window: 2.0,
        exposure_allowance: 2.0,
        exposure_by_operation: false,
        idempotent_only_stages: 0,
        sticky_keys: false,
        key_affinity: false,
        replaces_in_place: true,
        disputed_fraction: 0.0,
        drain_grace: 0.25,
        slow_start_initial_fraction: 0.4,
        slow_start_duration: 4.0,
        overload_multiple: 3.0,
        overload_duration: 1.0,
        may_health_check: false,
        may_gossip: true,
        may_cancel_attempts: true,
        may_hedge: false,
        may_send_retry_after: true,
        max_retry_after: 1.0,
        max_attempts: 4,
        tick: 0.005,
    }
}

/// A running host of size 1, in the first zone and cell.
///
/// `started` is the time of its start in seconds; `None` for a host that has warmed up.
pub fn running_host(id: u64, build: BuildId, started: Option<f64>) -> HostEntry {
    HostEntry {
        host: HostId(id),
        build,
        zone: ZoneId(0),
        cell: CellId(0),
        kind: MachineKindId(0),
        size: 1.0,
        started,
        state: HostState::Running,
    }
}

/// A new rollout status from the platform, which answers no vote.
pub fn rollout_status(build: BuildId, stage: u32, phase: Phase, cap: f64) -> Event {
    Event::RolloutStatusReceived(RolloutStatus {
        outcome: AttemptOutcome::Succeeded,
        build,
        stage,
        phase,
        cap,
        age: 0.0,
        answers_vote: false,
    })
}

/// The host of the first attempt among these effects; `None` if they start no attempt.
pub fn attempted_host(effects: &[Effect]) -> Option<HostId> {
    effects.iter().find_map(|effect| match effect {
        Effect::StartAttempt { host, .. } => Some(*host),
        _ => None,
    })
}
