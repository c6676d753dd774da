//! Plain types between the decisions and whatever carries them: identifiers, the events that go in, the effects
//! that come out, and the settings read at start.
//!
//! All times are seconds as `f64`, durations and points in time alike; a point in time is counted from an origin
//! that the carrier chooses once. Nothing here decides, and nothing here knows a wire protocol.

use std::fmt;
use std::sync::Arc;

/// Identifies a client's request, as its carrier names it; never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// Identifies what a request concerns; requests that share a key belong together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub Arc<str>);

/// Identifies a host by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u64);

impl HostId {
    /// Returns the id of the host with this name (FNV-1a, 64 bits).
    ///
    /// It is the same at every router, in every thread and after every start, and needs no registry.
    pub fn named(name: &str) -> Self {
        HostId(fnv1a(name))
    }
}

/// Hashes a name by FNV-1a, 64 bits.
fn fnv1a(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let add = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    name.bytes().fold(OFFSET_BASIS, add)
}

/// Identifies a build; a later build has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BuildId(pub u16);

/// Identifies a router of this service, by its number among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouterId(pub u32);

/// Identifies an operation by its place in [`ServiceSettings::operations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub usize);

/// Identifies a zone by a hash of its name or by a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u64);

impl ZoneId {
    /// Returns the id of the zone with this name, hashed as by [`HostId::named`].
    pub fn named(name: &str) -> Self {
        ZoneId(fnv1a(name))
    }
}

/// Identifies a cell: a group of hosts that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);

/// Identifies a kind of machine by a hash of its name or by a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u64);

impl KindId {
    /// Returns the id of the kind with this name, hashed as by [`HostId::named`].
    pub fn named(name: &str) -> Self {
        KindId(fnv1a(name))
    }
}

/// Numbers a committed revision of the operators' settings; 0 before there was any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// The place of an attempt among those of its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Identifies a timer: a router gets back the key that it scheduled the timer with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerKey(pub u64);

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
    pub latency_objective_stretch: f64,
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
pub enum Gate {
    /// A number of votes.
    Any,
    /// A share of the routers' votes.
    Share,
    /// A timer, unless votes stop it.
    Clock,
}

/// What the sizes in the endpoint list mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sizes {
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
    pub me: RouterId,
    /// How many routers the service has.
    pub routers: u32,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// The operations, by [`OperationId`].
    pub operations: Vec<OperationSettings>,
    /// The priority weight counts for each unit of work, not for each request.
    pub weighted_by_work: bool,
    /// The endpoint list comes only when it is polled.
    pub polls_endpoint_list: bool,
    /// Without a subscription, a router counts as notified of a change after this time, in seconds.
    pub endpoint_poll_interval: f64,
    /// What the sizes in the endpoint list mean.
    pub sizes: Sizes,
    /// What moves a build from stage to stage.
    pub gate: Gate,
    /// The votes that promote a build.
    pub votes_on: u32,
    /// The votes that roll a build back.
    pub votes_back: u32,
    /// The votes that hold a build.
    pub votes_hold: u32,
    /// The shortest time of a stage, in seconds.
    pub bake: f64,
    /// How long a vote counts, in seconds.
    pub vote_lifetime: f64,
    /// How long the platform may take to answer a vote, in seconds.
    pub vote_wait: f64,
    /// Votes a second that the platform accepts from all routers together, twice that in a burst.
    pub vote_rate: f64,
    /// The share of the machines that runs the canary, by stage.
    pub stage_shares: Vec<f64>,
    /// The largest share of the requests that the canary may get, by stage.
    pub stage_caps: Vec<f64>,
    /// The window over which exposure is counted, in seconds.
    pub exposure_window: f64,
    /// The attempts that a canary may get beyond its cap in a window.
    pub exposure_spare: f64,
    /// Exposure is counted for each operation by itself.
    pub exposure_by_operation: bool,
    /// The number of first stages in which a canary gets idempotent operations alone.
    pub idempotent_only_stages: u32,
    /// A key that the canary has answered goes to no earlier build.
    pub sticky_keys: bool,
    /// Hosts work faster for keys they have met lately.
    pub key_affinity: bool,
    /// The baseline's machines drain as soon as their successor runs.
    pub in_place: bool,
    /// The fraction of wrong answers that is disputed later.
    pub dispute_share: f64,
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
    pub may_probe: bool,
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

