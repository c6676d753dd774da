//! One failure of the installation, with builds offered before, during and after it.

#[cfg(test)]
mod tests;

use kestreltide::interface::{Phase, Vote};

use super::exposure::Worst;
use super::fleet::{Counts, Fleet, FleetTerms};
use super::hosts::{GOOD, Quality};
use super::network::Place;
use super::plan;

/// A quarter of its answers are errors.
const BAD: Quality = Quality {
    errors: 0.25,
    slower: 1.0,
};
/// Seconds between two looks at the fleet.
const STEP: f64 = 0.25;
/// Seconds before the first build is offered, and between the offer and the failure that meets it.
const SETTLE: f64 = 10.0;
const MEETS: f64 = 4.0;
/// Seconds into a run at which the failure begins.
const BEGINS: f64 = 70.0;
/// Seconds after the failure's end by which all has to be as before.
const RECOVERS: f64 = 90.0;
/// Of all routers, those of a mass restart.
const MASS: f64 = 0.7;
/// Seconds that a run goes on after its last build.
const CALM: f64 = 10.0;
const RACK: usize = 3;
const ZONE: usize = 2;
/// Parts of the routers that evidence has reached.
pub const PARTS: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// One in forty of all machines.
    RackLost,
    /// All machines of a zone, which return cold.
    ZoneLost,
    /// The regions do not reach each other; the platform reaches both of them, or its own only. A rack may be lost
    /// at the same time.
    RegionsApart {
        platform_everywhere: bool,
        rack: bool,
    },
    /// Seven in ten routers at once.
    MassRestart,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    pub failure: Failure,
    /// Whether the builds are bad.
    pub bad: bool,
    /// Seconds that the failure lasts.
    pub lasts: f64,
    pub fleet: FleetTerms,
}

/// When a build is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    Before,
    /// The failure begins while it is on trial.
    AsItBegins,
    During,
    /// The failure ends while it is on trial.
    AsItEnds,
    After,
}

const ALL: [When; 5] = [
    When::Before,
    When::AsItBegins,
    When::During,
    When::AsItEnds,
    When::After,
];

/// A build on trial, and what became of it.
#[derive(Clone, Debug)]
pub struct CanaryRun {
    pub when: When,
    /// Seconds into the run.
    pub offered: f64,
    /// Released or going back, after so many seconds.
    pub decided: Option<(Phase, f64)>,
    /// The last stage that it was on trial in.
    pub stage: u32,
    /// Dispatches at the trial over the cap of all that came, spare ones counted once and for each router.
    pub exposure_once: Worst,
    pub exposure_each: Worst,
    /// Of the worst router, by its own count and what it was told.
    pub exposure_router: Worst,
    pub cast: usize,
    pub turned_away: usize,
    /// Votes that did not reach the platform.
    pub unheard: u64,
    /// The most votes that stood at once, on and back.
    pub standing: [usize; 2],
    /// Seconds from the first outcome until these parts of all routers had evidence enough to vote.
    pub reached: [Option<f64>; PARTS.len()],
}

/// What became of a scenario.
#[derive(Clone, Debug)]
pub struct Played {
    pub scenario: Scenario,
    pub canary_runs: Vec<CanaryRun>,
    /// Offers that were left out, as the build before was still on trial or going back.
    pub left_out: Vec<When>,
    pub counts: Counts,
    pub worst_cold: f64,
    /// Routers that were told something else than the platform says, at the end.
    pub differing: usize,
    /// Simulated seconds, and those that it took.
    pub simulated: f64,
    pub took: f64,
}

impl CanaryRun {
    /// Whether it went as its build deserves.
    pub fn is_right(&self, bad: bool) -> bool {
        let right = if bad {
            Phase::RollingBack
        } else {
            Phase::Released
        };
        self.decided.is_some_and(|(phase, _)| phase == right)
    }
}

impl Played {
    /// Whether a build that met the failure, or was offered during it, was decided on only after its end.
    pub fn waited(&self, canary: &CanaryRun) -> bool {
        let ends = BEGINS + self.scenario.lasts;
        let meets = matches!(canary.when, When::AsItBegins | When::During);
        meets
            && canary
                .decided
                .is_none_or(|(_, time)| canary.offered + time > ends)
    }
}

impl When {
    /// Seconds into the run at which it is offered at the earliest.
    fn earliest(self, ends: f64) -> f64 {
        match self {
            When::Before => SETTLE,
            When::AsItBegins => BEGINS - MEETS,
            When::During => BEGINS + 15.0,
            When::AsItEnds => ends - MEETS,
            When::After => ends + 15.0,
        }
    }
}

/// Votes and counts when a trial began.
struct Begun {
    cast: usize,
    turned_away: usize,
    unheard: u64,
}

struct Play {
    scenario: Scenario,
    fleet: Fleet,
    start: f64,
    open: Option<(CanaryRun, Begun)>,
    next: usize,
    /// Seconds into the run at which the last build was decided.
    closed_at: f64,
    canary_runs: Vec<CanaryRun>,
    left_out: Vec<When>,
}

