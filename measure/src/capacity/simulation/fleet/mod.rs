//! All routers of an installation in one simulated time: the real decision module for each, and around them hosts,
//! discovery, the platform and the network. The same terms and seed give the same run.

mod carry;
mod machines;
#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;

use kestreltide::decisions::Router;
use kestreltide::interface::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::discovery::Discovery;
use super::event_queue::EventQueue;
use super::evidence::Evidence;
use super::exposure::{Exposure, Worst};
use super::hosts::{ColdTerms, GOOD, Hosts, Quality};
use super::network::{Network, Place};
use super::plan;
use super::platform::{Move, Platform, PlatformTerms};
use super::settings;

/// The region of the platform.
const PLATFORM_REGION: usize = 0;
const FIRST_BUILD: BuildId = BuildId(7);
const START: f64 = 100.0;
/// Seconds between two looks of the platform at its votes, and between two pushes of a discovery.
const PLATFORM_STEP: f64 = 0.1;
const PUSH_EVERY: f64 = 0.25;
/// Seconds until a router is told by the platform, and by its region's discovery.
const STATUS_LAG: [f64; 2] = [0.2, 0.9];
const PUSH_LAG: [f64; 2] = [0.1, 1.0];
/// Seconds that a router's process takes to start.
const ROUTER_START: [f64; 2] = [1.0, 3.0];
/// Spread of the routers' rates: the standard deviation of their logarithm.
const UNEVEN: f64 = 1.0;
/// Of all invocations, those that only their key makes harmless to repeat.
const BY_KEY: f64 = 0.3;
/// Outcomes of the trial that a vote needs.
pub const ENOUGH: f64 = 20.0;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct FleetTerms {
    pub routers: usize,
    pub machines: usize,
    /// Invocations a second, at all routers together.
    pub rate: f64,
    /// Part of the routers and machines in the first region, where the platform is.
    pub first_region: f64,
    /// Routers list the hosts of their own region only.
    pub own_hosts_only: bool,
    /// Machines of the first region get a new build before all others.
    pub canary_in_first_region: bool,
    /// Restarts of routers and changes of configuration as on an ordinary day.
    pub ordinary_day: bool,
    pub platform: PlatformTerms,
    pub seed: u64,
}

/// Evidence that a router's sight has to hold: so many outcomes, which may halve over time.
#[derive(Clone, Copy, Debug)]
pub struct RequiredEvidence {
    pub outcomes: f64,
    pub since: f64,
    pub half_life: f64,
}

/// Counts over all routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub accepted: u64,
    pub in_time: u64,
    pub throttled: u64,
    pub restarts: u64,
    pub messages_sent: u64,
    pub bytes_sent: u64,
    pub messages_received: u64,
    pub bytes_received: u64,
    /// Seconds, over all routers that were up.
    pub router_seconds: f64,
    /// Votes that did not reach the platform.
    pub votes_unheard: u64,
    /// Dispatches at a build that had been taken back: by routers that had been told so, by others that the
    /// platform reaches, by others that it does not.
    pub after_back: [u64; 3],
}

struct Member {
    router: Router,
    /// Events for an earlier process of this router are dropped.
    incarnation: u32,
    up: bool,
    place: Place,
    rate: f64,
    /// Seconds that a push takes to it.
    push_lag: f64,
    /// When the last push and the last news arrive: none overtakes another.
    push_at: f64,
    status_at: f64,
    following: bool,
    received: Option<RolloutStatus>,
    /// Rule 5 for this process of it, by what it was told.
    exposure: Exposure,
    /// Since when, and how many dispatches.
    open: HashMap<RequestId, (f64, u32)>,
}

enum Happening {
    Arrive {
        router: usize,
    },
    Module {
        router: usize,
        incarnation: u32,
        event: Event,
    },
    Answered(Box<Answered>),
    News {
        router: usize,
        incarnation: u32,
        rollout_status: RolloutStatus,
    },
    ListServed {
        router: usize,
        incarnation: u32,
    },
    VoteArrives {
        router: usize,
        incarnation: u32,
        build: BuildId,
        stage: u32,
        vote: Vote,
    },
    VoteAnswered {
        router: usize,
        incarnation: u32,
        outcome: AttemptOutcome,
    },
    StartRouter {
        router: usize,
    },
    RestartAny,
    ChangeConfiguration,
    PlatformStep,
    Push,
    Noted {
        region: usize,
        entry: HostEntry,
    },
    RegionMissed {
        region: usize,
    },
    RegionFound {
        region: usize,
    },
    Roll {
        machine: usize,
    },
    EndProcess {
        host: HostId,
    },
}

