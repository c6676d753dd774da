//! A simulated fleet in two regions of five zones each, with a platform that promotes and rolls back builds by the
//! votes of half of all routers. Machines, zones and the network between the regions can fail. All times are in
//! seconds.

use kestreltide::interface::*;

use super::fleet::{Fleet, SECOND_REGION};

const ROUTERS: usize = 40;
const HOSTS: usize = 20;
const ZONES: usize = 10;
/// Requests per second at each router, unless a test sets another rate.
const REQUEST_RATE: f64 = 3.0;
/// The fraction of hosts with the canary build in each stage.
const STAGE_SHARES: [f64; 3] = [0.1, 0.5, 1.0];
/// The largest fraction of requests that the canary may get in each stage.
const STAGE_CAPS: [f64; 3] = [0.15, 0.7, 1.0];
/// The length of the windows for which the cap holds.
const EXPOSURE_WINDOW: f64 = 2.0;
/// Attempts at the canary that each router may start in a window beyond the cap.
const EXPOSURE_ALLOWANCE: f64 = 1.0;
/// The minimum time in a stage.
const BAKE_TIME: f64 = 3.0;
/// The time between two checks of the votes.
const STEP_TIME: f64 = 0.25;
/// The fraction of a bad build's replies that are errors.
const BAD_BUILD_ERROR_RATE: f64 = 0.3;
/// The time after a network partition at which each region removes the hosts of the other from its endpoint list.
const PARTITION_DETECTION_TIME: f64 = 4.0;

/// The fleet and the state of its rollout.
pub struct Regions {
    pub fleet: Fleet,
    /// Requests per second at each router.
    pub request_rate: f64,
    /// Whether hosts of the first region get a canary build before all others.
    pub deploys_first_region_first: bool,
    /// The build of all hosts that do not run the canary.
    released_build: BuildId,
    stage_started_at: f64,
    canary_started_at: f64,
    /// The caps of the current canary, each with the time from which it applied.
    cap_history: Vec<(f64, f64)>,
    /// The time of the last network partition.
    partitioned_at: f64,
}

/// The outcome of a canary build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// `Released` or `RollingBack`.
    pub phase: Phase,
    /// The time since the canary began.
    pub elapsed: f64,
    /// The stage of the canary when the outcome was decided.
    pub stage: u32,
}

