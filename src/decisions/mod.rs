//! Every decision of a router: the build and host of an invocation, what follows a failed dispatch, and the
//! vote on a build on trial. Invoked as `Router::start(terms, seed, now)`, then
//! `handle(now, event, &mut effects)` for each event in its order; `src/interface.rs` has the interface, and
//! `docs/design.md` the sources and reasons.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Beta, Distribution};

use crate::candidates::{Candidate, Candidates, Requirements, Sum};
use crate::host_index::{Group, Indexed};
use crate::interface::*;
use crate::operator_weights::{EffectiveWeight, apply_weights};
use crate::rendezvous::highest_two;
use crate::router_state::*;

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
const MARGINS: [f64; SIGNALS] = [0.05, 0.02, 0.05]; // of SLO time kept, of plain errors, of quick answers
const EVIDENCE: f64 = 0.5; // outcomes that a merged one is worth for a vote back: gossip mixes unevenly
const HOST_SPREAD: [f64; SIGNALS] = [0.0, 0.0, 0.15]; // of a mark among the hosts of one build
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
const BASELINE: usize = 0;
const CANARY: usize = 1;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Assessment {
    Worse,
    Fine,
    Unclear,
    SlowingAll,
    Starved,
}

/// What the merged figures say: the wish where votes move a build, where a clock does; None keeps the last.
const DESIRED_VOTES: [(Assessment, Option<Vote>, Option<Vote>); 5] = [
    (
        Assessment::Worse,
        Some(Vote::RollBack),
        Some(Vote::RollBack),
    ),
    (Assessment::Fine, Some(Vote::Promote), Some(Vote::Abstain)),
    (Assessment::Unclear, None, Some(Vote::Hold)),
    (
        Assessment::SlowingAll,
        Some(Vote::Abstain),
        Some(Vote::Hold),
    ),
    (Assessment::Starved, None, Some(Vote::Abstain)),
];

#[derive(Clone, Copy, PartialEq, Eq)]
enum VoteInput {
    Due,
    Counted,
    Uncertain,
    News,
}

/// State of this router's ballot, input, next state, whether the wish is cast now.
const VOTE_TRANSITIONS: [(VoteState, VoteInput, VoteState, bool); 7] = [
    (VoteState::NoVote, VoteInput::Due, VoteState::Pending, true),
    (VoteState::Pending, VoteInput::Due, VoteState::Pending, true),
    (VoteState::Counted, VoteInput::Due, VoteState::Pending, true),
    (
        VoteState::Pending,
        VoteInput::Counted,
        VoteState::Counted,
        false,
    ),
    (
        VoteState::Pending,
        VoteInput::Uncertain,
        VoteState::NoVote,
        false,
    ),
    (
        VoteState::Pending,
        VoteInput::News,
        VoteState::NoVote,
        false,
    ),
    (
        VoteState::Counted,
        VoteInput::News,
        VoteState::NoVote,
        false,
    ),
];

const UNKNOWN: HostHealth = HostHealth {
    failure_rate: 0.0,
    slowdown: 1.5,
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
        next: StagedChange::Unchanged,
        weight,
    })
}

