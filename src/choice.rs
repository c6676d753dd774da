//! Every decision of a router: which build and host an invocation goes to, what follows a failed dispatch, and
//! the vote on a build on trial. Invoked as `Router::start(terms, seed, now)`, then
//! `handle(now, event, &mut effects)` for each event in its order; `src/interface.rs` has the interface, and
//! `docs/design.md` the sources and reasons.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Beta, Distribution};

use crate::interface::*;

// The mechanism.
const SWAP_EVERY: f64 = 0.2; // s; a few swaps a stage with every peer, at a small price in messages
const HALF_LIFE: f64 = 5.0; // s; figures fade, about one stage long, so that late failures and old zeros show
const VOTERS: u32 = 3; // routers; few enough to agree soon, more than one may be dead
const HEARD_PEERS: usize = 10; // peers heard this stage before judging, or all that live
const PEER_LIVES: f64 = 2.5; // s without word before a peer is taken for dead; a dozen swaps missed
const ENOUGH: f64 = 20.0; // outcomes before a build is judged
const ENOUGH_OF_ONE: f64 = 12.0; // outcomes of one operation before it is judged by itself
const BACK_CHANCE: f64 = 0.95; // vote back above this chance of being worse by over the margin
const ON_CHANCE: f64 = 0.2; // vote on below it
const MARGINS: [f64; MARKS] = [0.05, 0.02, 0.05]; // of SLO time kept, of plain errors, of usual pace
const STARVED_ON: f64 = 3.0; // s after the stage's latest listed start: vote on with too few samples
const HOLD_MOST: f64 = 2.0; // s a stage that a clock is held
const RENEW_EVERY: f64 = 5.0; // s; also never over 0.8 of a ballot's life
const ASK_AGAIN: f64 = 0.5; // s after a vote that found the platform full
const STAND_IN: f64 = 1.5; // s that a wish goes unmet before the next router by hash votes too
const LEAN: f64 = 1.25; // times its machines' share that the trial may get by won draws
const BACK_FIRM: f64 = 0.7; // s that a build keeps looking worse before the vote: some swaps, so that figures mix
const SURE: f64 = 0.97; // the back chance where one operation, or the pace, speaks alone
const EVIDENCE: f64 = 0.5; // outcomes that a merged one is worth: swaps mix unevenly, and eta swells the odd one
const DRAG: [f64; 2] = [1.3, 1.6]; // times as slow as before the trial: on trial no vote on, released perhaps back
const DRAG_BACK: [f64; 2] = [8.0, 16.0]; // s of it before voting back: when it came with a stage, when it did not
const RELENT: f64 = 0.04; // a swap period, of the way down to a lower level; five seconds in all
const SETTLED_PART: f64 = 0.9; // of a stage's machines listed, before a vote on
const SETTLED: [f64; 2] = [1.2, 9.0]; // s after the latest start, or after the stage began, before a vote on
const LOW: [f64; 2] = [0.4, 0.12]; // quantiles of times: what counts as quick, and what shows slowness without queues
const LOW_STEP: f64 = 0.08; // step of both, of their size: some forty dispatches
// Hosts.
const USUAL_WEIGHT: f64 = 0.03; // weight of a new time in the usual time: some thirty dispatches
const HOST_WEIGHT: f64 = 0.15; // weight of a new outcome in a host's own figures: some six dispatches
const FAULTY: f64 = 0.3; // share of a host's dispatches come to nothing, above its build's others: set aside
const SLOWER: f64 = 1.6; // times the pace of its build's others: a slow host, not a slow service
const ASIDE: [f64; 2] = [1.0, 6.0]; // s set aside at first, and at most, doubling
const SILENT: f64 = 4.0; // times the usual time without an answer before a host is passed over
const COLD_SPEND: f64 = 1.6; // times its fair share that a cold host may get; at most half the fall multiple
const PACE_TIME: f64 = 4.0; // s over which the rate of succeeded dispatches is taken; longer than a short jam
const COLD_SPARE: f64 = 1.0; // dispatches in the fall time beside that, so that a small router reaches it
const FAR: f64 = 0.3; // in-flight dispatches that another zone counts for; breaks ties towards the near
// Invocations.
const FIRST_WAIT: f64 = 0.5; // of the time left to the SLO, before a further dispatch
const FIRST_PACE: f64 = 3.0; // times the usual time waited at least, before a further dispatch
const FURTHER: f64 = 0.1; // further dispatches an invocation taken, so that retries never double a load
const FURTHER_SAVED: f64 = 10.0; // further dispatches saved up at most
const OPEN_FIRST: f64 = 200.0; // dispatches open at once at first and at most
const OPEN_LEAST: f64 = 3.0; // dispatches open a host, of all routers, at the least: some two cores kept busy
const OPEN_LEAN: f64 = 0.85; // of the bound, for operations that earn little: the rest always finds room
const OPEN_COPY: f64 = 0.6; // of the bound, for second copies
const OPEN_LESS: f64 = 0.5; // fewer for each late answer
const OPEN_MORE: f64 = 0.1; // more for each timely one: settles where one answer in six is late
const ADVICE: f64 = 0.4; // s that a throttled client is asked to stay away, up to twice that
const BOUND_ROOM: f64 = 0.6; // of the cap that keys bound to the trial build may take before new ones stop
const REFOLLOW: [f64; 2] = [0.3, 2.0]; // s before asking for the list again, at first and at most
const GUARD: f64 = 0.01; // s added to every window kept, for the ticks between two clocks

const MARKS: usize = 3; // kept the SLO time, had no plain error, kept the pace
const SLOTS: usize = 4; // operations told apart in a message; more share a slot
const EARLIER: usize = 0;
const TRIAL: usize = 1;

/// What an invocation's earlier dispatches may have done.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Trace {
    Clean,
    MayHaveRun,
    Forgotten,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Idempotent,
    Fingerprinted,
    SideEffecting,
}

/// Kind of operation, trace of its dispatches: may it be dispatched again (in the group of the first that may
/// have run), and may it be throttled. Guards rule 2.
const AGAIN: [(Kind, Trace, bool, bool); 9] = [
    (Kind::Idempotent, Trace::Clean, true, true),
    (Kind::Idempotent, Trace::MayHaveRun, true, true),
    (Kind::Idempotent, Trace::Forgotten, true, true),
    (Kind::Fingerprinted, Trace::Clean, true, true),
    (Kind::Fingerprinted, Trace::MayHaveRun, true, true),
    (Kind::Fingerprinted, Trace::Forgotten, false, false),
    (Kind::SideEffecting, Trace::Clean, true, true),
    (Kind::SideEffecting, Trace::MayHaveRun, false, false),
    (Kind::SideEffecting, Trace::Forgotten, false, false),
];

