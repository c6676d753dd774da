//! A hollow router without input or output: the real decision module, with requests and their outcomes drawn from
//! the state of the hollow hosts.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use kestreltide::decisions::Router;
use kestreltide::interface::*;
use kestreltide_router::transport::Timers;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::host_table::{Drawn, HostTable, Outcome, Whose};
use super::layout::Layout;
use super::partition::Partition;

/// Timers that a router may hold, as the real one.
const TIMERS: usize = 64 * 1024;
/// Seconds between a router and a host, both ways, on loopback.
const ON_THE_WAY: f64 = 0.0003;
/// Seconds after which a connection without use is not used again, as at a real router.
const KEPT_UNUSED: f64 = 24.0;
/// The share of requests with side effects.
pub const WITH_SIDE_EFFECTS: f64 = 0.1;
/// The longest message between routers.
const DATAGRAM: usize = 256;

pub enum Input {
    Datagram {
        from: u32,
        payload: Vec<u8>,
    },
    List {
        scope: ListScope,
        entries: Arc<[HostEntry]>,
    },
    ListFailed,
    Stage(RolloutStatus),
}

#[derive(Debug, PartialEq)]
pub enum Output {
    Datagram {
        to: u32,
        payload: Vec<u8>,
    },
    Vote {
        build: BuildId,
        stage: u32,
        vote: Vote,
    },
    Follow(bool),
}

/// What does not change while a fleet runs.
pub struct Surroundings {
    pub layout: Layout,
    pub table: Arc<HostTable>,
    pub hosts: HashMap<HostId, u32>,
    pub time_limit: f64,
}

/// What a router meets at a moment.
#[derive(Clone, Copy)]
pub struct Moment {
    pub now: f64,
    pub partition: Partition,
    /// Requests a second.
    pub rate: f64,
}

struct Attempt {
    request: RequestId,
    number: AttemptNumber,
    host: HostId,
    drawn: Drawn,
    begun: f64,
    timeout: f64,
    connection_idle: f64,
}

enum Due {
    Decisions(TimerKey),
    Arrival,
    AttemptOver(Attempt),
}

/// Counts of drawn requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DrawnRequests {
    pub requested: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

pub struct HollowRouter {
    me: u32,
    surroundings: Arc<Surroundings>,
    decisions: Router,
    chance: ChaCha8Rng,
    timers: Timers<Due>,
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    /// Requests without a final answer, and how many attempts each has had.
    open: HashMap<RequestId, u32>,
    last_request: u64,
    /// When the last attempt at a host ended: its connection is without use since then.
    unused: HashMap<HostId, f64>,
    pub requests: DrawnRequests,
}

impl HollowRouter {
    pub fn start(
        surroundings: Arc<Surroundings>,
        terms: ServiceSettings,
        seed: u64,
        now: f64,
    ) -> Self {
        let me = terms.router_id.0;
        let mut timers = Timers::new(TIMERS);
        timers.schedule(now, Due::Arrival);
        HollowRouter {
            me,
            surroundings,
            decisions: Router::start(terms, seed, now),
            chance: ChaCha8Rng::seed_from_u64(!seed),
            timers,
            events: VecDeque::new(),
            effects: vec![],
            open: HashMap::new(),
            last_request: 0,
            unused: HashMap::new(),
            requests: DrawnRequests::default(),
        }
    }

    /// When it has to be woken.
    pub fn next(&self) -> Option<f64> {
        self.timers.next_deadline()
    }

    pub fn input(&mut self, moment: Moment, input: Input, out: &mut Vec<Output>) {
        self.events.push_back(match input {
            Input::Datagram { from, payload } => Event::GossipReceived {
                from: RouterId(from),
                payload,
            },
            Input::List { scope, entries } => Event::EndpointList { scope, entries },
            Input::ListFailed => Event::EndpointListFailed,
            Input::Stage(rollout_status) => Event::RolloutStatusReceived(rollout_status),
        });
        self.settle(moment, out);
    }

    /// Does all that is due.
    pub fn wake(&mut self, moment: Moment, out: &mut Vec<Output>) {
        while let Some(due) = self.timers.pop_due(moment.now) {
            match due {
                Due::Decisions(key) => self.events.push_back(Event::TimerExpired { key }),
                Due::Arrival => self.arrive(moment),
                Due::AttemptOver(attempt) => self.attempt_over(moment, attempt),
            }
            self.settle(moment, out);
        }
    }

    fn settle(&mut self, moment: Moment, out: &mut Vec<Output>) {
        while let Some(event) = self.events.pop_front() {
            let mut effects = std::mem::take(&mut self.effects);
            self.decisions.handle(moment.now, event, &mut effects);
            effects
                .drain(..)
                .for_each(|effect| self.carry_out(moment, effect, out));
            self.effects = effects;
        }
    }

