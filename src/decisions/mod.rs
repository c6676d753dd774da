//! Every decision of a router: the build and host of an invocation, what follows a failed dispatch, and the
//! vote on a build on trial. Invoked as `Router::start(terms, seed, now)`, then
//! `handle(now, event, &mut effects)` for each event in its order; `src/interface.rs` has the interface, and
//! `docs/design.md` the sources and reasons.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Beta, Distribution};

use crate::candidates::{Candidate, Candidates, Sum, Wanted};
use crate::host_index::{Group, Indexed};
use crate::interface::*;
use crate::operator_weights::{EffectiveWeight, apply_weights};
use crate::rankings::first_two;
use crate::record::*;

const GOSSIP_EVERY: f64 = 0.2; // s; some messages a stage with every peer, at a small price in messages
const SIGHT: f64 = 0.15; // weight of what one peer tells in what a router takes all to know: some six peers
const CLUMPED: f64 = 430.0; // routers at which half the evidence is clumps: messages a half-life, by peers
const HALF_LIFE: f64 = 5.0; // s; figures fade, about a stage long, so that late failures and old zeros show
const VOTERS: u32 = 3; // routers; few enough to agree soon, more than one may be dead
const HEARD_PEERS: usize = 10; // peers heard this stage before judging, or all that live
const PEER_LIVES: f64 = 2.5; // s without word before a peer is taken for dead; a dozen messages missed
const ENOUGH: [f64; 2] = [20.0, 12.0]; // outcomes before a build is judged, before one operation is by itself
const BACK_CHANCE: [f64; 2] = [0.95, 0.97]; // of being worse by over the margin; for a lesser mark alone
const ON_CHANCE: f64 = 0.2; // vote on below it
const MARGINS: [f64; MARKS] = [0.05, 0.02, 0.05]; // of SLO time kept, of plain errors, of quick answers
const EVIDENCE: f64 = 0.5; // outcomes that a merged one is worth for a vote back: gossip mixes unevenly
const HOST_SPREAD: [f64; MARKS] = [0.0, 0.0, 0.15]; // of a mark among the hosts of one build
const WIDE: usize = 3; // one in so many of the trial's hosts must fail before errors speak against the build
const BACK_FIRM: f64 = 1.0; // s that a build keeps looking worse before the vote, for figures to mix
const SETTLED: [f64; 3] = [0.9, 1.2, 9.0]; // of a stage's machines listed, s after the last start, of stage
const STARVED_ON: f64 = 3.0; // s after the stage's latest listed start: vote on with too few samples
const HOLD_MOST: f64 = 2.0; // s a stage that a clock is held
const RENEW_EVERY: f64 = 5.0; // s; also never over 0.8 of a ballot's life
const ASK_AGAIN: f64 = 0.5; // s after a vote that found the platform full
const TURNS: [f64; 3] = [0.5, 1.0, 3.0]; // of the time for a vote of each: to ask again, withdraw, renew
const WITHDRAW: f64 = 3.0; // s that a wish for none stands before it is cast, at most
const STAND_IN: f64 = 1.5; // s that a wish goes unmet before the next by hash vote too, a third of the voters
const LEAN: f64 = 1.25; // times its machines' share that the trial may get by won draws
const DRAG: [f64; 4] = [1.3, 1.6, 2.0, 2.6]; // times slower than before: no vote on; if alone; harm; in haste
const LOSS: f64 = 4.0; // times slower that losing all answers in time counts for
const DRAG_SPAN: f64 = 12.0; // times slower, for its share of machines, that a build may make all others
const ALIKE: f64 = 0.5; // of the earlier hosts' drag that the trial's must show, where its own is known
const DRAG_GROWS: f64 = 0.9; // times the drag of the stage before, at least: else it is not in step
const DRAG_SHOWS: f64 = 1.05; // times slower, under which losses in a large fleet are not a build's drag
const DRAG_HELD: f64 = 8.0; // s a stage that a drag without harm holds the build
const DRAG_BACK: [f64; 2] = [12.0, 16.0]; // s of drag before voting back: come with a stage, come otherwise
const BAKE: [f64; 2] = [3.0, 0.6]; // s a stage bakes where these times hold; their least part, where less
const RELENT: f64 = 0.04; // a swap period, of the way down to a lower level; five seconds in all
const LOW: [f64; 2] = [0.4, 0.12]; // quantiles of times: what is quick; what shows slowness without queues
const LOW_STEP: f64 = 0.08; // step of both, of their size: some forty dispatches
const HOST_WEIGHT: f64 = 0.15; // weight of a new outcome in a host's own figures: some six dispatches
const FAULTY: f64 = 0.3; // share of a host's dispatches come to nothing, above its build's others: ejected
const EJECTED: [f64; 2] = [1.0, 6.0]; // s ejected at first, and at most, doubling
const EJECT_OTHERS: [usize; 2] = [2, 3]; // others of its build at least; times those ejected: else all are
const SLOWER: f64 = 1.6; // times the pace of its build's others: a slow host, not a slow service
const SILENT: f64 = 0.7; // of the longest SLO time without an answer before a host counts as slower
const PACE_TIME: f64 = 4.0; // s over which the rate of succeeded dispatches is taken; longer than a short jam
const COLD_SPEND: f64 = 1.6; // times its fair share that a cold host may get; at most half the fall multiple
const FAR: f64 = 0.3; // in-flight dispatches that another zone counts for; breaks ties towards the near
const CONNECTED: f64 = 60.0; // routers that keep connections to a host, by their traffic: hosts accept few
const UNUSED: [f64; 2] = [0.3, 0.1]; // s after which a connection may be lost: guessed by sends, as told
const LOST: [f64; 2] = [0.08, 0.2]; // weight of an outcome; more lost than of others: such are used no more
const REST: f64 = 0.02; // s before a connection's next use; late second answers were seen up to 4 ms after
const RESTING: usize = 8; // a host's connections at rest, beyond which the oldest is used: hosts bear few
const WRITTEN: f64 = 0.8; // of the drain grace, for what is decided to be written: no notice overtakes it
const REMEMBERED: f64 = 60.0; // s that the record of a host that left the list is kept
const FIRST_WAIT: [f64; 2] = [0.5, 5.0]; // before a further dispatch: of the time to the SLO, and quick times
const FURTHER: [f64; 2] = [0.1, 10.0]; // further dispatches an invocation, and saved up; after a reset free
const OPEN: [f64; 3] = [8.0, 2.0, 12.0]; // open a host, of all routers: at first, at least, at most
const OPEN_PART: [f64; 2] = [0.85, 0.6]; // of the bound, for operations that earn little, for second copies
const OPEN_STEP: [f64; 2] = [0.1, 0.5]; // more for a timely answer, fewer for a late one: one in six
const ADVICE: f64 = 0.4; // s that a throttled client is asked to stay away, up to twice that
const BOUND_ROOM: [f64; 2] = [0.6, 0.85]; // of machines' share bound, of the cap used: new keys stop
const REFOLLOW: [f64; 2] = [0.3, 2.0]; // s before asking for the list again, at first and at most
const FEW: u32 = 20; // routers; what so few do at once is borne, more spread it
const GUARD: f64 = 0.01; // s added to every window kept, for the ticks between two clocks

const SLOTS: usize = 4; // operations told apart in a message; more share a slot
const EARLIER: usize = 0;
const TRIAL: usize = 1;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Look {
    Worse,
    Fine,
    Unclear,
    Dragging,
    Starved,
}

/// What the merged figures say: the wish where votes move a build, where a clock does; None keeps the last.
const WISHES: [(Look, Option<Vote>, Option<Vote>); 5] = [
    (Look::Worse, Some(Vote::RollBack), Some(Vote::RollBack)),
    (Look::Fine, Some(Vote::Promote), Some(Vote::Abstain)),
    (Look::Unclear, None, Some(Vote::Hold)),
    (Look::Dragging, Some(Vote::Abstain), Some(Vote::Hold)),
    (Look::Starved, None, Some(Vote::Abstain)),
];

