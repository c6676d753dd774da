//! Processor time of the decision module alone: one router in one thread, without sockets, at the requests a second
//! of the plan in simulated time, so that the pauses between requests are as long as they will be. What the module
//! reads stays in the processor's caches between two requests, which it may not in a router: the figures are a lower
//! bound.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Instant;

use kestreltide::decisions::Router;
use kestreltide::interface::*;
use kestreltide_testkit::decisions::{
    idempotency_key, operation_settings, rollout_status, running_host, service_settings,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::plan;

const BASELINE: BuildId = BuildId(7);
const CANARY: BuildId = BuildId(8);
const ZONES: u64 = 10;
/// Simulated seconds, before anything is measured.
const WARM_UP_S: f64 = 6.0;
/// An answer takes between these, in simulated seconds.
const ANSWER_S: [f64; 2] = [0.02, 0.08];
/// A message from another router is on its way for this long, in simulated seconds.
const MESSAGE_S: f64 = 0.002;
/// The first byte of a message says whether it is a reply.
const REPLY: u8 = 1;

/// What a measurement of the module is made with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Setting {
    pub(super) hosts: u64,
    pub(super) routers: u32,
    /// Half of the hosts run a build on trial.
    pub(super) canary: bool,
    pub(super) requests: usize,
}

/// Of the events of a kind, the longest are left out: this thread was not running all the time.
const INTERRUPTED_PART: f64 = 0.01;

/// How long each event of a kind took, in seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct EventCost {
    took: Vec<f64>,
}

impl EventCost {
    fn add(&mut self, seconds: f64) {
        self.took.push(seconds);
    }

    pub(super) fn count(&self) -> usize {
        self.took.len()
    }

    /// The mean, in microseconds; 0 where there was none.
    pub(super) fn micros(&self) -> f64 {
        let mut took = self.took.clone();
        took.sort_by(f64::total_cmp);
        let left_out = (took.len() as f64 * INTERRUPTED_PART).ceil() as usize;
        took.truncate((took.len() - left_out.min(took.len())).max(1));
        took.iter().sum::<f64>() * 1e6 / took.len().max(1) as f64
    }
}

/// The cost of each kind of event.
#[derive(Clone, Debug, Default)]
pub(super) struct Costs {
    /// Arrivals that lead to an attempt, and their ends.
    pub(super) attempted: EventCost,
    pub(super) ended: EventCost,
    /// Arrivals that are answered without an attempt.
    pub(super) refused: EventCost,
    /// What is done five times a second, whatever comes.
    pub(super) periodic: EventCost,
    pub(super) gossip: EventCost,
    pub(super) complete_list: EventCost,
    pub(super) one_host: EventCost,
}

impl Costs {
    /// Of one request that is attempted once, in microseconds.
    pub(super) fn request_micros(&self) -> f64 {
        self.attempted.micros() + self.ended.micros()
    }
}

/// Settings with so many routers, and two operations.
fn settings(routers: u32) -> ServiceSettings {
    ServiceSettings {
        routers,
        zone: Some(ZoneId(0)),
        operations: vec![
            operation_settings(Idempotency::Idempotent, 0.8),
            operation_settings(idempotency_key(0.5), 0.8),
        ],
        promotion_gate: PromotionGate::VoteShare,
        promote_votes: routers.div_ceil(2),
        roll_back_votes: routers.div_ceil(2),
        bake_time: 3.0,
        vote_lifetime: 20.0,
        vote_rate: 16.0,
        stage_shares: vec![0.5, 1.0],
        stage_caps: vec![0.6, 1.0],
        ..service_settings()
    }
}

fn entry(number: u64, canary: bool) -> HostEntry {
    let build = if canary && number.is_multiple_of(2) {
        CANARY
    } else {
        BASELINE
    };
    HostEntry {
        host: HostId::from_name(&format!("host-{number}")),
        zone: ZoneId(number % ZONES),
        ..running_host(number, build, None)
    }
}

/// One router, what comes to it in the future, and what was measured.
struct Driver {
    router: Router,
    now: f64,
    chance: ChaCha8Rng,
    /// In nanoseconds, so that they can be ordered, with the number of the event.
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next: u64,
    effects: Vec<Effect>,
    routers: u32,
    /// To whom this router's last message went, whose reply is to come.
    gossip_peer: Option<RouterId>,
    /// Nothing is measured before it.
    measuring: bool,
    costs: Costs,
}

impl Driver {
    fn new(setting: Setting) -> Self {
        let router = Router::start(settings(setting.routers), 11, 100.0);
        let chance = ChaCha8Rng::seed_from_u64(setting.hosts);
        let (due, events) = (BinaryHeap::new(), BTreeMap::new());
        let mut driver = Driver {
            router,
            now: 100.0,
            chance,
            due,
            events,
            next: 0,
            effects: vec![],
            routers: setting.routers,
            gossip_peer: None,
            measuring: false,
            costs: Costs::default(),
        };
        driver.handle(rollout_status(BASELINE, 1, Phase::Released, 1.0));
        driver.handle(complete_list(setting));
        if setting.canary {
            driver.handle(rollout_status(CANARY, 0, Phase::Canary, 0.6));
        }
        driver
    }

    fn after(&mut self, seconds: f64, event: Event) {
        self.next += 1;
        self.due
            .push(Reverse((((self.now + seconds) * 1e9) as u64, self.next)));
        self.events.insert(self.next, event);
    }

