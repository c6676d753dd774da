//! The settings that a service hands its routers at start.

use super::ids::{RouterId, ZoneId};

/// The hosts that recognise an idempotency key together, so that a retry among them has no second effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All hosts of the service.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// Whether an operation may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Hosts drop a repeat that carries the same key.
    IdempotencyKey {
        /// The hosts that know the key.
        scope: IdempotencyScope,
        /// How long they know it, in seconds.
        window: f64,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// The settings of one operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationSettings {
    /// The time, in seconds, in which an answer earns its full value.
    pub latency_objective: f64,
    /// The objective grows by this many times the request's own work, never past the time limit.
    pub latency_objective_work_factor: f64,
    /// The time, in seconds, after which the client stops waiting.
    pub time_limit: f64,
    /// Whether it may be retried.
    pub idempotency: Idempotency,
    /// What an answer within the objective is worth, in the service's own unit.
    pub priority_weight: f64,
    /// The fraction of that value that an answer after the objective still earns.
    pub late_value_fraction: f64,
    /// Whether answers are streamed.
    pub streamed: bool,
}

/// What moves a build from stage to stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionGate {
    /// A number of votes.
    VoteCount,
    /// A share of the routers' votes.
    VoteShare,
    /// A timer, unless votes stop it.
    Timer,
}

/// What the sizes in the endpoint list mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeSource {
    /// They are not given.
    Unspecified,
    /// They are the registered capacity.
    Registered,
    /// They are a rough estimate.
    Rough,
    /// They follow the present capacity.
    Live,
}

/// The settings that a service hands its routers at start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// This router.
    pub router_id: RouterId,
    /// How many routers the service has.
    pub routers: u32,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// The operations, by [`OperationId`](super::OperationId).
    pub operations: Vec<OperationSettings>,
    /// The priority weight counts for each unit of work, not for each request.
    pub weighted_by_work: bool,
    /// The endpoint list comes only when it is polled.
    pub polls_endpoint_list: bool,
    /// Without a subscription, a router counts as notified of a change after this time, in seconds.
    pub endpoint_poll_interval: f64,
    /// What the sizes in the endpoint list mean.
    pub size_source: SizeSource,
    /// What moves a build from stage to stage.
    pub promotion_gate: PromotionGate,
    /// The votes that promote a build.
    pub promote_votes: u32,
    /// The votes that roll a build back.
    pub roll_back_votes: u32,
    /// The votes that hold a build.
    pub hold_votes: u32,
    /// The shortest time of a stage, in seconds.
    pub bake_time: f64,
    /// How long a vote counts, in seconds.
    pub vote_lifetime: f64,
    /// How long the platform may take to answer a vote, in seconds.
    pub vote_timeout: f64,
    /// Votes a second that the platform accepts from all routers together, twice that in a burst.
    pub vote_rate: f64,
    /// The share of the machines that runs the canary, by stage.
    pub stage_shares: Vec<f64>,
    /// The largest share of the requests that the canary may get, by stage.
    pub stage_caps: Vec<f64>,
    /// The window over which exposure is counted, in seconds.
    pub exposure_window: f64,
    /// The attempts that a canary may get beyond its cap in a window.
    pub exposure_allowance: f64,
    /// Exposure is counted for each operation by itself.
    pub exposure_by_operation: bool,
    /// The number of first stages in which a canary gets idempotent operations alone.
    pub idempotent_only_stages: u32,
    /// A key that the canary has answered goes to no earlier build.
    pub sticky_keys: bool,
    /// Hosts work faster for keys they have met lately.
    pub key_affinity: bool,
    /// The baseline's machines drain as soon as their successor runs.
    pub replaces_in_place: bool,
    /// The fraction of wrong answers that is disputed later.
    pub disputed_fraction: f64,
    /// How long after a host began to drain it may still get requests, in seconds.
    pub drain_grace: f64,
    /// The fraction of its work that a host can do right after its start.
    pub slow_start_initial_fraction: f64,
    /// How long a host takes to warm up, in seconds.
    pub slow_start_duration: f64,
    /// The load, as a multiple of what a host that warms up can do, at which it falls over.
    pub overload_multiple: f64,
    /// How long such a load lasts before the host falls over, in seconds.
    pub overload_duration: f64,
    /// Health checks are allowed.
    pub may_health_check: bool,
    /// Gossip among routers is allowed.
    pub may_gossip: bool,
    /// Attempts may be cancelled.
    pub may_cancel_attempts: bool,
    /// Hedged requests are allowed.
    pub may_hedge: bool,
    /// Shed requests may carry a time to retry after.
    pub may_send_retry_after: bool,
    /// The longest such time, in seconds.
    pub max_retry_after: f64,
    /// The attempts that a request may have.
    pub max_attempts: u32,
    /// The shortest time between two events that differ in time, in seconds.
    pub tick: f64,
}