#[derive(Clone, Copy, PartialEq, Eq)]
enum Push {
    Due,
    Counted,
    Unsure,
    News,
}

/// State of this router's ballot, input, next state, whether the wish is cast now.
const BALLOTS: [(Ballot, Push, Ballot, bool); 7] = [
    (Ballot::Silent, Push::Due, Ballot::Asked, true),
    (Ballot::Asked, Push::Due, Ballot::Asked, true),
    (Ballot::Stands, Push::Due, Ballot::Asked, true),
    (Ballot::Asked, Push::Counted, Ballot::Stands, false),
    (Ballot::Asked, Push::Unsure, Ballot::Silent, false),
    (Ballot::Asked, Push::News, Ballot::Silent, false),
    (Ballot::Stands, Push::News, Ballot::Silent, false),
];

const UNKNOWN: Health = Health {
    faults: 0.0,
    pace: 1.5,
    ejected_until: 0.0,
    ejected_for: EJECTED[0],
};

fn new_host(entry: &HostEntry) -> Box<Host> {
    let (out, used, health, since, weight) = (vec![], f64::MIN, UNKNOWN, Revision(0), 1.0);
    Box::new(Host {
        entry: *entry,
        usable: false,
        out,
        used,
        health,
        since,
        next: Next::Unsaid,
        weight,
    })
}

pub struct Router {
    s: State,
    rng: ChaCha8Rng,
}