    fn arrive(&mut self, moment: Moment) {
        let pause = -(1.0 - self.chance.random::<f64>()).ln() / moment.rate.max(1e-3);
        self.timers.schedule(moment.now + pause, Due::Arrival);
        self.last_request += 1;
        let id = RequestId(self.last_request.to_string().into());
        let once = self.chance.random::<f64>() < WITH_SIDE_EFFECTS;
        self.requests.requested += 1;
        self.open.insert(id.clone(), 0);
        self.events.push_back(Event::RequestReceived(Request {
            id,
            operation: OperationId(usize::from(once)),
            key: Some(KeyId(format!("k{}", self.last_request).into())),
            time_left: self.surroundings.time_limit,
            work: None,
            is_retry: false,
            pool: None,
        }));
    }

    fn carry_out(&mut self, moment: Moment, effect: Effect, out: &mut Vec<Output>) {
        match effect {
            Effect::StartAttempt {
                request,
                host,
                timeout,
                connection,
            } => self.attempt(moment, request, host, timeout, connection),
            Effect::ShedRequest { request, .. } => {
                self.requests.refused += 1;
                self.open.remove(&request);
            }
            Effect::FailRequest { request } => {
                self.requests.failed += 1;
                self.open.remove(&request);
            }
            Effect::ScheduleTimer { at, key } => {
                self.timers.schedule(at, Due::Decisions(key));
            }
            Effect::CloseIdleConnections { host } => drop(self.unused.remove(&host)),
            Effect::SendGossip {
                to: Some(to),
                payload,
            } if payload.len() <= DATAGRAM => {
                out.push(Output::Datagram { to: to.0, payload });
            }
            Effect::CastVote { build, stage, vote } => {
                out.push(Output::Vote { build, stage, vote })
            }
            Effect::SubscribeEndpointList { on } => out.push(Output::Follow(on)),
            Effect::SendGossip { .. }
            | Effect::CancelAttempt { .. }
            | Effect::StartHealthCheck { .. }
            | Effect::FetchEndpointList
            | Effect::LogVoteEvidence(_) => {}
        }
    }

    fn attempt(
        &mut self,
        moment: Moment,
        request: RequestId,
        host: HostId,
        timeout: f64,
        on: ConnectionRequirements,
    ) {
        let Some(attempts) = self.open.get_mut(&request) else {
            return;
        };
        let number = AttemptNumber(*attempts);
        *attempts += 1;
        let now = moment.now;
        let kept = on.max_idle.min(KEPT_UNUSED);
        let unused = self
            .unused
            .get(&host)
            .map(|since| now - since)
            .filter(|unused| *unused <= kept);
        let connection_idle = unused.unwrap_or(0.0);
        let Surroundings {
            layout,
            table,
            hosts,
            ..
        } = &*self.surroundings;
        let Some(place) = hosts.get(&host).copied() else {
            return;
        };
        let reaches = moment
            .partition
            .reaches(layout.router_place(self.me), layout.host_place(place));
        let drawn = table.begin(place, now, Whose::Hollow, reaches, &mut self.chance);
        let over = match drawn.outcome {
            Outcome::Silent => timeout,
            Outcome::Reset => ON_THE_WAY,
            Outcome::Served | Outcome::Error => (drawn.after + ON_THE_WAY).min(timeout),
        };
        let attempt = Attempt {
            request,
            number,
            host,
            drawn,
            begun: now,
            timeout,
            connection_idle,
        };
        self.timers.schedule(now + over, Due::AttemptOver(attempt));
    }

    fn attempt_over(&mut self, moment: Moment, attempt: Attempt) {
        let now = moment.now;
        let timed_out = now >= attempt.begun + attempt.timeout;
        let Some(place) = self.surroundings.hosts.get(&attempt.host) else {
            return;
        };
        let outcome = self.surroundings.table.end(*place, &attempt.drawn);
        if outcome == Outcome::Silent && !timed_out {
            self.timers
                .schedule(attempt.begun + attempt.timeout, Due::AttemptOver(attempt));
            return;
        }
        let outcome = match outcome {
            _ if timed_out => AttemptOutcome::TimedOut,
            Outcome::Served => AttemptOutcome::Succeeded,
            Outcome::Error => AttemptOutcome::Error,
            Outcome::Reset => AttemptOutcome::Reset,
            Outcome::Silent => AttemptOutcome::TimedOut,
        };
        let Attempt {
            request,
            number: attempt,
            host,
            begun,
            connection_idle,
            ..
        } = attempt;
        let served = outcome == AttemptOutcome::Succeeded;
        if served {
            self.requests.served += u64::from(self.open.remove(&request).is_some());
        }
        if matches!(outcome, AttemptOutcome::Succeeded | AttemptOutcome::Error) {
            self.unused.insert(host, now);
        }
        let request_finished = !self.open.contains_key(&request);
        let (took, load) = (now - begun, LoadReport::default());
        let connection_idle = Some(connection_idle);
        self.events.push_back(Event::AttemptFinished {
            request,
            attempt,
            host,
            outcome,
            request_finished,
            took,
            load,
            connection_idle,
        });
    }
}

#[cfg(test)]
mod tests;
