//! A fleet in two regions of five zones each, before a platform that moves builds by the votes of half of all
//! routers, and the failures that such an installation meets.

use kestreltide::interface::*;

use super::fleet::{Fleet, SECOND_REGION};

const ROUTERS: usize = 40;
const HOSTS: usize = 20;
const ZONES: usize = 10;
/// Invocations a second, at each router, unless a story has another rate.
const RATE: f64 = 3.0;
const SHARES: [f64; 3] = [0.1, 0.5, 1.0];
const CAPS: [f64; 3] = [0.15, 0.7, 1.0];
const WINDOW: f64 = 2.0;
const SPARE: f64 = 1.0;
const BAKE: f64 = 3.0;
const STEP: f64 = 0.25;
/// Of a bad build's answers, errors.
const ERRORS: f64 = 0.3;
/// Seconds until regions have missed each other.
const MISSED: f64 = 4.0;

pub struct Regions {
    pub fleet: Fleet,
    pub rate: f64,
    /// Machines of the first region get a build before all others.
    pub first_region_first: bool,
    released: BuildId,
    /// When the present stage, and the present canary, began.
    stage_since: f64,
    trial_since: f64,
    /// The caps of the present canary, and since when.
    caps: Vec<(f64, f64)>,
    apart_since: f64,
}

/// What became of a build, after so many seconds, and the last stage it was on canary in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decided {
    pub phase: Phase,
    pub after: f64,
    pub stage: u32,
}

impl Regions {
    /// A settled fleet, of whose routers so many are in the first region.
    pub fn new(first_region: usize, seed: u64) -> Self {
        let votes = (ROUTERS / 2) as u32;
        let settings = ServiceSettings {
            promote_votes: votes,
            roll_back_votes: votes,
            vote_rate: 16.0,
            vote_lifetime: 10.0,
            bake_time: BAKE,
            stage_shares: SHARES.to_vec(),
            stage_caps: CAPS.to_vec(),
            exposure_window: WINDOW,
            exposure_allowance: SPARE,
            ..super::settings()
        };
        let host = |id: usize| HostEntry {
            zone: ZoneId((id % ZONES) as u64),
            ..super::host(id as u64, super::OLD, None)
        };
        let mut fleet = Fleet::new(settings, ROUTERS, (0..HOSTS).map(host).collect(), seed);
        fleet.first_region = first_region;
        fleet.run(6.0, |_| RATE);
        let now = fleet.now;
        Regions {
            fleet,
            rate: RATE,
            first_region_first: false,
            released: super::OLD,
            stage_since: now,
            trial_since: now,
            caps: vec![],
            apart_since: f64::INFINITY,
        }
    }

    /// The hosts that have the canary build at this stage.
    fn with_canary(&self, stage: u32) -> Vec<usize> {
        let count = (SHARES[stage as usize] * HOSTS as f64).ceil() as usize;
        let later = |id: &usize| self.first_region_first && (id % ZONES) as u64 >= SECOND_REGION;
        // Seven steps through the ring: one of each zone in turn, of both regions.
        let mut order: Vec<_> = (0..HOSTS).map(|id| id * 7 % HOSTS).collect();
        order.sort_by_key(later);
        order.truncate(count);
        order
    }

    fn reaches(&self, host: usize) -> bool {
        self.fleet.platform_reaches[usize::from((host % ZONES) as u64 >= SECOND_REGION)]
    }

    /// Hosts that the platform reaches get the builds of this stage; what changes starts anew.
    fn roll(&mut self) {
        let rollout_status = self.fleet.newest;
        let canary = rollout_status.phase == Phase::Canary;
        let chosen = if canary {
            self.with_canary(rollout_status.stage)
        } else {
            vec![]
        };
        for id in (0..HOSTS)
            .filter(|id| self.reaches(*id))
            .collect::<Vec<_>>()
        {
            let wanted = if chosen.contains(&id) {
                rollout_status.build
            } else {
                self.released
            };
            let started = Some(self.fleet.now);
            let entry = &mut self.fleet.hosts[id].entry;
            if entry.build != wanted {
                *entry = HostEntry {
                    build: wanted,
                    started,
                    ..*entry
                };
            }
        }
        self.fleet.list_all();
    }

    fn enter(&mut self, build: BuildId, stage: u32, phase: Phase, cap: f64) {
        self.stage_since = self.fleet.now;
        self.caps.push((self.fleet.now, cap));
        self.fleet.platform.ballots.clear();
        let rollout_status = RolloutStatus {
            build,
            stage,
            phase,
            cap,
            age: 0.0,
            ..self.fleet.newest
        };
        self.fleet.tell_all(rollout_status);
        self.roll();
    }