impl Router {
    pub fn start(terms: ServiceSettings, seed: u64, now: f64) -> Self {
        let earns = |o: &OperationSettings| {
            o.priority_weight
                / if terms.weighted_by_work {
                    1.0
                } else {
                    o.latency_objective
                }
        };
        let best = terms.operations.iter().map(earns).fold(0.0, f64::max);
        let operations = terms.operations.iter().map(|o| {
            let (group, window) = match o.idempotency {
                Idempotency::Idempotent => (IdempotencyScope::All, f64::INFINITY),
                Idempotency::IdempotencyKey { scope, window } => (scope, window),
                Idempotency::NonIdempotent => (IdempotencyScope::All, 0.0),
            };
            let (lean, late_is_worthless) = (earns(o) < 0.5 * best, o.late_value_fraction <= 0.0);
            Operation {
                slo: o.latency_objective,
                late_is_worthless,
                lean,
                group,
                window,
            }
        });
        let needed = terms.votes_on.max(terms.votes_back).max(terms.votes_hold);
        let slots = terms.operations.len().clamp(1, SLOTS);
        let mut s = State::of(&terms, operations.collect(), slots, terms.tick.max(GUARD));
        (s.by_clock, s.voters) = (terms.gate == Gate::Clock, VOTERS.max(needed));
        // The platform takes so many calls of all routers together, for renewals and changes of mind too.
        s.turn = f64::from(s.voters) / terms.vote_rate;
        (s.renew_every, s.even) = (
            RENEW_EVERY
                .max(TURNS[2] * s.turn)
                .min(0.8 * terms.vote_lifetime),
            1.0,
        );
        (s.ask_again, s.many, s.follow_wait) = (ASK_AGAIN, s.routers > FEW, REFOLLOW[0]);
        s.call_spread =
            terms.endpoint_poll_interval * (1.0 - f64::from(FEW) / f64::from(s.routers)).max(0.0);
        s.haste = (terms.bake / BAKE[0]).clamp(BAKE[1], 1.0);
        (s.slow_start_duration, s.cold_spend) = (
            s.slow_start_duration.max(GUARD),
            COLD_SPEND.min(0.5 * terms.overload_multiple),
        );
        (s.pace, s.sending, s.asked, s.stage_since) = ((0.0, now), (0.0, now), (0.0, now), now);
        (s.share, s.shared_drag, s.further) = (1.0 / f64::from(s.routers), 1.0, FURTHER[1] / 2.0);
        Router {
            s,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn handle(&mut self, now: f64, event: Event, effects: &mut Vec<Effect>) {
        if self.s.next_alarm == 0 {
            let first = now + GOSSIP_EVERY * self.rng.random::<f64>();
            self.set_alarm(first, Task::Gossip, effects);
            // Discovery serves all in turn, and calls that wait too long are lost, work and all: where a
            // large fleet restarts and asks at once, hardly any is served, again and again.
            let wait = self.s.polls_endpoint_list.then_some(self.s.call_spread);
            if let Some(spread) = wait.filter(|spread| *spread > 0.0) {
                let at = now + spread * self.rng.random::<f64>();
                self.set_alarm(at, Task::Follow, effects);
            } else {
                effects.extend(wait.map(|_| Effect::SubscribeEndpointList { on: true }));
            }
        }
        match event {
            Event::EndpointList { scope, entries } => self.list(now, scope, &entries),
            Event::EndpointsStaged { entries, from, to } => {
                self.stage_hosts(entries.get(from..to).unwrap_or_default())
            }
            Event::OperatorOverridesApplied { overrides, entries } => {
                self.s.set = overrides;
                self.list(now, ListScope::Delta, &entries);
            }
            Event::EndpointListFailed if self.s.polls_endpoint_list => {
                // A subscription that broke would count as told; ask again soon, spread and slower each time.
                let wait = self.s.follow_wait * (0.5 + self.rng.random::<f64>());
                self.s.follow_wait =
                    (2.0 * self.s.follow_wait).min(REFOLLOW[1].max(self.s.call_spread));
                self.set_alarm(now + wait, Task::Follow, effects);
            }
            Event::RequestReceived(request) => self.arrived(now, request, effects),
            Event::AttemptFinished {
                request,
                attempt,
                outcome,
                took,
                over,
                unused,
                ..
            } => self.ended(
                now,
                request,
                attempt.0,
                (outcome, took, over, unused),
                effects,
            ),
            Event::ClientDisconnected { request } | Event::ResponseStarted { request, .. } => {
                self.close(&request)
            }
            Event::TimerExpired { key } => match self.s.alarms.remove(&key.0) {
                Some(Task::Gossip) => self.beat(now, effects),
                Some(Task::Follow) => effects.push(Effect::SubscribeEndpointList { on: true }),
                Some(Task::Further(id)) => self.dispatch_or_end(now, &id, true, effects),
                None => {}
            },
            Event::GossipReceived { from, payload } => {
                self.gossip_received(now, from, &payload, effects)
            }
            Event::RolloutStatusReceived(news) => self.stage(now, news, effects),
            Event::AnswerDisputed {
                host, operation, ..
            } => {
                let Some(build) = self.s.hosts.get(&host).map(|h| h.entry.build) else {
                    return;
                };
                self.score(build, operation.0, 1, false, self.s.dispute_weight);
            }
            Event::EndpointListFailed
            | Event::BuildMetrics { .. }
            | Event::HealthCheckFinished { .. } => {}
        }
    }

    fn set_alarm(&mut self, at: f64, task: Task, effects: &mut Vec<Effect>) {
        self.s.next_alarm += 1;
        self.s.alarms.insert(self.s.next_alarm, task);
        effects.push(Effect::ScheduleTimer {
            at,
            key: TimerKey(self.s.next_alarm),
        });
    }

    /// Noted ahead: nothing of it counts before the list that it belongs to is taken.
    fn stage_hosts(&mut self, entries: &[HostEntry]) {
        for entry in entries {
            let host = self
                .s
                .hosts
                .entry(entry.host)
                .or_insert_with(|| new_host(entry));
            host.stage(entry, UNKNOWN);
            self.s.staged.push(entry.host);
        }
    }

    fn list(&mut self, now: f64, scope: ListScope, entries: &[HostEntry]) {
        self.s.follow_wait = REFOLLOW[0];
        self.stage_hosts(entries);
        // Invocations of an earlier revision do not go to what came with a later one.
        let changed = self.s.settle(scope != ListScope::Delta, UNKNOWN);
        self.index(now, changed);
        self.weigh(now);
        let all = self.s.index.sum(|_| true);
        self.s.least_build = self.s.index.builds().next();
        if self.s.fleet <= 0.0 {
            self.s.open_most = OPEN[0] * all.hosts as f64 * self.s.share;
        }
        self.s.fleet = self.s.fleet.max(all.share);
    }

    fn weigh(&mut self, now: f64) {
        if self.s.weighs() {
            self.s.weigh(self.s.all_weighed(now, &self.s.set));
            self.index(now, self.s.hosts.keys().copied().collect());
        }
    }

    /// Who warms up, is ejected or fails is looked at for each request, all others by their groups.
    fn indexed(&self, now: f64, host: &Host) -> Option<Indexed> {
        let Host {
            health,
            entry,
            weight,
            ..
        } = host;
        let well = health.ejected_until <= now && health.faults <= FAULTY;
        let (settled, group) = (
            well && self.s.warmth(entry, now) >= 1.0,
            Group::of(entry, self.s.by_cell),
        );
        let (size, weight, faults, pace) = (entry.size, *weight, health.faults, health.pace);
        host.usable.then_some(Indexed {
            group,
            size,
            weight,
            settled,
            faults,
            pace,
        })
    }

    fn index(&mut self, now: f64, hosts: Vec<HostId>) {
        let mut index = std::mem::take(&mut self.s.index);
        let indexed = |host| {
            self.s
                .hosts
                .get(&host)
                .and_then(|host| self.indexed(now, host))
        };
        index.update(hosts.into_iter().map(|host| (host, indexed(host))));
        self.s.index = index;
    }

    fn rate((level, at): (f64, f64), now: f64, more: f64) -> (f64, f64) {
        (
            level * (-(now - at) / PACE_TIME).exp() + more / PACE_TIME,
            now,
        )
    }

    fn phase(&self, build: BuildId) -> Phase {
        match self.s.news {
            Some(news) if build < news.build => Phase::Released,
            Some(news) if build == news.build => news.phase,
            Some(_) => Phase::Canary,
            // Before any news, only the lowest listed build is known to be no later one.
            None if self.s.least_build.is_none_or(|least| build <= least) => Phase::Released,
            None => Phase::RolledBack,
        }
    }

    /// Rule 5: whether one more dispatch at this build stays within its cap.
    fn exposure_room(&self, now: f64, build: BuildId, operation: usize, new_key: bool) -> bool {
        let phase = self.phase(build);
        let news = self.s.news.filter(|news| news.build == build);
        let (cap, stage) = news.map_or((self.s.first_cap, 0), |news| (news.cap, news.stage));
        let cap = self.s.asked_of(build).map_or(cap, |wish| cap.min(wish.cap));
        let guarded = stage < self.s.idempotent_only_stages
            && self.s.operations[operation].window.is_finite();
        if phase != Phase::Canary || cap <= 0.0 || guarded {
            return phase == Phase::Released;
        }
        let counts = |o: usize| !self.s.by_operation || o == operation;
        let kept = self.s.window - 2.0 * self.s.tick;
        let taken = self
            .s
            .taken
            .iter()
            .filter(|(at, o, _)| now - at < kept && counts(*o))
            .count();
        let sent = self
            .s
            .exposed
            .iter()
            .filter(|(_, b, o)| *b == build && counts(*o))
            .count() as f64;
        let new_key = new_key && self.s.sticky_keys && cap < 1.0;
        let (part, spare) = if new_key {
            (BOUND_ROOM[1], 0.5)
        } else {
            (1.0, 1.0)
        };
        sent + 1.0 <= spare * self.s.spare + part * cap * taken as f64
    }

    fn arrived(&mut self, now: f64, request: Request, effects: &mut Vec<Effect>) {
        let Some(operation) = self.s.operations.get(request.operation.0) else {
            return effects.push(Effect::FailRequest {
                request: request.id,
            });
        };
        let (limit, slo_at) = (now + request.time_left, now + operation.slo);
        let (operation, work) = (request.operation.0, request.work.unwrap_or(1.0).max(1e-6));
        self.s.taken.retain(|(at, ..)| now - at <= self.s.window);
        self.s.exposed.retain(|(at, ..)| now - at <= self.s.window);
        self.s.further = (self.s.further + FURTHER[0]).min(FURTHER[1]);
        let bound = self
            .s
            .bound_to(&request.key)
            .is_some_and(|build| self.phase(build) == Phase::Canary);
        self.s.taken.push_back((now, operation, bound));
        let (key, again, sent) = (request.key, request.again, vec![]);
        let (set, pool) = (self.s.set.clone(), request.pool);
        let record = RequestState {
            operation,
            key,
            work,
            again,
            slo_at,
            limit,
            sent,
            over: false,
            pool,
            set,
        };
        self.s.requests.insert(request.id.clone(), record);
        self.s.asked = Self::rate(self.s.asked, now, 1.0);
        self.dispatch_or_end(now, &request.id, false, effects);
    }

    /// Rule 2: where the first dispatch went that may have run, and whether nothing may follow it any more.
    fn trace(&self, now: f64, request: &RequestState) -> (Option<HostEntry>, bool) {
        let window = self.s.operations[request.operation].window - 2.0 * self.s.tick;
        let ran = request.sent.iter().find(|s| s.out || s.may_have_run);
        (ran.map(|s| s.to), ran.is_some_and(|s| now - s.at >= window))
    }

    /// Sends the next dispatch; where there is none to send, the final answer goes out at once (rule 1).
    fn dispatch_or_end(&mut self, now: f64, id: &RequestId, copy: bool, effects: &mut Vec<Effect>) {
        let Some(request) = self.s.requests.get(id).filter(|request| !request.over) else {
            return;
        };
        let operation = &self.s.operations[request.operation];
        let (ran, binding) = self.trace(now, request);
        let throttle = !binding && (ran.is_none() || operation.group == IdempotencyScope::All);
        let (out, first) = (
            request.sent.iter().filter(|s| s.out).count(),
            request.sent.is_empty(),
        );
        let end = if operation.late_is_worthless {
            request.limit.min(request.slo_at)
        } else {
            request.limit
        };
        let timely = end - now > 2.0 * self.s.tick;
        let paid = first || self.s.further >= 1.0;
        let more = out == 0 || copy && self.s.may_hedge && out == 1;
        let more = more && request.sent.len() < self.s.max_attempts;
        // When tight, copies go first, and tries that come again (their SLO time is past); then lean ones.
        let late = copy || request.again && operation.late_is_worthless;
        let lean = if operation.lean { OPEN_PART[0] } else { 1.0 };
        let most =
            (self.s.open_most + self.s.open_most.sqrt()) * if late { OPEN_PART[1] } else { lean };
        // A bound of less than one lets that part of the invocations in: a draw decides on the last one.
        let room = self.s.open as f64 + self.rng.random::<f64>() <= most;
        let host = if !binding && timely && paid && more && room {
            self.choose(now, id)
        } else {
            None
        };
        if let Some(host) = host {
            self.s.further -= f64::from(u8::from(!first));
            return self.send(now, id, host, end, effects);
        }
        if out > 0 {
            return;
        }
        self.close(id);
        let wait = ADVICE * (1.0 + self.rng.random::<f64>());
        let retry_after = self.s.advice.map(|most| wait.min(most));
        let throttled = Effect::ShedRequest {
            request: id.clone(),
            retry_after,
        };
        effects.push(if throttle {
            throttled
        } else {
            Effect::FailRequest {
                request: id.clone(),
            }
        });
    }

    fn send(
        &mut self,
        now: f64,
        id: &RequestId,
        host: HostId,
        end: f64,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(request), Some(h)) = (self.s.requests.get_mut(id), self.s.hosts.get_mut(&host))
        else {
            return;
        };
        let operation = &self.s.operations[request.operation];
        let low = self.s.low.get(&(request.operation, h.entry.kind, EARLIER));
        let quick = low.map_or(0.1 * operation.slo, |low| low.quick * request.work);
        let wait = (FIRST_WAIT[0] * (request.slo_at - now)).max(FIRST_WAIT[1] * quick);
        let easy = self.s.further >= 1.0 && self.s.open as f64 <= OPEN_PART[1] * self.s.open_most;
        let planned =
            easy && operation.window > wait && request.sent.len() + 1 < self.s.max_attempts;
        let planned = planned && now + wait + quick < end.min(request.slo_at);
        let time_out = if planned && !self.s.may_hedge {
            wait
        } else {
            end - now
        };
        // Connections may be dropped unseen after some time without use: then an idle one is closed first.
        let unused = h.out.is_empty() && h.used > f64::MIN && now - h.used > UNUSED[0];
        let stale = self.s.lost[1] > LOST[1] + self.s.lost[0];
        let max_idle = if stale { UNUSED[1] } else { f64::INFINITY };
        // Rules 2, 3 and 5 hold when the last byte is written, not when it is decided: connecting takes time.
        let ran = request.sent.iter().find(|s| s.out || s.may_have_run);
        let left = ran.map_or(f64::INFINITY, |first| {
            operation.window - 2.0 * self.s.tick - (now - first.at)
        });
        let write_within = left.min(WRITTEN * self.s.drain_grace).max(GUARD);
        let connection = ConnectionRequirements {
            max_idle,
            min_rest: REST,
            max_resting: RESTING,
            write_within,
        };
        effects.extend((unused && stale).then_some(Effect::CloseIdleConnections { host }));
        let (scored, unused) = (h.health.ejected_until <= now, unused && !stale);
        request.sent.push(Attempt {
            to: h.entry,
            at: now,
            out: true,
            may_have_run: false,
            scored,
            unused,
        });
        h.out.push(now);
        h.used = now;
        self.s.sending = Self::rate(self.s.sending, now, 1.0);
        let (build, operation) = (h.entry.build, request.operation);
        self.s.open += 1;
        if self.phase(build) != Phase::Released {
            self.s.exposed.push_back((now, build, operation));
        }
        effects.push(Effect::StartAttempt {
            request: id.clone(),
            host,
            time_out,
            connection,
        });
        if planned && self.s.may_hedge {
            self.set_alarm(now + wait, Task::Further(id.clone()), effects);
        }
    }

    fn close(&mut self, id: &RequestId) {
        if let Some(request) = self.s.requests.get_mut(id) {
            request.over = true;
            if request.sent.iter().all(|s| !s.out) {
                self.s.requests.remove(id);
            }
        }
    }

    fn ended(&mut self, now: f64, id: RequestId, no: u32, how: Outcome, effects: &mut Vec<Effect>) {
        let Some(request) = self.s.requests.get_mut(&id) else {
            return;
        };
        let Some(sent) = request.sent.get_mut(no as usize).filter(|s| s.out) else {
            return;
        };
        let (outcome, took, over, unused) = how;
        (sent.out, sent.unused) = (
            false,
            unused.map_or(sent.unused, |unused| unused > UNUSED[1]),
        );
        sent.may_have_run = !matches!(
            outcome,
            AttemptOutcome::Rejected | AttemptOutcome::NoConnection | AttemptOutcome::Irrelevant
        );
        let (sent, operation, work, key) =
            (*sent, request.operation, request.work, request.key.clone());
        let (over, broke) = (
            over || request.over,
            f64::from(u8::from(outcome == AttemptOutcome::Reset)),
        );
        (self.s.open, self.s.further) = (self.s.open - 1, self.s.further + broke);
        self.learn(now, operation, sent, outcome, took, work);
        let (build, binds) = (
            sent.to.build,
            outcome == AttemptOutcome::Succeeded && self.s.sticky_keys,
        );
        if binds && matches!(self.phase(build), Phase::Canary | Phase::Released) {
            key.map(|key| {
                self.s
                    .bound
                    .entry(key)
                    .and_modify(|b| *b = build.max(*b))
                    .or_insert(build)
            });
        }
        if over {
            self.close(&id)
        } else {
            self.dispatch_or_end(now, &id, false, effects)
        }
    }

    fn learn(
        &mut self,
        now: f64,
        operation: usize,
        sent: Attempt,
        outcome: AttemptOutcome,
        took: f64,
        work: f64,
    ) {
        let Attempt { to, at, scored, .. } = sent;
        let (slo, warmth, build) = (
            self.s.operations[operation].slo,
            self.s.warmth(&to, at),
            to.build,
        );
        let (time, place) = (took / work, (operation, to.kind));
        let quick = self
            .s
            .low
            .get(&(place.0, place.1, EARLIER))
            .map(|low| low.quick);
        let own = self
            .s
            .index
            .get(to.host)
            .filter(|own| own.group.build == build);
        let others = self.s.index.build(build).without(own);
        let unsettled = self.s.index.unsettled().filter(|host| *host != to.host);
        let of_build =
            unsettled.filter_map(|id| self.s.hosts.get(&id).filter(|h| h.entry.build == build));
        let ejected = of_build.filter(|h| h.health.ejected_until > now).count();
        let lonely = others.hosts < EJECT_OTHERS[0] || ejected * EJECT_OTHERS[1] > others.hosts;
        let n = (others.hosts as f64).max(1.0);
        let alike = (others.faults / n, others.pace / n);
        let Some(host) = self
            .s
            .hosts
            .get_mut(&to.host)
            .filter(|h| h.entry.same_process(&to))
        else {
            return;
        };
        if let Some(place) = host.out.iter().position(|sent| *sent == at) {
            host.out.swap_remove(place);
        }
        if matches!(
            outcome,
            AttemptOutcome::Cancelled | AttemptOutcome::Irrelevant
        ) {
            return;
        }
        let lost = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Reset);
        let share = &mut self.s.lost[usize::from(sent.unused)];
        *share += LOST[0] * (f64::from(u8::from(lost)) - *share);
        let (served, health) = (outcome == AttemptOutcome::Succeeded, &mut host.health);
        health.faults += HOST_WEIGHT * (f64::from(u8::from(!served)) - health.faults);
        let ratio = quick.map_or(health.pace, |quick| {
            (time * warmth / quick).clamp(0.2, 10.0)
        });
        health.pace += HOST_WEIGHT * (ratio - health.pace);
        // Ejected where it stands out in its build: a hang, a lost link, errors; a build is for the vote.
        if !lonely && health.faults > FAULTY + alike.0 && health.ejected_until <= now {
            (health.ejected_until, health.faults) = (now + health.ejected_for, FAULTY + alike.0);
            health.ejected_for = (2.0 * health.ejected_for).min(EJECTED[1]);
        } else if served && health.faults < FAULTY / 3.0 {
            health.ejected_for = EJECTED[0];
        }
        let (sick, slower) = (
            health.ejected_until > now && !lonely,
            !lonely && health.pace > SLOWER * alike.1,
        );
        let late = !served || took > slo;
        self.s.pace = Self::rate(self.s.pace, now, f64::from(u8::from(!late)));
        // Late answers shrink what this router keeps open, timely ones widen it while in use, errors and lost
        // connections neither; never below what keeps hosts busy: fewer open would not make slow ones quick.
        let broke = matches!(
            outcome,
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::NoConnection
        );
        if !sick && !broke && (late || self.s.open as f64 + 1.0 > 0.5 * self.s.open_most) {
            let fair = self.s.index.len() as f64 * self.s.share;
            let step = if late { -OPEN_STEP[1] } else { OPEN_STEP[0] };
            self.s.open_most = (self.s.open_most + step).clamp(fair * OPEN[1], fair * OPEN[2]);
        }
        self.index(now, vec![to.host]);
        let shows = served || outcome == AttemptOutcome::TimedOut;
        let arm = usize::from(self.phase(build) != Phase::Released);
        if shows && warmth >= 1.0 && !sick && !slower {
            let new = Low {
                quick: time,
                least: time,
                before: None,
            };
            let low = self.s.low.entry((place.0, place.1, arm)).or_insert(new);
            let below = |level: f64| f64::from(u8::from(served && time < level));
            low.quick *= (LOW_STEP * (LOW[0] - below(low.quick))).exp();
            low.least *= (LOW_STEP * (LOW[1] - below(low.least))).exp();
        }
        if !scored
            || sick
            || matches!(
                outcome,
                AttemptOutcome::NoConnection | AttemptOutcome::Rejected
            )
        {
            return;
        }
        // A cold host is late by nature: its late answers are no evidence, its errors are.
        if !late || outcome == AttemptOutcome::Error || warmth >= 1.0 {
            self.score(build, operation, 0, !late, 1.0);
        }
        // A broken connection is its host's or its link's, not a build's own answer.
        if outcome != AttemptOutcome::Reset {
            self.score(build, operation, 1, outcome != AttemptOutcome::Error, 1.0);
        }
        let quick = quick
            .filter(|_| shows)
            .map(|quick| served && time * warmth <= quick);
        quick
            .into_iter()
            .for_each(|good| self.score(build, operation, 2, good, 1.0));
    }