#[derive(Clone, Copy, PartialEq, Eq)]
enum Look {
    Worse,
    Fine,
    Unclear,
    Starved,
    Overdue,
}

/// Whether a clock moves the build, what the merged figures say: the vote wished for; None keeps the last wish.
const WISHES: [(bool, Look, Option<Sense>); 10] = [
    (false, Look::Worse, Some(Sense::Back)),
    (false, Look::Fine, Some(Sense::On)),
    (false, Look::Overdue, Some(Sense::On)),
    (false, Look::Unclear, None),
    (false, Look::Starved, None),
    (true, Look::Worse, Some(Sense::Back)),
    (true, Look::Fine, Some(Sense::None)),
    (true, Look::Overdue, Some(Sense::None)),
    (true, Look::Unclear, Some(Sense::Hold)),
    (true, Look::Starved, Some(Sense::None)),
];

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Ballot {
    #[default]
    Silent,
    Asked,
    Stands,
}

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

struct Operation {
    slo: f64,
    late_is_worthless: bool,
    /// Earns less than half of what the best operation earns for its time.
    lean: bool,
    kind: Kind,
    group: RepeatGroup,
    window: f64,
}

/// The one record of a host.
struct Host {
    entry: HostEntry,
    usable: bool,
    /// Send times of the dispatches that are out.
    out: Vec<f64>,
    /// Send times within the fall time.
    sent: VecDeque<f64>,
    faults: f64,
    pace: f64,
    aside_until: f64,
    aside_for: f64,
}

#[derive(Clone, Copy)]
struct Sent {
    work: f64,
    host: HostId,
    build: BuildId,
    at: f64,
    out: bool,
    may_have_run: bool,
    scored: bool,
}

struct Inv {
    operation: usize,
    key: Option<KeyId>,
    work: f64,
    slo_at: f64,
    limit: f64,
    sent: Vec<Sent>,
    over: bool,
}

/// Low quantiles of times, for each unit of expected work.
struct Low {
    /// Divides quick answers from others.
    pace: f64,
    /// Shows slowness but hardly queues, now and before the trial.
    least: f64,
    before: Option<f64>,
}

/// What a peer last told.
struct Heard {
    at: f64,
    taken: f64,
    drag: f64,
}

enum Task {
    Swap,
    Follow,
    Further(InvId),
}

/// The terms as decisions use them.
struct Derived {
    me: RouterId,
    routers: u32,
    zone: Option<ZoneId>,
    operations: Vec<Operation>,
    list_asked: bool,
    by_clock: bool,
    stage_shares: Vec<f64>,
    voters: u32,
    renew_every: f64,
    first_cap: f64,
    window: f64,
    spare: f64,
    by_operation: bool,
    guarded_stages: u32,
    keys_bound: bool,
    keys_warm: bool,
    dispute_weight: f64,
    cold_share: f64,
    cold_time: f64,
    cold_spend: f64,
    fall_time: f64,
    may_tell: bool,
    may_copy: bool,
    advice: Option<f64>,
    most_dispatches: usize,
    slots: usize,
    tick: f64,
}

#[derive(Default)]
struct State {
    hosts: BTreeMap<HostId, Host>,
    invs: BTreeMap<InvId, Inv>,
    alarms: BTreeMap<u64, Task>,
    next_alarm: u64,
    follow_wait: f64,
    /// The largest size that was ever listed at once.
    fleet: f64,
    /// Succeeded dispatches a second, fading, as of a time.
    pace: (f64, f64),
    open: usize,
    open_most: f64,
    usual: BTreeMap<(usize, KindId), f64>,
    /// By operation, kind of machine and arm.
    low: BTreeMap<(usize, KindId, usize), Low>,
    drag_since: f64,
    /// Invocations taken and dispatches at trial builds, within the exposure window.
    taken: VecDeque<(f64, usize, bool)>,
    exposed: VecDeque<(f64, BuildId, usize)>,
    bound: BTreeMap<KeyId, BuildId>,
    further: f64,
    news: Option<StageNews>,
    stage_since: f64,
    /// For each slot, mark, arm: what alpha and beta have above Beta(1, 1).
    sums: Vec<f64>,
    /// The figures as last sent to a peer, and when one was last heard.
    swaps: BTreeMap<RouterId, Vec<f64>>,
    heard: BTreeMap<RouterId, Heard>,
    fresh: bool,
    ballot: Ballot,
    ballot_sense: Sense,
    ballot_at: f64,
    wish: Sense,
    wish_since: f64,
    worse_since: f64,
    held: f64,
}

/// One router's decisions.
pub struct Router {
    t: Derived,
    s: State,
    rng: ChaCha8Rng,
}

