//! A fleet in two regions of five zones each, before a platform that moves builds by the votes of half of all
//! routers, and the failures that such an installation meets.

use kestreltide::interface::*;

use super::fleet::{Fleet, SECOND_REGION};

const ROUTERS: usize = 40;
const HOSTS: usize = 20;
const ZONES: usize = 10;
/// Invocations a second, at each router, unless a story has another rate.
const REQUEST_RATE: f64 = 3.0;
const STAGE_SHARES: [f64; 3] = [0.1, 0.5, 1.0];
const STAGE_CAPS: [f64; 3] = [0.15, 0.7, 1.0];
const EXPOSURE_WINDOW: f64 = 2.0;
const EXPOSURE_ALLOWANCE: f64 = 1.0;
const BAKE_TIME: f64 = 3.0;
const STEP_TIME: f64 = 0.25;
/// Of a bad build's answers, errors.
const BAD_BUILD_ERROR_RATE: f64 = 0.3;
/// Seconds until regions have missed each other.
const PARTITION_DETECTION_TIME: f64 = 4.0;

pub struct Regions {
    pub fleet: Fleet,
    pub request_rate: f64,
    /// Machines of the first region get a build before all others.
    pub deploys_first_region_first: bool,
    released_build: BuildId,
    /// When the present stage, and the present canary, began.
    stage_started_at: f64,
    canary_started_at: f64,
    /// The caps of the present canary, and since when.
    cap_history: Vec<(f64, f64)>,
    partitioned_at: f64,
}

/// What became of a build, after so many seconds, and the last stage it was on canary in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    pub phase: Phase,
    pub elapsed: f64,
    pub stage: u32,
}

impl Regions {
    /// A settled fleet, of whose routers so many are in the first region.
    pub fn new(first_region_routers: usize, seed: u64) -> Self {
        let votes = (ROUTERS / 2) as u32;
        let settings = ServiceSettings {
            promote_votes: votes,
            roll_back_votes: votes,
            vote_rate: 16.0,
            vote_lifetime: 10.0,
            bake_time: BAKE_TIME,
            stage_shares: STAGE_SHARES.to_vec(),
            stage_caps: STAGE_CAPS.to_vec(),
            exposure_window: EXPOSURE_WINDOW,
            exposure_allowance: EXPOSURE_ALLOWANCE,
            ..super::service_settings()
        };
        let host = |id: usize| HostEntry {
            zone: ZoneId((id % ZONES) as u64),
            ..super::running_host(id as u64, super::BASELINE_BUILD, None)
        };
        let mut fleet = Fleet::new(settings, ROUTERS, (0..HOSTS).map(host).collect(), seed);
        fleet.first_region_routers = first_region_routers;
        fleet.run(6.0, |_| REQUEST_RATE);
        let now = fleet.now;
        Regions {
            fleet,
            request_rate: REQUEST_RATE,
            deploys_first_region_first: false,
            released_build: super::BASELINE_BUILD,
            stage_started_at: now,
            canary_started_at: now,
            cap_history: vec![],
            partitioned_at: f64::INFINITY,
        }
    }

    /// The hosts that have the canary build at this stage.
    fn canary_hosts(&self, stage: u32) -> Vec<usize> {
        let count = (STAGE_SHARES[stage as usize] * HOSTS as f64).ceil() as usize;
        let later =
            |id: &usize| self.deploys_first_region_first && (id % ZONES) as u64 >= SECOND_REGION;
        // Seven steps through the ring: one of each zone in turn, of both regions.
        let mut order: Vec<_> = (0..HOSTS).map(|id| id * 7 % HOSTS).collect();
        order.sort_by_key(later);
        order.truncate(count);
        order
    }

    fn host_reaches_platform(&self, host: usize) -> bool {
        self.fleet.reaches_platform[usize::from((host % ZONES) as u64 >= SECOND_REGION)]
    }