impl Regions {
    /// Creates a fleet with this many of its routers in the first region, and runs it for 6 s.
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
        // Zones from `SECOND_REGION` on are in the second region.
        let later =
            |id: &usize| self.deploys_first_region_first && (id % ZONES) as u64 >= SECOND_REGION;
        // Steps of 7 visit every host once, and every zone once in ten steps.
        let mut order: Vec<_> = (0..HOSTS).map(|id| id * 7 % HOSTS).collect();
        order.sort_by_key(later);
        order.truncate(count);
        order
    }

    /// Whether the host's region is connected to the platform.
    fn host_reaches_platform(&self, host: usize) -> bool {
        self.fleet.reaches_platform[usize::from((host % ZONES) as u64 >= SECOND_REGION)]
    }

    /// Gives all hosts that are connected to the platform the builds of this stage; hosts whose build changes restart.
    fn deploy(&mut self) {
        let rollout_status = self.fleet.status;
        let is_canary = rollout_status.phase == Phase::Canary;
        let canary_hosts = if is_canary {
            self.canary_hosts(rollout_status.stage)
        } else {
            vec![]
        };
        for id in (0..HOSTS)
            .filter(|id| self.host_reaches_platform(*id))
            .collect::<Vec<_>>()
        {
            let build = if canary_hosts.contains(&id) {
                rollout_status.build
            } else {
                self.released_build
            };
            let started = Some(self.fleet.now);
            let entry = &mut self.fleet.hosts[id].entry;
            if entry.build != build {
                *entry = HostEntry {
                    build,
                    started,
                    ..*entry
                };
            }
        }
        self.fleet.publish_endpoint_lists();
    }

    /// Publishes a new status, discards all votes and deploys the builds of the stage.
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

    /// Starts the canary of the next build; with `bad`, a fraction of its replies are errors.
    pub fn start_canary(&mut self, bad: bool) {
        let build = BuildId(self.fleet.status.build.0 + 1);
        self.fleet.failing_build = bad.then_some((build, BAD_BUILD_ERROR_RATE));
        self.canary_started_at = self.fleet.now;
        self.fleet.canary_attempt_times.clear();
        self.cap_history.clear();
        self.enter_stage(build, 0, Phase::Canary, STAGE_CAPS[0]);
    }

    /// Simulates this many seconds, or less if the canary is released or rolled back before.
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

    /// Promotes or rolls back the canary if enough routers vote for it.
    fn advance_rollout(&mut self) -> Option<Decision> {
        let (now, rollout_status) = (self.fleet.now, self.fleet.status);
        if rollout_status.phase != Phase::Canary {
            return None;
        }
        let [may_promote, may_roll_back] = [Vote::Promote, Vote::RollBack]
            .map(|vote| 2 * self.fleet.platform.valid_votes(vote, now) >= ROUTERS);
        let RolloutStatus { build, stage, .. } = rollout_status;
        let decision = |phase| {
            Some(Decision {
                phase,
                elapsed: now - self.canary_started_at,
                stage,
            })
        };
        if may_roll_back {
            let decision = decision(Phase::RollingBack);
            self.enter_stage(build, stage, Phase::RollingBack, 0.0);
            return decision;
        }
        if !may_promote || now - self.stage_started_at < BAKE_TIME {
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

    /// Stops the routers and hosts with the numbers for which `is_failed` holds.
    pub fn fail_machines(&mut self, is_failed: impl Fn(usize) -> bool) {
        (0..ROUTERS)
            .filter(|router| is_failed(*router))
            .for_each(|router| self.fleet.kill(router));
        (0..HOSTS)
            .filter(|host| is_failed(*host))
            .for_each(|host| self.fleet.hosts[host].has_failed = true);
    }

    /// Publishes endpoint lists without the failed hosts.
    pub fn delist_failed_hosts(&mut self) {
        self.fleet.publish_endpoint_lists();
    }

    /// Restarts all failed routers and hosts; the hosts have to warm up.
    pub fn restart_failed_machines(&mut self) {
        let now = self.fleet.now;
        for host in self.fleet.hosts.iter_mut().filter(|host| host.has_failed) {
            (host.has_failed, host.entry.started, host.received) = (false, Some(now), 0);
        }
        self.deploy();
        for router in 0..ROUTERS {
            if self.fleet.down[router] {
                self.fleet.restart(router);
            }
        }
    }

    /// Cuts the network between the regions; `reaches_platform` says which regions stay connected to the platform.
    pub fn partition(&mut self, reaches_platform: [bool; 2]) {
        (self.fleet.is_partitioned, self.fleet.reaches_platform) = (true, reaches_platform);
        self.partitioned_at = self.fleet.now;
    }

    /// Restores the network, and sends all routers the current status and endpoint list.
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

    /// The highest ratio, over all windows of this canary, of attempts at the canary to the attempts that all routers
    /// together may start in the window. The cap holds if it is at most 1.
    pub fn worst_exposure(&self) -> f64 {
        let attempt_times = self.fleet.canary_attempt_times.iter();
        let ratios = attempt_times.map(|at| {
            let count_in_window = |times: &[f64]| {
                let first = times.partition_point(|time| *time < at - EXPOSURE_WINDOW);
                times.partition_point(|time| time <= at) - first
            };
            let first = self
                .cap_history
                .partition_point(|(since, _)| *since <= at - EXPOSURE_WINDOW)
                .saturating_sub(1);
            // The highest cap in force during the window.
            let cap = self.cap_history[first..]
                .iter()
                .filter(|cap| cap.0 <= *at)
                .map(|cap| cap.1)
                .fold(0.0, f64::max);
            let allowed = EXPOSURE_ALLOWANCE * ROUTERS as f64
                + cap * count_in_window(&self.fleet.request_times) as f64;
            count_in_window(&self.fleet.canary_attempt_times) as f64 / allowed
        });
        ratios.fold(0.0, f64::max)
    }

    /// Whether the last status that each router received is the platform's current one.
    pub fn routers_agree(&self) -> bool {
        let current = self.fleet.status;
        let is_current = |status: &RolloutStatus| {
            (status.build, status.stage, status.phase)
                == (current.build, current.stage, current.phase)
        };
        self.fleet
            .last_status
            .iter()
            .all(|status| status.as_ref().is_some_and(is_current))
    }
}
