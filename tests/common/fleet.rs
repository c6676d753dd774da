//! A discrete-event simulation of many routers with the hosts, the discovery service and the platform that they share.
//!
//! The same seed gives the same events in the same order. Service times, delays and rates are those of this simulation,
//! not of a real fleet. All times are in seconds unless a name or comment says otherwise.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use kestreltide::decisions::Router;
use kestreltide::interface::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The number of the first zone of the second region; hosts in zones with lower numbers are in the first region.
pub const SECOND_REGION: u64 = 5;
/// Seconds after which an attempt to connect to an unreachable host or platform fails.
const CONNECT_TIMEOUT: f64 = 0.25;

/// A time in nanoseconds; unlike a floating-point number of seconds, it can be ordered.
type Nanos = u64;

fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * 1e9) as Nanos
}

/// A discovery service that handles one call at a time, in order of arrival. A call that would take longer than the
/// timeout fails after the timeout, but still occupies the service for its service time.
pub struct Discovery {
    /// Seconds that each call occupies the service.
    pub service_time: f64,
    /// Seconds after which a caller gives up.
    pub timeout: f64,
    /// A call that would take longer than this, in seconds, is rejected at once.
    pub max_wait: f64,
    /// The time at which the last accepted call ends.
    busy_until: f64,
    pub calls: usize,
    /// Calls that were rejected or timed out.
    pub failed: usize,
}

/// A platform that accepts votes within a rate limit and counts the latest vote of each router until it expires.
pub struct Platform {
    /// Accepted votes per second; a token bucket allows bursts of twice as many.
    pub max_call_rate: f64,
    /// Seconds after which a vote expires.
    pub vote_lifetime: f64,
    /// The tokens of the rate limit, and the time at which they were counted.
    tokens: (f64, f64),
    pub calls: usize,
    /// Calls that the rate limit rejected.
    pub rejected: usize,
    /// The latest vote of each router, and the time at which it expires.
    pub votes: HashMap<u32, (Vote, f64)>,
}

impl Platform {
    /// The number of unexpired votes of this kind.
    pub fn valid_votes(&self, vote: Vote, now: f64) -> usize {
        self.votes
            .values()
            .filter(|(cast, expires_at)| *cast == vote && *expires_at > now)
            .count()
    }
}

/// A host that works on a limited number of attempts at a time, in order of arrival.
pub struct Host {
    pub entry: HostEntry,
    /// The number of attempts that it works on at a time; further ones wait.
    pub slots: usize,
    /// Mean seconds of work per attempt once warm; `None` for a host that accepts attempts and never replies.
    pub work_time: Option<f64>,
    /// The completion times of the attempts that take up slots.
    completion_times: BinaryHeap<Reverse<Nanos>>,
    /// The number of attempts that it has received.
    pub received: usize,
    /// Whether its machine has failed, so that no connection succeeds.
    pub has_failed: bool,
}