    /// Hosts that the platform reaches get the builds of this stage; what changes starts anew.
    fn deploy(&mut self) {
        let rollout_status = self.fleet.status;
        let canary = rollout_status.phase == Phase::Canary;
        let chosen = if canary {
            self.canary_hosts(rollout_status.stage)
        } else {
            vec![]
        };
        for id in (0..HOSTS)
            .filter(|id| self.host_reaches_platform(*id))
            .collect::<Vec<_>>()
        {
            let wanted = if chosen.contains(&id) {
                rollout_status.build
            } else {
                self.released_build
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
        self.fleet.publish_endpoint_lists();
    }

    fn enter_stage(&mut self, build: BuildId, stage: u32, phase: Phase, cap: f64) {
        self.stage_started_at = self.fleet.now;
        self.cap_history.push((self.fleet.now, cap));
        self.fleet.platform.votes.clear();
        let rollout_status = RolloutStatus {
            build,
            stage,
            phase,
            cap,
            age: 0.0,
            ..self.fleet.status
        };
        self.fleet.publish_status(rollout_status);
        self.deploy();
    }

    /// Puts the next canary build.
    pub fn start_canary(&mut self, bad: bool) {
        let build = BuildId(self.fleet.status.build.0 + 1);
        self.fleet.failing_build = bad.then_some((build, BAD_BUILD_ERROR_RATE));
        self.canary_started_at = self.fleet.now;
        self.fleet.canary_attempt_times.clear();
        self.cap_history.clear();
        self.enter_stage(build, 0, Phase::Canary, STAGE_CAPS[0]);
    }

    /// So many seconds, or less where the canary build is decision on before.
    pub fn run(&mut self, seconds: f64) -> Option<Decision> {
        let until = self.fleet.now + seconds;
        while self.fleet.now < until {
            let rate = self.request_rate;
            self.fleet.run(STEP_TIME, |_| rate);
            if self.fleet.is_partitioned
                && !self.fleet.partition_detected
                && self.fleet.now > self.partitioned_at + PARTITION_DETECTION_TIME
            {
                self.fleet.partition_detected = true;
                self.fleet.publish_endpoint_lists();
            }
            if let Some(decision) = self.advance_rollout() {
                return Some(decision);
            }
        }
        None
    }

    fn advance_rollout(&mut self) -> Option<Decision> {
        let (now, rollout_status) = (self.fleet.now, self.fleet.status);
        if rollout_status.phase != Phase::Canary {
            return None;
        }
        let [on, back] = [Vote::Promote, Vote::RollBack]
            .map(|vote| 2 * self.fleet.platform.valid_votes(vote, now) >= ROUTERS);
        let RolloutStatus { build, stage, .. } = rollout_status;
        let decision = |phase| {
            Some(Decision {
                phase,
                elapsed: now - self.canary_started_at,
                stage,
            })
        };
        if back {
            let decision = decision(Phase::RollingBack);
            self.enter_stage(build, stage, Phase::RollingBack, 0.0);
            return decision;
        }
        if !on || now - self.stage_started_at < BAKE_TIME {
            return None;
        }
        if stage as usize + 1 < STAGE_SHARES.len() {
            self.enter_stage(
                build,
                stage + 1,
                Phase::Canary,
                STAGE_CAPS[stage as usize + 1],
            );
            return None;
        }
        self.released_build = build;
        let decision = decision(Phase::Released);
        self.enter_stage(build, stage, Phase::Released, 1.0);
        decision
    }

    /// Routers and hosts of one in forty of all machines, or of a zone, are lost.
    pub fn fail_machines(&mut self, is_failed: impl Fn(usize) -> bool) {
        (0..ROUTERS)
            .filter(|router| is_failed(*router))
            .for_each(|router| self.fleet.kill(router));
        (0..HOSTS)
            .filter(|host| is_failed(*host))
            .for_each(|host| self.fleet.hosts[host].lost = true);
    }

    /// Discovery has missed what was lost.
    pub fn delist_failed_hosts(&mut self) {
        self.fleet.publish_endpoint_lists();
    }

    /// What was lost starts anew, cold.
    pub fn restart_failed_machines(&mut self) {
        let now = self.fleet.now;
        for host in self.fleet.hosts.iter_mut().filter(|host| host.lost) {
            (host.lost, host.entry.started, host.received) = (false, Some(now), 0);
        }
        self.deploy();
        for router in 0..ROUTERS {
            if self.fleet.down[router] {
                self.fleet.restart(router);
            }
        }
    }

    pub fn partition(&mut self, reaches_platform: [bool; 2]) {
        (self.fleet.is_partitioned, self.fleet.reaches_platform) = (true, reaches_platform);
        self.partitioned_at = self.fleet.now;
    }

    pub fn heal_partition(&mut self) {
        (self.fleet.is_partitioned, self.fleet.partition_detected) = (false, false);
        self.fleet.reaches_platform = [true; 2];
        let age = self.fleet.now - self.stage_started_at;
        self.fleet.publish_status(RolloutStatus {
            age,
            ..self.fleet.status
        });
        self.deploy();
    }

    /// Of all windows of this canary, the most attempts at it over what all routers together may send.
    pub fn worst_exposure(&self) -> f64 {
        let exposed = self.fleet.canary_attempt_times.iter();
        let ratios = exposed.map(|at| {
            let within = |times: &[f64]| {
                let first = times.partition_point(|time| *time < at - EXPOSURE_WINDOW);
                times.partition_point(|time| time <= at) - first
            };
            let first = self
                .cap_history
                .partition_point(|(since, _)| *since <= at - EXPOSURE_WINDOW)
                .saturating_sub(1);
            let cap = self.cap_history[first..]
                .iter()
                .filter(|cap| cap.0 <= *at)
                .map(|cap| cap.1)
                .fold(0.0, f64::max);
            let may = EXPOSURE_ALLOWANCE * ROUTERS as f64
                + cap * within(&self.fleet.request_times) as f64;
            within(&self.fleet.canary_attempt_times) as f64 / may
        });
        ratios.fold(0.0, f64::max)
    }

    /// Whether all routers were last told the same.
    pub fn routers_agree(&self) -> bool {
        let status = self.fleet.status;
        let same = |told: &RolloutStatus| {
            (told.build, told.stage, told.phase) == (status.build, status.stage, status.phase)
        };
        self.fleet
            .last_status
            .iter()
            .all(|told| told.as_ref().is_some_and(same))
    }
}
