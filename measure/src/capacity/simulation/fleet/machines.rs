//! Machines that get a build, are lost and come back, regions that lose each other, and what discovery tells of it.

use super::*;

/// Seconds from a machine's being chosen to its new process taking requests.
const BOOT: [f64; 2] = [1.2, 2.5];
/// Seconds over which the machines of a stage get their build.
const ROLL_SPREAD: f64 = 3.0;
/// Seconds from a process's notice to its end.
const DRAIN: f64 = 2.5;
/// Seconds until a discovery knows of what it is told, and misses what fell silent.
const SENSE: [f64; 2] = [0.05, 0.3];
const MISS: [f64; 2] = [4.0, 6.0];
/// Seconds until two regions that reach each other again have told each other their hosts.
const FIND: [f64; 2] = [1.0, 3.0];
/// Seconds until a router is connected again to a platform that is back.
const RECONNECT: [f64; 2] = [0.2, 2.0];
/// Seconds until the platform tries a machine again that it does not reach.
const TRY_AGAIN: f64 = 2.0;

impl Fleet {
    /// The build that the platform wants a machine to run.
    fn wanted(&self, machine: usize) -> BuildId {
        let canary = self.platform.phase() == Phase::Canary;
        let part = (self.platform.share() * self.order.len() as f64).ceil() as usize;
        if canary && self.order[..part].contains(&machine) {
            self.platform.build()
        } else {
            self.released
        }
    }

    pub(super) fn roll_all(&mut self) {
        let due = |machine: &&usize| self.hosts.newest(**machine).build != self.wanted(**machine);
        let due: Vec<_> = self.order.iter().filter(due).copied().collect();
        for (number, machine) in due.iter().enumerate() {
            let spread = ROLL_SPREAD * number as f64 / due.len() as f64;
            let wait = spread + between(BOOT, &mut self.random);
            self.after(wait, Happening::Roll { machine: *machine });
        }
    }

    pub(super) fn roll(&mut self, machine: usize) {
        if !self.hosts.is_up(machine) {
            return;
        }
        if !self.platform_reaches(self.hosts.place(machine).region) {
            return self.after(TRY_AGAIN, Happening::Roll { machine });
        }
        let (wanted, before) = (self.wanted(machine), *self.hosts.newest(machine));
        if before.state != HostState::Removed && before.build == wanted {
            return;
        }
        let entry = self
            .hosts
            .start(machine, wanted, self.qualities[&wanted], self.now);
        self.note(entry);
        if before.state == HostState::Running {
            let entry = self.hosts.drain(before.host);
            self.note(entry);
            self.after(DRAIN, Happening::EndProcess { host: before.host });
        }
    }

    /// Each region's discovery hears of a host's new state, where it can.
    pub(super) fn note(&mut self, entry: HostEntry) {
        self.note_after(SENSE, entry);
    }

    fn note_after(&mut self, lag: [f64; 2], entry: HostEntry) {
        let of = self.hosts.place_of(entry.host).region;
        for region in 0..plan::REGIONS {
            if of == region || !self.terms.own_hosts_only && self.network.connects(of, region) {
                let lag = between(lag, &mut self.random);
                self.after(lag, Happening::Noted { region, entry });
            }
        }
    }

    pub(super) fn push(&mut self) {
        for region in 0..plan::REGIONS {
            let Some(entries) = self.discovery[region].push() else {
                continue;
            };
            for router in 0..self.members.len() {
                let member = &mut self.members[router];
                if member.up && member.following && member.place.region == region {
                    member.push_at = (self.now + member.push_lag).max(member.push_at + 1e-6);
                    let event = Event::EndpointList {
                        scope: ListScope::Delta,
                        entries: entries.clone(),
                    };
                    let (at, incarnation) = (member.push_at, member.incarnation);
                    self.queue.push(
                        at,
                        Happening::Module {
                            router,
                            incarnation,
                            event,
                        },
                    );
                }
            }
        }
        self.after(PUSH_EVERY, Happening::Push);
    }

    /// These routers and machines are lost at once.
    pub fn lose(
        &mut self,
        routers: impl Fn(usize, Place) -> bool,
        machines: impl Fn(usize, Place) -> bool,
    ) {
        for router in 0..self.members.len() {
            if routers(router, self.members[router].place) {
                self.stop_router(router);
            }
        }
        for machine in 0..self.hosts.machines() {
            if machines(machine, self.hosts.place(machine)) {
                let gone = self.hosts.lose(machine, self.now);
                gone.into_iter()
                    .for_each(|entry| self.note_after(MISS, entry));
            }
        }
    }

    /// What was lost comes back, with new processes.
    pub fn restore(&mut self) {
        for router in 0..self.members.len() {
            if !self.members[router].up {
                self.router_starts(router);
            }
        }
        for machine in 0..self.hosts.machines() {
            if !self.hosts.is_up(machine) {
                self.hosts.restore(machine);
                let wait = between(BOOT, &mut self.random);
                self.after(wait, Happening::Roll { machine });
            }
        }
    }

    /// The regions lose each other; the platform reaches both of them or only its own.
    pub fn partition(&mut self, platform_everywhere: bool) {
        self.network.partition(true);
        self.platform_everywhere = platform_everywhere;
        for region in 0..plan::REGIONS {
            let wait = between(MISS, &mut self.random);
            self.after(wait, Happening::RegionMissed { region });
        }
    }

    /// The regions find each other.
    pub fn heal(&mut self) {
        self.network.partition(false);
        for region in 0..plan::REGIONS {
            let wait = between(FIND, &mut self.random);
            self.after(wait, Happening::RegionFound { region });
        }
        if !self.platform_everywhere {
            let rollout_status = self.platform.rollout_status(self.now);
            self.received.fill(rollout_status);
            for router in 0..self.members.len() {
                if self.members[router].up && self.members[router].place.region != PLATFORM_REGION {
                    self.notify(router, rollout_status, RECONNECT);
                }
            }
        }
        self.platform_everywhere = false;
    }

    fn of_others(&self, region: usize) -> Vec<HostEntry> {
        let other = |entry: &&HostEntry| self.hosts.place_of(entry.host).region != region;
        self.hosts.entries().filter(other).copied().collect()
    }

    /// A region's discovery takes the hosts out that it has not heard of for some time.
    pub(super) fn region_missed(&mut self, region: usize) {
        if (0..plan::REGIONS).all(|other| self.network.connects(region, other)) {
            return;
        }
        for entry in self.of_others(region) {
            self.discovery[region].note(HostEntry {
                state: HostState::Removed,
                ..entry
            });
        }
    }

    pub(super) fn region_found(&mut self, region: usize) {
        if self.terms.own_hosts_only {
            return;
        }
        for entry in self.of_others(region) {
            self.discovery[region].note(entry);
        }
    }
}