pub struct Router {
    state: State,
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
            let (low_priority, late_is_worthless) =
                (earns(o) < 0.5 * best, o.late_value_fraction <= 0.0);
            Operation {
                latency_objective: o.latency_objective,
                late_is_worthless,
                low_priority,
                group,
                window,
            }
        });
        let needed = terms.votes_on.max(terms.votes_back).max(terms.votes_hold);
        let slots = terms.operations.len().clamp(1, SLOTS);
        let mut s = State::of(&terms, operations.collect(), slots, terms.tick.max(GUARD));
        (s.clock_gated, s.voters) = (terms.gate == Gate::Clock, VOTERS.max(needed));
        // The platform takes so many calls of all routers together, for renewals and changes of mind too.
        s.vote_turn = f64::from(s.voters) / terms.vote_rate;
        (s.renew_every, s.baseline_weight) = (
            RENEW_EVERY
                .max(TURNS[2] * s.vote_turn)
                .min(0.8 * terms.vote_lifetime),
            1.0,
        );
        (s.recast_after, s.is_large_fleet, s.subscribe_backoff) =
            (ASK_AGAIN, s.routers > FEW, REFOLLOW[0]);
        s.poll_spread =
            terms.endpoint_poll_interval * (1.0 - f64::from(FEW) / f64::from(s.routers)).max(0.0);
        s.bake_scale = (terms.bake / BAKE[0]).clamp(BAKE[1], 1.0);
        (s.slow_start_duration, s.slow_start_allowance) = (
            s.slow_start_duration.max(GUARD),
            COLD_SPEND.min(0.5 * terms.overload_multiple),
        );
        (
            s.success_rate,
            s.attempt_rate,
            s.offered_rate,
            s.stage_since,
        ) = ((0.0, now), (0.0, now), (0.0, now), now);
        (s.traffic_share, s.shared_slowdown, s.retry_budget) =
            (1.0 / f64::from(s.routers), 1.0, FURTHER[1] / 2.0);
        Router {
            state: s,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn handle(&mut self, now: f64, event: Event, effects: &mut Vec<Effect>) {
        if self.state.last_timer == 0 {
            let first = now + GOSSIP_EVERY * self.rng.random::<f64>();
            self.schedule(first, TimerEvent::Gossip, effects);
            // Discovery serves all in turn, and calls that wait too long are lost, work and all: where a
            // large fleet restarts and asks at once, hardly any is served, again and again.
            let wait = self
                .state
                .polls_endpoint_list
                .then_some(self.state.poll_spread);
            if let Some(spread) = wait.filter(|spread| *spread > 0.0) {
                let at = now + spread * self.rng.random::<f64>();
                self.schedule(at, TimerEvent::Subscribe, effects);
            } else {
                effects.extend(wait.map(|_| Effect::SubscribeEndpointList { on: true }));
            }
        }
        match event {
            Event::EndpointList { scope, entries } => {
                self.apply_endpoint_list(now, scope, &entries)
            }
            Event::EndpointsStaged { entries, from, to } => {
                self.stage_hosts(entries.get(from..to).unwrap_or_default())
            }
            Event::OperatorOverridesApplied { overrides, entries } => {
                self.state.overrides = overrides;
                self.apply_endpoint_list(now, ListScope::Delta, &entries);
            }
            Event::EndpointListFailed if self.state.polls_endpoint_list => {
                // A subscription that broke would count as told; ask again soon, spread and slower each time.
                let wait = self.state.subscribe_backoff * (0.5 + self.rng.random::<f64>());
                self.state.subscribe_backoff = (2.0 * self.state.subscribe_backoff)
                    .min(REFOLLOW[1].max(self.state.poll_spread));
                self.schedule(now + wait, TimerEvent::Subscribe, effects);
            }
            Event::RequestReceived(request) => self.on_request(now, request, effects),
            Event::AttemptFinished {
                request,
                attempt,
                outcome,
                took,
                over,
                unused,
                ..
            } => self.on_attempt_finished(
                now,
                request,
                attempt.0,
                (outcome, took, over, unused),
                effects,
            ),
            Event::ClientDisconnected { request } | Event::ResponseStarted { request, .. } => {
                self.close_request(&request)
            }
            Event::TimerExpired { key } => match self.state.timers.remove(&key.0) {
                Some(TimerEvent::Gossip) => self.gossip_round(now, effects),
                Some(TimerEvent::Subscribe) => {
                    effects.push(Effect::SubscribeEndpointList { on: true })
                }
                Some(TimerEvent::Hedge(id)) => self.dispatch_or_finish(now, &id, true, effects),
                None => {}
            },
            Event::GossipReceived { from, payload } => self.on_gossip(now, from, &payload, effects),
            Event::RolloutStatusReceived(news) => self.on_rollout_status(now, news, effects),
            Event::AnswerDisputed {
                host, operation, ..
            } => {
                let Some(build) = self.state.hosts.get(&host).map(|h| h.entry.build) else {
                    return;
                };
                self.record_signal(build, operation.0, 1, false, self.state.dispute_weight);
            }
            Event::EndpointListFailed
            | Event::BuildMetrics { .. }
            | Event::HealthCheckFinished { .. } => {}
        }
    }

    fn schedule(&mut self, at: f64, task: TimerEvent, effects: &mut Vec<Effect>) {
        self.state.last_timer += 1;
        self.state.timers.insert(self.state.last_timer, task);
        effects.push(Effect::ScheduleTimer {
            at,
            key: TimerKey(self.state.last_timer),
        });
    }

    /// Noted ahead: nothing of it counts before the list that it belongs to is taken.
    fn stage_hosts(&mut self, entries: &[HostEntry]) {
        for entry in entries {
            let host = self
                .state
                .hosts
                .entry(entry.host)
                .or_insert_with(|| new_host(entry));
            host.stage(entry, UNKNOWN);
            self.state.staged.push(entry.host);
        }
    }

    fn apply_endpoint_list(&mut self, now: f64, scope: ListScope, entries: &[HostEntry]) {
        self.state.subscribe_backoff = REFOLLOW[0];
        self.stage_hosts(entries);
        // Invocations of an earlier revision do not go to what came with a later one.
        let changed = self.state.commit_staged(scope != ListScope::Delta, UNKNOWN);
        self.update_index(now, changed);
        self.refresh_weights(now);
        let all = self.state.index.sum(|_| true);
        self.state.lowest_build = self.state.index.builds().next();
        if self.state.largest_fleet <= 0.0 {
            self.state.in_flight_limit = OPEN[0] * all.hosts as f64 * self.state.traffic_share;
        }
        self.state.largest_fleet = self.state.largest_fleet.max(all.share);
    }

    fn refresh_weights(&mut self, now: f64) {
        if self.state.weights_in_force() {
            self.state
                .apply_weights(self.state.effective_weights(now, &self.state.overrides));
            self.update_index(now, self.state.hosts.keys().copied().collect());
        }
    }

    /// Who warms up, is ejected or fails is looked at for each request, all others by their groups.
    fn index_entry(&self, now: f64, host: &Host) -> Option<Indexed> {
        let Host {
            health,
            entry,
            weight,
            ..
        } = host;
        let well = health.ejected_until <= now && health.failure_rate <= FAULTY;
        let (settled, group) = (
            well && self.state.warm_up_fraction(entry, now) >= 1.0,
            Group::of(entry, self.state.idempotency_by_cell),
        );
        let (size, weight, failure_rate, slowdown) =
            (entry.size, *weight, health.failure_rate, health.slowdown);
        host.usable.then_some(Indexed {
            group,
            size,
            weight,
            settled,
            failure_rate,
            slowdown,
        })
    }

    fn update_index(&mut self, now: f64, hosts: Vec<HostId>) {
        let mut index = std::mem::take(&mut self.state.index);
        let indexed = |host| {
            self.state
                .hosts
                .get(&host)
                .and_then(|host| self.index_entry(now, host))
        };
        index.update(hosts.into_iter().map(|host| (host, indexed(host))));
        self.state.index = index;
    }

    fn decayed_rate((level, at): (f64, f64), now: f64, more: f64) -> (f64, f64) {
        (
            level * (-(now - at) / PACE_TIME).exp() + more / PACE_TIME,
            now,
        )
    }

    fn phase_of(&self, build: BuildId) -> Phase {
        match self.state.rollout {
            Some(news) if build < news.build => Phase::Released,
            Some(news) if build == news.build => news.phase,
            Some(_) => Phase::Canary,
            // Before any news, only the lowest listed build is known to be no later one.
            None if self.state.lowest_build.is_none_or(|least| build <= least) => Phase::Released,
            None => Phase::RolledBack,
        }
    }

    /// Rule 5: whether one more dispatch at this build stays within its cap.
    fn has_exposure_room(&self, now: f64, build: BuildId, operation: usize, new_key: bool) -> bool {
        let phase = self.phase_of(build);
        let news = self.state.rollout.filter(|news| news.build == build);
        let (cap, stage) = news.map_or((self.state.first_cap, 0), |news| (news.cap, news.stage));
        let cap = self
            .state
            .override_of(build)
            .map_or(cap, |wish| cap.min(wish.cap));
        let guarded = stage < self.state.idempotent_only_stages
            && self.state.operations[operation].window.is_finite();
        if phase != Phase::Canary || cap <= 0.0 || guarded {
            return phase == Phase::Released;
        }
        let counts = |o: usize| !self.state.exposure_by_operation || o == operation;
        let kept = self.state.exposure_window - 2.0 * self.state.tick;
        let taken = self
            .state
            .admitted
            .iter()
            .filter(|(at, o, _)| now - at < kept && counts(*o))
            .count();
        let sent = self
            .state
            .canary_attempts
            .iter()
            .filter(|(_, b, o)| *b == build && counts(*o))
            .count() as f64;
        let new_key = new_key && self.state.sticky_keys && cap < 1.0;
        let (part, spare) = if new_key {
            (BOUND_ROOM[1], 0.5)
        } else {
            (1.0, 1.0)
        };
        sent + 1.0 <= spare * self.state.exposure_spare + part * cap * taken as f64
    }

    fn on_request(&mut self, now: f64, request: Request, effects: &mut Vec<Effect>) {
        let Some(operation) = self.state.operations.get(request.operation.0) else {
            return effects.push(Effect::FailRequest {
                request: request.id,
            });
        };
        let (limit, objective_at) = (now + request.time_left, now + operation.latency_objective);
        let (operation, work) = (request.operation.0, request.work.unwrap_or(1.0).max(1e-6));
        self.state
            .admitted
            .retain(|(at, ..)| now - at <= self.state.exposure_window);
        self.state
            .canary_attempts
            .retain(|(at, ..)| now - at <= self.state.exposure_window);
        self.state.retry_budget = (self.state.retry_budget + FURTHER[0]).min(FURTHER[1]);
        let bound = self
            .state
            .sticky_build(&request.key)
            .is_some_and(|build| self.phase_of(build) == Phase::Canary);
        self.state.admitted.push_back((now, operation, bound));
        let (key, again, sent) = (request.key, request.again, vec![]);
        let (overrides, pool) = (self.state.overrides.clone(), request.pool);
        let record = TrackedRequest {
            operation,
            key,
            work,
            again,
            objective_at,
            limit,
            sent,
            over: false,
            pool,
            overrides,
        };
        self.state.requests.insert(request.id.clone(), record);
        self.state.offered_rate = Self::decayed_rate(self.state.offered_rate, now, 1.0);
        self.dispatch_or_finish(now, &request.id, false, effects);
    }

    /// Rule 2: where the first dispatch went that may have run, and whether nothing may follow it any more.
    fn first_effect(&self, now: f64, request: &TrackedRequest) -> (Option<HostEntry>, bool) {
        let window = self.state.operations[request.operation].window - 2.0 * self.state.tick;
        let ran = request.sent.iter().find(|s| s.out || s.may_have_run);
        (ran.map(|s| s.to), ran.is_some_and(|s| now - s.at >= window))
    }

    /// Sends the next dispatch; where there is none to send, the final answer goes out at once (rule 1).
    fn dispatch_or_finish(
        &mut self,
        now: f64,
        id: &RequestId,
        copy: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.state.requests.get(id).filter(|request| !request.over) else {
            return;
        };
        let operation = &self.state.operations[request.operation];
        let (ran, binding) = self.first_effect(now, request);
        let throttle = !binding && (ran.is_none() || operation.group == IdempotencyScope::All);
        let (out, first) = (
            request.sent.iter().filter(|s| s.out).count(),
            request.sent.is_empty(),
        );
        let end = if operation.late_is_worthless {
            request.limit.min(request.objective_at)
        } else {
            request.limit
        };
        let timely = end - now > 2.0 * self.state.tick;
        let paid = first || self.state.retry_budget >= 1.0;
        let more = out == 0 || copy && self.state.may_hedge && out == 1;
        let more = more && request.sent.len() < self.state.max_attempts;
        // When tight, copies go first, and tries that come again (their SLO time is past); then lean ones.
        let late = copy || request.again && operation.late_is_worthless;
        let low_priority = if operation.low_priority {
            OPEN_PART[0]
        } else {
            1.0
        };
        let most = (self.state.in_flight_limit + self.state.in_flight_limit.sqrt())
            * if late { OPEN_PART[1] } else { low_priority };
        // A bound of less than one lets that part of the invocations in: a draw decides on the last one.
        let room = self.state.in_flight as f64 + self.rng.random::<f64>() <= most;
        let host = if !binding && timely && paid && more && room {
            self.select_endpoint(now, id)
        } else {
            None
        };
        if let Some(host) = host {
            self.state.retry_budget -= f64::from(u8::from(!first));
            return self.start_attempt(now, id, host, end, effects);
        }
        if out > 0 {
            return;
        }
        self.close_request(id);
        let wait = ADVICE * (1.0 + self.rng.random::<f64>());
        let retry_after = self.state.max_retry_after.map(|most| wait.min(most));
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

    fn start_attempt(
        &mut self,
        now: f64,
        id: &RequestId,
        host: HostId,
        end: f64,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(request), Some(h)) = (
            self.state.requests.get_mut(id),
            self.state.hosts.get_mut(&host),
        ) else {
            return;
        };
        let operation = &self.state.operations[request.operation];
        let low = self
            .state
            .latency_baselines
            .get(&(request.operation, h.entry.kind, BASELINE));
        let quick = low.map_or(0.1 * operation.latency_objective, |low| {
            low.quick * request.work
        });
        let wait = (FIRST_WAIT[0] * (request.objective_at - now)).max(FIRST_WAIT[1] * quick);
        let easy = self.state.retry_budget >= 1.0
            && self.state.in_flight as f64 <= OPEN_PART[1] * self.state.in_flight_limit;
        let planned =
            easy && operation.window > wait && request.sent.len() + 1 < self.state.max_attempts;
        let planned = planned && now + wait + quick < end.min(request.objective_at);
        let time_out = if planned && !self.state.may_hedge {
            wait
        } else {
            end - now
        };
        // Connections may be dropped unseen after some time without use: then an idle one is closed first.
        let unused = h.out.is_empty() && h.used > f64::MIN && now - h.used > UNUSED[0];
        let stale = self.state.lost_fractions[1] > LOST[1] + self.state.lost_fractions[0];
        let max_idle = if stale { UNUSED[1] } else { f64::INFINITY };
        // Rules 2, 3 and 5 hold when the last byte is written, not when it is decided: connecting takes time.
        let ran = request.sent.iter().find(|s| s.out || s.may_have_run);
        let left = ran.map_or(f64::INFINITY, |first| {
            operation.window - 2.0 * self.state.tick - (now - first.at)
        });
        let write_within = left.min(WRITTEN * self.state.drain_grace).max(GUARD);
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
        self.state.attempt_rate = Self::decayed_rate(self.state.attempt_rate, now, 1.0);
        let (build, operation) = (h.entry.build, request.operation);
        self.state.in_flight += 1;
        if self.phase_of(build) != Phase::Released {
            self.state
                .canary_attempts
                .push_back((now, build, operation));
        }
        effects.push(Effect::StartAttempt {
            request: id.clone(),
            host,
            time_out,
            connection,
        });
        if planned && self.state.may_hedge {
            self.schedule(now + wait, TimerEvent::Hedge(id.clone()), effects);
        }
    }

    fn close_request(&mut self, id: &RequestId) {
        if let Some(request) = self.state.requests.get_mut(id) {
            request.over = true;
            if request.sent.iter().all(|s| !s.out) {
                self.state.requests.remove(id);
            }
        }
    }

    fn on_attempt_finished(
        &mut self,
        now: f64,
        id: RequestId,
        no: u32,
        how: FinishedAttempt,
        effects: &mut Vec<Effect>,
    ) {
        let Some(request) = self.state.requests.get_mut(&id) else {
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
        (self.state.in_flight, self.state.retry_budget) =
            (self.state.in_flight - 1, self.state.retry_budget + broke);
        self.record_outcome(now, operation, sent, outcome, took, work);
        let (build, binds) = (
            sent.to.build,
            outcome == AttemptOutcome::Succeeded && self.state.sticky_keys,
        );
        if binds && matches!(self.phase_of(build), Phase::Canary | Phase::Released) {
            key.map(|key| {
                self.state
                    .sticky_builds
                    .entry(key)
                    .and_modify(|b| *b = build.max(*b))
                    .or_insert(build)
            });
        }
        if over {
            self.close_request(&id)
        } else {
            self.dispatch_or_finish(now, &id, false, effects)
        }
    }

    fn record_outcome(
        &mut self,
        now: f64,
        operation: usize,
        sent: Attempt,
        outcome: AttemptOutcome,
        took: f64,
        work: f64,
    ) {
        let Attempt { to, at, scored, .. } = sent;
        let (latency_objective, warm_up_fraction, build) = (
            self.state.operations[operation].latency_objective,
            self.state.warm_up_fraction(&to, at),
            to.build,
        );
        let (time, place) = (took / work, (operation, to.kind));
        let quick = self
            .state
            .latency_baselines
            .get(&(place.0, place.1, BASELINE))
            .map(|low| low.quick);
        let own = self
            .state
            .index
            .get(to.host)
            .filter(|own| own.group.build == build);
        let others = self.state.index.build(build).without(own);
        let unsettled = self.state.index.unsettled().filter(|host| *host != to.host);
        let of_build =
            unsettled.filter_map(|id| self.state.hosts.get(&id).filter(|h| h.entry.build == build));
        let ejected = of_build.filter(|h| h.health.ejected_until > now).count();
        let lonely = others.hosts < EJECT_OTHERS[0] || ejected * EJECT_OTHERS[1] > others.hosts;
        let n = (others.hosts as f64).max(1.0);
        let alike = (others.failure_rate / n, others.slowdown / n);
        let Some(host) = self
            .state
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
        let share = &mut self.state.lost_fractions[usize::from(sent.unused)];
        *share += LOST[0] * (f64::from(u8::from(lost)) - *share);
        let (served, health) = (outcome == AttemptOutcome::Succeeded, &mut host.health);
        health.failure_rate += HOST_WEIGHT * (f64::from(u8::from(!served)) - health.failure_rate);
        let ratio = quick.map_or(health.slowdown, |quick| {
            (time * warm_up_fraction / quick).clamp(0.2, 10.0)
        });
        health.slowdown += HOST_WEIGHT * (ratio - health.slowdown);
        // Ejected where it stands out in its build: a hang, a lost link, errors; a build is for the vote.
        if !lonely && health.failure_rate > FAULTY + alike.0 && health.ejected_until <= now {
            (health.ejected_until, health.failure_rate) =
                (now + health.ejected_for, FAULTY + alike.0);
            health.ejected_for = (2.0 * health.ejected_for).min(EJECTED[1]);
        } else if served && health.failure_rate < FAULTY / 3.0 {
            health.ejected_for = EJECTED[0];
        }
        let (sick, slower) = (
            health.ejected_until > now && !lonely,
            !lonely && health.slowdown > SLOWER * alike.1,
        );
        let late = !served || took > latency_objective;
        self.state.success_rate =
            Self::decayed_rate(self.state.success_rate, now, f64::from(u8::from(!late)));
        // Late answers shrink what this router keeps open, timely ones widen it while in use, errors and lost
        // connections neither; never below what keeps hosts busy: fewer open would not make slow ones quick.
        let broke = matches!(
            outcome,
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::NoConnection
        );
        if !sick
            && !broke
            && (late || self.state.in_flight as f64 + 1.0 > 0.5 * self.state.in_flight_limit)
        {
            let fair = self.state.index.len() as f64 * self.state.traffic_share;
            let step = if late { -OPEN_STEP[1] } else { OPEN_STEP[0] };
            self.state.in_flight_limit =
                (self.state.in_flight_limit + step).clamp(fair * OPEN[1], fair * OPEN[2]);
        }
        self.update_index(now, vec![to.host]);
        let shows = served || outcome == AttemptOutcome::TimedOut;
        let arm = usize::from(self.phase_of(build) != Phase::Released);
        if shows && warm_up_fraction >= 1.0 && !sick && !slower {
            let new = LatencyBaseline {
                quick: time,
                least: time,
                before: None,
            };
            let low = self
                .state
                .latency_baselines
                .entry((place.0, place.1, arm))
                .or_insert(new);
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
        if !late || outcome == AttemptOutcome::Error || warm_up_fraction >= 1.0 {
            self.record_signal(build, operation, 0, !late, 1.0);
        }
        // A broken connection is its host's or its link's, not a build's own answer.
        if outcome != AttemptOutcome::Reset {
            self.record_signal(build, operation, 1, outcome != AttemptOutcome::Error, 1.0);
        }
        let quick = quick
            .filter(|_| shows)
            .map(|quick| served && time * warm_up_fraction <= quick);
        quick
            .into_iter()
            .for_each(|good| self.record_signal(build, operation, 2, good, 1.0));
    }

    /// A score adds eta to one figure; the earlier arm's weighs as the trial's, whose past is short.
    fn record_signal(
        &mut self,
        build: BuildId,
        operation: usize,
        mark: usize,
        good: bool,
        weight: f64,
    ) {
        let arm = usize::from(self.state.rollout.is_some_and(|news| build >= news.build));
        let place = operation % self.state.signal_slots * SIGNALS + mark;
        let weight = if arm == BASELINE {
            weight * self.state.baseline_weight
        } else {
            weight
        };
        self.state.evidence[place][arm][usize::from(!good)] +=
            f64::from(self.state.routers) * weight;
    }

    fn host_load(&self, host: &Host, weight: f64, now: f64) -> f64 {
        let far = if self.state.zone.is_some_and(|zone| zone != host.entry.zone) {
            FAR
        } else {
            0.0
        };
        // A host that keeps silent counts as slower the longer it does; holds against hangs and lost links.
        let longest = self
            .state
            .operations
            .iter()
            .map(|o| o.latency_objective)
            .fold(GUARD, f64::max);
        let silent =
            ((now - host.out.iter().copied().fold(now, f64::min)) / (SILENT * longest)).max(1.0);
        let speed = host.entry.size.max(GUARD) * self.state.warm_up_fraction(&host.entry, now);
        (host.out.len() as f64 / weight + 1.0 + far) * host.health.slowdown.max(0.5) * silent
            / speed
    }

    /// Worked out once for each group of hosts, however many are of it.
    fn requirements(&self, now: f64, request: &TrackedRequest) -> Requirements {
        let ((first, _), bound) = (
            self.first_effect(now, request),
            self.state.sticky_build(&request.key),
        );
        let repeats = self.state.operations[request.operation].group;
        let (mut room, mut arms) = (None, vec![]);
        for group in self.state.index.groups() {
            let build = group.build;
            let new_key = bound.is_none_or(|bound| bound < build);
            let may_return = bound.is_none_or(|bound| build >= bound);
            if room.is_none_or(|(of, _)| of != build) {
                room = Some((
                    build,
                    self.has_exposure_room(now, build, request.operation, new_key),
                ));
            }
            let room = room.is_some_and(|(_, room)| room);
            let same = first.is_none_or(|first| match repeats {
                IdempotencyScope::All => true,
                IdempotencyScope::Zone => first.zone == group.zone,
                IdempotencyScope::Cell => Some(first.cell) == group.cell,
            });
            // Clients may come with too little time left: no work is begun that not even quick answers meet.
            let low = self
                .state
                .latency_baselines
                .get(&(request.operation, group.kind, BASELINE));
            let least = low.map_or(0.0, |low| {
                (low.least * request.work).min(FIRST_WAIT[0] * (request.objective_at - now))
            });
            let of_pool = request
                .pool
                .as_ref()
                .is_none_or(|pool| pool.may_contain(group.zone, group.kind));
            if room && may_return && same && of_pool && now + least < request.limit {
                arms.push((*group, usize::from(self.phase_of(build) == Phase::Canary)));
            }
        }
        let tried = request.sent.iter().map(|s| s.to.host).collect();
        Requirements {
            arms,
            tried,
            pool: request.pool.clone(),
            revision: request.overrides.revision,
        }
    }

    fn candidate(
        &self,
        now: f64,
        wanted: &Requirements,
        h: &Host,
        weight: f64,
    ) -> Option<Candidate> {
        let arm = wanted.arm(&Group::of(&h.entry, self.state.idempotency_by_cell))?;
        let of_pool = wanted
            .pool
            .as_ref()
            .is_none_or(|pool| pool.contains(&h.entry));
        let (health, host) = (&h.health, h.entry.host);
        let doubtful =
            health.ejected_until > now || health.failure_rate > FAULTY && !h.out.is_empty();
        let tier = if wanted.tried.contains(&host) {
            2
        } else {
            u8::from(doubtful)
        };
        let warm_up_fraction = self.state.warm_up_fraction(&h.entry, now);
        let (share, warming_up) = (
            weight * h.entry.size * warm_up_fraction,
            warm_up_fraction < 1.0,
        );
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
        wanted: &Requirements,
        own: Option<Vec<EffectiveWeight>>,
    ) -> Candidates {
        let of = |h: &Host| self.candidate(now, wanted, h, h.weight);
        let of_id = |id: &HostId| self.state.hosts.get(id).and_then(|h| of(h));
        let named = wanted
            .pool
            .iter()
            .flat_map(|pool| &pool.hosts)
            .collect::<BTreeSet<_>>();
        let (mut counted, with_warming_up) = ([Sum::default(); 2], true);
        let listed = if let Some(own) = own {
            let own = self.state.usable().zip(own);
            own.filter_map(|(h, own)| self.candidate(now, wanted, h, own.weight))
                .collect()
        } else if !named.is_empty() {
            named.into_iter().filter_map(of_id).collect()
        } else if !self.keeps_to_pairs() {
            self.state.usable().filter_map(of).collect()
        } else {
            let (sums, tried) = self.state.index.settled(wanted);
            counted = sums;
            self.state
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

    fn select_endpoint(&mut self, now: f64, id: &RequestId) -> Option<HostId> {
        let request = self.state.requests.get(id)?;
        // An invocation is decided under the revision it came under; what was taken out since, is out.
        let own = (request.overrides.revision != self.state.overrides.revision).then(|| {
            let mut weighed = self.state.effective_weights(now, &request.overrides);
            apply_weights(&mut weighed, self.state.overload_multiple);
            weighed
        });
        let hash = |key: &KeyId| key.0.bytes().fold(0, |h, b| hash_mix(h ^ u64::from(b)));
        let (hash, wanted) = (
            request
                .key
                .as_ref()
                .filter(|_| self.state.key_affinity)
                .map(hash),
            self.requirements(now, request),
        );
        let mut open = self.candidates(now, &wanted, own);
        // Rule 4: of all routers a cold host gets by this draw its fair share of what succeeds, and no more.
        let weight = open.share(open.lowest_tier()?);
        let [good, all] = [self.state.success_rate, self.state.attempt_rate]
            .map(|rate| Self::decayed_rate(rate, now, 1.0).0);
        let fair = weight / self.state.largest_fleet.max(GUARD) * (good / all).min(1.0);
        if self.rng.random::<f64>() >= self.state.slow_start_allowance * fair {
            open.remove_warming_up();
        }
        let best = open.lowest_tier()?;
        let [e, t] = [BASELINE, CANARY]
            .map(|arm| self.least_loaded_of_two(now, (arm, best), &open, &wanted, hash));
        let [we, wt] = [BASELINE, CANARY].map(|arm| open.sum(arm, best).share);
        // When tight, the trial holds its machines' part of what is open: bound keys come again and again.
        let of_trial = self
            .state
            .usable()
            .filter(|h| self.phase_of(h.entry.build) == Phase::Canary);
        let held = || of_trial.map(|h| h.out.len()).sum::<usize>() as f64;
        let (out, tight) = (
            self.state.in_flight as f64,
            OPEN_PART[1] * self.state.in_flight_limit,
        );
        let t = t.filter(|_| {
            !self.state.sticky_keys
                || out <= tight
                || held() <= 1.0 + LEAN * self.state.canary_share * out
        });
        let (Some(_), Some(_)) = (e, t) else {
            return e.or(t);
        };
        let mut floor = wt / (we + wt).max(GUARD);
        if self.state.sticky_keys {
            let share = self
                .state
                .admitted
                .iter()
                .filter(|(.., bound)| *bound)
                .count() as f64;
            let share = share / (self.state.admitted.len() as f64).max(1.0);
            floor = if share > BOUND_ROOM[0] * floor {
                0.0
            } else {
                (floor - share) / (1.0 - share)
            };
        }
        // A won draw goes above the floor, not up to the cap: that would load a build into looking bad. While
        // the trial is far quicker it goes by all that came, not what is let in: slow hosts keep none idle.
        let quicker = self
            .relative_slowdown(BASELINE)
            .zip(self.relative_slowdown(CANARY))
            .is_some_and(|(e, t)| e > SLOWER * t);
        let let_in = if quicker {
            all / Self::decayed_rate(self.state.offered_rate, now, 1.0).0
        } else {
            1.0
        };
        let place = self.rng.random::<f64>();
        let won = place < LEAN * floor / let_in.clamp(GUARD, 1.0)
            && self.thompson_sample(CANARY) > self.thompson_sample(BASELINE);
        if place < floor || won { t } else { e }
    }

    fn thompson_sample(&mut self, arm: usize) -> f64 {
        let [up, down] = self.state.figures(&self.state.evidence, None, 0, arm);
        Beta::new(1.0 + up, 1.0 + down).map_or(0.5, |beta| beta.sample(&mut self.rng))
    }

    /// Hosts accept few connections: in a large fleet a router keeps to some pairs of them.
    fn keeps_to_pairs(&self) -> bool {
        CONNECTED * (1.0 + f64::from(self.state.routers) * self.state.traffic_share)
            < 4.0 * f64::from(self.state.routers)
    }

    /// The lesser in-flight of two random hosts; the key's hash names them where hosts know keys. A router
    /// keeps to as many pairs as its traffic keeps connected and known.
    fn least_loaded_of_two(
        &mut self,
        now: f64,
        (arm, tier): (usize, u8),
        open: &Candidates,
        wanted: &Requirements,
        hash: Option<u64>,
    ) -> Option<HostId> {
        let salt = hash.unwrap_or_else(|| self.rng.random());
        let (all, of_me) = (
            open.sum(arm, tier).hosts as f64,
            f64::from(self.state.routers) * self.state.traffic_share,
        );
        let pairs = CONNECTED * all * (1.0 + of_me) / (4.0 * f64::from(self.state.routers));
        let mine = hash_mix(u64::from(self.state.me.0) + 1) ^ (salt % pairs.max(1.0) as u64);
        let salt = if pairs < all { mine } else { salt };
        let two = if open.counted(arm, tier).hosts == 0 {
            highest_two(salt, open.listed(arm, tier).map(|of| (of.host, of.weight)))
        } else {
            let groups: Vec<_> = wanted
                .arms
                .iter()
                .filter(|of| of.1 == arm)
                .map(|of| of.0)
                .collect();
            let mut index = std::mem::take(&mut self.state.index);
            let two = index.highest_two(salt, &groups, |id| {
                let of = self
                    .state
                    .hosts
                    .get(&id)
                    .and_then(|h| self.candidate(now, wanted, h, h.weight));
                of.is_some_and(|of| of.tier == tier && (open.with_warming_up || !of.warming_up))
            });
            self.state.index = index;
            two
        };
        let known = two
            .into_iter()
            .filter_map(|(_, id)| self.state.hosts.get(&id));
        let weight = |h: &Host| open.weight(h.entry.host).unwrap_or(h.weight);
        let loads = known.map(|host| (self.host_load(host, weight(host), now), host.entry.host));
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    fn gossip_round(&mut self, now: f64, effects: &mut Vec<Effect>) {
        self.schedule(now + GOSSIP_EVERY, TimerEvent::Gossip, effects);
        let relent = |low: &LatencyBaseline| {
            low.before
                .map(|before| before + RELENT * (low.least - before).min(0.0))
        };
        self.state
            .latency_baselines
            .values_mut()
            .for_each(|low| low.before = relent(low));
        self.state.lost_fractions[1] -=
            RELENT / 4.0 * (self.state.lost_fractions[1] - self.state.lost_fractions[0]).max(0.0);
        self.refresh_weights(now);
        self.update_index(now, self.state.index.unsettled().collect());
        let kept = |h: &Host| {
            h.usable
                || h.next != StagedChange::Unchanged
                || !h.out.is_empty()
                || now - h.used < REMEMBERED
        };
        if self.state.hosts.len() > self.state.index.len() {
            self.state.hosts.retain(|_, h| kept(h));
        }
        let of_trial = self
            .state
            .index
            .sum(|build| self.phase_of(build) == Phase::Canary);
        let part = of_trial.share / self.state.index.sum(|_| true).share.max(GUARD);
        (self.state.canary_share, self.state.canary_hosts) = (part, of_trial.hosts as f64);
        self.state.baseline_weight = if part > 0.0 {
            (part / (1.0 - part).max(GUARD)).min(1.0)
        } else {
            1.0
        };
        let (fade, lives) = (
            0.5f64.powf(GOSSIP_EVERY / HALF_LIFE),
            self.state.baseline_is_listed(),
        );
        // Until the trial is listed the earlier arm's past is short: what comes and goes must show in both.
        let most = if part > 0.0 { f64::INFINITY } else { ENOUGH[0] };
        for [baseline, canary] in &mut self.state.evidence {
            let keep = (most / (baseline[0] + baseline[1]).max(GUARD)).min(fade);
            baseline
                .iter_mut()
                .filter(|_| lives)
                .for_each(|figure| *figure *= keep);
            canary.iter_mut().for_each(|figure| *figure *= fade);
        }
        if !self.state.may_gossip || self.state.routers == 1 {
            self.state.merged_evidence = self.state.evidence.clone();
        } else if self.state.rollout.is_some() {
            let other = self.rng.random_range(0..self.state.routers - 1);
            let peer = RouterId(other + u32::from(other >= self.state.me.0));
            self.state
                .gossip_sent
                .insert(peer, self.state.evidence.clone());
            effects.push(Effect::SendGossip {
                to: Some(peer),
                payload: self.state.message(false, self.own_slowdown()),
            });
        }
        self.update_traffic_share(now);
        self.decide_vote(now, effects);
    }

    fn on_gossip(&mut self, now: f64, from: RouterId, payload: &[u8], effects: &mut Vec<Effect>) {
        let Some(told) = Message::decode(payload).filter(|_| from != self.state.me) else {
            return;
        };
        self.state
            .last_heard
            .insert(from, (now, told.taken, told.drag.clamp(0.1, 10.0)));
        let of = self.state.rollout.map(|news| news.build);
        if of != Some(told.build) || told.sums.len() != 4 * self.state.evidence.len() {
            return;
        }
        let sight = self
            .state
            .merged_evidence
            .iter_mut()
            .flatten()
            .flatten()
            .zip(&told.sums);
        sight.for_each(|(seen, theirs)| *seen += SIGHT * (theirs - *seen));
        let mine = if told.reply {
            self.state.gossip_sent.remove(&from)
        } else {
            Some(self.state.evidence.clone())
        };
        if !told.reply {
            effects.push(Effect::SendGossip {
                to: Some(from),
                payload: self.state.message(true, self.own_slowdown()),
            });
        }
        let sums = self
            .state
            .evidence
            .iter_mut()
            .flatten()
            .flatten()
            .zip(&told.sums);
        if self.state.is_fresh && !told.fresh {
            // A restarted router takes a partner's figures whole: at Beta(1, 1) it would halve them.
            sums.for_each(|(sum, theirs)| *sum = *theirs);
            (self.state.is_fresh, self.state.merged_evidence) =
                (false, self.state.evidence.clone());
        } else if let (true, Some(mine)) = (self.state.is_fresh == told.fresh, mine) {
            // Half the difference of what was sent: outcomes that came in meanwhile survive.
            let sent = mine.iter().flatten().flatten();
            sums.zip(sent)
                .for_each(|((sum, theirs), sent)| *sum = (*sum + (theirs - sent) / 2.0).max(0.0));
        }
    }

    fn on_rollout_status(&mut self, now: f64, news: RolloutStatus, effects: &mut Vec<Effect>) {
        if news.answers_vote {
            let counted = matches!(
                news.outcome,
                AttemptOutcome::Succeeded | AttemptOutcome::Irrelevant
            );
            let may_stand = counted || news.outcome == AttemptOutcome::TimedOut;
            self.state.counted_vote = if may_stand {
                self.state.cast_vote
            } else {
                self.state.counted_vote
            };
            let spread = if self.state.is_large_fleet {
                0.5 + self.rng.random::<f64>()
            } else {
                1.0
            };
            self.state.recast_after = spread
                * ASK_AGAIN
                    .max(TURNS[0] * self.state.vote_turn)
                    .min(self.state.renew_every);
            self.advance_vote(
                now,
                if counted {
                    VoteInput::Counted
                } else {
                    VoteInput::Uncertain
                },
                effects,
            );
        }
        let old = self.state.rollout;
        if news.outcome != AttemptOutcome::Succeeded
            || old.is_some_and(|old| old.build > news.build)
        {
            return;
        }
        self.state.rollout = Some(news);
        let gone = matches!(news.phase, Phase::RollingBack | Phase::RolledBack);
        self.state
            .sticky_builds
            .retain(|_, build| !gone || *build != news.build);
        let same_build = old.is_some_and(|old| old.build == news.build);
        if !same_build {
            // The hash names the voters.
            let place = |router: u32| {
                (
                    hash_mix(hash_mix(u64::from(news.build.0)) ^ u64::from(router)),
                    router,
                )
            };
            let before = |other: &u32| place(*other) < place(self.state.me.0);
            self.state.voter_rank = (0..self.state.routers).filter(before).count() as u32;
            let released = old.is_some_and(|old| old.phase == Phase::Released);
            for [baseline, canary] in &mut self.state.evidence {
                (*baseline, *canary) = (if released { *canary } else { *baseline }, [0.0; 2]);
            }
            self.state.gossip_sent.clear();
            self.state.merged_evidence = self.state.evidence.clone();
            let [up, down] = self.state.figures(&self.state.evidence, None, 0, BASELINE);
            self.state.best_in_time = up / (up + down).max(1.0);
            self.state
                .latency_baselines
                .retain(|key, _| key.2 == BASELINE);
            self.state
                .latency_baselines
                .values_mut()
                .for_each(|low| low.before = old.map(|_| low.least));
            self.state.is_fresh =
                old.is_none() && news.phase == Phase::Canary && news.age > GOSSIP_EVERY;
        }
        if !same_build || old.is_some_and(|old| old.stage != news.stage || old.phase != news.phase)
        {
            self.state.previous_slowdown = if same_build {
                self.state.shared_slowdown
            } else {
                1.0
            };
            (self.state.stage_since, self.state.hold_time) = (now - news.age, 0.0);
            (self.state.desired_vote, self.state.desired_since) = (Vote::Abstain, now);
            self.advance_vote(now, VoteInput::News, effects);
        }
    }

    /// The chance that the trial is worse, by what peers told; the more routers, the more it comes in clumps.
    fn probability_worse(
        &self,
        slot: Option<usize>,
        mark: usize,
        enough: f64,
        part: f64,
    ) -> Option<f64> {
        let part = part / (1.0 + f64::from(self.state.routers) / CLUMPED);
        let arms = [BASELINE, CANARY].map(|arm| {
            self.state
                .figures(&self.state.merged_evidence, slot, mark, arm)
                .map(|f| part * f)
        });
        let [(em, ev), (tm, tv)] = arms.map(|[up, down]| {
            let (a, n) = (up + 1.0, up + down + 2.0);
            (a / n, a * (n - a) / (n * n * (n + 1.0)))
        });
        let spread = HOST_SPREAD[mark].powi(2) / self.state.canary_hosts.max(1.0);
        let z = (em - tm - MARGINS[mark]) / (ev + tv + spread).sqrt();
        arms.iter()
            .all(|[up, down]| up + down >= enough * part)
            .then(|| 1.0 / (1.0 + (-1.702 * z).exp()))
    }

    fn assess_canary(&mut self, now: f64, news: &RolloutStatus) -> Assessment {
        let live = self
            .state
            .last_heard
            .values()
            .filter(|heard| heard.0 > self.state.stage_since)
            .count();
        let heard = live >= self.state.last_heard.len().min(HEARD_PEERS);
        let (lives, released) = (
            self.state.baseline_is_listed(),
            news.phase == Phase::Released,
        );
        let pooled = self.probability_worse(None, 0, ENOUGH[0], 1.0);
        let firm = |slot, mark, enough| self.probability_worse(slot, mark, enough, EVIDENCE);
        let mut worse =
            lives && firm(None, 0, ENOUGH[0]).is_some_and(|chance| chance > BACK_CHANCE[0]);
        // One operation may fail alone, or a build be slow yet in time. Errors of a few hosts are theirs.
        let of_trial = || self.state.usable().filter(|h| h.entry.build >= news.build);
        let met = || of_trial().filter(|h| h.used > f64::MIN);
        let wide =
            met().filter(|h| h.health.failure_rate > MARGINS[1]).count() * WIDE >= met().count();
        for mark in (0..SIGNALS)
            .filter(|mark| *mark == 1 || lives && (*mark == 0 || !self.state.key_affinity))
        {
            let slots = (0..self.state.signal_slots).filter(|_| mark != 2);
            let each = slots.filter_map(|slot| firm(Some(slot), mark, ENOUGH[1]));
            let mut all = each.chain(firm(None, mark, ENOUGH[0]));
            worse |= (mark != 1 || wide) && all.any(|chance| chance > BACK_CHANCE[1]);
        }
        let latest = of_trial()
            .filter_map(|h| h.entry.started)
            .fold(self.state.stage_since, f64::max);
        // A stage's machines must run before it is moved on: some builds fail only then.
        let part = self
            .state
            .stage_shares
            .get(news.stage as usize)
            .filter(|_| !released)
            .copied()
            .unwrap_or(1.0);
        // Its places: all machines, or the earlier ones alone where those stay until the release.
        let of_builds = |of: &dyn Fn(BuildId) -> bool| self.state.index.sum(of).hosts;
        let (on_trial, all) = (
            of_builds(&|build| build >= news.build),
            of_builds(&|_| true),
        );
        let places = if self.state.baseline_stays {
            all - on_trial
        } else {
            all
        };
        let there = on_trial as f64 >= SETTLED[0] * part * places as f64;
        let settled =
            there && now - latest > SETTLED[1] || now - self.state.stage_since > SETTLED[2];
        // A build may slow both arms, which no comparison shows: the earlier hosts are slower than before.
        // Losses beyond what its machines explain are other trouble until it ends, as is a quicker trial.
        let [up, down] = self
            .state
            .figures(&self.state.evidence, None, 0, usize::from(!lives));
        let kept = up / (up + down).max(1.0);
        self.state.best_in_time += RELENT * (kept - self.state.best_in_time).max(0.0);
        let (drag, lost) = (
            self.state.shared_slowdown,
            1.0 + LOSS * (self.state.best_in_time - kept),
        );
        // Hosts that pause or are lost cost answers, and leave the quick times of all others as they were:
        // what a large fleet loses beside them holds a build for a while, but is not its drag.
        let harmed = drag.max(lost);
        let drag = if self.state.is_large_fleet && drag < DRAG_SHOWS {
            drag
        } else {
            harmed
        };
        let alike = !lives
            || self
                .relative_slowdown(CANARY)
                .is_none_or(|canary| canary > 1.0 + ALIKE * (drag - 1.0));
        let other =
            self.state.slowdown_unrelated || lost > 1.0 + DRAG_SPAN * self.state.canary_share;
        self.state.slowdown_unrelated = drag > DRAG[0] && other && !released;
        let grown = drag > 1.0 + DRAG_GROWS * (self.state.previous_slowdown - 1.0)
            && drag < 1.0 + DRAG_SPAN * part;
        let dragging =
            alike && grown && !self.state.slowdown_unrelated && drag > DRAG[usize::from(!lives)];
        self.state.slowdown_since = if dragging {
            self.state.slowdown_since
        } else {
            now
        };
        let since = now - self.state.slowdown_since;
        let harm = kept < self.state.best_in_time - MARGINS[0] || lives && drag > DRAG[2];
        // With no earlier host left, going back stops all for a while: it must outlast common troubles.
        let came = self.state.slowdown_since < latest + DRAG_HELD / 2.0;
        let long = since * drag / DRAG[3]
            > self.state.bake_scale * DRAG_BACK[usize::from(!lives || !came)];
        worse = worse && !released || harm && long && (came || !released);
        match pooled {
            _ if worse => Assessment::Worse,
            _ if released => Assessment::Starved,
            _ if dragging && (harm || since.min(now - latest) < DRAG_HELD) => {
                Assessment::SlowingAll
            }
            _ if harm && harmed > DRAG[0] && now - latest < self.state.bake_scale * DRAG_HELD => {
                Assessment::SlowingAll
            }
            _ if !settled => Assessment::Unclear,
            Some(chance) if heard && (chance < ON_CHANCE || !lives) => Assessment::Fine,
            Some(_) if heard => Assessment::Unclear,
            _ if now - latest > STARVED_ON => Assessment::Fine,
            _ => Assessment::Starved,
        }
    }

    fn relative_slowdown(&self, arm: usize) -> Option<f64> {
        let least = |place: &(usize, KindId, usize)| {
            Some(
                self.state
                    .latency_baselines
                    .get(&(place.0, place.1, arm))?
                    .least,
            )
        };
        let known = self
            .state
            .latency_baselines
            .iter()
            .filter_map(|(place, low)| Some((least(place)? / low.before?).ln()));
        let (sum, count) = known.fold((0.0, 0.0f64), |(sum, count), log| (sum + log, count + 1.0));
        (count > 0.0).then(|| (sum / count).exp())
    }

    fn own_slowdown(&self) -> f64 {
        let on_trial = self
            .state
            .rollout
            .is_some_and(|news| news.phase == Phase::Canary);
        self.relative_slowdown(usize::from(on_trial && !self.state.baseline_is_listed()))
            .unwrap_or(1.0)
    }

    /// Its share of the traffic and the drag all see, from a sample of peers: its size tells how many live.
    fn update_traffic_share(&mut self, now: f64) {
        self.state
            .last_heard
            .retain(|_, heard| now - heard.0 < PEER_LIVES);
        let mine = (self.state.admitted.len() as f64).max(1.0);
        let (peers, heard) = (
            f64::from(self.state.routers - 1).max(GUARD),
            2.0 * PEER_LIVES / GOSSIP_EVERY,
        );
        let reached = peers * (1.0 - (-heard / peers).exp());
        let live = peers * (self.state.last_heard.len() as f64 / reached).min(1.0);
        let weights = self
            .state
            .last_heard
            .values()
            .map(|heard| heard.1)
            .sum::<f64>();
        let others = live * weights / (self.state.last_heard.len() as f64).max(1.0);
        let drags = self
            .state
            .last_heard
            .values()
            .map(|heard| heard.1 * heard.2.ln())
            .sum::<f64>();
        self.state.traffic_share = mine / (mine + others);
        self.state.shared_slowdown =
            ((mine * self.own_slowdown().ln() + drags) / (mine + weights)).exp();
    }

    fn decide_vote(&mut self, now: f64, effects: &mut Vec<Effect>) {
        let judged = |news: &RolloutStatus| matches!(news.phase, Phase::Canary | Phase::Released);
        let Some(news) = self.state.rollout.filter(judged) else {
            return;
        };
        let look = self.assess_canary(now, &news);
        self.state.worse_since = if look == Assessment::Worse {
            self.state.worse_since
        } else {
            now
        };
        let firm = look != Assessment::Worse || now - self.state.worse_since >= BACK_FIRM;
        let look = if firm { look } else { Assessment::Unclear };
        // Operators' wishes stand beside the figures: the more careful counts, at once and at any rank.
        let asked = self
            .state
            .override_of(news.build)
            .filter(|wish| wish.roll_back || wish.hold && look != Assessment::Worse);
        let look = asked.map_or(look, |wish| {
            if wish.roll_back {
                Assessment::Worse
            } else {
                Assessment::SlowingAll
            }
        });
        let row = DESIRED_VOTES.iter().find(|row| row.0 == look);
        let of = |row: &(_, _, _)| if self.state.clock_gated { row.2 } else { row.1 };
        let mut wish = row.and_then(of).unwrap_or(self.state.desired_vote);
        if wish == Vote::Hold && asked.is_none() {
            self.state.hold_time += GOSSIP_EVERY;
            wish = if self.state.hold_time > HOLD_MOST {
                Vote::Abstain
            } else {
                wish
            };
        }
        (self.state.desired_vote, self.state.desired_since) = (
            wish,
            if wish == self.state.desired_vote {
                self.state.desired_since
            } else {
                now
            },
        );
        // While a wish of the voters stays unmet the next stand in: some may be dead or cut off.
        let beyond = f64::from((self.state.voter_rank + 1).saturating_sub(self.state.voters));
        let late = (beyond * f64::from(VOTERS) / f64::from(self.state.voters)).ceil() * STAND_IN;
        // Nothing is said where nothing stands, nor is a wish taken back that may return: in a large fleet
        // calls for nothing fill the platform, and some of half the voters doubt at any time.
        let turn = TURNS[1] * self.state.vote_turn;
        let open = self.state.vote_state == VoteState::Pending && now - self.state.cast_at < turn;
        let nothing = [wish, self.state.counted_vote] == [Vote::Abstain; 2]
            && self.state.vote_state != VoteState::Pending;
        let firm = wish != Vote::Abstain || now - self.state.desired_since >= turn.min(WITHDRAW);
        let wait = if self.state.vote_state == VoteState::NoVote {
            self.state.recast_after
        } else {
            self.state.renew_every
        };
        let changed = wish != self.state.cast_vote && firm && (!open || wish == Vote::RollBack);
        let due = changed || now - self.state.cast_at >= wait;
        if !nothing && due && (asked.is_some() || now - self.state.desired_since >= late) {
            self.advance_vote(now, VoteInput::Due, effects);
        }
    }

    fn advance_vote(&mut self, now: f64, push: VoteInput, effects: &mut Vec<Effect>) {
        let Some(row) = VOTE_TRANSITIONS
            .iter()
            .find(|row| row.0 == self.state.vote_state && row.1 == push)
        else {
            return;
        };
        self.state.vote_state = row.2;
        if push == VoteInput::News {
            (self.state.cast_vote, self.state.counted_vote) = (Vote::Abstain, Vote::Abstain);
        }
        if let (true, Some(news)) = (row.3, self.state.rollout) {
            let renewal = self.state.cast_vote == self.state.desired_vote;
            (self.state.cast_vote, self.state.cast_at) = (self.state.desired_vote, now);
            effects.push(Effect::CastVote {
                build: news.build,
                stage: news.stage,
                vote: self.state.desired_vote,
            });
            if !renewal
                && (self.state.desired_vote == Vote::RollBack || self.state.voter_rank < VOTERS)
            {
                effects.push(Effect::WriteLog {
                    text: self.state.reasons(&news, [BASELINE, CANARY]),
                });
            }
        }
    }
}