/// An answer on its way; lost where its host or its way is, until it arrives.
struct Answered {
    router: usize,
    incarnation: u32,
    request: RequestId,
    attempt: u32,
    host: HostId,
    sent: f64,
    timeout: f64,
    error: bool,
}

pub struct Fleet {
    pub now: f64,
    terms: FleetTerms,
    queue: EventQueue<Happening>,
    members: Vec<Member>,
    hosts: Hosts,
    network: Network,
    /// While the regions do not reach each other, the platform reaches both.
    platform_everywhere: bool,
    platform: Platform,
    /// What each region was last told by the platform.
    received: Vec<RolloutStatus>,
    discovery: Vec<Discovery>,
    /// In which order machines get a new build.
    order: Vec<usize>,
    released: BuildId,
    newest: BuildId,
    qualities: HashMap<BuildId, Quality>,
    set: Arc<OperatorOverrides>,
    pub exposure: Exposure,
    /// The worst of one router, since the newest build was offered.
    pub worst_router: Worst,
    pub evidence: Evidence,
    pub required: RequiredEvidence,
    pub counts: Counts,
    /// When the first outcome of the build on trial came.
    pub first_outcome: Option<f64>,
    next_invocation: u64,
    effects: Vec<Effect>,
    random: ChaCha8Rng,
}