/// The state of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It takes requests.
    Running,
    /// It is draining.
    Stopping,
    /// It has left.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// The build that it runs.
    pub build: BuildId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its capacity, 1 being a standard machine.
    pub size: f64,
    /// When it last started; `None` is long ago.
    pub started: Option<f64>,
    /// Whether it takes requests.
    pub state: HostState,
}

impl HostEntry {
    /// Whether both entries are of one process: an id may come back with another start or build.
    pub fn same_process(&self, other: &HostEntry) -> bool {
        self.build == other.build && self.started == other.started
    }
}

/// The hosts that a route's requests may use; an empty list is no condition. It narrows and never widens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The zones of its hosts.
    pub zones: Vec<ZoneId>,
    /// The kinds of its hosts.
    pub kinds: Vec<KindId>,
    /// Its hosts, where they are named one by one.
    pub hosts: Vec<HostId>,
}

impl Pool {
    /// Whether this host is in the pool.
    pub fn contains(&self, host: &HostEntry) -> bool {
        let named = self.hosts.is_empty() || self.hosts.contains(&host.host);
        named && self.may_contain(host.zone, host.kind)
    }

    /// Whether hosts of this zone and kind may be in the pool.
    pub fn may_contain(&self, zone: ZoneId, kind: KindId) -> bool {
        let in_zone = self.zones.is_empty() || self.zones.contains(&zone);
        in_zone && (self.kinds.is_empty() || self.kinds.contains(&kind))
    }
}

/// What operators ask of a canary. It can only hold it, roll it back or lower its cap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutOverride {
    /// The build that it is about.
    pub build: BuildId,
    /// Do not promote it.
    pub hold: bool,
    /// Roll it back.
    pub roll_back: bool,
    /// The largest share of the requests that it may get.
    pub cap: f64,
}

/// What operators have set, as of one revision. Weights only narrow: they share out what the decisions let a host
/// have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorOverrides {
    /// The revision that committed it.
    pub revision: Revision,
    /// In ascending order of hosts; hosts that are not listed weigh 1.
    pub weights: Box<[(HostId, f64)]>,
    /// What they ask of a canary.
    pub rollout: Option<RolloutOverride>,
}

impl OperatorOverrides {
    /// Returns a lookup of weights, to be called with hosts in ascending order.
    pub fn weights_in_order(&self) -> impl FnMut(HostId) -> f64 {
        let mut left = &self.weights[..];
        move |host| {
            while let [(first, _), rest @ ..] = left
                && *first < host
            {
                left = rest;
            }
            left.first()
                .filter(|(first, _)| *first == host)
                .map_or(1.0, |(_, weight)| *weight)
        }
    }
}

/// What an endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the changed entries.
    Delta,
    /// The full list.
    Full,
    /// The full list as this router had it last; it may be old.
    Cached,
}

/// How an attempt, a health check or a vote ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// An answer came.
    Succeeded,
    /// The host answered with an error.
    Error,
    /// The host rejected it, with no effect.
    Rejected,
    /// No answer came in its time; it may have run.
    TimedOut,
    /// No connection was made, so it has not run.
    NoConnection,
    /// The connection was reset; it may have run.
    Reset,
    /// This router cancelled it.
    Cancelled,
    /// It did not matter any more.
    Irrelevant,
}

/// A host's report on its own load, as far as it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests that wait in its queue.
    pub queued: Option<f64>,
    /// The fraction of its capacity that is busy.
    pub busy: Option<f64>,
    /// The time that a request takes, in seconds.
    pub service_time: Option<f64>,
}

