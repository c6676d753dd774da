//! The rules as the stand-ins can see them, over the requests of real routers. Free of input and output: whoever
//! sees something tells it with its time.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::plan::{DRAIN_GRACE, EXPOSURE_SPARE, EXPOSURE_WINDOW, TIME_LIMIT};
use super::rollout::{Progress, Standing};

/// Every time limit is this much longer on sockets, in seconds.
const SOCKETS: f64 = 0.05;
/// A lower cap binds after this time; so many attempts and so much of the cap more pass.
const LOWER_CAP_BINDS: f64 = 0.15;
const MORE_ATTEMPTS: f64 = 2.0;
const MORE_CAP: f64 = 1.04;
/// An answer this much after its time is late, where the machine has other work too.
const LATE: f64 = 0.5;
/// Lines about broken rules that are kept.
const EXAMPLES: usize = 8;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Refused,
    Failed,
    /// No whole answer came.
    Lost,
}

/// Counts over a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    pub requested: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
    /// Went with a router that was ended without notice.
    pub died: u64,
    pub late: u64,
    pub answered_twice: u64,
    pub ran_twice: u64,
    pub past_drain: u64,
    pub over_cap: u64,
    pub attempts: u64,
    pub exposed: u64,
}

#[derive(Default)]
struct RouterSeen {
    /// Times of the requests taken lately, and of the attempts at the build on trial.
    accepted: VecDeque<f64>,
    exposed: VecDeque<f64>,
    /// The build that these attempts were at.
    exposed_to: u16,
    /// What the platform told it last, and when; and before.
    standings: [Option<(f64, Standing)>; 2],
    /// Hosts that it was told are being shut down or gone.
    ended: HashMap<u32, f64>,
}

#[derive(Default)]
pub struct Rules {
    pub seen: Seen,
    routers: BTreeMap<u32, RouterSeen>,
    /// How often each open request with side effects has run.
    runs: HashMap<String, u32>,
    pub examples: Vec<String>,
}

fn forget(times: &mut VecDeque<f64>, before: f64) {
    while times.front().is_some_and(|at| *at < before) {
        times.pop_front();
    }
}

impl Rules {
    fn broken(&mut self, what: impl FnOnce() -> String) {
        if self.examples.len() < EXAMPLES {
            self.examples.push(what());
        }
    }

    pub fn record_request(&mut self, router: u32, now: f64) {
        self.seen.requested += 1;
        let accepted = &mut self.routers.entry(router).or_default().accepted;
        forget(accepted, now - EXPOSURE_WINDOW - SOCKETS);
        accepted.push_back(now);
    }

    pub fn answered(&mut self, router: u32, id: &str, ending: Ending, took: f64) {
        self.runs.remove(id);
        let seen = &mut self.seen;
        match ending {
            Ending::Served => seen.served += 1,
            Ending::Refused => seen.refused += 1,
            Ending::Failed => seen.failed += 1,
            Ending::Lost => seen.lost += 1,
        }
        let late = ending != Ending::Lost && took > TIME_LIMIT + LATE;
        seen.late += u64::from(late);
        if late || ending == Ending::Lost {
            self.broken(|| format!("router {router}, request {id}: {ending:?} after {took:.2} s"));
        }
    }

    /// A request's router went without notice, with all that it held.
    pub fn died_with_router(&mut self, id: &str) {
        self.runs.remove(id);
        self.seen.died += 1;
    }

    /// Something came on a connection on which no answer was due.
    pub fn answered_twice(&mut self, router: u32) {
        self.seen.answered_twice += 1;
        self.broken(|| format!("router {router}: an answer that nobody waits for"));
    }

    /// Discovery has written to a router that this host is being shut down or gone; or that it serves.
    pub fn notified_host(&mut self, router: u32, host: u32, ended: bool, now: f64) {
        let hosts = &mut self.routers.entry(router).or_default().ended;
        if ended {
            hosts.entry(host).or_insert(now);
        } else {
            hosts.remove(&host);
        }
    }

    /// The platform has written to a router where the build stands.
    pub fn received_rollout(&mut self, router: u32, standing: Standing, now: f64) {
        let standings = &mut self.routers.entry(router).or_default().standings;
        if standings[0].is_none_or(|(_, last)| last != standing) {
            *standings = [Some((now, standing)), standings[0]];
        }
    }

    /// A router's process has ended: what it was told is forgotten.
    pub fn stopped(&mut self, router: u32) {
        self.routers.remove(&router);
    }

    /// An attempt has come to a host whole.
    pub fn attempt(&mut self, router: u32, host: u32, build: u16, id: &str, once: bool, now: f64) {
        self.seen.attempts += 1;
        let of = self.routers.entry(router).or_default();
        let past = of.ended.get(&host).map_or(0.0, |received| now - received);
        let may = of.may_expose(build, now);
        if past > DRAIN_GRACE + SOCKETS {
            self.seen.past_drain += 1;
            self.broken(|| {
                format!("router {router}, host {host}: {past:.3} s after it was told of the drain")
            });
        }
        match may {
            Exposure::Baseline => {}
            Exposure::Within => self.seen.exposed += 1,
            Exposure::Over(why) => {
                self.seen.exposed += 1;
                self.seen.over_cap += 1;
                self.broken(|| format!("router {router}, build {build}: {why}"));
            }
        }
        if once {
            let runs = self.runs.entry(id.into()).or_default();
            *runs += 1;
            if *runs > 1 {
                self.seen.ran_twice += 1;
                self.broken(|| {
                    format!("router {router}, request {id}: with side effects, has run twice")
                });
            }
        }
    }
}

enum Exposure {
    Baseline,
    Within,
    Over(String),
}

impl RouterSeen {
    /// Whether one more attempt at this build is within the cap that this router knows of.
    fn may_expose(&mut self, build: u16, now: f64) -> Exposure {
        let [Some((received, last)), before] = self.standings else {
            return Exposure::Baseline;
        };
        let before = before
            .filter(|_| now - received < LOWER_CAP_BINDS + SOCKETS)
            .map(|(_, standing)| standing);
        let known = [Some(last), before].into_iter().flatten();
        let of_build: Vec<_> = known.filter(|standing| standing.build == build).collect();
        if of_build.is_empty()
            || of_build
                .iter()
                .any(|standing| standing.progress == Progress::Live)
        {
            return Exposure::Baseline;
        }
        let testing = of_build
            .iter()
            .filter(|standing| standing.progress == Progress::Testing);
        let Some(cap) = testing.map(|standing| standing.cap).reduce(f64::max) else {
            return Exposure::Over(format!("{:?} since {:.3} s", last.progress, now - received));
        };
        if self.exposed_to != build {
            self.exposed.clear();
            self.exposed_to = build;
        }
        forget(&mut self.exposed, now - EXPOSURE_WINDOW + SOCKETS);
        self.exposed.push_back(now);
        let accepted = self
            .accepted
            .iter()
            .filter(|at| now - **at <= EXPOSURE_WINDOW + SOCKETS)
            .count() as f64;
        let maximum = EXPOSURE_SPARE + MORE_ATTEMPTS + MORE_CAP * cap * accepted;
        if self.exposed.len() as f64 <= maximum {
            return Exposure::Within;
        }
        Exposure::Over(format!(
            "{} attempts where {maximum:.1} are allowed, cap {cap}",
            self.exposed.len()
        ))
    }
}

#[cfg(test)]
mod tests;
