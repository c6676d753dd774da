//! Many routers in one simulated time, with the few parties that the whole fleet shares: hosts, discovery and the
//! platform. Same seed, same story; figures are those of this fake, not of any real fleet.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use kestreltide::decisions::Router;
use kestreltide::interface::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The first zone of the second region.
pub const SECOND_REGION: u64 = 5;
/// Seconds until a connection that nobody answers is given up.
const CONNECT_TIME_OUT: f64 = 0.25;

/// Nanoseconds, so that times can be ordered.
type At = u64;

fn nanos(seconds: f64) -> At {
    (seconds.max(0.0) * 1e9) as At
}

/// One service of fixed capacity for all: calls wait in turn. Who has waited for the time-out has failed, while the
/// call still takes its turn.
pub struct Discovery {
    pub each: f64,
    pub timeout: f64,
    /// It turns a call away at once that would wait longer than this.
    pub turns_away: f64,
    free: f64,
    pub calls: usize,
    pub failed: usize,
}

/// Takes so many calls a second, and twice that in one burst; each may be counted to one router's vote for a while.
pub struct Platform {
    pub rate: f64,
    pub life: f64,
    tokens: (f64, f64),
    pub asked: usize,
    pub turned_away: usize,
    pub ballots: HashMap<u32, (Vote, f64)>,
}

impl Platform {
    pub fn standing(&self, vote: Vote, now: f64) -> usize {
        self.ballots
            .values()
            .filter(|(of, until)| *of == vote && *until > now)
            .count()
    }
}

/// A host with places of its own, which works off what has come in its order.
pub struct Host {
    pub entry: HostEntry,
    pub places: usize,
    /// Seconds of work for each attempt; none: it takes what comes and answers nothing.
    pub work: Option<f64>,
    busy: BinaryHeap<Reverse<At>>,
    pub came: usize,
    /// Its machine is lost: nobody gets a connection.
    pub lost: bool,
}

pub struct Fleet {
    pub now: f64,
    pub routers: Vec<Router>,
    pub hosts: Vec<Host>,
    pub discovery: Discovery,
    pub platform: Platform,
    pub followed: Vec<bool>,
    /// Restarted routers that are not ready yet.
    awaits_list: Vec<bool>,
    /// Of the newest build that the platform has told.
    pub newest: RolloutStatus,
    /// When it began.
    newest_since: f64,
    pub asked: usize,
    pub answered: usize,
    pub in_time: usize,
    /// Of them, which had been refused without a attempt.
    pub refused: usize,
    pub told: (usize, usize),
    /// Routers from this one on are in the second region, as hosts are from `SECOND_REGION` on.
    pub first_region: usize,
    /// The regions do not reach each other.
    pub apart: bool,
    /// The regions have missed each other: each lists its own hosts only.
    pub missed: bool,
    /// Which regions the platform reaches.
    pub platform_reaches: [bool; 2],
    pub down: Vec<bool>,
    /// A build of whose answers this part are errors.
    pub bad: Option<(BuildId, f64)>,
    /// When requests came, and when attempts went to a canary build.
    pub taken_at: Vec<f64>,
    pub exposed_at: Vec<f64>,
    /// What each router was last told by the platform.
    pub last_news: Vec<Option<RolloutStatus>>,
    /// What each region was last told.
    region_news: [RolloutStatus; 2],
    settings: ServiceSettings,
    events: HashMap<u64, (usize, Event)>,
    queue: BinaryHeap<Reverse<(At, u64)>>,
    next: u64,
    open: HashMap<(usize, RequestId), (f64, u32)>,
    chance: ChaCha8Rng,
}