    /// Puts the next canary build.
    pub fn offer(&mut self, bad: bool) {
        let build = BuildId(self.fleet.newest.build.0 + 1);
        self.fleet.bad = bad.then_some((build, ERRORS));
        self.trial_since = self.fleet.now;
        self.fleet.exposed_at.clear();
        self.caps.clear();
        self.enter(build, 0, Phase::Canary, CAPS[0]);
    }

    /// So many seconds, or less where the canary build is decided on before.
    pub fn run(&mut self, seconds: f64) -> Option<Decided> {
        let until = self.fleet.now + seconds;
        while self.fleet.now < until {
            let rate = self.rate;
            self.fleet.run(STEP, |_| rate);
            if self.fleet.apart && !self.fleet.missed && self.fleet.now > self.apart_since + MISSED
            {
                self.fleet.missed = true;
                self.fleet.list_all();
            }
            if let Some(decided) = self.step() {
                return Some(decided);
            }
        }
        None
    }

    fn step(&mut self) -> Option<Decided> {
        let (now, rollout_status) = (self.fleet.now, self.fleet.newest);
        if rollout_status.phase != Phase::Canary {
            return None;
        }
        let [on, back] = [Vote::Promote, Vote::RollBack]
            .map(|vote| 2 * self.fleet.platform.standing(vote, now) >= ROUTERS);
        let RolloutStatus { build, stage, .. } = rollout_status;
        let decided = |phase| {
            Some(Decided {
                phase,
                after: now - self.trial_since,
                stage,
            })
        };
        if back {
            let decided = decided(Phase::RollingBack);
            self.enter(build, stage, Phase::RollingBack, 0.0);
            return decided;
        }
        if !on || now - self.stage_since < BAKE {
            return None;
        }
        if stage as usize + 1 < SHARES.len() {
            self.enter(build, stage + 1, Phase::Canary, CAPS[stage as usize + 1]);
            return None;
        }
        self.released = build;
        let decided = decided(Phase::Released);
        self.enter(build, stage, Phase::Released, 1.0);
        decided
    }

    /// Routers and hosts of one in forty of all machines, or of a zone, are lost.
    pub fn lose(&mut self, is_lost: impl Fn(usize) -> bool) {
        (0..ROUTERS)
            .filter(|router| is_lost(*router))
            .for_each(|router| self.fleet.stop(router));
        (0..HOSTS)
            .filter(|host| is_lost(*host))
            .for_each(|host| self.fleet.hosts[host].lost = true);
    }

    /// Discovery has missed what was lost.
    pub fn miss(&mut self) {
        self.fleet.list_all();
    }

    /// What was lost starts anew, cold.
    pub fn restore(&mut self) {
        let now = self.fleet.now;
        for host in self.fleet.hosts.iter_mut().filter(|host| host.lost) {
            (host.lost, host.entry.started, host.came) = (false, Some(now), 0);
        }
        self.roll();
        for router in 0..ROUTERS {
            if self.fleet.down[router] {
                self.fleet.restart(router);
            }
        }
    }

    pub fn part(&mut self, platform_reaches: [bool; 2]) {
        (self.fleet.apart, self.fleet.platform_reaches) = (true, platform_reaches);
        self.apart_since = self.fleet.now;
    }

    pub fn heal(&mut self) {
        (self.fleet.apart, self.fleet.missed) = (false, false);
        self.fleet.platform_reaches = [true; 2];
        let age = self.fleet.now - self.stage_since;
        self.fleet.tell_all(RolloutStatus {
            age,
            ..self.fleet.newest
        });
        self.roll();
    }

    /// Of all windows of this canary, the most attempts at it over what all routers together may send.
    pub fn worst_exposure(&self) -> f64 {
        let exposed = self.fleet.exposed_at.iter();
        let ratios = exposed.map(|at| {
            let within = |times: &[f64]| {
                let first = times.partition_point(|time| *time < at - WINDOW);
                times.partition_point(|time| time <= at) - first
            };
            let first = self
                .caps
                .partition_point(|(since, _)| *since <= at - WINDOW)
                .saturating_sub(1);
            let cap = self.caps[first..]
                .iter()
                .filter(|cap| cap.0 <= *at)
                .map(|cap| cap.1)
                .fold(0.0, f64::max);
            let may = SPARE * ROUTERS as f64 + cap * within(&self.fleet.taken_at) as f64;
            within(&self.fleet.exposed_at) as f64 / may
        });
        ratios.fold(0.0, f64::max)
    }

    /// Whether all routers were last told the same.
    pub fn agree(&self) -> bool {
        let newest = self.fleet.newest;
        let same = |told: &RolloutStatus| {
            (told.build, told.stage, told.phase) == (newest.build, newest.stage, newest.phase)
        };
        self.fleet
            .last_news
            .iter()
            .all(|told| told.as_ref().is_some_and(same))
    }
}