impl Router {
    pub fn start(terms: ServiceTerms, seed: u64, now: f64) -> Self {
        let earns = |o: &OperationTerms| o.billed_value / if terms.billed_by_work { 1.0 } else { o.slo_time };
        let best = terms.operations.iter().map(earns).fold(0.0, f64::max);
        let operations = terms.operations.iter().map(|o| {
            let (kind, group, window) = match o.repeats {
                Repeats::Idempotent => (Kind::Idempotent, RepeatGroup::All, f64::INFINITY),
                Repeats::Fingerprinted { group, window } => (Kind::Fingerprinted, group, window),
                Repeats::SideEffecting => (Kind::SideEffecting, RepeatGroup::All, 0.0),
            };
            let lean = earns(o) < 0.5 * best;
            Operation { slo: o.slo_time, late_is_worthless: o.late_share <= 0.0, lean, kind, group, window }
        });
        let needed = match terms.gate {
            Gate::Any => 1,
            Gate::Share => terms.votes_on.max(terms.votes_back),
            Gate::Clock => terms.votes_back.max(terms.votes_hold),
        };
        let slots = terms.operations.len().clamp(1, SLOTS);
        let t = Derived {
            me: terms.me,
            routers: terms.routers.max(1),
            zone: terms.zone,
            operations: operations.collect(),
            list_asked: terms.list_asked,
            stage_shares: terms.stage_shares,
            by_clock: terms.gate == Gate::Clock,
            voters: VOTERS.max(needed),
            renew_every: RENEW_EVERY.min(0.8 * terms.ballot_life),
            first_cap: terms.stage_caps.first().copied().unwrap_or(0.0),
            window: terms.exposure_window + terms.tick.max(GUARD),
            spare: terms.exposure_spare,
            by_operation: terms.exposure_by_operation,
            guarded_stages: terms.guarded_stages,
            keys_bound: terms.keys_bound,
            keys_warm: terms.keys_warm,
            dispute_weight: if terms.dispute_share > 0.0 { 1.0 / terms.dispute_share } else { 0.0 },
            cold_share: terms.cold_share,
            cold_time: terms.cold_time.max(GUARD),
            cold_spend: COLD_SPEND.min(0.5 * terms.fall_multiple),
            fall_time: terms.fall_time + terms.tick.max(GUARD),
            may_tell: terms.may_tell,
            may_copy: terms.may_copy,
            advice: terms.may_advise.then_some(terms.longest_advice),
            most_dispatches: terms.most_dispatches.max(1) as usize,
            slots,
            tick: terms.tick.max(GUARD),
        };
        let s = State {
            follow_wait: REFOLLOW[0],
            pace: (0.0, now),
            open_most: OPEN_FIRST,
            further: FURTHER_SAVED / 2.0,
            stage_since: now,
            sums: vec![0.0; slots * MARKS * 4],
            ..State::default()
        };
        Router { t, s, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    pub fn handle(&mut self, now: f64, event: Event, effects: &mut Vec<Effect>) {
        if self.s.next_alarm == 0 {
            let first = now + SWAP_EVERY * self.rng.random::<f64>();
            self.set_alarm(first, Task::Swap, effects);
            if self.t.list_asked {
                effects.push(Effect::Follow { on: true });
            }
        }
        match event {
            Event::Hosts { scope, entries } => self.list(now, scope, &entries),
            Event::ListFailed => self.list_failed(now, effects),
            Event::Arrived(inv) => self.arrived(now, inv, effects),
            Event::Ended { inv, dispatch, verdict, took, over, .. } => {
                self.ended(now, inv, dispatch, verdict, took, over, effects)
            }
            Event::ClientLeft { inv } => self.close(&inv),
            Event::Streaming { .. } => {}
            Event::Alarm { key } => match self.s.alarms.remove(&key.0) {
                Some(Task::Swap) => self.beat(now, effects),
                Some(Task::Follow) => effects.push(Effect::Follow { on: true }),
                Some(Task::Further(inv)) => self.further_copy(now, inv, effects),
                None => {}
            },
            Event::Told { from, payload } => self.told(now, from, &payload, effects),
            Event::Stage(news) => self.stage(now, news, effects),
            Event::Disputed { host, operation, .. } => {
                if let Some(build) = self.s.hosts.get(&host).map(|h| h.entry.build) {
                    self.score(build, operation.0, 1, false, self.t.dispute_weight);
                }
            }
            Event::Tally { .. } | Event::Probed { .. } => {}
        }
    }

    fn set_alarm(&mut self, at: f64, task: Task, effects: &mut Vec<Effect>) {
        self.s.next_alarm += 1;
        self.s.alarms.insert(self.s.next_alarm, task);
        effects.push(Effect::SetAlarm { at, key: AlarmKey(self.s.next_alarm) });
    }

    // ---- the host list

    fn list(&mut self, now: f64, scope: ListScope, entries: &[HostEntry]) {
        self.s.follow_wait = REFOLLOW[0];
        if scope != ListScope::Changes {
            self.s.hosts.values_mut().for_each(|h| h.usable = false);
        }
        for entry in entries {
            let new = Host {
                entry: *entry,
                usable: false,
                out: Vec::new(),
                sent: VecDeque::new(),
                faults: 0.0,
                pace: 1.0,
                aside_until: 0.0,
                aside_for: ASIDE[0],
            };
            let host = self.s.hosts.entry(entry.host).or_insert(new);
            if host.entry.started != entry.started || host.entry.build != entry.build {
                // A restart, or a new machine under a used id, starts with a clean record.
                (host.faults, host.pace, host.aside_until, host.aside_for) = (0.0, 1.0, 0.0, ASIDE[0]);
            }
            host.entry = *entry;
            host.usable = entry.state == HostState::Running;
        }
        let size = self.s.hosts.values().filter(|h| h.usable).map(|h| h.entry.size).sum::<f64>();
        self.s.fleet = self.s.fleet.max(size);
        self.s
            .hosts
            .retain(|_, h| h.usable || !h.out.is_empty() || h.sent.back().is_some_and(|s| now - s < 60.0));
    }

    fn list_failed(&mut self, now: f64, effects: &mut Vec<Effect>) {
        if self.t.list_asked {
            // A subscription that broke would count as told; ask again soon, spread and slower each time.
            let wait = self.s.follow_wait * (0.5 + self.rng.random::<f64>());
            self.s.follow_wait = (2.0 * self.s.follow_wait).min(REFOLLOW[1]);
            self.set_alarm(now + wait, Task::Follow, effects);
        }
    }

    fn warmth(&self, host: &Host, now: f64) -> f64 {
        let age = host.entry.started.map_or(f64::INFINITY, |started| now - started);
        self.t.cold_share + (1.0 - self.t.cold_share) * (age / self.t.cold_time.max(0.001)).clamp(0.0, 1.0)
    }

    /// Rule 4: all routers keep to a like share of what a cold host can do, so their sum stays under the fall.
    fn cold_room(&self, host: &Host, now: f64) -> bool {
        let warmth = self.warmth(host, now);
        if warmth >= 1.0 {
            return true;
        }
        let sent = host.sent.iter().filter(|at| now - **at < self.t.fall_time).count() as f64;
        let fair = self.pace_now(now) * self.t.fall_time * host.entry.size / self.s.fleet.max(0.001);
        sent < COLD_SPARE + self.t.cold_spend * warmth * fair
    }

    // ---- exposure

    fn phase(&self, build: BuildId) -> Phase {
        match self.s.news {
            Some(news) if build < news.build => Phase::Released,
            Some(news) if build == news.build => news.phase,
            Some(_) => Phase::OnTrial,
            // Before any news, only the lowest listed build is known to be no later one.
            None => {
                let lowest = self.s.hosts.values().filter(|h| h.usable).map(|h| h.entry.build).min();
                if lowest.is_none_or(|low| build <= low) { Phase::Released } else { Phase::Withdrawn }
            }
        }
    }

    /// Rule 5: whether one more dispatch at this build stays within its cap.
    fn exposure_room(&self, now: f64, build: BuildId, operation: usize, fresh_key: bool) -> bool {
        let phase = self.phase(build);
        if phase == Phase::Released {
            return true;
        }
        let news = self.s.news.filter(|news| news.build == build);
        let (cap, stage) = news.map_or((self.t.first_cap, 0), |news| (news.cap, news.stage));
        let guarded = stage < self.t.guarded_stages && self.t.operations[operation].kind != Kind::Idempotent;
        if phase != Phase::OnTrial || cap <= 0.0 || guarded {
            return false;
        }
        let counts = |o: usize| !self.t.by_operation || o == operation;
        let kept = self.t.window - 2.0 * self.t.tick;
        let taken = self.s.taken.iter().filter(|(at, o, _)| now - at < kept && counts(*o)).count() as f64;
        let sent = self.s.exposed.iter().filter(|(_, b, o)| *b == build && counts(*o)).count() as f64;
        if fresh_key && self.t.keys_bound && cap < 1.0 {
            // Bound keys must go to the trial build; new ones only where those leave room.
            let bound =
                self.s.taken.iter().filter(|(at, o, b)| now - at < kept && counts(*o) && *b).count() as f64;
            if bound >= BOUND_ROOM * cap * taken || sent + 1.0 > 0.85 * cap * taken + self.t.spare / 2.0 {
                return false;
            }
        }
        sent + 1.0 <= self.t.spare + cap * taken
    }

    fn forget(&mut self, now: f64) {
        while self.s.taken.front().is_some_and(|(at, ..)| now - at > self.t.window) {
            self.s.taken.pop_front();
        }
        while self.s.exposed.front().is_some_and(|(at, ..)| now - at > self.t.window) {
            self.s.exposed.pop_front();
        }
    }

    fn bound_to(&self, key: &Option<KeyId>) -> Option<BuildId> {
        key.as_ref().and_then(|key| self.s.bound.get(key)).copied()
    }

    // ---- invocations

    fn arrived(&mut self, now: f64, inv: Invocation, effects: &mut Vec<Effect>) {
        let Some(operation) = self.t.operations.get(inv.operation.0) else {
            return effects.push(Effect::Throttle { inv: inv.id, stay_away: None });
        };
        let limit = now + inv.time_left;
        let slo_at = now + operation.slo;
        self.forget(now);
        self.s.further = (self.s.further + FURTHER).min(FURTHER_SAVED);
        let bound = self.bound_to(&inv.key).is_some_and(|build| self.phase(build) == Phase::OnTrial);
        self.s.taken.push_back((now, inv.operation.0, bound));
        let record = Inv {
            operation: inv.operation.0,
            key: inv.key,
            work: inv.work.unwrap_or(1.0),
            slo_at,
            limit,
            sent: Vec::new(),
            over: false,
        };
        self.s.invs.insert(inv.id.clone(), record);
        self.dispatch_or_end(now, &inv.id, false, effects);
    }

    /// Trace of an invocation's dispatches, and the first of them that may have run.
    fn trace(&self, now: f64, inv: &Inv) -> (Trace, Option<(f64, HostId)>) {
        let first = inv.sent.iter().find(|s| s.out || s.may_have_run).map(|s| (s.at, s.host));
        let window = self.t.operations[inv.operation].window - 2.0 * self.t.tick;
        match first {
            None => (Trace::Clean, None),
            Some((at, _)) if now - at < window => (Trace::MayHaveRun, first),
            Some(_) => (Trace::Forgotten, first),
        }
    }

    /// Whether it may be dispatched again, and whether it may be throttled.
    fn may(&self, now: f64, inv: &Inv) -> (bool, bool) {
        let (kind, (trace, _)) = (self.t.operations[inv.operation].kind, self.trace(now, inv));
        let row = AGAIN.iter().find(|row| row.0 == kind && row.1 == trace);
        let group_all = self.t.operations[inv.operation].group == RepeatGroup::All;
        row.map_or((false, false), |row| (row.2, row.3 && (trace == Trace::Clean || group_all)))
    }

    /// Sends the next dispatch; where there is none to send, the final answer goes out at once (rule 1).
    fn dispatch_or_end(&mut self, now: f64, id: &InvId, copy: bool, effects: &mut Vec<Effect>) {
        let Some(inv) = self.s.invs.get(id) else { return };
        let operation = &self.t.operations[inv.operation];
        let out = inv.sent.iter().any(|s| s.out);
        let (again, throttle) = self.may(now, inv);
        let end = if operation.late_is_worthless { inv.limit.min(inv.slo_at) } else { inv.limit };
        let timely = end - now > 2.0 * self.t.tick;
        let paid = inv.sent.iter().all(|s| !s.out && !s.may_have_run) || self.s.further >= 1.0;
        let more = inv.sent.len() < self.t.most_dispatches && (!out || (copy && self.t.may_copy));
        let free = !inv.sent.is_empty();
        // When it gets tight, what earns least for its time goes first, and copies before anything.
        let part = if copy {
            OPEN_COPY
        } else if operation.lean {
            OPEN_LEAN
        } else {
            1.0
        };
        let admitted = self.s.open as f64 <= self.s.open_most * part;
        if again
            && timely
            && paid
            && more
            && admitted
            && let Some(host) = self.choose(now, id)
        {
            if free {
                self.s.further -= 1.0;
            }
            self.send(now, id, host, end, effects);
        } else if !out {
            self.close(id);
            if throttle {
                let advice = self.t.advice;
                let wait = ADVICE * (1.0 + self.rng.random::<f64>());
                effects
                    .push(Effect::Throttle { inv: id.clone(), stay_away: advice.map(|most| wait.min(most)) });
            } else {
                effects.push(Effect::Terminate { inv: id.clone() });
            }
        }
    }

    fn send(&mut self, now: f64, id: &InvId, host: HostId, end: f64, effects: &mut Vec<Effect>) {
        let (Some(inv), Some(h)) = (self.s.invs.get_mut(id), self.s.hosts.get_mut(&host)) else { return };
        let operation = &self.t.operations[inv.operation];
        let usual = self.s.usual.get(&(inv.operation, h.entry.kind)).copied().unwrap_or(0.2 * operation.slo);
        let wait = (FIRST_WAIT * (inv.slo_at - now)).max(FIRST_PACE * usual);
        let repeatable = operation.kind != Kind::SideEffecting && inv.sent.len() + 1 < self.t.most_dispatches;
        let mut time_out = end - now;
        let mut look_again = None;
        if repeatable && now + wait < end.min(inv.slo_at) - 0.5 * usual {
            if self.t.may_copy {
                look_again = Some(now + wait);
            } else {
                time_out = wait;
            }
        }
        let build = h.entry.build;
        let scored = h.aside_until <= now;
        self.s.open += 1;
        inv.sent.push(Sent { work: inv.work, host, build, at: now, out: true, may_have_run: false, scored });
        h.out.push(now);
        h.sent.push_back(now);
        while h.sent.front().is_some_and(|at| now - at > self.t.fall_time) {
            h.sent.pop_front();
        }
        if self.phase(build) != Phase::Released {
            let operation = self.s.invs[id].operation;
            self.s.exposed.push_back((now, build, operation));
        }
        effects.push(Effect::Dispatch { inv: id.clone(), host, time_out });
        if let Some(at) = look_again {
            self.set_alarm(at, Task::Further(id.clone()), effects);
        }
    }

    /// Succeeded dispatches a second: what hosts take, where dispatches sent would count an overload too.
    fn pace_now(&self, now: f64) -> f64 {
        self.s.pace.0 * (-(now - self.s.pace.1) / PACE_TIME).exp()
    }

    fn further_copy(&mut self, now: f64, id: InvId, effects: &mut Vec<Effect>) {
        if self.s.invs.get(&id).is_some_and(|inv| !inv.over && inv.sent.iter().filter(|s| s.out).count() == 1)
        {
            self.dispatch_or_end(now, &id, true, effects);
        }
    }

    /// No answer is owed any more; the record stays while a dispatch is out.
    fn close(&mut self, id: &InvId) {
        if let Some(inv) = self.s.invs.get_mut(id) {
            inv.over = true;
            if inv.sent.iter().all(|s| !s.out) {
                self.s.invs.remove(id);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        now: f64,
        id: InvId,
        number: DispatchNo,
        verdict: Verdict,
        took: f64,
        over: bool,
        effects: &mut Vec<Effect>,
    ) {
        let Some(inv) = self.s.invs.get_mut(&id) else { return };
        let Some(sent) = inv.sent.get_mut(number.0 as usize).filter(|s| s.out) else { return };
        let never_ran = matches!(verdict, Verdict::Full | Verdict::NoConnection | Verdict::Moot);
        sent.out = false;
        self.s.open -= 1;
        sent.may_have_run = !never_ran;
        let (sent, build) = (*sent, sent.build);
        let (operation, key) = (inv.operation, inv.key.clone());
        self.learn(now, operation, sent, verdict, took);
        if verdict == Verdict::Succeeded
            && self.t.keys_bound
            && matches!(self.phase(build), Phase::OnTrial | Phase::Released)
            && let Some(key) = key
        {
            let known = self.s.bound.entry(key).or_insert(build);
            *known = (*known).max(build);
        }
        if over || self.s.invs.get(&id).is_some_and(|inv| inv.over) {
            return self.close(&id);
        }
        self.dispatch_or_end(now, &id, false, effects);
    }

    // ---- what outcomes teach

    fn learn(&mut self, now: f64, operation: usize, sent: Sent, verdict: Verdict, took: f64) {
        let Sent { work, host: id, build, at, scored, .. } = sent;
        let slo = self.t.operations[operation].slo;
        let Some(host) = self.s.hosts.get(&id) else { return };
        let warmth = self.warmth(host, at);
        let kind = host.entry.kind;
        let usual = self.s.usual.get(&(operation, kind)).copied();
        let nothing = match verdict {
            Verdict::Recalled | Verdict::Moot => None,
            Verdict::Succeeded => Some(0.0),
            _ => Some(1.0),
        };
        let ratio = usual.map(|usual| (took / usual.max(0.001)).clamp(0.2, 5.0));
        let others: Vec<(f64, f64)> = self
            .s
            .hosts
            .iter()
            .filter(|(other, h)| **other != id && h.usable && h.entry.build == build)
            .map(|(_, h)| (h.faults, h.pace))
            .collect();
        let Some(host) = self.s.hosts.get_mut(&id) else { return };
        if let Some(place) = host.out.iter().position(|sent| *sent == at) {
            host.out.swap_remove(place);
        }
        let Some(nothing) = nothing else { return };
        host.faults += HOST_WEIGHT * (nothing - host.faults);
        if let Some(ratio) = ratio {
            host.pace += HOST_WEIGHT * (ratio * warmth - host.pace);
        }
        // A sick host is set aside when it stands out among those of its build: a whole build that fails alike
        // is for the vote. Also holds against hosts that hang, are unreachable or turn everything away.
        let many = others.len().max(1) as f64;
        let alike = others.iter().map(|other| other.0).sum::<f64>() / many;
        let slower =
            !others.is_empty() && host.pace > SLOWER * others.iter().map(|other| other.1).sum::<f64>() / many;
        if !others.is_empty() && host.faults > FAULTY + alike && host.aside_until <= now {
            host.aside_until = now + host.aside_for;
            host.aside_for = (2.0 * host.aside_for).min(ASIDE[1]);
            host.faults = FAULTY + alike;
        } else if nothing == 0.0 && host.faults < 0.1 {
            host.aside_for = ASIDE[0];
        }
        let sick = host.aside_until > now;
        let late = nothing > 0.0 || took > slo;
        if !late {
            self.s.pace = (self.pace_now(now) + 1.0 / PACE_TIME, now);
        }
        // Answers that come too late shrink what this router keeps open, timely ones widen it while it is used.
        if !sick && (late || self.s.open as f64 > 0.5 * self.s.open_most) {
            let step = if late { -OPEN_LESS } else { OPEN_MORE };
            // Never below what keeps the hosts busy: where all are slow, fewer open would not make them quick.
            let usable = self.s.hosts.values().filter(|h| h.usable).count() as f64;
            let least = (OPEN_LEAST * usable * self.shared(now).0).max(OPEN_LEAST);
            self.s.open_most = (self.s.open_most + step).min(OPEN_FIRST).max(least);
        }
        if verdict == Verdict::Succeeded && warmth >= 1.0 && self.phase(build) == Phase::Released {
            let usual = self.s.usual.entry((operation, kind)).or_insert(took);
            *usual += USUAL_WEIGHT * (took - *usual);
        }
        let shows = nothing == 0.0 || verdict == Verdict::TimedOut;
        let arm = usize::from(self.phase(build) != Phase::Released);
        if shows && warmth >= 1.0 && !sick && !slower {
            let time = took / work.max(1e-6);
            let new = Low { pace: time, least: time, before: None };
            let low = self.s.low.entry((operation, kind, arm)).or_insert(new);
            let below = |level: f64| f64::from(u8::from(nothing == 0.0 && time < level));
            low.pace *= (LOW_STEP * (LOW[0] - below(low.pace))).exp();
            low.least *= (LOW_STEP * (LOW[1] - below(low.least))).exp();
        }
        if !scored || sick || matches!(verdict, Verdict::NoConnection | Verdict::Full) {
            return;
        }
        let kept = verdict == Verdict::Succeeded && took <= slo;
        let error = matches!(verdict, Verdict::Error | Verdict::Reset);
        // A cold host is late by nature: its late answers are no evidence, its errors are.
        if kept || error || warmth >= 1.0 {
            self.score(build, operation, 0, kept, 1.0);
        }
        self.score(build, operation, 1, !error, 1.0);
        if let (true, Some(low)) = (shows, self.s.low.get(&(operation, kind, EARLIER))) {
            let quick = nothing == 0.0 && took / work.max(1e-6) * warmth <= low.pace;
            self.score(build, operation, 2, quick, 1.0);
        }
    }

    /// A score adds eta, the router count, to one of an arm's two figures.
    fn score(&mut self, build: BuildId, operation: usize, mark: usize, good: bool, weight: f64) {
        let Some(news) = self.s.news else { return };
        let arm = if build >= news.build { TRIAL } else { EARLIER };
        let slot = operation % (self.t.slots);
        let place = (slot * MARKS + mark) * 4 + arm * 2 + usize::from(!good);
        self.s.sums[place] += f64::from(self.t.routers) * weight;
    }

    /// One mark's figures of an arm, of one operation or of all.
    fn figures(&self, slot: Option<usize>, mark: usize, arm: usize) -> (f64, f64) {
        let slots = self.t.slots;
        let places = (0..slots).filter(|s| slot.is_none_or(|only| only == *s));
        places.fold((0.0, 0.0), |(a, b), s| {
            let place = (s * MARKS + mark) * 4 + arm * 2;
            (a + self.s.sums[place], b + self.s.sums[place + 1])
        })
    }

    // ---- where to

    fn load(&self, host: &Host, now: f64) -> f64 {
        let far = if self.t.zone.is_some_and(|zone| zone != host.entry.zone) { FAR } else { 0.0 };
        let oldest = host.out.iter().copied().fold(now, f64::min);
        let usual = self.s.usual.values().copied().fold(0.05, f64::max);
        // A host that keeps silent counts as slower the longer it does; holds against hangs and lost links.
        let silent = ((now - oldest) / (SILENT * usual)).max(1.0);
        let speed = host.entry.size.max(0.01) * self.warmth(host, now);
        (host.out.len() as f64 + 1.0 + far) * host.pace.max(0.5) * silent / speed
    }

    fn in_group(&self, group: RepeatGroup, first: Option<(f64, HostId)>, host: &Host) -> bool {
        let Some(first) = first.and_then(|(_, id)| self.s.hosts.get(&id)) else {
            return group == RepeatGroup::All || first.is_none();
        };
        match group {
            RepeatGroup::All => true,
            RepeatGroup::Zone => first.entry.zone == host.entry.zone,
            RepeatGroup::Cell => first.entry.cell == host.entry.cell,
        }
    }

    fn choose(&mut self, now: f64, id: &InvId) -> Option<HostId> {
        let inv = self.s.invs.get(id)?;
        let (_, first) = self.trace(now, inv);
        let group = self.t.operations[inv.operation].group;
        let bound = self.bound_to(&inv.key);
        let trial = self.s.news.filter(|news| news.phase == Phase::OnTrial).map(|news| news.build);
        let mut arms: [(u8, Vec<HostId>); 2] = [(u8::MAX, Vec::new()), (u8::MAX, Vec::new())];
        let mut rooms: BTreeMap<BuildId, bool> = BTreeMap::new();
        for (host_id, host) in self.s.hosts.iter().filter(|(_, h)| h.usable) {
            let build = host.entry.build;
            let fresh_key = bound.is_none_or(|bound| bound < build);
            let room = *rooms
                .entry(build)
                .or_insert_with(|| self.exposure_room(now, build, inv.operation, fresh_key));
            let may_return = bound.is_none_or(|bound| build >= bound);
            if !room || !may_return || !self.in_group(group, first, host) || !self.cold_room(host, now) {
                continue;
            }
            let tried = inv.sent.iter().any(|s| s.host == *host_id);
            let waiting = host.faults > FAULTY && !host.out.is_empty();
            let tier = if tried { 2 } else { u8::from(host.aside_until > now || waiting) };
            let arm = &mut arms[if self.phase(build) == Phase::OnTrial { TRIAL } else { EARLIER }];
            if tier < arm.0 {
                *arm = (tier, Vec::new());
            }
            if tier == arm.0 {
                arm.1.push(*host_id);
            }
        }
        let key = if self.t.keys_warm { inv.key.clone() } else { None };
        let [earlier, trial_hosts] = &arms;
        let picked_earlier = self.lesser(&earlier.1, &key, now);
        let picked_trial = self.lesser(&trial_hosts.1, &key, now);
        let (Some(e), Some(t)) = (picked_earlier, picked_trial) else {
            return picked_earlier.or(picked_trial);
        };
        if earlier.0 != trial_hosts.0 {
            return Some(if earlier.0 < trial_hosts.0 { e } else { t });
        }
        let weigh = |hosts: &[HostId]| -> f64 {
            hosts
                .iter()
                .filter_map(|id| self.s.hosts.get(id))
                .map(|h| h.entry.size * self.warmth(h, now))
                .sum()
        };
        let (we, wt) = (weigh(&earlier.1), weigh(&trial_hosts.1));
        let mut floor = wt / (we + wt).max(0.001);
        if self.t.keys_bound {
            // Bound keys go to the trial anyway; new ones only fill up its machines' share.
            let share = self.s.taken.iter().filter(|(.., bound)| *bound).count() as f64;
            let share = share / (self.s.taken.len() as f64).max(1.0);
            floor = if share > BOUND_ROOM * floor { 0.0 } else { (floor - share) / (1.0 - share) };
        }
        // Above the floor a won draw sends it to the trial, up to LEAN times the machines' share: the cap lies
        // well above that while machines still start, and a preferred build would be loaded into looking bad.
        let place = self.rng.random::<f64>();
        let lean = place < LEAN * floor && trial.is_some() && self.draw(TRIAL) > self.draw(EARLIER);
        Some(if place < floor || lean { t } else { e })
    }

    fn draw(&mut self, arm: usize) -> f64 {
        let (up, down) = self.figures(None, 0, arm);
        Beta::new(1.0 + up.max(0.0), 1.0 + down.max(0.0)).map_or(0.5, |beta| beta.sample(&mut self.rng))
    }

    /// The lesser in-flight of two random hosts; where hosts work faster for keys met lately, the key's hash
    /// names the two, so that every router brings a key to the same ones.
    fn lesser(&mut self, hosts: &[HostId], key: &Option<KeyId>, now: f64) -> Option<HostId> {
        let mut two: Vec<HostId> = match key {
            Some(key) => {
                let mut ranked = hosts.to_vec();
                let text = key.0.bytes().fold(0, |h, b| mix(h ^ u64::from(b)));
                ranked.sort_by_key(|id| mix(text ^ u64::from(id.0)));
                ranked
            }
            None => {
                let first = self.rng.random_range(0..hosts.len().max(1));
                let second =
                    (first + 1 + self.rng.random_range(0..hosts.len().max(2) - 1)) % hosts.len().max(1);
                [first, second].iter().filter_map(|place| hosts.get(*place)).copied().collect()
            }
        };
        two.truncate(2);
        let loads = two.iter().filter_map(|id| Some((*id, self.load(self.s.hosts.get(id)?, now))));
        loads.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(id, _)| id)
    }

    // ---- swaps

    fn beat(&mut self, now: f64, effects: &mut Vec<Effect>) {
        self.set_alarm(now + SWAP_EVERY, Task::Swap, effects);
        let fade = 0.5f64.powf(SWAP_EVERY / HALF_LIFE);
        let earlier_lives = self.earlier_lives();
        for low in self.s.low.values_mut() {
            // What came before the trial may have been a slow spell; then the memory of it gives way.
            let least = low.least;
            low.before = low.before.map(|before| before + RELENT * (least - before).min(0.0));
        }
        for (place, figure) in self.s.sums.iter_mut().enumerate() {
            // With no earlier machine left, its figures stay: there is nothing newer to compare with.
            if earlier_lives || (place / 2) % 2 == TRIAL {
                *figure *= fade;
            }
        }
        if self.t.may_tell && self.t.routers > 1 && self.s.news.is_some() {
            let other = self.rng.random_range(0..self.t.routers - 1);
            let peer = RouterId(if other >= self.t.me.0 { other + 1 } else { other });
            self.s.swaps.insert(peer, self.s.sums.clone());
            effects.push(Effect::Tell { to: Some(peer), payload: self.message(0) });
        }
        self.judge(now, effects);
    }

    fn earlier_lives(&self) -> bool {
        let Some(news) = self.s.news else { return true };
        self.s.hosts.values().any(|h| h.usable && h.entry.build < news.build)
    }

    fn message(&self, kind: u8) -> Vec<u8> {
        let build = self.s.news.map_or(0, |news| news.build.0);
        let mut bytes = vec![kind, u8::from(self.s.fresh)];
        bytes.extend(build.to_le_bytes());
        bytes.extend((self.s.taken.len() as f32).to_le_bytes());
        bytes.extend((self.drag() as f32).to_le_bytes());
        self.s.sums.iter().for_each(|figure| bytes.extend((*figure as f32).to_le_bytes()));
        bytes
    }

    fn told(&mut self, now: f64, from: RouterId, payload: &[u8], effects: &mut Vec<Effect>) {
        let Some((head, body)) = payload.split_at_checked(4) else { return };
        let mut figures: Vec<f64> =
            body.chunks_exact(4).map(|b| f64::from(f32::from_le_bytes([b[0], b[1], b[2], b[3]]))).collect();
        if figures.len() < 2 || figures.iter().any(|f| !f.is_finite() || *f < 0.0) || from == self.t.me {
            return;
        }
        let drag = figures.remove(1).clamp(0.1, 10.0);
        self.s.heard.insert(from, Heard { at: now, taken: figures.remove(0), drag });
        let Some(news) = self.s.news else { return };
        if figures.len() != self.s.sums.len() || u16::from_le_bytes([head[2], head[3]]) != news.build.0 {
            return;
        }
        let (reply, their_fresh) = (head[0] == 1, head[1] == 1);
        let mine = if reply { self.s.swaps.remove(&from) } else { Some(self.s.sums.clone()) };
        if !reply {
            effects.push(Effect::Tell { to: Some(from), payload: self.message(1) });
        }
        if self.s.fresh && !their_fresh {
            // A restarted router takes a partner's figures whole: at Beta(1, 1) it would halve them.
            self.s.sums = figures;
            self.s.fresh = false;
        } else if self.s.fresh == their_fresh
            && let Some(mine) = mine
        {
            for ((sum, sent), theirs) in self.s.sums.iter_mut().zip(mine).zip(figures) {
                *sum = (*sum + (theirs - sent) / 2.0).max(0.0);
            }
        }
    }

    // ---- stages and votes

    fn stage(&mut self, now: f64, news: StageNews, effects: &mut Vec<Effect>) {
        if news.answers_vote {
            let push = match news.verdict {
                // A moot one is asked again when it would be renewed, or after news.
                Verdict::Succeeded | Verdict::Moot => Push::Counted,
                _ => Push::Unsure,
            };
            self.vote(now, push, effects);
        }
        if news.verdict != Verdict::Succeeded {
            return;
        }
        let old = self.s.news.replace(news);
        let same_build = old.is_some_and(|old| old.build == news.build);
        if old.is_some_and(|old| old.build > news.build) {
            self.s.news = old;
            return;
        }
        if matches!(news.phase, Phase::GoingBack | Phase::Withdrawn) {
            self.s.bound.retain(|_, build| *build != news.build);
        }
        if !same_build {
            let released = old.is_some_and(|old| old.phase == Phase::Released);
            for place in (0..self.s.sums.len()).step_by(4) {
                if released {
                    self.s.sums[place] = self.s.sums[place + 2];
                    self.s.sums[place + 1] = self.s.sums[place + 3];
                }
                (self.s.sums[place + 2], self.s.sums[place + 3]) = (0.0, 0.0);
            }
            self.s.swaps.clear();
            self.s.low.retain(|key, _| key.2 == EARLIER);
            self.s.low.values_mut().for_each(|low| low.before = old.map(|_| low.least));
            // Started into a trial already under way: the others know more than this router's prior.
            self.s.fresh = old.is_none() && news.phase == Phase::OnTrial && news.age > SWAP_EVERY;
        }
        if !same_build || old.is_some_and(|old| old.stage != news.stage || old.phase != news.phase) {
            self.s.stage_since = now - news.age;
            self.s.held = 0.0;
            (self.s.wish, self.s.wish_since) = (Sense::None, now);
            self.vote(now, Push::News, effects);
        }
    }

    /// The chance that the trial build's mark lies lower by over its margin, by the normal curve's logistic
    /// stand-in; None without enough outcomes.
    fn chance(&self, slot: Option<usize>, mark: usize, enough: f64) -> Option<f64> {
        let ((ea, eb), (ta, tb)) = (self.figures(slot, mark, EARLIER), self.figures(slot, mark, TRIAL));
        if ta + tb < enough || ea + eb < enough {
            return None;
        }
        let moments = |a: f64, b: f64| {
            let (a, n) = (EVIDENCE * a + 1.0, EVIDENCE * (a + b) + 2.0);
            (a / n, a * (n - a) / (n * n * (n + 1.0)))
        };
        let ((em, ev), (tm, tv)) = (moments(ea, eb), moments(ta, tb));
        let z = (em - tm - MARGINS[mark]) / (ev + tv).sqrt();
        Some(1.0 / (1.0 + (-1.702 * z).exp()))
    }

    fn look(&mut self, now: f64, news: &StageNews) -> Look {
        let peers_due =
            self.s.heard.values().filter(|heard| now - heard.at < PEER_LIVES).count().min(HEARD_PEERS);
        let heard = self
            .s
            .heard
            .values()
            .filter(|heard| heard.at >= self.s.stage_since.max(now - PEER_LIVES))
            .count();
        let slots = self.t.slots;
        // With no earlier machine left, times have nothing of today to be compared with; errors have.
        let lives = self.earlier_lives();
        let marks = || (0..MARKS).filter(|mark| *mark == 1 || lives);
        let pooled = self.chance(None, 0, ENOUGH);
        let released = news.phase == Phase::Released;
        let mut worse = lives && pooled.is_some_and(|chance| chance > BACK_CHANCE);
        // One operation may fail alone, and a build may be slow without missing the SLO time yet.
        for mark in marks() {
            let each =
                (0..slots).filter(|_| mark != 2).filter_map(|s| self.chance(Some(s), mark, ENOUGH_OF_ONE));
            worse |= each.chain(self.chance(None, mark, ENOUGH)).any(|chance| chance > SURE);
        }
        let started = self.s.hosts.values().filter(|h| h.usable && h.entry.build == news.build);
        let latest = started.filter_map(|h| h.entry.started).fold(self.s.stage_since, f64::max);
        // A stage's machines must run and take their part before it is moved on: some builds fail only then.
        let count =
            |of: &dyn Fn(&Host) -> bool| self.s.hosts.values().filter(|h| h.usable && of(h)).count() as f64;
        let part = self.t.stage_shares.get(news.stage as usize).copied().unwrap_or(1.0);
        let there = count(&|h| h.entry.build >= news.build) >= SETTLED_PART * part * count(&|_| true);
        let settled = there && now - latest > SETTLED[0] || now - self.s.stage_since > SETTLED[1];
        // A build may slow both arms alike, which no comparison shows; then the earlier hosts are slower than
        // before the trial, most since a stage began. Also holds back the vote on in any common trouble.
        let dragging = self.shared(now).1 > DRAG[usize::from(released)];
        if !dragging {
            self.s.drag_since = now;
        }
        let came_with_stage = self.s.drag_since < latest + DRAG_BACK[0] / 2.0;
        worse &= !released;
        worse |= now - self.s.drag_since > DRAG_BACK[usize::from(released || !came_with_stage)];
        if worse {
            return Look::Worse;
        }
        if released {
            // Once released, only a drag that outlasts common troubles still speaks, against the build.
            return Look::Starved;
        }
        match pooled {
            _ if dragging || !settled => Look::Unclear,
            Some(_) if heard >= peers_due && !lives => Look::Fine,
            Some(chance) if heard >= peers_due && chance < ON_CHANCE => Look::Fine,
            Some(_) if heard >= peers_due => Look::Unclear,
            _ if now - latest > STARVED_ON => Look::Overdue,
            _ => Look::Starved,
        }
    }

    /// How much slower than before the trial the earlier hosts are, here or (by traffic) among all that live.
    fn drag(&self) -> f64 {
        let arm = usize::from(
            !self.earlier_lives() && self.s.news.is_some_and(|news| news.phase == Phase::OnTrial),
        );
        let now = |key: &(usize, KindId, usize)| self.s.low.get(&(key.0, key.1, arm)).map(|low| low.least);
        let known = self.s.low.iter().filter_map(|(key, low)| Some((now(key)? / low.before?).ln()));
        let (sum, count) = known.fold((0.0, 0.0f64), |(sum, count), log| (sum + log, count + 1.0));
        (sum / count.max(1.0)).exp()
    }

    /// This router's share of all traffic, and the drag of all.
    fn shared(&self, now: f64) -> (f64, f64) {
        let mine = (self.s.taken.len() as f64).max(1.0);
        let live = || self.s.heard.values().filter(|heard| now - heard.at < PEER_LIVES);
        let all = mine + live().map(|heard| heard.taken).sum::<f64>();
        let drags = mine * self.drag().ln() + live().map(|heard| heard.taken * heard.drag.ln()).sum::<f64>();
        (mine / all, (drags / all).exp())
    }

    /// The place of this router in the order that the hash of the build gives.
    fn rank(&self, build: BuildId) -> u32 {
        let place = |router: u32| (mix(mix(u64::from(build.0)) ^ u64::from(router)), router);
        (0..self.t.routers).filter(|other| place(*other) < place(self.t.me.0)).count() as u32
    }

    fn judge(&mut self, now: f64, effects: &mut Vec<Effect>) {
        let Some(news) = self.s.news else { return };
        let judged = news.phase == Phase::OnTrial || news.phase == Phase::Released;
        if !judged {
            return;
        }
        let mut look = self.look(now, &news);
        if look != Look::Worse {
            self.s.worse_since = now;
        } else if now - self.s.worse_since < BACK_FIRM {
            look = Look::Unclear;
        }
        let row = WISHES.iter().find(|row| row.0 == self.t.by_clock && row.1 == look);
        let mut wish = row.and_then(|row| row.2).unwrap_or(self.s.wish);
        if wish == Sense::Hold {
            self.s.held += SWAP_EVERY;
            if self.s.held > HOLD_MOST {
                wish = Sense::None;
            }
        }
        if wish != self.s.wish {
            (self.s.wish, self.s.wish_since) = (wish, now);
        }
        // The hash names the voters. Where a wish stays unmet, the next in its order stand in, one after the
        // other: a named voter may be dead, cut off or without traffic.
        let late = f64::from((self.rank(news.build) + 1).saturating_sub(self.t.voters)) * STAND_IN;
        let nothing = wish == Sense::None && self.s.ballot_sense == Sense::None;
        let wait = if self.s.ballot == Ballot::Silent { ASK_AGAIN } else { self.t.renew_every };
        let due = wish != self.s.ballot_sense || now - self.s.ballot_at >= wait;
        if !nothing && due && now - self.s.wish_since >= late {
            self.vote(now, Push::Due, effects);
        }
    }

    /// What an operator needs to see why a vote was cast.
    fn reasons(&self, now: f64, news: &StageNews) -> String {
        let share = |mark, arm| {
            let (up, down) = self.figures(None, mark, arm);
            format!("{:.2}/{:.0}", up / (up + down).max(1.0), up + down)
        };
        let marks = (0..MARKS).map(|mark| format!("{}:{}", share(mark, EARLIER), share(mark, TRIAL)));
        let (marks, drag) = (marks.collect::<Vec<_>>().join(" "), self.shared(now).1);
        let (wish, build, stage) = (self.s.wish, news.build.0, news.stage);
        format!("vote {wish:?} build {build} stage {stage}, in time, no error, pace {marks}, drag {drag:.2}")
    }

    fn vote(&mut self, now: f64, push: Push, effects: &mut Vec<Effect>) {
        let Some(row) = BALLOTS.iter().find(|row| row.0 == self.s.ballot && row.1 == push) else { return };
        self.s.ballot = row.2;
        if push == Push::News {
            self.s.ballot_sense = Sense::None;
        }
        if let (true, Some(news)) = (row.3, self.s.news) {
            let renewal = self.s.ballot_sense == self.s.wish;
            (self.s.ballot_sense, self.s.ballot_at) = (self.s.wish, now);
            effects.push(Effect::Vote { build: news.build, stage: news.stage, sense: self.s.wish });
            if !renewal {
                let text = self.reasons(now, &news);
                effects.push(Effect::Note { text });
            }
        }
    }
}

/// A fixed hash, the same on every machine.
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