    /// A score adds eta to one figure; the earlier arm's weighs as the trial's, whose past is short.
    fn score(&mut self, build: BuildId, operation: usize, mark: usize, good: bool, weight: f64) {
        let arm = usize::from(self.s.news.is_some_and(|news| build >= news.build));
        let place = operation % self.s.slots * MARKS + mark;
        let weight = if arm == EARLIER {
            weight * self.s.even
        } else {
            weight
        };
        self.s.sums[place][arm][usize::from(!good)] += f64::from(self.s.routers) * weight;
    }

    fn load(&self, host: &Host, weight: f64, now: f64) -> f64 {
        let far = if self.s.zone.is_some_and(|zone| zone != host.entry.zone) {
            FAR
        } else {
            0.0
        };
        // A host that keeps silent counts as slower the longer it does; holds against hangs and lost links.
        let longest = self
            .s
            .operations
            .iter()
            .map(|o| o.slo)
            .fold(GUARD, f64::max);
        let silent =
            ((now - host.out.iter().copied().fold(now, f64::min)) / (SILENT * longest)).max(1.0);
        let speed = host.entry.size.max(GUARD) * self.s.warmth(&host.entry, now);
        (host.out.len() as f64 / weight + 1.0 + far) * host.health.pace.max(0.5) * silent / speed
    }