/// Plays a scenario to its end.
pub fn play(scenario: Scenario) -> Played {
    let began = std::time::Instant::now();
    let fleet = Fleet::new(scenario.fleet.clone());
    let start = fleet.now;
    let (canary_runs, left_out) = (vec![], vec![]);
    let mut play = Play {
        scenario,
        fleet,
        start,
        open: None,
        next: 0,
        closed_at: 0.0,
        canary_runs,
        left_out,
    };
    play.play_out();
    let Play {
        scenario,
        fleet,
        canary_runs,
        left_out,
        ..
    } = play;
    Played {
        scenario,
        canary_runs,
        left_out,
        counts: fleet.counts,
        worst_cold: fleet.worst_cold(),
        differing: fleet.differing(),
        simulated: fleet.now - start,
        took: began.elapsed().as_secs_f64(),
    }
}

impl Play {
    fn play_out(&mut self) {
        let ends = BEGINS + self.scenario.lasts;
        let (mut failed, mut healed) = (false, false);
        loop {
            self.fleet.run(STEP);
            let at = self.fleet.now - self.start;
            if at >= BEGINS && !failed {
                failed = true;
                self.fail();
            }
            if at >= ends && !healed {
                healed = true;
                self.recover();
            }
            self.look(at);
            self.offer_next(at, ends);
            let since = at - self.closed_at;
            let done = self.next == ALL.len() && self.open.is_none() && since > CALM;
            if done || self.open.is_some() && at >= ends + RECOVERS {
                break;
            }
        }
        if let Some(open) = self.open.take() {
            self.close(open, None);
        }
    }

    fn fail(&mut self) {
        let rack = |number: usize, _: Place| number % plan::RACKS == RACK;
        let zone = |_: usize, place: Place| place.zone == ZONE;
        match self.scenario.failure {
            Failure::RackLost => self.fleet.lose(rack, rack),
            Failure::ZoneLost => self.fleet.lose(zone, zone),
            Failure::RegionsApart {
                platform_everywhere,
                rack: lost,
            } => {
                self.fleet.partition(platform_everywhere);
                if lost {
                    self.fleet.lose(rack, rack);
                }
            }
            Failure::MassRestart => {
                let routers = (MASS * self.scenario.fleet.routers as f64) as usize;
                (0..routers).for_each(|router| self.fleet.restart_router(router));
            }
        }
    }

    fn recover(&mut self) {
        match self.scenario.failure {
            Failure::RackLost | Failure::ZoneLost => self.fleet.restore(),
            Failure::RegionsApart { .. } => {
                self.fleet.heal();
                self.fleet.restore();
            }
            Failure::MassRestart => {}
        }
    }

    /// Looks at the build on trial.
    fn look(&mut self, at: f64) {
        let Some((mut canary, begun)) = self.open.take() else {
            return;
        };
        let (platform, now) = (self.fleet.platform(), self.fleet.now);
        let standing = [Vote::Promote, Vote::RollBack].map(|vote| platform.standing(vote, now));
        for (maximum, standing) in canary.standing.iter_mut().zip(standing) {
            *maximum = standing.max(*maximum);
        }
        match platform.phase() {
            Phase::Canary => self.open = Some((canary, begun)),
            phase => {
                let decided = Some((phase, at - canary.offered));
                self.close((canary, begun), decided);
            }
        }
    }

    fn close(&mut self, (mut canary, begun): (CanaryRun, Begun), decided: Option<(Phase, f64)>) {
        let fleet = &self.fleet;
        self.closed_at = fleet.now - self.start;
        canary.decided = decided;
        canary.stage = fleet.platform().stage();
        canary.exposure_once = fleet.exposure.spare_once;
        canary.exposure_each = fleet.exposure.spare_each;
        canary.exposure_router = fleet.worst_router;
        canary.cast = fleet.platform().cast - begun.cast;
        canary.turned_away = fleet.platform().turned_away - begun.turned_away;
        canary.unheard = fleet.counts.votes_unheard - begun.unheard;
        let first = fleet.first_outcome.unwrap_or(fleet.now);
        canary.reached = fleet.reach(PARTS).map(|time| time.map(|time| time - first));
        self.canary_runs.push(canary);
    }

    fn offer_next(&mut self, at: f64, ends: f64) {
        let Some(when) = ALL
            .get(self.next)
            .copied()
            .filter(|when| at >= when.earliest(ends))
        else {
            return;
        };
        let settled = matches!(
            self.fleet.platform().phase(),
            Phase::Released | Phase::RolledBack
        );
        let free = self.open.is_none() && settled;
        let too_late = match when {
            When::During => at >= ends - 2.0 * MEETS,
            When::AsItEnds => at >= ends,
            _ => false,
        };
        if too_late {
            self.left_out.push(when);
            self.next += 1;
        } else if free {
            self.next += 1;
            self.offer(when, at);
        }
    }

    fn offer(&mut self, when: When, at: f64) {
        let platform = self.fleet.platform();
        let (cast, turned_away) = (platform.cast, platform.turned_away);
        let begun = Begun {
            cast,
            turned_away,
            unheard: self.fleet.counts.votes_unheard,
        };
        let canary = CanaryRun {
            when,
            offered: at,
            decided: None,
            stage: 0,
            exposure_once: Worst::default(),
            exposure_each: Worst::default(),
            exposure_router: Worst::default(),
            cast: 0,
            turned_away: 0,
            unheard: 0,
            standing: [0; 2],
            reached: [None; PARTS.len()],
        };
        self.fleet.offer(if self.scenario.bad { BAD } else { GOOD });
        self.open = Some((canary, begun));
    }
}
