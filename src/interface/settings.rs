//! The settings that a service gives its routers at start.

use super::ids::{RouterId, ZoneId};

/// The hosts that share their record of idempotency keys. A retry among them has no second effect.
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
    /// The operation may run any number of times.
    Idempotent,
    /// Hosts ignore a repeated request with the same idempotency key.
    IdempotencyKey {
        /// The hosts that recognise the key.
        scope: IdempotencyScope,
        /// How long they recognise it, in seconds.
        window: f64,
    },
    /// The operation must not run twice.
    NonIdempotent,
}

/// The settings of one operation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OperationSettings {
    /// The time within which a response earns its full value, in seconds.
    pub latency_objective: f64,
    /// The latency objective grows by this factor times the request's work, up to the time limit.
    pub latency_objective_work_factor: f64,
    /// The time after which the client stops waiting, in seconds.
    pub time_limit: f64,
    /// Whether requests of the operation may be retried.
    pub idempotency: Idempotency,
    /// The value of a response within the objective, in the service's own unit.
    pub priority_weight: f64,
    /// The fraction of that value that a response after the objective earns.
    pub late_value_fraction: f64,
    /// Whether responses are streamed.
    pub streamed: bool,
}

/// How the platform decides that a canary moves on to the next stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionGate {
    /// By the number of votes.
    VoteCount,
    /// By the share of the routers that vote for it.
    VoteShare,
    /// By a timer, unless votes hold the canary.
    Timer,
}

/// Where the sizes of hosts in the endpoint list come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeSource {
    /// The list contains no sizes.
    Unspecified,
    /// Sizes are the registered capacity.
    Registered,
    /// Sizes are a rough estimate of the capacity.
    Rough,
    /// Sizes follow the current capacity.
    Live,
}

/// The settings that a service gives its routers at start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The id of this router.
    pub router_id: RouterId,
    /// The number of routers of the service.
    pub routers: u32,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// The operations, indexed by [`OperationId`](super::OperationId).
    pub operations: Vec<OperationSettings>,
    /// Whether priority weights are per unit of work; otherwise they are per request.
    pub weighted_by_work: bool,
    /// Whether the router has to ask for the endpoint list; otherwise it is pushed.
    pub polls_endpoint_list: bool,
    /// The time after which a router without a subscription is taken to know of a change to the endpoint list, in
    /// seconds.
    pub endpoint_poll_interval: f64,
    /// Where the sizes of hosts in the endpoint list come from.
    pub size_source: SizeSource,
    /// How the platform decides that a canary moves on to the next stage.
    pub promotion_gate: PromotionGate,
    /// The number of votes that promotes a canary.
    pub promote_votes: u32,
    /// The number of votes that rolls a canary back.
    pub roll_back_votes: u32,
    /// The number of votes that holds a canary at its stage.
    pub hold_votes: u32,
    /// The shortest duration of a stage, in seconds.
    pub bake_time: f64,
    /// How long the platform counts a vote, in seconds.
    pub vote_lifetime: f64,
    /// How long the platform may take to answer a vote, in seconds.
    pub vote_timeout: f64,
    /// The number of votes per second that the platform accepts from all routers together, infinite if it sets no
    /// limit. A burst may have twice as many.
    pub vote_rate: f64,
    /// The share of the machines that run the canary, by stage.
    pub stage_shares: Vec<f64>,
    /// The largest share of the requests that the canary may get, by stage.
    pub stage_caps: Vec<f64>,
    /// The length of the sliding window over which the canary's share of the requests is limited, in seconds.
    pub exposure_window: f64,
    /// The number of attempts that the canary may get beyond its cap in a window.
    pub exposure_allowance: f64,
    /// Whether the canary's share is limited for each operation separately.
    pub exposure_by_operation: bool,
    /// The number of initial stages in which the canary only gets idempotent operations.
    pub idempotent_only_stages: u32,
    /// Whether requests with a key that the canary has answered must not go to an earlier build.
    pub sticky_keys: bool,
    /// Whether hosts work faster on keys that they have served recently.
    pub key_affinity: bool,
    /// Whether the baseline's machines drain as soon as their successors run; otherwise they stay until the release.
    pub replaces_in_place: bool,
    /// The fraction of wrong responses that are disputed later.
    pub disputed_fraction: f64,
    /// How long a host may still get requests after it has begun to drain, in seconds.
    pub drain_grace: f64,
    /// The fraction of its full load that a host can carry right after its start.
    pub slow_start_initial_fraction: f64,
    /// How long a host takes to warm up, in seconds.
    pub slow_start_duration: f64,
    /// The load at which a host that is warming up breaks down, as a multiple of what it can carry at that time.
    pub overload_multiple: f64,
    /// How long such a load lasts before the host breaks down, in seconds.
    pub overload_duration: f64,
    /// Whether the router may check the health of hosts.
    pub may_health_check: bool,
    /// Whether the router may exchange gossip with other routers.
    pub may_gossip: bool,
    /// Whether the router may cancel attempts.
    pub may_cancel_attempts: bool,
    /// Whether the router may send hedged requests.
    pub may_hedge: bool,
    /// Whether the reply to a shed request may name a time to wait before a retry.
    pub may_send_retry_after: bool,
    /// The longest such time, in seconds.
    pub max_retry_after: f64,
    /// The largest number of attempts of one request.
    pub max_attempts: u32,
    /// The resolution of event times, in seconds: two events at different times are at least this far apart.
    pub tick: f64,
}