impl Fleet {
    /// Routers that have just started beside hosts that have run for long.
    pub fn new(terms: FleetTerms) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(terms.seed);
        let cold = ColdTerms {
            share: settings::COLD_SHARE,
            time: settings::COLD_TIME,
            overload_multiple: settings::FALL_MULTIPLE,
            overload_duration: settings::FALL_TIME,
            fair: plan::REQUESTS_A_HOST,
        };
        let mut hosts = Hosts::new(cold);
        let place = |number, all| place(number, all, terms.first_region);
        (0..terms.machines)
            .for_each(|machine| hosts.add_machine(place(machine, terms.machines), FIRST_BUILD));
        let platform = Platform::new(terms.platform.clone(), terms.routers, FIRST_BUILD, START);
        let later = |machine| terms.canary_in_first_region && hosts.place(machine).region != 0;
        let mut order: Vec<_> = (0..terms.machines)
            .map(|machine| (later(machine), random.random::<u64>(), machine))
            .collect();
        order.sort();
        let mut discovery: Vec<_> = (0..plan::REGIONS).map(|_| Discovery::default()).collect();
        for (region, discovery) in discovery.iter_mut().enumerate() {
            let listed = |entry: &&HostEntry| {
                !terms.own_hosts_only || hosts.place_of(entry.host).region == region
            };
            hosts
                .entries()
                .filter(listed)
                .for_each(|entry| discovery.note(*entry));
            discovery.push();
        }
        let rates = uneven_rates(&terms, &mut random);
        let member = |number: usize| {
            let place = place(number, terms.routers);
            let router =
                Router::start(settings::service_terms(terms.routers, place.zone), 0, START);
            let push_lag = between(PUSH_LAG, &mut random);
            Member {
                router,
                incarnation: 0,
                up: false,
                place,
                rate: rates[number],
                push_lag,
                push_at: 0.0,
                status_at: 0.0,
                following: false,
                received: None,
                exposure: Exposure::new(settings::EXPOSURE_WINDOW, settings::EXPOSURE_SPARE),
                open: HashMap::new(),
            }
        };
        let members: Vec<_> = (0..terms.routers).map(member).collect();
        let mut fleet = Fleet {
            now: START,
            queue: EventQueue::new(),
            members,
            hosts,
            network: Network::default(),
            platform_everywhere: false,
            received: vec![platform.rollout_status(START); plan::REGIONS],
            platform,
            discovery,
            order: order.into_iter().map(|(.., machine)| machine).collect(),
            released: FIRST_BUILD,
            newest: FIRST_BUILD,
            qualities: HashMap::from([(FIRST_BUILD, GOOD)]),
            set: Arc::default(),
            exposure: Exposure::new(settings::EXPOSURE_WINDOW, settings::EXPOSURE_SPARE),
            worst_router: Worst::default(),
            evidence: Evidence::new(terms.routers),
            required: RequiredEvidence {
                outcomes: ENOUGH,
                since: 0.0,
                half_life: f64::INFINITY,
            },
            counts: Counts::default(),
            first_outcome: None,
            next_invocation: 0,
            effects: vec![],
            random,
            terms,
        };
        fleet.begin();
        fleet
    }

    fn begin(&mut self) {
        for router in 0..self.members.len() {
            self.start_router(router);
            self.next_arrival(router);
        }
        self.after(0.0, Happening::PlatformStep);
        self.after(0.0, Happening::Push);
        if self.terms.ordinary_day {
            self.ordinary(plan::RESTARTS_A_DAY, Happening::RestartAny);
            self.ordinary(plan::CHANGES_A_DAY, Happening::ChangeConfiguration);
        }
    }

    fn after(&mut self, seconds: f64, what: Happening) {
        self.queue.push(self.now + seconds, what);
    }

    /// What comes so often a day by chance comes again.
    fn ordinary(&mut self, a_day: f64, what: Happening) {
        let wait = exponential(plan::SECONDS_A_DAY / a_day, &mut self.random);
        self.after(wait, what);
    }

    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while let Some((at, what)) = self.queue.pop_until(until) {
            self.now = at;
            self.happen(what);
        }
        self.now = until;
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrive { router } => self.arrive(router),
            Happening::Module {
                router,
                incarnation,
                event,
            } => self.module(router, incarnation, event),
            Happening::Answered(answered) => self.answered(*answered),
            Happening::News {
                router,
                incarnation,
                rollout_status,
            } => self.rollout_status(router, incarnation, rollout_status),
            Happening::ListServed {
                router,
                incarnation,
            } => self.list_served(router, incarnation),
            Happening::VoteArrives {
                router,
                incarnation,
                build,
                stage,
                vote,
            } => self.vote_arrives(router, incarnation, (build, stage, vote)),
            Happening::VoteAnswered {
                router,
                incarnation,
                outcome,
            } => self.vote_answered(router, incarnation, outcome),
            Happening::StartRouter { router } => self.start_router(router),
            Happening::RestartAny => {
                let any = self.random.random_range(0..self.members.len());
                self.restart_router(any);
                self.ordinary(plan::RESTARTS_A_DAY, Happening::RestartAny);
            }
            Happening::ChangeConfiguration => {
                self.change_configuration();
                self.ordinary(plan::CHANGES_A_DAY, Happening::ChangeConfiguration);
            }
            Happening::PlatformStep => self.platform_step(),
            Happening::Push => self.push(),
            Happening::Noted { region, entry } => self.discovery[region].note(entry),
            Happening::RegionMissed { region } => self.region_missed(region),
            Happening::RegionFound { region } => self.region_found(region),
            Happening::Roll { machine } => self.roll(machine),
            Happening::EndProcess { host } => {
                let entry = self.hosts.end(host);
                self.note(entry);
            }
        }
    }

    // Routers come and go.

    fn start_router(&mut self, router: usize) {
        let seed = self.random.random();
        let region = self.members[router].place.region;
        let terms = ServiceSettings {
            router_id: RouterId(router as u32),
            ..settings::service_terms(self.terms.routers, self.members[router].place.zone)
        };
        let (now, entries) = (self.now, self.discovery[region].complete());
        let member = &mut self.members[router];
        (member.router, member.up) = (Router::start(terms, seed, now), true);
        (member.incarnation, member.following, member.received) =
            (member.incarnation + 1, false, None);
        (member.push_at, member.status_at) = (now, now);
        member.open.clear();
        member.exposure = Exposure::new(settings::EXPOSURE_WINDOW, settings::EXPOSURE_SPARE);
        self.evidence.restarted(router);
        self.deliver(
            0.0,
            router,
            Event::EndpointList {
                scope: ListScope::Cached,
                entries,
            },
        );
        self.deliver(
            0.000_5,
            router,
            Event::OperatorOverridesApplied {
                overrides: self.set.clone(),
                entries: Arc::new([]),
            },
        );
        self.notify(router, self.received[region], [0.001, 0.001]);
        if self.platform_reaches(region) {
            self.notify(router, self.platform.rollout_status(now), [0.05, 0.3]);
        }
    }

    fn stop_router(&mut self, router: usize) {
        let member = &mut self.members[router];
        (member.up, member.incarnation) = (false, member.incarnation + 1);
    }

    /// Its process is killed, and comes back after its start.
    pub fn restart_router(&mut self, router: usize) {
        if self.members[router].up {
            self.counts.restarts += 1;
            self.stop_router(router);
            self.router_starts(router);
        }
    }

    fn router_starts(&mut self, router: usize) {
        let wait = between(ROUTER_START, &mut self.random);
        self.after(wait, Happening::StartRouter { router });
    }

    pub fn routers_up(&self) -> usize {
        self.members.iter().filter(|member| member.up).count()
    }

    // News and votes.

    fn platform_reaches(&self, region: usize) -> bool {
        self.platform_everywhere || self.network.connects(PLATFORM_REGION, region)
    }

    /// Seconds later, by chance between these two, a router has this news; none overtakes another.
    fn notify(&mut self, router: usize, rollout_status: RolloutStatus, lag: [f64; 2]) {
        let lag = between(lag, &mut self.random);
        let member = &mut self.members[router];
        let at = (self.now + lag).max(member.status_at + 1e-6);
        member.status_at = at;
        let rollout_status = RolloutStatus {
            age: rollout_status.age + at - self.now,
            ..rollout_status
        };
        self.queue.push(
            at,
            Happening::News {
                router,
                incarnation: member.incarnation,
                rollout_status,
            },
        );
    }

    fn notify_all(&mut self) {
        let rollout_status = self.platform.rollout_status(self.now);
        for region in (0..plan::REGIONS)
            .filter(|region| self.platform_reaches(*region))
            .collect::<Vec<_>>()
        {
            self.received[region] = rollout_status;
        }
        for router in 0..self.members.len() {
            if self.members[router].up && self.platform_reaches(self.members[router].place.region) {
                self.notify(router, rollout_status, STATUS_LAG);
            }
        }
    }

    /// Puts a new build on trial.
    pub fn offer(&mut self, quality: Quality) {
        self.newest = BuildId(self.newest.0 + 1);
        self.qualities.insert(self.newest, quality);
        self.platform.offer(self.now, self.newest);
        self.exposure.begin(self.now, self.platform.cap());
        self.worst_router = Worst::default();
        self.evidence.begin(self.newest.0);
        self.first_outcome = None;
        self.notify_all();
        self.roll_all();
    }

    fn platform_step(&mut self) {
        let up = self.routers_up() as f64;
        self.counts.router_seconds += PLATFORM_STEP * up;
        let moved = self.platform.step(self.now);
        if moved == Some(Move::Released) {
            self.released = self.platform.build();
        }
        let gone =
            self.platform.phase() == Phase::RollingBack && !self.hosts.runs(self.platform.build());
        if gone {
            self.platform.withdrawn(self.now);
        }
        if moved.is_some() || gone {
            self.exposure.set_cap(self.now, self.platform.cap());
            self.notify_all();
            self.roll_all();
        }
        self.after(PLATFORM_STEP, Happening::PlatformStep);
    }

    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    pub fn worst_cold(&self) -> f64 {
        self.hosts.worst_cold
    }

    /// Routers that are up and were last told something else than the platform tells now.
    pub fn differing(&self) -> usize {
        let rollout_status = self.platform.rollout_status(self.now);
        let same = |received: RolloutStatus| {
            (received.build, received.stage, received.phase)
                == (
                    rollout_status.build,
                    rollout_status.stage,
                    rollout_status.phase,
                )
        };
        self.members
            .iter()
            .filter(|member| member.up && !member.received.is_some_and(same))
            .count()
    }

    /// When these parts of the routers that are up had enough evidence.
    pub fn reach<const N: usize>(&self, parts: [f64; N]) -> [Option<f64>; N] {
        self.evidence.reach(parts, |router| self.members[router].up)
    }

    /// So many invocations arrive at one router now, beside those of its rate.
    pub fn inject(&mut self, router: usize, invocations: usize) {
        (0..invocations).for_each(|_| self.arrived(router));
    }
}

/// Where one of so many machines or routers stands: regions one after the other, zones in turn.
fn place(number: usize, all: usize, first_region: f64) -> Place {
    let region = usize::from(number as f64 >= first_region * all as f64);
    Place {
        region,
        zone: region * plan::ZONES_A_REGION + number % plan::ZONES_A_REGION,
    }
}

/// Rates that differ by chance, some several times the mean, and together are as asked.
fn uneven_rates(terms: &FleetTerms, random: &mut ChaCha8Rng) -> Vec<f64> {
    let mut normal = || {
        let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
        radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
    };
    let drawn: Vec<_> = (0..terms.routers)
        .map(|_| (UNEVEN * normal()).exp())
        .collect();
    let sum: f64 = drawn.iter().sum();
    drawn
        .into_iter()
        .map(|rate| rate / sum * terms.rate)
        .collect()
}

fn between([minimum, maximum]: [f64; 2], random: &mut ChaCha8Rng) -> f64 {
    minimum + (maximum - minimum) * random.random::<f64>()
}

fn exponential(mean: f64, random: &mut ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln() * mean
}