/// The phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is the canary: part of the machines run it, under a cap.
    Canary,
    /// It is being rolled back.
    RollingBack,
    /// It is released to all machines.
    Released,
    /// It has been rolled back.
    RolledBack,
}

/// The state of a rollout, as the platform told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    /// Other than `Succeeded`: the answer to a vote that did not count, or (timed out) may have.
    pub outcome: AttemptOutcome,
    /// The newest build.
    pub build: BuildId,
    /// Its stage, from 0.
    pub stage: u32,
    /// Its phase.
    pub phase: Phase,
    /// The largest share of the requests that it may get.
    pub cap: f64,
    /// The time since this state began, in seconds.
    pub age: f64,
    /// Whether this is the answer to a vote of this router.
    pub answers_vote: bool,
}

/// A router's vote on a canary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Vote {
    /// No vote, or a vote withdrawn.
    #[default]
    Abstain,
    /// To the next stage.
    Promote,
    /// Stay at this stage.
    Hold,
    /// Back to the baseline.
    RollBack,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The operation that it asks for.
    pub operation: OperationId,
    /// What it concerns.
    pub key: Option<KeyId>,
    /// The time before the client stops waiting for this request, in seconds.
    pub time_left: f64,
    /// Expected work, rough, in seconds of a standard core.
    pub work: Option<f64>,
    /// Whether the client sends it again after an earlier try.
    pub again: bool,
    /// The hosts that may serve it; none: all.
    pub pool: Option<Arc<Pool>>,
}

/// What happens to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint list has come.
    EndpointList {
        /// What it holds.
        scope: ListScope,
        /// Its entries.
        entries: Arc<[HostEntry]>,
    },
    /// Part of a long list, handed over ahead: nothing of it counts before the next `OperatorOverridesApplied` or
    /// `EndpointList`.
    EndpointsStaged {
        /// The whole list.
        entries: Arc<[HostEntry]>,
        /// The first entry of this part.
        from: usize,
        /// The end of this part, exclusive.
        to: usize,
    },
    /// A revision of the operators' settings is in force, with all that was staged for it and these entries.
    OperatorOverridesApplied {
        /// What operators have set.
        overrides: Arc<OperatorOverrides>,
        /// The changed entries.
        entries: Arc<[HostEntry]>,
    },
    /// The endpoint list could not be had, or its watch broke.
    EndpointListFailed,
    /// A client's request has come.
    RequestReceived(Request),
    /// A streamed answer has begun: the request is final.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt that is answered.
        attempt: AttemptNumber,
        /// Its host.
        host: HostId,
    },
    /// An attempt has ended.
    AttemptFinished {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
        /// Its host.
        host: HostId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whether the request has its final answer.
        over: bool,
        /// The time that it took, in seconds.
        took: f64,
        /// What the host reported with its answer.
        load: LoadReport,
        /// How long its connection had been idle, in seconds, where the carrier knows; 0 for a new one.
        unused: Option<f64>,
    },
    /// The client has closed its connection.
    ClientDisconnected {
        /// Its request.
        request: RequestId,
    },
    /// A timer has expired.
    TimerExpired {
        /// The key that it was scheduled with.
        key: TimerKey,
    },
    /// A health check has ended.
    HealthCheckFinished {
        /// The host.
        host: HostId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The time that it took, in seconds.
        took: f64,
        /// What the host reported.
        load: LoadReport,
    },
    /// A peer's gossip message has come.
    GossipReceived {
        /// The peer.
        from: RouterId,
        /// The message.
        payload: Vec<u8>,
    },
    /// The platform has told the state of the rollout, or answered a vote.
    RolloutStatusReceived(RolloutStatus),
    /// Figures of a build, as others measured them.
    BuildMetrics {
        /// The build.
        build: BuildId,
        /// The operation.
        operation: OperationId,
        /// Attempts counted.
        attempts: f64,
        /// Attempts that failed.
        failed: f64,
        /// Their mean time, in seconds.
        mean_time: f64,
        /// How old the figures are, in seconds.
        age: f64,
    },
    /// An answer that was given turned out to be wrong.
    AnswerDisputed {
        /// The host that gave it.
        host: HostId,
        /// The operation.
        operation: OperationId,
        /// How long ago it was given, in seconds.
        age: f64,
    },
}