    /// Worked out once for each group of hosts, however many are of it.
    fn wanted(&self, now: f64, request: &RequestState) -> Wanted {
        let ((first, _), bound) = (self.trace(now, request), self.s.bound_to(&request.key));
        let repeats = self.s.operations[request.operation].group;
        let (mut room, mut arms) = (None, vec![]);
        for group in self.s.index.groups() {
            let build = group.build;
            let new_key = bound.is_none_or(|bound| bound < build);
            let may_return = bound.is_none_or(|bound| build >= bound);
            if room.is_none_or(|(of, _)| of != build) {
                room = Some((
                    build,
                    self.exposure_room(now, build, request.operation, new_key),
                ));
            }
            let room = room.is_some_and(|(_, room)| room);
            let same = first.is_none_or(|first| match repeats {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => first.zone == group.zone,
                IdempotencyScope::Cell => Some(first.cell) == group.cell,
            });
            // Clients may come with too little time left: no work is begun that not even quick answers meet.
            let low = self.s.low.get(&(request.operation, group.kind, EARLIER));
            let least = low.map_or(0.0, |low| {
                (low.least * request.work).min(FIRST_WAIT[0] * (request.slo_at - now))
            });
            let of_pool = request
                .pool
                .as_ref()
                .is_none_or(|pool| pool.may_contain(group.zone, group.kind));
            if room && may_return && same && of_pool && now + least < request.limit {
                arms.push((*group, usize::from(self.phase(build) == Phase::Canary)));
            }
        }
        let tried = request.sent.iter().map(|s| s.to.host).collect();
        Wanted {
            arms,
            tried,
            pool: request.pool.clone(),
            revision: request.set.revision,
        }
    }

    fn candidate(&self, now: f64, wanted: &Wanted, h: &Host, weight: f64) -> Option<Candidate> {
        let arm = wanted.arm(&Group::of(&h.entry, self.s.by_cell))?;
        let of_pool = wanted
            .pool
            .as_ref()
            .is_none_or(|pool| pool.contains(&h.entry));
        let (health, host) = (&h.health, h.entry.host);
        let doubtful = health.ejected_until > now || health.faults > FAULTY && !h.out.is_empty();
        let tier = if wanted.tried.contains(&host) {
            2
        } else {
            u8::from(doubtful)
        };
        let warmth = self.s.warmth(&h.entry, now);
        let (share, warming_up) = (weight * h.entry.size * warmth, warmth < 1.0);
        let wanted = h.usable && of_pool && h.since <= wanted.revision;
        wanted.then_some(Candidate {
            host,
            arm,
            tier,
            share,
            warming_up,
            weight,
        })
    }

    fn candidates(
        &self,
        now: f64,
        wanted: &Wanted,
        own: Option<Vec<EffectiveWeight>>,
    ) -> Candidates {
        let of = |h: &Host| self.candidate(now, wanted, h, h.weight);
        let of_id = |id: &HostId| self.s.hosts.get(id).and_then(|h| of(h));
        let named = wanted
            .pool
            .iter()
            .flat_map(|pool| &pool.hosts)
            .collect::<BTreeSet<_>>();
        let (mut counted, with_warming_up) = ([Sum::default(); 2], true);
        let listed = if let Some(own) = own {
            let own = self.s.usable().zip(own);
            own.filter_map(|(h, own)| self.candidate(now, wanted, h, own.weight))
                .collect()
        } else if !named.is_empty() {
            named.into_iter().filter_map(of_id).collect()
        } else if !self.keeps_to_pairs() {
            self.s.usable().filter_map(of).collect()
        } else {
            let (sums, tried) = self.s.index.settled(wanted);
            counted = sums;
            self.s
                .index
                .unsettled()
                .chain(tried)
                .filter_map(|id| of_id(&id))
                .collect()
        };
        Candidates {
            listed,
            counted,
            with_warming_up,
        }
    }

