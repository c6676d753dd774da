//! Shared by the tests of the decisions: a harness for one router with simulated hosts and a simulated clock, and
//! simulations of larger fleets. All times are in seconds.

// Each test target uses a part of this module.
#![allow(dead_code)]

pub mod fleet;
pub mod regions;

use kestreltide::decisions::Router;
use kestreltide::interface::*;
pub use kestreltide_testkit::decisions::{
    attempted_host, rollout_status, running_host, service_settings,
};

/// The build that is released at the start of a test.
pub const BASELINE_BUILD: BuildId = BuildId(7);
/// The build that follows the baseline.
pub const CANARY_BUILD: BuildId = BuildId(8);
/// The idempotent operation of `service_settings`.
pub const IDEMPOTENT: OperationId = OperationId(0);
/// The operation of `service_settings` whose requests carry an idempotency key that hosts keep for 0.5 s.
pub const WITH_IDEMPOTENCY_KEY: OperationId = OperationId(1);
/// The operation of `service_settings` that must not be repeated once it may have run.
pub const NON_IDEMPOTENT: OperationId = OperationId(2);

/// One router with its simulated clock and hosts.
pub struct RouterHarness {
    pub router: Router,
    /// The simulated time.
    pub now: f64,
    /// The number of requests sent by [`RouterHarness::send_request`].
    pub request_count: u32,
    /// The hosts of the endpoint list.
    pub hosts: Vec<HostEntry>,
    /// The times and keys of scheduled timers; only [`RouterHarness::run`] fires them.
    timers: Vec<(f64, TimerKey)>,
}

impl RouterHarness {
    /// Starts a router that knows this many warm hosts of the released baseline build.
    pub fn new(settings: ServiceSettings, hosts: u64) -> Self {
        let router = Router::start(settings, 11, 100.0);
        let mut harness = RouterHarness {
            router,
            now: 100.0,
            request_count: 0,
            hosts: vec![],
            timers: vec![],
        };
        harness.set_endpoint_list(
            (0..hosts)
                .map(|id| running_host(id, BASELINE_BUILD, None))
                .collect(),
        );
        harness.handle(rollout_status(BASELINE_BUILD, 1, Phase::Released, 1.0));
        harness
    }

    /// Passes an event to the router, records the timers that it schedules, and returns all effects.
    pub fn handle(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = vec![];
        self.router.handle(self.now, event, &mut effects);
        self.timers
            .extend(effects.iter().filter_map(|effect| match effect {
                Effect::ScheduleTimer { at, key } => Some((*at, *key)),
                _ => None,
            }));
        effects
    }

    /// Sends the router a complete endpoint list.
    pub fn set_endpoint_list(&mut self, hosts: Vec<HostEntry>) {
        self.hosts = hosts;
        let entries = self.hosts.clone().into();
        self.handle(Event::EndpointList {
            scope: ListScope::Full,
            entries,
        });
    }

    /// Sends the router a request with a time limit of 2 s; returns its id and the effects.
    pub fn send_request(
        &mut self,
        operation: OperationId,
        key: Option<&str>,
    ) -> (RequestId, Vec<Effect>) {
        self.request_count += 1;
        let id = RequestId(format!("inv-{}", self.request_count).into());
        let key = key.map(|key| KeyId(key.into()));
        let request = Request {
            id: id.clone(),
            operation,
            key,
            time_left: 2.0,
            work: None,
            is_retry: false,
            pool: None,
        };
        let effects = self.handle(Event::RequestReceived(request));
        (id, effects)
    }

    /// Reports the outcome of an attempt that took this time. The request finishes if the attempt succeeded.
    pub fn finish_attempt(
        &mut self,
        request: &RequestId,
        attempt: u32,
        outcome: AttemptOutcome,
        took: f64,
    ) -> Vec<Effect> {
        let (request, request_finished, load) = (
            request.clone(),
            outcome == AttemptOutcome::Succeeded,
            LoadReport::default(),
        );
        let (attempt, host, connection_idle) = (AttemptNumber(attempt), HostId(0), None);
        self.handle(Event::AttemptFinished {
            request,
            attempt,
            host,
            outcome,
            request_finished,
            took,
            load,
            connection_idle,
        })
    }

    /// Sends 50 requests/s, alternately of the first two operations, and fires due timers, for this time. All attempts
    /// finish at once in simulated time, with the outcome and duration that `respond` returns for a host and an
    /// operation. Returns the votes cast and the host of each attempt.
    pub fn run(
        &mut self,
        seconds: f64,
        respond: impl Fn(&HostEntry, OperationId) -> (AttemptOutcome, f64),
    ) -> (Vec<Vote>, Vec<HostEntry>) {
        let (mut votes, mut sent, until) = (vec![], vec![], self.now + seconds);
        while self.now < until {
            self.now += 0.02;
            let operation = if self.request_count.is_multiple_of(2) {
                IDEMPOTENT
            } else {
                WITH_IDEMPOTENCY_KEY
            };
            let (id, mut effects) = self.send_request(operation, None);
            let (mut next, mut number) = (attempted_host(&effects), 0);
            while let Some(host) = next {
                let entry = self
                    .hosts
                    .iter()
                    .find(|entry| entry.host == host)
                    .copied()
                    .expect("a known host");
                let (outcome, took) = respond(&entry, operation);
                sent.push(entry);
                let further_effects = self.finish_attempt(&id, number, outcome, took);
                (next, number) = (attempted_host(&further_effects), number + 1);
                effects.extend(further_effects);
            }
            let due: Vec<_> = self
                .timers
                .iter()
                .filter(|(at, _)| *at <= self.now)
                .map(|(_, key)| *key)
                .collect();
            self.timers.retain(|(at, _)| *at > self.now);
            due.into_iter()
                .for_each(|key| effects.extend(self.handle(Event::TimerExpired { key })));
            votes.extend(effects.into_iter().filter_map(|effect| match effect {
                Effect::CastVote { vote, .. } => Some(vote),
                _ => None,
            }));
        }
        (votes, sent)
    }
}

/// A harness in which every fourth host runs the canary build and has warmed up; so far, hosts have answered in
/// 0.1 s.
pub fn with_canary(settings: ServiceSettings, hosts: u64) -> RouterHarness {
    with_canary_and_latency(0.1, settings, hosts)
}

/// As [`with_canary`], where hosts have answered in `took` seconds.
pub fn with_canary_and_latency(took: f64, settings: ServiceSettings, hosts: u64) -> RouterHarness {
    let mut harness = RouterHarness::new(settings, hosts);
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, took));
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.3));
    let build = |id: u64| {
        if id.is_multiple_of(4) {
            CANARY_BUILD
        } else {
            BASELINE_BUILD
        }
    };
    harness.set_endpoint_list(
        (0..hosts)
            .map(|id| running_host(id, build(id), None))
            .collect(),
    );
    harness
}

/// Receives gossip about the baseline build from a peer that has received `requests` requests in the last window and
/// has no evidence yet.
pub fn receive_peer_gossip(harness: &mut RouterHarness, from: u32, requests: f32) {
    let mut payload = vec![0, 0, 7, 0];
    [requests, 1.0]
        .iter()
        .for_each(|figure| payload.extend(&figure.to_le_bytes()[2..]));
    payload.resize(payload.len() + 2 * 36, 0);
    harness.handle(Event::GossipReceived {
        from: RouterId(from),
        payload,
    });
}