    /// Gives the router an event, notes what that cost, and carries out what follows from it.
    fn handle(&mut self, event: Event) {
        let kind = Kind::of(&event);
        let begun = Instant::now();
        self.router.handle(self.now, event, &mut self.effects);
        let seconds = begun.elapsed().as_secs_f64();
        let attempts = self
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::StartAttempt { .. }));
        if self.measuring
            && let Some(cost) = kind.cost(&mut self.costs, attempts)
        {
            cost.add(seconds);
        }
        for effect in std::mem::take(&mut self.effects) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ScheduleTimer { at, key } => {
                self.after((at - self.now).max(0.0), Event::TimerExpired { key })
            }
            Effect::StartAttempt { request, host, .. } => self.answer(request, host),
            Effect::SendGossip {
                to: Some(to),
                payload,
            } => self.gossip(to, payload),
            Effect::CastVote { build, stage, .. } => {
                let (outcome, phase) = (AttemptOutcome::Succeeded, Phase::Canary);
                let rollout_status = RolloutStatus {
                    outcome,
                    build,
                    stage,
                    phase,
                    cap: 0.6,
                    age: 1.0,
                    answers_vote: true,
                };
                self.after(MESSAGE_S, Event::RolloutStatusReceived(rollout_status));
            }
            _ => {}
        }
    }

    fn answer(&mut self, request: RequestId, host: HostId) {
        let took = self.chance.random_range(ANSWER_S[0]..ANSWER_S[1]);
        let (attempt, load) = (AttemptNumber(0), LoadReport::default());
        let (outcome, request_finished, connection_idle) =
            (AttemptOutcome::Succeeded, true, Some(0.0));
        self.after(
            took,
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

    /// The others see what this router sees. For each message that it begins one comes from another router, whose
    /// reply of this router is in its turn what comes back to the first.
    fn gossip(&mut self, to: RouterId, payload: Vec<u8>) {
        if payload.first() != Some(&REPLY) {
            self.gossip_peer = Some(to);
            let from = RouterId(self.chance.random_range(1..self.routers));
            return self.after(MESSAGE_S, Event::GossipReceived { from, payload });
        }
        if let Some(from) = self.gossip_peer.take() {
            self.after(MESSAGE_S, Event::GossipReceived { from, payload });
        }
    }

    /// So many requests by chance at the rate of the plan, and all else that is due meanwhile.
    fn serve(&mut self, requests: usize, first: usize) {
        for number in first..first + requests {
            let pause = -(1.0 - self.chance.random::<f64>()).ln() / plan::requests_per_router();
            let at = self.now + pause;
            while let Some(Reverse((due, _))) = self.due.peek().copied()
                && due as f64 / 1e9 <= at
            {
                self.due.pop().into_iter().for_each(|Reverse((due, id))| {
                    self.now = due as f64 / 1e9;
                    self.events
                        .remove(&id)
                        .into_iter()
                        .for_each(|event| self.handle(event));
                });
            }
            self.now = at;
            let operation = OperationId(number % 2);
            let id = RequestId(format!("request-{number}").into());
            let (key, time_left, work, is_retry, pool) = (None, 2.0, None, false, None);
            self.handle(Event::RequestReceived(Request {
                id,
                operation,
                key,
                time_left,
                work,
                is_retry,
                pool,
            }));
        }
    }
}

fn complete_list(setting: Setting) -> Event {
    let entries: Arc<[HostEntry]> = (0..setting.hosts)
        .map(|number| entry(number, setting.canary))
        .collect();
    Event::EndpointList {
        scope: ListScope::Full,
        entries,
    }
}

/// What an event counts as.
#[derive(Clone, Copy)]
enum Kind {
    Arrival,
    End,
    Timer,
    Gossip,
    CompleteList,
    Changes,
    Other,
}

impl Kind {
    fn of(event: &Event) -> Self {
        match event {
            Event::RequestReceived(_) => Kind::Arrival,
            Event::AttemptFinished { .. } => Kind::End,
            Event::TimerExpired { .. } => Kind::Timer,
            Event::GossipReceived { .. } => Kind::Gossip,
            Event::EndpointList {
                scope: ListScope::Delta,
                ..
            } => Kind::Changes,
            Event::EndpointList { .. } => Kind::CompleteList,
            _ => Kind::Other,
        }
    }

    fn cost(self, costs: &mut Costs, attempts: bool) -> Option<&mut EventCost> {
        match self {
            Kind::Arrival if attempts => Some(&mut costs.attempted),
            Kind::Arrival => Some(&mut costs.refused),
            Kind::End => Some(&mut costs.ended),
            Kind::Timer => Some(&mut costs.periodic),
            Kind::Gossip => Some(&mut costs.gossip),
            Kind::CompleteList => Some(&mut costs.complete_list),
            Kind::Changes => Some(&mut costs.one_host),
            Kind::Other => None,
        }
    }
}

/// How often each kind of list is taken.
const LISTS: usize = 10;

/// Runs one setting; what each kind of event cost.
pub(super) fn measure(setting: Setting) -> Costs {
    let mut driver = Driver::new(setting);
    let warm_up = (WARM_UP_S * plan::requests_per_router()) as usize;
    driver.serve(warm_up, 0);
    driver.measuring = true;
    driver.serve(setting.requests, warm_up);
    for number in 0..LISTS as u64 {
        driver.handle(complete_list(setting));
        let changed = entry(number % setting.hosts, setting.canary);
        for state in [HostState::Stopping, HostState::Running] {
            let entries: Arc<[HostEntry]> = [HostEntry { state, ..changed }].into();
            driver.handle(Event::EndpointList {
                scope: ListScope::Delta,
                entries,
            });
        }
    }
    driver.costs
}