    fn choose(&mut self, now: f64, id: &RequestId) -> Option<HostId> {
        let request = self.s.requests.get(id)?;
        // An invocation is decided under the revision it came under; what was taken out since, is out.
        let own = (request.set.revision != self.s.set.revision).then(|| {
            let mut weighed = self.s.all_weighed(now, &request.set);
            apply_weights(&mut weighed, self.s.overload_multiple);
            weighed
        });
        let hash = |key: &KeyId| key.0.bytes().fold(0, |h, b| mix(h ^ u64::from(b)));
        let (hash, wanted) = (
            request
                .key
                .as_ref()
                .filter(|_| self.s.key_affinity)
                .map(hash),
            self.wanted(now, request),
        );
        let mut open = self.candidates(now, &wanted, own);
        // Rule 4: of all routers a cold host gets by this draw its fair share of what succeeds, and no more.
        let weight = open.share(open.lowest_tier()?);
        let [good, all] = [self.s.pace, self.s.sending].map(|rate| Self::rate(rate, now, 1.0).0);
        let fair = weight / self.s.fleet.max(GUARD) * (good / all).min(1.0);
        if self.rng.random::<f64>() >= self.s.cold_spend * fair {
            open.remove_warming_up();
        }
        let best = open.lowest_tier()?;
        let [e, t] =
            [EARLIER, TRIAL].map(|arm| self.lesser(now, (arm, best), &open, &wanted, hash));
        let [we, wt] = [EARLIER, TRIAL].map(|arm| open.sum(arm, best).share);
        // When tight, the trial holds its machines' part of what is open: bound keys come again and again.
        let of_trial = self
            .s
            .usable()
            .filter(|h| self.phase(h.entry.build) == Phase::Canary);
        let held = || of_trial.map(|h| h.out.len()).sum::<usize>() as f64;
        let (out, tight) = (self.s.open as f64, OPEN_PART[1] * self.s.open_most);
        let t = t.filter(|_| {
            !self.s.sticky_keys || out <= tight || held() <= 1.0 + LEAN * self.s.part * out
        });
        let (Some(_), Some(_)) = (e, t) else {
            return e.or(t);
        };
        let mut floor = wt / (we + wt).max(GUARD);
        if self.s.sticky_keys {
            let share = self.s.taken.iter().filter(|(.., bound)| *bound).count() as f64;
            let share = share / (self.s.taken.len() as f64).max(1.0);
            floor = if share > BOUND_ROOM[0] * floor {
                0.0
            } else {
                (floor - share) / (1.0 - share)
            };
        }
        // A won draw goes above the floor, not up to the cap: that would load a build into looking bad. While
        // the trial is far quicker it goes by all that came, not what is let in: slow hosts keep none idle.
        let quicker = self
            .drag(EARLIER)
            .zip(self.drag(TRIAL))
            .is_some_and(|(e, t)| e > SLOWER * t);
        let let_in = if quicker {
            all / Self::rate(self.s.asked, now, 1.0).0
        } else {
            1.0
        };
        let place = self.rng.random::<f64>();
        let won = place < LEAN * floor / let_in.clamp(GUARD, 1.0)
            && self.draw(TRIAL) > self.draw(EARLIER);
        if place < floor || won { t } else { e }
    }

    fn draw(&mut self, arm: usize) -> f64 {
        let [up, down] = self.s.figures(&self.s.sums, None, 0, arm);
        Beta::new(1.0 + up, 1.0 + down).map_or(0.5, |beta| beta.sample(&mut self.rng))
    }

    /// Hosts accept few connections: in a large fleet a router keeps to some pairs of them.
    fn keeps_to_pairs(&self) -> bool {
        CONNECTED * (1.0 + f64::from(self.s.routers) * self.s.share)
            < 4.0 * f64::from(self.s.routers)
    }