/// On which connection an attempt may go, and by when; times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionRequirements {
    /// On none that has been idle for longer.
    pub max_idle: f64,
    /// On none whose last answer came less than this ago: answers carry no id, and a second one that comes late
    /// would be taken for this attempt's own.
    pub min_rest: f64,
    /// But where as many of a host's connections rest, the one that has rested for longest is used.
    pub max_resting: usize,
    /// What is not written to its last byte by then is given up, and has never run: it may be too late for a
    /// retry, or the host may be draining by now.
    pub write_within: f64,
}

/// What the merged evidence says of one arm by one quality signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalEvidence {
    /// The fraction of good outcomes; 0 where there are hardly any.
    pub good_fraction: f64,
    /// The outcomes, weighted and faded.
    pub outcomes: f64,
}

/// Written as fraction and outcomes: `0.98/120`.
impl fmt::Display for SignalEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}/{:.0}", self.good_fraction, self.outcomes)
    }
}

/// One quality signal of both arms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalComparison {
    /// The build, or builds, before the canary.
    pub baseline: SignalEvidence,
    /// The canary.
    pub canary: SignalEvidence,
}

/// Written as baseline and canary: `0.98/120:0.71/14`.
impl fmt::Display for SignalComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.baseline, self.canary)
    }
}

/// What speaks for a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteEvidence {
    /// The build that the vote is about.
    pub build: BuildId,
    /// Its stage.
    pub stage: u32,
    /// The vote.
    pub vote: Vote,
    /// Answers within the latency objective.
    pub in_time: SignalComparison,
    /// Answers without an error.
    pub no_error: SignalComparison,
    /// Answers as quick as the quick ones of the baseline.
    pub quick: SignalComparison,
    /// How many times slower hosts are than before the canary, as all routers see it.
    pub relative_slowdown: f64,
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Forward a request to a host.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The host.
        host: HostId,
        /// The time that the host has to answer, in seconds.
        time_out: f64,
        /// The connection that it may use.
        connection: ConnectionRequirements,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNumber,
    },
    /// A final answer: the request had no effect and may be retried, not before `retry_after`.
    ShedRequest {
        /// The request.
        request: RequestId,
        /// The time to wait, in seconds.
        retry_after: Option<f64>,
    },
    /// A final answer that promises nothing about effects.
    FailRequest {
        /// The request.
        request: RequestId,
    },
    /// Schedule a timer.
    ScheduleTimer {
        /// When it expires.
        at: f64,
        /// What comes back with it.
        key: TimerKey,
    },
    /// Check the health of a host.
    StartHealthCheck {
        /// The host.
        host: HostId,
    },
    /// Close the idle connections to a host.
    CloseIdleConnections {
        /// The host.
        host: HostId,
    },
    /// Send a gossip message to one router, or to all.
    SendGossip {
        /// The router; none: all.
        to: Option<RouterId>,
        /// The message.
        payload: Vec<u8>,
    },
    /// Vote on a canary at the platform.
    CastVote {
        /// The build.
        build: BuildId,
        /// The stage that the vote is about.
        stage: u32,
        /// The vote.
        vote: Vote,
    },
    /// Subscribe to the endpoint list, or end the subscription.
    SubscribeEndpointList {
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetch the endpoint list once.
    FetchEndpointList,
    /// Log why a vote is cast.
    ExplainVote(VoteEvidence),
}