pub struct Fleet {
    pub now: f64,
    pub routers: Vec<Router>,
    pub hosts: Vec<Host>,
    pub discovery: Discovery,
    pub platform: Platform,
    /// By router: whether it has received an endpoint list other than the cached one since its start.
    pub has_list: Vec<bool>,
    /// By router: whether it has restarted and is not ready until it has an endpoint list or the poll has failed.
    awaits_list: Vec<bool>,
    /// The platform's current rollout status.
    pub status: RolloutStatus,
    /// The time at which the status began.
    status_since: f64,
    /// Requests that routers have received.
    pub requests: usize,
    /// Requests that routers have answered, with a reply or an error.
    pub answered: usize,
    /// Requests answered successfully within the latency objective of the first operation.
    pub in_time: usize,
    /// Answered requests that were rejected before any attempt.
    pub shed_unsent: usize,
    /// Gossip messages sent, and their total payload in bytes.
    pub gossip_sent: (usize, usize),
    /// The number of routers in the first region; the others are in the second region.
    pub first_region_routers: usize,
    /// Whether the network between the regions is down.
    pub is_partitioned: bool,
    /// Whether each region's discovery has removed the hosts of the other region from its list.
    pub partition_detected: bool,
    /// By region: whether it is connected to the platform.
    pub reaches_platform: [bool; 2],
    /// By router: whether it has been killed and not restarted.
    pub down: Vec<bool>,
    /// A failing build, and the fraction of its replies that are errors.
    pub failing_build: Option<(BuildId, f64)>,
    /// The times at which routers received requests.
    pub request_times: Vec<f64>,
    /// The times at which attempts were sent to hosts of a canary build.
    pub canary_attempt_times: Vec<f64>,
    /// By router: the last status that the platform has sent, other than in answer to a vote.
    pub last_status: Vec<Option<RolloutStatus>>,
    /// By region: the last status that the platform could send to it.
    region_status: [RolloutStatus; 2],
    settings: ServiceSettings,
    /// Scheduled events and the routers that receive them, by id.
    events: HashMap<u64, (usize, Event)>,
    /// Times and ids of scheduled events; the ids of cancelled events stay until their time.
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    last_event_id: u64,
    /// By router and request: the time at which it was received, and the number of attempts so far.
    open_requests: HashMap<(usize, RequestId), (f64, u32)>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Creates a fleet of this many routers that know these hosts. The baseline build has been released 60 s before.
    pub fn new(
        settings: ServiceSettings,
        routers: usize,
        hosts: Vec<HostEntry>,
        seed: u64,
    ) -> Self {
        let status = RolloutStatus {
            outcome: AttemptOutcome::Succeeded,
            build: super::BASELINE_BUILD,
            stage: 1,
            phase: Phase::Released,
            cap: 1.0,
            age: 60.0,
            answers_vote: false,
        };
        let host = |entry| Host {
            entry,
            slots: 16,
            work_time: Some(0.1),
            completion_times: BinaryHeap::new(),
            received: 0,
            has_failed: false,
        };
        let mut fleet = Fleet {
            now: 100.0,
            routers: vec![],
            hosts: hosts.into_iter().map(host).collect(),
            discovery: Discovery {
                service_time: 0.07,
                timeout: 2.0,
                max_wait: f64::INFINITY,
                busy_until: 0.0,
                calls: 0,
                failed: 0,
            },
            platform: Platform {
                max_call_rate: 16.0,
                vote_lifetime: settings.vote_lifetime,
                tokens: (32.0, 100.0),
                calls: 0,
                rejected: 0,
                votes: HashMap::new(),
            },
            has_list: vec![false; routers],
            awaits_list: vec![false; routers],
            status,
            status_since: 100.0 - status.age,
            requests: 0,
            answered: 0,
            in_time: 0,
            shed_unsent: 0,
            gossip_sent: (0, 0),
            first_region_routers: routers,
            is_partitioned: false,
            partition_detected: false,
            reaches_platform: [true; 2],
            down: vec![false; routers],
            failing_build: None,
            request_times: vec![],
            canary_attempt_times: vec![],
            last_status: vec![None; routers],
            region_status: [status; 2],
            settings: ServiceSettings {
                routers: routers as u32,
                ..settings
            },
            events: HashMap::new(),
            queue: BinaryHeap::new(),
            last_event_id: 0,
            open_requests: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for router in 0..routers {
            let new_router = fleet.new_router(router);
            fleet.routers.push(new_router);
            let entries = fleet.endpoint_list(fleet.region(router));
            fleet.send_initial_state(router, entries);
        }
        fleet
    }

    /// Creates the decisions of the router with this number.
    fn new_router(&mut self, router: usize) -> Router {
        let settings = ServiceSettings {
            router_id: RouterId(router as u32),
            ..self.settings.clone()
        };
        Router::start(settings, self.rng.random(), self.now)
    }

    /// Sends a started router its cached endpoint list and its region's rollout status.
    fn send_initial_state(&mut self, router: usize, entries: std::sync::Arc<[HostEntry]>) {
        self.schedule(
            0.0,
            router,
            Event::EndpointList {
                scope: ListScope::Cached,
                entries,
            },
        );
        self.schedule(
            0.001,
            router,
            Event::RolloutStatusReceived(self.region_status[self.region(router)]),
        );
    }

    /// The region of a router: 0 or 1.
    pub fn region(&self, router: usize) -> usize {
        usize::from(router >= self.first_region_routers)
    }

    /// The region of a host: 0 or 1.
    fn host_region(host: &HostEntry) -> usize {
        usize::from(host.zone.0 >= SECOND_REGION)
    }

    /// Whether the network connects two regions.
    fn are_connected(&self, one: usize, other: usize) -> bool {
        one == other || !self.is_partitioned
    }

    /// The endpoint list of a region's discovery service.
    fn endpoint_list(&self, region: usize) -> std::sync::Arc<[HostEntry]> {
        let unlisted =
            |host: &&Host| self.partition_detected && Self::host_region(&host.entry) != region;
        let listed = self
            .hosts
            .iter()
            .filter(|host| !host.has_failed && !unlisted(host));
        listed.map(|host| host.entry).collect()
    }

    /// Kills a router.
    pub fn kill(&mut self, router: usize) {
        self.down[router] = true;
        self.events.retain(|_, (owner, _)| *owner != router);
        self.open_requests.retain(|(owner, _), _| *owner != router);
    }

    /// Kills a router and restarts it with discovery's current endpoint list as its cached list.
    pub fn restart(&mut self, router: usize) {
        let entries = self.endpoint_list(self.region(router));
        self.restart_with_list(router, entries);
    }

    /// Kills a router and restarts it with this cached endpoint list.
    ///
    /// It receives requests once it is ready: if it polls the endpoint list, once the first poll has ended.
    pub fn restart_with_list(&mut self, router: usize, entries: std::sync::Arc<[HostEntry]>) {
        self.awaits_list[router] = self.settings.polls_endpoint_list;
        self.down[router] = false;
        let is_other_router = |(owner, _): &(usize, Event)| *owner != router;
        self.events.retain(|_, event| is_other_router(event));
        self.open_requests.retain(|(owner, _), _| *owner != router);
        self.has_list[router] = false;
        self.routers[router] = self.new_router(router);
        self.send_initial_state(router, entries);
    }

    /// Schedules an event for a router after this many seconds.
    pub fn schedule(&mut self, seconds: f64, router: usize, event: Event) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, (router, event));
        self.queue
            .push(Reverse((nanos(self.now + seconds), self.last_event_id)));
    }

    /// Sends a new rollout status to all routers that are connected to the platform, each with a delay below 0.1 s.
    pub fn publish_status(&mut self, rollout_status: RolloutStatus) {
        self.status = rollout_status;
        self.status_since = self.now - rollout_status.age;
        for region in 0..2 {
            if self.reaches_platform[region] {
                self.region_status[region] = rollout_status;
            }
        }
        (0..self.routers.len()).for_each(|router| {
            let delay = self.rng.random::<f64>() * 0.1;
            if self.reaches_platform[self.region(router)] {
                self.schedule(delay, router, Event::RolloutStatusReceived(rollout_status));
            }
        });
    }

    /// Sends each router its region's endpoint list, each with a delay below 0.1 s.
    pub fn publish_endpoint_lists(&mut self) {
        let entries = [self.endpoint_list(0), self.endpoint_list(1)];
        (0..self.routers.len()).for_each(|router| {
            let delay = self.rng.random::<f64>() * 0.1;
            let entries = entries[self.region(router)].clone();
            self.schedule(
                delay,
                router,
                Event::EndpointList {
                    scope: ListScope::Full,
                    entries,
                },
            );
        });
    }

    /// Simulates this many seconds; requests arrive at each router as a Poisson process with this rate per second.
    pub fn run(&mut self, seconds: f64, rate: impl Fn(usize) -> f64) {
        let until = self.now + seconds;
        for router in 0..self.routers.len() {
            let mut at = 0.0;
            loop {
                at -= (1.0 - self.rng.random::<f64>()).ln() / rate(router).max(1e-9);
                if at > seconds {
                    break;
                }
                let id = RequestId(format!("{}", self.last_event_id + 1).into());
                let operation = OperationId(usize::from(self.rng.random::<f64>() < 0.3));
                let request = Request {
                    id,
                    operation,
                    key: None,
                    time_left: 2.0,
                    work: None,
                    is_retry: false,
                    pool: None,
                };
                self.schedule(at, router, Event::RequestReceived(request));
            }
        }
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > nanos(until) {
                break;
            }
            self.queue.pop();
            if let Some((router, event)) = self.events.remove(&id) {
                self.now = at as f64 / 1e9;
                self.handle(router, event);
            }
        }
        self.now = until;
    }

    /// Records an event and passes it to its router, unless the router is down or not ready.
    fn handle(&mut self, router: usize, event: Event) {
        if self.down[router] {
            return;
        }
        match &event {
            Event::RequestReceived(_) if self.awaits_list[router] => return,
            // A real router keeps waiting if discovery is reachable but overloaded.
            Event::EndpointListFailed => self.awaits_list[router] = false,
            Event::RolloutStatusReceived(rollout_status) if !rollout_status.answers_vote => {
                self.last_status[router] = Some(*rollout_status)
            }
            Event::RequestReceived(request) => {
                self.requests += 1;
                self.request_times.push(self.now);
                self.open_requests
                    .insert((router, request.id.clone()), (self.now, 0));
            }
            Event::AttemptFinished {
                request,
                outcome: AttemptOutcome::Succeeded,
                ..
            } => {
                if let Some((since, _)) = self.open_requests.remove(&(router, request.clone())) {
                    self.answered += 1;
                    self.in_time += usize::from(
                        self.now - since <= self.settings.operations[0].latency_objective,
                    );
                }
            }
            Event::EndpointList { scope, .. } if *scope != ListScope::Cached => {
                self.has_list[router] = true;
                self.awaits_list[router] = false;
            }
            _ => {}
        }
        let mut effects = vec![];
        self.routers[router].handle(self.now, event, &mut effects);
        effects
            .into_iter()
            .for_each(|effect| self.apply_effect(router, effect));
    }

    /// Simulates what an effect of a router causes.
    fn apply_effect(&mut self, router: usize, effect: Effect) {
        match effect {
            Effect::ScheduleTimer { at, key } => {
                self.schedule(at - self.now, router, Event::TimerExpired { key })
            }
            Effect::StartAttempt {
                request,
                host,
                timeout,
                ..
            } => self.start_attempt(router, request, host, timeout),
            Effect::ShedRequest { request, .. } | Effect::FailRequest { request } => {
                if let Some((_, sent)) = self.open_requests.remove(&(router, request)) {
                    self.answered += 1;
                    self.shed_unsent += usize::from(sent == 0);
                }
            }
            Effect::SendGossip { to, payload } => {
                self.gossip_sent = (self.gossip_sent.0 + 1, self.gossip_sent.1 + payload.len());
                let from = RouterId(router as u32);
                let to = to
                    .map(|to| to.0 as usize)
                    .filter(|to| *to < self.routers.len());
                let to = to.filter(|to| self.are_connected(self.region(router), self.region(*to)));
                let delay = 0.003 + 0.02 * self.rng.random::<f64>();
                to.into_iter().for_each(|to| {
                    self.schedule(
                        delay,
                        to,
                        Event::GossipReceived {
                            from,
                            payload: payload.clone(),
                        },
                    )
                });
            }
            Effect::SubscribeEndpointList { on: true } => self.request_endpoint_list(router),
            Effect::CastVote { build, stage, vote } => self.cast_vote(router, build, stage, vote),
            _ => {}
        }
    }

    /// Sends an attempt to a host and schedules its outcome.
    fn start_attempt(&mut self, router: usize, request: RequestId, host: HostId, timeout: f64) {
        let Some(open_request) = self.open_requests.get_mut(&(router, request.clone())) else {
            return;
        };
        let attempt = AttemptNumber(open_request.1);
        open_request.1 += 1;
        let now = nanos(self.now);
        let Some(index) = self.hosts.iter().position(|other| other.entry.host == host) else {
            return;
        };
        let is_partitioned = !self.are_connected(
            self.region(router),
            Self::host_region(&self.hosts[index].entry),
        );
        if is_partitioned || self.hosts[index].has_failed {
            let (outcome, request_finished, took) =
                (AttemptOutcome::NoConnection, false, CONNECT_TIMEOUT);
            let (load, connection_idle) = (LoadReport::default(), Some(0.0));
            let finished = Event::AttemptFinished {
                request,
                attempt,
                host,
                outcome,
                request_finished,
                took,
                load,
                connection_idle,
            };
            return self.schedule(took, router, finished);
        }
        let target = &mut self.hosts[index];
        target.received += 1;
        let build = target.entry.build;
        if self.status.phase == Phase::Canary && build == self.status.build {
            self.canary_attempt_times.push(self.now);
        }
        let age = target
            .entry
            .started
            .map_or(f64::INFINITY, |started| self.now - started);
        let initial_fraction = self.settings.slow_start_initial_fraction;
        let warm_up_fraction = initial_fraction
            + (1.0 - initial_fraction) * (age / self.settings.slow_start_duration).clamp(0.0, 1.0);
        while target
            .completion_times
            .peek()
            .is_some_and(|done| done.0 <= now)
        {
            target.completion_times.pop();
        }
        // A waiting attempt gets the slot that becomes free first.
        let start = if target.completion_times.len() < target.slots {
            now
        } else {
            target.completion_times.pop().map_or(now, |done| done.0)
        };
        let done = target
            .work_time
            .map(|work| start + nanos(work / warm_up_fraction * (0.5 + self.rng.random::<f64>())));
        target.completion_times.push(Reverse(done.unwrap_or(now)));
        let (outcome, took) = match done.map(|done| (done - now) as f64 / 1e9 + 0.002) {
            Some(took) if took <= timeout => (AttemptOutcome::Succeeded, took),
            _ => (AttemptOutcome::TimedOut, timeout),
        };
        let error_rate = self
            .failing_build
            .filter(|failing| failing.0 == build)
            .map_or(0.0, |failing| failing.1);
        let is_error = outcome == AttemptOutcome::Succeeded
            && error_rate > 0.0
            && self.rng.random::<f64>() < error_rate;
        let outcome = if is_error {
            AttemptOutcome::Error
        } else {
            outcome
        };
        let (request_finished, load, connection_idle) = (
            outcome == AttemptOutcome::Succeeded,
            LoadReport::default(),
            Some(0.0),
        );
        self.schedule(
            took,
            router,
            Event::AttemptFinished {
                request,
                attempt,
                host,
                outcome,
                request_finished,
                took,
                load,
                connection_idle,
            },
        );
    }

    /// Calls discovery for a router and schedules the list or the failure.
    fn request_endpoint_list(&mut self, router: usize) {
        let discovery = &mut self.discovery;
        discovery.calls += 1;
        let response_time = (discovery.busy_until - self.now).max(0.0) + discovery.service_time;
        if response_time > discovery.max_wait {
            discovery.failed += 1;
            return self.schedule(0.001, router, Event::EndpointListFailed);
        }
        discovery.busy_until = self.now + response_time;
        if response_time > discovery.timeout {
            discovery.failed += 1;
            let timeout = discovery.timeout;
            return self.schedule(timeout, router, Event::EndpointListFailed);
        }
        let entries = self.endpoint_list(self.region(router));
        self.schedule(
            response_time,
            router,
            Event::EndpointList {
                scope: ListScope::Full,
                entries,
            },
        );
    }

    /// Casts a router's vote and schedules the platform's answer.
    fn cast_vote(&mut self, router: usize, build: BuildId, stage: u32, vote: Vote) {
        if !self.reaches_platform[self.region(router)] {
            let last_status = self.region_status[self.region(router)];
            let rollout_status = RolloutStatus {
                outcome: AttemptOutcome::NoConnection,
                answers_vote: true,
                ..last_status
            };
            return self.schedule(
                CONNECT_TIMEOUT,
                router,
                Event::RolloutStatusReceived(rollout_status),
            );
        }
        let platform = &mut self.platform;
        platform.calls += 1;
        let (tokens, since) = platform.tokens;
        let tokens = (tokens + (self.now - since) * platform.max_call_rate)
            .min(2.0 * platform.max_call_rate);
        let outcome =
            if build != self.status.build || stage != self.status.stage && vote == Vote::Promote {
                AttemptOutcome::Irrelevant
            } else if tokens < 1.0 {
                platform.rejected += 1;
                AttemptOutcome::Rejected
            } else {
                platform
                    .votes
                    .insert(router as u32, (vote, self.now + platform.vote_lifetime));
                AttemptOutcome::Succeeded
            };
        let left = tokens - f64::from(u8::from(outcome == AttemptOutcome::Succeeded));
        platform.tokens = (left, self.now);
        let rollout_status = RolloutStatus {
            outcome,
            answers_vote: true,
            age: self.now - self.status_since,
            ..self.status
        };
        self.schedule(0.1, router, Event::RolloutStatusReceived(rollout_status));
    }
}