impl Fleet {
    /// So many routers that know these hosts, all warm and of one released build.
    pub fn new(
        settings: ServiceSettings,
        routers: usize,
        hosts: Vec<HostEntry>,
        seed: u64,
    ) -> Self {
        let newest = RolloutStatus {
            outcome: AttemptOutcome::Succeeded,
            build: super::OLD,
            stage: 1,
            phase: Phase::Released,
            cap: 1.0,
            age: 60.0,
            answers_vote: false,
        };
        let host = |entry| Host {
            entry,
            places: 16,
            work: Some(0.1),
            busy: BinaryHeap::new(),
            came: 0,
            lost: false,
        };
        let mut fleet = Fleet {
            now: 100.0,
            routers: vec![],
            hosts: hosts.into_iter().map(host).collect(),
            discovery: Discovery {
                each: 0.07,
                timeout: 2.0,
                turns_away: f64::INFINITY,
                free: 0.0,
                calls: 0,
                failed: 0,
            },
            platform: Platform {
                rate: 16.0,
                life: settings.vote_lifetime,
                tokens: (32.0, 100.0),
                asked: 0,
                turned_away: 0,
                ballots: HashMap::new(),
            },
            followed: vec![false; routers],
            awaits_list: vec![false; routers],
            newest,
            newest_since: 100.0 - newest.age,
            asked: 0,
            answered: 0,
            in_time: 0,
            refused: 0,
            told: (0, 0),
            first_region: routers,
            apart: false,
            missed: false,
            platform_reaches: [true; 2],
            down: vec![false; routers],
            bad: None,
            taken_at: vec![],
            exposed_at: vec![],
            last_news: vec![None; routers],
            region_news: [newest; 2],
            settings: ServiceSettings {
                routers: routers as u32,
                ..settings
            },
            events: HashMap::new(),
            queue: BinaryHeap::new(),
            next: 0,
            open: HashMap::new(),
            chance: ChaCha8Rng::seed_from_u64(seed),
        };
        for me in 0..routers {
            let router = fleet.router(me);
            fleet.routers.push(router);
            let entries = fleet.listed(fleet.region(me));
            fleet.begin(me, entries);
        }
        fleet
    }

    fn router(&mut self, me: usize) -> Router {
        let settings = ServiceSettings {
            router_id: RouterId(me as u32),
            ..self.settings.clone()
        };
        Router::start(settings, self.chance.random(), self.now)
    }

    fn begin(&mut self, me: usize, entries: std::sync::Arc<[HostEntry]>) {
        self.after(
            0.0,
            me,
            Event::EndpointList {
                scope: ListScope::Cached,
                entries,
            },
        );
        self.after(
            0.001,
            me,
            Event::RolloutStatusReceived(self.region_news[self.region(me)]),
        );
    }

    pub fn region(&self, router: usize) -> usize {
        usize::from(router >= self.first_region)
    }

    fn region_of(host: &HostEntry) -> usize {
        usize::from(host.zone.0 >= SECOND_REGION)
    }

    fn connects(&self, one: usize, other: usize) -> bool {
        one == other || !self.apart
    }

    /// The hosts that a region's discovery has.
    fn listed(&self, region: usize) -> std::sync::Arc<[HostEntry]> {
        let missed = |host: &&Host| self.missed && Self::region_of(&host.entry) != region;
        let listed = self.hosts.iter().filter(|host| !host.lost && !missed(host));
        listed.map(|host| host.entry).collect()
    }

    /// Killed, and not started again.
    pub fn stop(&mut self, me: usize) {
        self.down[me] = true;
        self.events.retain(|_, (of, _)| *of != me);
        self.open.retain(|(of, _), _| *of != me);
    }

    /// Killed and started anew, with the list that discovery has.
    pub fn restart(&mut self, me: usize) {
        let entries = self.listed(self.region(me));
        self.restart_with(me, entries);
    }

    /// Killed and started anew, with the list that it had.
    ///
    /// Clients come to it once it is ready: where lists are asked for, once it has been answered.
    pub fn restart_with(&mut self, me: usize, entries: std::sync::Arc<[HostEntry]>) {
        self.awaits_list[me] = self.settings.polls_endpoint_list;
        self.down[me] = false;
        let kept = |(of, _): &(usize, Event)| *of != me;
        self.events.retain(|_, event| kept(event));
        self.open.retain(|(of, _), _| *of != me);
        self.followed[me] = false;
        self.routers[me] = self.router(me);
        self.begin(me, entries);
    }

    pub fn after(&mut self, seconds: f64, router: usize, event: Event) {
        self.next += 1;
        self.events.insert(self.next, (router, event));
        self.queue
            .push(Reverse((nanos(self.now + seconds), self.next)));
    }

    pub fn tell_all(&mut self, rollout_status: RolloutStatus) {
        self.newest = rollout_status;
        self.newest_since = self.now - rollout_status.age;
        for region in 0..2 {
            if self.platform_reaches[region] {
                self.region_news[region] = rollout_status;
            }
        }
        (0..self.routers.len()).for_each(|router| {
            let late = self.chance.random::<f64>() * 0.1;
            if self.platform_reaches[self.region(router)] {
                self.after(late, router, Event::RolloutStatusReceived(rollout_status));
            }
        });
    }