    /// The lesser in-flight of two random hosts; the key's hash names them where hosts know keys. A router
    /// keeps to as many pairs as its traffic keeps connected and known.
    fn lesser(
        &mut self,
        now: f64,
        (arm, tier): (usize, u8),
        open: &Candidates,
        wanted: &Wanted,
        hash: Option<u64>,
    ) -> Option<HostId> {
        let salt = hash.unwrap_or_else(|| self.rng.random());
        let (all, of_me) = (
            open.sum(arm, tier).hosts as f64,
            f64::from(self.s.routers) * self.s.share,
        );
        let pairs = CONNECTED * all * (1.0 + of_me) / (4.0 * f64::from(self.s.routers));
        let mine = mix(u64::from(self.s.me.0) + 1) ^ (salt % pairs.max(1.0) as u64);
        let salt = if pairs < all { mine } else { salt };
        let two = if open.counted(arm, tier).hosts == 0 {
            first_two(salt, open.listed(arm, tier).map(|of| (of.host, of.weight)))
        } else {
            let groups: Vec<_> = wanted
                .arms
                .iter()
                .filter(|of| of.1 == arm)
                .map(|of| of.0)
                .collect();
            let mut index = std::mem::take(&mut self.s.index);
            let two = index.first_two(salt, &groups, |id| {
                let of = self
                    .s
                    .hosts
                    .get(&id)
                    .and_then(|h| self.candidate(now, wanted, h, h.weight));
                of.is_some_and(|of| of.tier == tier && (open.with_warming_up || !of.warming_up))
            });
            self.s.index = index;
            two
        };
        let known = two.into_iter().filter_map(|(_, id)| self.s.hosts.get(&id));
        let weight = |h: &Host| open.weight(h.entry.host).unwrap_or(h.weight);
        let loads = known.map(|host| (self.load(host, weight(host), now), host.entry.host));
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    fn beat(&mut self, now: f64, effects: &mut Vec<Effect>) {
        self.set_alarm(now + GOSSIP_EVERY, Task::Gossip, effects);
        let relent = |low: &Low| {
            low.before
                .map(|before| before + RELENT * (low.least - before).min(0.0))
        };
        self.s
            .low
            .values_mut()
            .for_each(|low| low.before = relent(low));
        self.s.lost[1] -= RELENT / 4.0 * (self.s.lost[1] - self.s.lost[0]).max(0.0);
        self.weigh(now);
        self.index(now, self.s.index.unsettled().collect());
        let kept = |h: &Host| {
            h.usable || h.next != Next::Unsaid || !h.out.is_empty() || now - h.used < REMEMBERED
        };
        if self.s.hosts.len() > self.s.index.len() {
            self.s.hosts.retain(|_, h| kept(h));
        }
        let of_trial = self.s.index.sum(|build| self.phase(build) == Phase::Canary);
        let part = of_trial.share / self.s.index.sum(|_| true).share.max(GUARD);
        (self.s.part, self.s.trial_hosts) = (part, of_trial.hosts as f64);
        self.s.even = if part > 0.0 {
            (part / (1.0 - part).max(GUARD)).min(1.0)
        } else {
            1.0
        };
        let (fade, lives) = (
            0.5f64.powf(GOSSIP_EVERY / HALF_LIFE),
            self.s.earlier_lives(),
        );
        // Until the trial is listed the earlier arm's past is short: what comes and goes must show in both.
        let most = if part > 0.0 { f64::INFINITY } else { ENOUGH[0] };
        for [earlier, trial] in &mut self.s.sums {
            let keep = (most / (earlier[0] + earlier[1]).max(GUARD)).min(fade);
            earlier
                .iter_mut()
                .filter(|_| lives)
                .for_each(|figure| *figure *= keep);
            trial.iter_mut().for_each(|figure| *figure *= fade);
        }
        if !self.s.may_gossip || self.s.routers == 1 {
            self.s.sight = self.s.sums.clone();
        } else if self.s.news.is_some() {
            let other = self.rng.random_range(0..self.s.routers - 1);
            let peer = RouterId(other + u32::from(other >= self.s.me.0));
            self.s.gossip_sent.insert(peer, self.s.sums.clone());
            effects.push(Effect::SendGossip {
                to: Some(peer),
                payload: self.s.message(false, self.my_drag()),
            });
        }
        self.share(now);
        self.judge(now, effects);
    }

    fn gossip_received(
        &mut self,
        now: f64,
        from: RouterId,
        payload: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let Some(told) = Message::decode(payload).filter(|_| from != self.s.me) else {
            return;
        };
        self.s
            .heard
            .insert(from, (now, told.taken, told.drag.clamp(0.1, 10.0)));
        let of = self.s.news.map(|news| news.build);
        if of != Some(told.build) || told.sums.len() != 4 * self.s.sums.len() {
            return;
        }
        let sight = self.s.sight.iter_mut().flatten().flatten().zip(&told.sums);
        sight.for_each(|(seen, theirs)| *seen += SIGHT * (theirs - *seen));
        let mine = if told.reply {
            self.s.gossip_sent.remove(&from)
        } else {
            Some(self.s.sums.clone())
        };
        if !told.reply {
            effects.push(Effect::SendGossip {
                to: Some(from),
                payload: self.s.message(true, self.my_drag()),
            });
        }
        let sums = self.s.sums.iter_mut().flatten().flatten().zip(&told.sums);
        if self.s.fresh && !told.fresh {
            // A restarted router takes a partner's figures whole: at Beta(1, 1) it would halve them.
            sums.for_each(|(sum, theirs)| *sum = *theirs);
            (self.s.fresh, self.s.sight) = (false, self.s.sums.clone());
        } else if let (true, Some(mine)) = (self.s.fresh == told.fresh, mine) {
            // Half the difference of what was sent: outcomes that came in meanwhile survive.
            let sent = mine.iter().flatten().flatten();
            sums.zip(sent)
                .for_each(|((sum, theirs), sent)| *sum = (*sum + (theirs - sent) / 2.0).max(0.0));
        }
    }

    fn stage(&mut self, now: f64, news: RolloutStatus, effects: &mut Vec<Effect>) {
        if news.answers_vote {
            let counted = matches!(
                news.outcome,
                AttemptOutcome::Succeeded | AttemptOutcome::Irrelevant
            );
            let may_stand = counted || news.outcome == AttemptOutcome::TimedOut;
            self.s.stands = if may_stand {
                self.s.ballot_sense
            } else {
                self.s.stands
            };
            let spread = if self.s.many {
                0.5 + self.rng.random::<f64>()
            } else {
                1.0
            };
            self.s.ask_again = spread
                * ASK_AGAIN
                    .max(TURNS[0] * self.s.turn)
                    .min(self.s.renew_every);
            self.vote(
                now,
                if counted { Push::Counted } else { Push::Unsure },
                effects,
            );
        }
        let old = self.s.news;
        if news.outcome != AttemptOutcome::Succeeded
            || old.is_some_and(|old| old.build > news.build)
        {
            return;
        }
        self.s.news = Some(news);
        let gone = matches!(news.phase, Phase::RollingBack | Phase::RolledBack);
        self.s
            .bound
            .retain(|_, build| !gone || *build != news.build);
        let same_build = old.is_some_and(|old| old.build == news.build);
        if !same_build {
            // The hash names the voters.
            let place = |router: u32| {
                (
                    mix(mix(u64::from(news.build.0)) ^ u64::from(router)),
                    router,
                )
            };
            let before = |other: &u32| place(*other) < place(self.s.me.0);
            self.s.rank = (0..self.s.routers).filter(before).count() as u32;
            let released = old.is_some_and(|old| old.phase == Phase::Released);
            for [earlier, trial] in &mut self.s.sums {
                (*earlier, *trial) = (if released { *trial } else { *earlier }, [0.0; 2]);
            }
            self.s.gossip_sent.clear();
            self.s.sight = self.s.sums.clone();
            let [up, down] = self.s.figures(&self.s.sums, None, 0, EARLIER);
            self.s.kept_best = up / (up + down).max(1.0);
            self.s.low.retain(|key, _| key.2 == EARLIER);
            self.s
                .low
                .values_mut()
                .for_each(|low| low.before = old.map(|_| low.least));
            self.s.fresh = old.is_none() && news.phase == Phase::Canary && news.age > GOSSIP_EVERY;
        }
        if !same_build || old.is_some_and(|old| old.stage != news.stage || old.phase != news.phase)
        {
            self.s.drag_past = if same_build { self.s.shared_drag } else { 1.0 };
            (self.s.stage_since, self.s.held) = (now - news.age, 0.0);
            (self.s.wish, self.s.wish_since) = (Vote::Abstain, now);
            self.vote(now, Push::News, effects);
        }
    }

    /// The chance that the trial is worse, by what peers told; the more routers, the more it comes in clumps.
    fn chance(&self, slot: Option<usize>, mark: usize, enough: f64, part: f64) -> Option<f64> {
        let part = part / (1.0 + f64::from(self.s.routers) / CLUMPED);
        let arms = [EARLIER, TRIAL].map(|arm| {
            self.s
                .figures(&self.s.sight, slot, mark, arm)
                .map(|f| part * f)
        });
        let [(em, ev), (tm, tv)] = arms.map(|[up, down]| {
            let (a, n) = (up + 1.0, up + down + 2.0);
            (a / n, a * (n - a) / (n * n * (n + 1.0)))
        });
        let spread = HOST_SPREAD[mark].powi(2) / self.s.trial_hosts.max(1.0);
        let z = (em - tm - MARGINS[mark]) / (ev + tv + spread).sqrt();
        arms.iter()
            .all(|[up, down]| up + down >= enough * part)
            .then(|| 1.0 / (1.0 + (-1.702 * z).exp()))
    }

    fn look(&mut self, now: f64, news: &RolloutStatus) -> Look {
        let live = self
            .s
            .heard
            .values()
            .filter(|heard| heard.0 > self.s.stage_since)
            .count();
        let heard = live >= self.s.heard.len().min(HEARD_PEERS);
        let (lives, released) = (self.s.earlier_lives(), news.phase == Phase::Released);
        let pooled = self.chance(None, 0, ENOUGH[0], 1.0);
        let firm = |slot, mark, enough| self.chance(slot, mark, enough, EVIDENCE);
        let mut worse =
            lives && firm(None, 0, ENOUGH[0]).is_some_and(|chance| chance > BACK_CHANCE[0]);
        // One operation may fail alone, or a build be slow yet in time. Errors of a few hosts are theirs.
        let of_trial = || self.s.usable().filter(|h| h.entry.build >= news.build);
        let met = || of_trial().filter(|h| h.used > f64::MIN);
        let wide = met().filter(|h| h.health.faults > MARGINS[1]).count() * WIDE >= met().count();
        for mark in
            (0..MARKS).filter(|mark| *mark == 1 || lives && (*mark == 0 || !self.s.key_affinity))
        {
            let slots = (0..self.s.slots).filter(|_| mark != 2);
            let each = slots.filter_map(|slot| firm(Some(slot), mark, ENOUGH[1]));
            let mut all = each.chain(firm(None, mark, ENOUGH[0]));
            worse |= (mark != 1 || wide) && all.any(|chance| chance > BACK_CHANCE[1]);
        }
        let latest = of_trial()
            .filter_map(|h| h.entry.started)
            .fold(self.s.stage_since, f64::max);
        // A stage's machines must run before it is moved on: some builds fail only then.
        let part = self
            .s
            .stage_shares
            .get(news.stage as usize)
            .filter(|_| !released)
            .copied()
            .unwrap_or(1.0);
        // Its places: all machines, or the earlier ones alone where those stay until the release.
        let of_builds = |of: &dyn Fn(BuildId) -> bool| self.s.index.sum(of).hosts;
        let (on_trial, all) = (
            of_builds(&|build| build >= news.build),
            of_builds(&|_| true),
        );
        let places = if self.s.beside { all - on_trial } else { all };
        let there = on_trial as f64 >= SETTLED[0] * part * places as f64;
        let settled = there && now - latest > SETTLED[1] || now - self.s.stage_since > SETTLED[2];
        // A build may slow both arms, which no comparison shows: the earlier hosts are slower than before.
        // Losses beyond what its machines explain are other trouble until it ends, as is a quicker trial.
        let [up, down] = self.s.figures(&self.s.sums, None, 0, usize::from(!lives));
        let kept = up / (up + down).max(1.0);
        self.s.kept_best += RELENT * (kept - self.s.kept_best).max(0.0);
        let (drag, lost) = (self.s.shared_drag, 1.0 + LOSS * (self.s.kept_best - kept));
        // Hosts that pause or are lost cost answers, and leave the quick times of all others as they were:
        // what a large fleet loses beside them holds a build for a while, but is not its drag.
        let harmed = drag.max(lost);
        let drag = if self.s.many && drag < DRAG_SHOWS {
            drag
        } else {
            harmed
        };
        let alike = !lives
            || self
                .drag(TRIAL)
                .is_none_or(|trial| trial > 1.0 + ALIKE * (drag - 1.0));
        let other = self.s.drag_other || lost > 1.0 + DRAG_SPAN * self.s.part;
        self.s.drag_other = drag > DRAG[0] && other && !released;
        let grown =
            drag > 1.0 + DRAG_GROWS * (self.s.drag_past - 1.0) && drag < 1.0 + DRAG_SPAN * part;
        let dragging = alike && grown && !self.s.drag_other && drag > DRAG[usize::from(!lives)];
        self.s.drag_since = if dragging { self.s.drag_since } else { now };
        let since = now - self.s.drag_since;
        let harm = kept < self.s.kept_best - MARGINS[0] || lives && drag > DRAG[2];
        // With no earlier host left, going back stops all for a while: it must outlast common troubles.
        let came = self.s.drag_since < latest + DRAG_HELD / 2.0;
        let long = since * drag / DRAG[3] > self.s.haste * DRAG_BACK[usize::from(!lives || !came)];
        worse = worse && !released || harm && long && (came || !released);
        match pooled {
            _ if worse => Look::Worse,
            _ if released => Look::Starved,
            _ if dragging && (harm || since.min(now - latest) < DRAG_HELD) => Look::Dragging,
            _ if harm && harmed > DRAG[0] && now - latest < self.s.haste * DRAG_HELD => {
                Look::Dragging
            }
            _ if !settled => Look::Unclear,
            Some(chance) if heard && (chance < ON_CHANCE || !lives) => Look::Fine,
            Some(_) if heard => Look::Unclear,
            _ if now - latest > STARVED_ON => Look::Fine,
            _ => Look::Starved,
        }
    }

    fn drag(&self, arm: usize) -> Option<f64> {
        let least =
            |place: &(usize, KindId, usize)| Some(self.s.low.get(&(place.0, place.1, arm))?.least);
        let known = self
            .s
            .low
            .iter()
            .filter_map(|(place, low)| Some((least(place)? / low.before?).ln()));
        let (sum, count) = known.fold((0.0, 0.0f64), |(sum, count), log| (sum + log, count + 1.0));
        (count > 0.0).then(|| (sum / count).exp())
    }

    fn my_drag(&self) -> f64 {
        let on_trial = self.s.news.is_some_and(|news| news.phase == Phase::Canary);
        self.drag(usize::from(on_trial && !self.s.earlier_lives()))
            .unwrap_or(1.0)
    }

    /// Its share of the traffic and the drag all see, from a sample of peers: its size tells how many live.
    fn share(&mut self, now: f64) {
        self.s.heard.retain(|_, heard| now - heard.0 < PEER_LIVES);
        let mine = (self.s.taken.len() as f64).max(1.0);
        let (peers, heard) = (
            f64::from(self.s.routers - 1).max(GUARD),
            2.0 * PEER_LIVES / GOSSIP_EVERY,
        );
        let reached = peers * (1.0 - (-heard / peers).exp());
        let live = peers * (self.s.heard.len() as f64 / reached).min(1.0);
        let weights = self.s.heard.values().map(|heard| heard.1).sum::<f64>();
        let others = live * weights / (self.s.heard.len() as f64).max(1.0);
        let drags = self
            .s
            .heard
            .values()
            .map(|heard| heard.1 * heard.2.ln())
            .sum::<f64>();
        self.s.share = mine / (mine + others);
        self.s.shared_drag = ((mine * self.my_drag().ln() + drags) / (mine + weights)).exp();
    }

    fn judge(&mut self, now: f64, effects: &mut Vec<Effect>) {
        let judged = |news: &RolloutStatus| matches!(news.phase, Phase::Canary | Phase::Released);
        let Some(news) = self.s.news.filter(judged) else {
            return;
        };
        let look = self.look(now, &news);
        self.s.worse_since = if look == Look::Worse {
            self.s.worse_since
        } else {
            now
        };
        let firm = look != Look::Worse || now - self.s.worse_since >= BACK_FIRM;
        let look = if firm { look } else { Look::Unclear };
        // Operators' wishes stand beside the figures: the more careful counts, at once and at any rank.
        let asked = self
            .s
            .asked_of(news.build)
            .filter(|wish| wish.roll_back || wish.hold && look != Look::Worse);
        let look = asked.map_or(look, |wish| {
            if wish.roll_back {
                Look::Worse
            } else {
                Look::Dragging
            }
        });
        let row = WISHES.iter().find(|row| row.0 == look);
        let of = |row: &(_, _, _)| if self.s.by_clock { row.2 } else { row.1 };
        let mut wish = row.and_then(of).unwrap_or(self.s.wish);
        if wish == Vote::Hold && asked.is_none() {
            self.s.held += GOSSIP_EVERY;
            wish = if self.s.held > HOLD_MOST {
                Vote::Abstain
            } else {
                wish
            };
        }
        (self.s.wish, self.s.wish_since) = (
            wish,
            if wish == self.s.wish {
                self.s.wish_since
            } else {
                now
            },
        );
        // While a wish of the voters stays unmet the next stand in: some may be dead or cut off.
        let beyond = f64::from((self.s.rank + 1).saturating_sub(self.s.voters));
        let late = (beyond * f64::from(VOTERS) / f64::from(self.s.voters)).ceil() * STAND_IN;
        // Nothing is said where nothing stands, nor is a wish taken back that may return: in a large fleet
        // calls for nothing fill the platform, and some of half the voters doubt at any time.
        let turn = TURNS[1] * self.s.turn;
        let open = self.s.ballot == Ballot::Asked && now - self.s.ballot_at < turn;
        let nothing = [wish, self.s.stands] == [Vote::Abstain; 2] && self.s.ballot != Ballot::Asked;
        let firm = wish != Vote::Abstain || now - self.s.wish_since >= turn.min(WITHDRAW);
        let wait = if self.s.ballot == Ballot::Silent {
            self.s.ask_again
        } else {
            self.s.renew_every
        };
        let changed = wish != self.s.ballot_sense && firm && (!open || wish == Vote::RollBack);
        let due = changed || now - self.s.ballot_at >= wait;
        if !nothing && due && (asked.is_some() || now - self.s.wish_since >= late) {
            self.vote(now, Push::Due, effects);
        }
    }

    fn vote(&mut self, now: f64, push: Push, effects: &mut Vec<Effect>) {
        let Some(row) = BALLOTS
            .iter()
            .find(|row| row.0 == self.s.ballot && row.1 == push)
        else {
            return;
        };
        self.s.ballot = row.2;
        if push == Push::News {
            (self.s.ballot_sense, self.s.stands) = (Vote::Abstain, Vote::Abstain);
        }
        if let (true, Some(news)) = (row.3, self.s.news) {
            let renewal = self.s.ballot_sense == self.s.wish;
            (self.s.ballot_sense, self.s.ballot_at) = (self.s.wish, now);
            effects.push(Effect::CastVote {
                build: news.build,
                stage: news.stage,
                vote: self.s.wish,
            });
            if !renewal && (self.s.wish == Vote::RollBack || self.s.rank < VOTERS) {
                effects.push(Effect::WriteLog {
                    text: self.s.reasons(&news, [EARLIER, TRIAL]),
                });
            }
        }
    }
}