    pub fn list_all(&mut self) {
        let entries = [self.listed(0), self.listed(1)];
        (0..self.routers.len()).for_each(|router| {
            let late = self.chance.random::<f64>() * 0.1;
            let entries = entries[self.region(router)].clone();
            self.after(
                late,
                router,
                Event::EndpointList {
                    scope: ListScope::Full,
                    entries,
                },
            );
        });
    }

    /// So many seconds in which each router takes so many requests a second, by chance.
    pub fn run(&mut self, seconds: f64, rate: impl Fn(usize) -> f64) {
        let until = self.now + seconds;
        for router in 0..self.routers.len() {
            let mut at = 0.0;
            loop {
                at -= (1.0 - self.chance.random::<f64>()).ln() / rate(router).max(1e-9);
                if at > seconds {
                    break;
                }
                let id = RequestId(format!("{}", self.next + 1).into());
                let operation = OperationId(usize::from(self.chance.random::<f64>() < 0.3));
                let request = Request {
                    id,
                    operation,
                    key: None,
                    time_left: 2.0,
                    work: None,
                    is_retry: false,
                    pool: None,
                };
                self.after(at, router, Event::RequestReceived(request));
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

    fn handle(&mut self, router: usize, event: Event) {
        if self.down[router] {
            return;
        }
        match &event {
            Event::RequestReceived(_) if self.awaits_list[router] => return,
            // A real one goes on waiting where discovery is there but crowded.
            Event::EndpointListFailed => self.awaits_list[router] = false,
            Event::RolloutStatusReceived(rollout_status) if !rollout_status.answers_vote => {
                self.last_news[router] = Some(*rollout_status)
            }
            Event::RequestReceived(request) => {
                self.asked += 1;
                self.taken_at.push(self.now);
                self.open
                    .insert((router, request.id.clone()), (self.now, 0));
            }
            Event::AttemptFinished {
                request,
                outcome: AttemptOutcome::Succeeded,
                ..
            } => {
                if let Some((since, _)) = self.open.remove(&(router, request.clone())) {
                    self.answered += 1;
                    self.in_time += usize::from(
                        self.now - since <= self.settings.operations[0].latency_objective,
                    );
                }
            }
            Event::EndpointList { scope, .. } if *scope != ListScope::Cached => {
                self.followed[router] = true;
                self.awaits_list[router] = false;
            }
            _ => {}
        }
        let mut effects = vec![];
        self.routers[router].handle(self.now, event, &mut effects);
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(router, effect));
    }

    fn carry_out(&mut self, router: usize, effect: Effect) {
        match effect {
            Effect::ScheduleTimer { at, key } => {
                self.after(at - self.now, router, Event::TimerExpired { key })
            }
            Effect::StartAttempt {
                request,
                host,
                timeout,
                ..
            } => self.start_attempt(router, request, host, timeout),
            Effect::ShedRequest { request, .. } | Effect::FailRequest { request } => {
                if let Some((_, sent)) = self.open.remove(&(router, request)) {
                    self.answered += 1;
                    self.refused += usize::from(sent == 0);
                }
            }
            Effect::SendGossip { to, payload } => {
                self.told = (self.told.0 + 1, self.told.1 + payload.len());
                let from = RouterId(router as u32);
                let to = to
                    .map(|to| to.0 as usize)
                    .filter(|to| *to < self.routers.len());
                let to = to.filter(|to| self.connects(self.region(router), self.region(*to)));
                let late = 0.003 + 0.02 * self.chance.random::<f64>();
                to.into_iter().for_each(|to| {
                    self.after(
                        late,
                        to,
                        Event::GossipReceived {
                            from,
                            payload: payload.clone(),
                        },
                    )
                });
            }
            Effect::SubscribeEndpointList { on: true } => self.follow(router),
            Effect::CastVote { build, stage, vote } => self.vote(router, build, stage, vote),
            _ => {}
        }
    }

    fn start_attempt(&mut self, router: usize, request: RequestId, host: HostId, timeout: f64) {
        let Some(open) = self.open.get_mut(&(router, request.clone())) else {
            return;
        };
        let no = AttemptNumber(open.1);
        open.1 += 1;
        let now = nanos(self.now);
        let Some(place) = self.hosts.iter().position(|of| of.entry.host == host) else {
            return;
        };
        let far = !self.connects(
            self.region(router),
            Self::region_of(&self.hosts[place].entry),
        );
        if far || self.hosts[place].lost {
            let (outcome, request_finished, took) =
                (AttemptOutcome::NoConnection, false, CONNECT_TIME_OUT);
            let (load, connection_idle) = (LoadReport::default(), Some(0.0));
            let ended = Event::AttemptFinished {
                request,
                attempt: no,
                host,
                outcome,
                request_finished,
                took,
                load,
                connection_idle,
            };
            return self.after(took, router, ended);
        }
        let to = &mut self.hosts[place];
        to.came += 1;
        let build = to.entry.build;
        if self.newest.phase == Phase::Canary && build == self.newest.build {
            self.exposed_at.push(self.now);
        }
        let age = to
            .entry
            .started
            .map_or(f64::INFINITY, |started| self.now - started);
        let cold = self.settings.slow_start_initial_fraction;
        let warm_up_fraction =
            cold + (1.0 - cold) * (age / self.settings.slow_start_duration).clamp(0.0, 1.0);
        while to.busy.peek().is_some_and(|done| done.0 <= now) {
            to.busy.pop();
        }
        // Places are taken up in their order: the earliest to fall free is the next one's.
        let begins = if to.busy.len() < to.places {
            now
        } else {
            to.busy.pop().map_or(now, |done| done.0)
        };
        let done = to.work.map(|work| {
            begins + nanos(work / warm_up_fraction * (0.5 + self.chance.random::<f64>()))
        });
        to.busy.push(Reverse(done.unwrap_or(now)));
        let (outcome, took) = match done.map(|done| (done - now) as f64 / 1e9 + 0.002) {
            Some(took) if took <= timeout => (AttemptOutcome::Succeeded, took),
            _ => (AttemptOutcome::TimedOut, timeout),
        };
        let errors = self
            .bad
            .filter(|bad| bad.0 == build)
            .map_or(0.0, |bad| bad.1);
        let fails = outcome == AttemptOutcome::Succeeded
            && errors > 0.0
            && self.chance.random::<f64>() < errors;
        let outcome = if fails {
            AttemptOutcome::Error
        } else {
            outcome
        };
        let (request_finished, load, connection_idle) = (
            outcome == AttemptOutcome::Succeeded,
            LoadReport::default(),
            Some(0.0),
        );
        self.after(
            took,
            router,
            Event::AttemptFinished {
                request,
                attempt: no,
                host,
                outcome,
                request_finished,
                took,
                load,
                connection_idle,
            },
        );
    }

    fn follow(&mut self, router: usize) {
        let discovery = &mut self.discovery;
        discovery.calls += 1;
        let waits = (discovery.free - self.now).max(0.0) + discovery.each;
        if waits > discovery.turns_away {
            discovery.failed += 1;
            return self.after(0.001, router, Event::EndpointListFailed);
        }
        discovery.free = self.now + waits;
        if waits > discovery.timeout {
            discovery.failed += 1;
            let waited = discovery.timeout;
            return self.after(waited, router, Event::EndpointListFailed);
        }
        let entries = self.listed(self.region(router));
        self.after(
            waits,
            router,
            Event::EndpointList {
                scope: ListScope::Full,
                entries,
            },
        );
    }

    fn vote(&mut self, router: usize, build: BuildId, stage: u32, vote: Vote) {
        if !self.platform_reaches[self.region(router)] {
            let known = self.region_news[self.region(router)];
            let rollout_status = RolloutStatus {
                outcome: AttemptOutcome::NoConnection,
                answers_vote: true,
                ..known
            };
            return self.after(
                CONNECT_TIME_OUT,
                router,
                Event::RolloutStatusReceived(rollout_status),
            );
        }
        let platform = &mut self.platform;
        platform.asked += 1;
        let (tokens, since) = platform.tokens;
        let tokens = (tokens + (self.now - since) * platform.rate).min(2.0 * platform.rate);
        let outcome =
            if build != self.newest.build || stage != self.newest.stage && vote == Vote::Promote {
                AttemptOutcome::Irrelevant
            } else if tokens < 1.0 {
                platform.turned_away += 1;
                AttemptOutcome::Rejected
            } else {
                platform
                    .ballots
                    .insert(router as u32, (vote, self.now + platform.life));
                AttemptOutcome::Succeeded
            };
        let left = tokens - f64::from(u8::from(outcome == AttemptOutcome::Succeeded));
        platform.tokens = (left, self.now);
        let rollout_status = RolloutStatus {
            outcome,
            answers_vote: true,
            age: self.now - self.newest_since,
            ..self.newest
        };
        self.after(0.1, router, Event::RolloutStatusReceived(rollout_status));
    }
}
