//! Which routers have taken which change of configuration, and when the last one had.

use std::collections::BTreeMap;

use super::plan::IN_FORCE_WITHIN;

/// By which way a change reaches routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// A version of discovery's list.
    List,
    /// A generation of operators' files, at real routers alone.
    Files,
}

#[derive(Clone, Debug, PartialEq)]
struct Open {
    version: u64,
    since: f64,
    phase: usize,
}

/// A change that is in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InForce {
    pub way: Way,
    pub phase: usize,
    pub seconds: f64,
}

/// A router that did not have a change in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Missed {
    pub way: Way,
    pub version: u64,
    pub router: u32,
}

#[derive(Default)]
pub struct Changes {
    open: BTreeMap<Way, Vec<Open>>,
    /// The latest version that each router has, and since when its process runs.
    known: BTreeMap<(Way, u32), u64>,
    running: BTreeMap<u32, f64>,
    /// The longest time from a start to the first list that a router has taken.
    pub first_list: f64,
    pub in_force: Vec<InForce>,
    pub missed: Vec<Missed>,
}

impl Changes {
    pub fn started(&mut self, router: u32, now: f64) {
        self.running.insert(router, now);
    }

    pub fn stopped(&mut self, router: u32) {
        self.running.remove(&router);
        self.known.retain(|(_, of), _| *of != router);
    }

    /// A change was acknowledged, to be in force with this version.
    pub fn acknowledged(&mut self, way: Way, version: u64, phase: usize, now: f64) {
        self.open.entry(way).or_default().push(Open {
            version,
            since: now,
            phase,
        });
    }

    pub fn has(&mut self, way: Way, router: u32, version: u64, now: f64) {
        let first = !self.known.contains_key(&(way, router));
        if let Some(started) = self
            .running
            .get(&router)
            .filter(|_| first && way == Way::List)
        {
            self.first_list = self.first_list.max(now - started);
        }
        let known = self.known.entry((way, router)).or_default();
        *known = version.max(*known);
    }

    /// Closes changes that every running router has; those that one has not in time are missed there. A router
    /// that started later has it with its first list or reading.
    pub fn settle(&mut self, now: f64, concerns: impl Fn(Way, u32) -> bool) {
        let Changes {
            open,
            known,
            running,
            in_force,
            missed,
            ..
        } = self;
        for (way, open) in open {
            open.retain(|change| {
                let lacks = |(router, started): &(&u32, &f64)| {
                    **started <= change.since
                        && concerns(*way, **router)
                        && known
                            .get(&(*way, **router))
                            .is_none_or(|known| *known < change.version)
                };
                let mut lacking = running
                    .iter()
                    .filter(lacks)
                    .map(|(router, _)| *router)
                    .peekable();
                let seconds = now - change.since;
                if lacking.peek().is_none() {
                    in_force.push(InForce {
                        way: *way,
                        phase: change.phase,
                        seconds,
                    });
                    return false;
                }
                if seconds <= IN_FORCE_WITHIN {
                    return true;
                }
                missed.extend(lacking.map(|router| Missed {
                    way: *way,
                    version: change.version,
                    router,
                }));
                false
            });
        }
    }

    /// Whether every running router has some version of the list.
    pub fn all_have_a_list(&self) -> bool {
        self.running
            .keys()
            .all(|router| self.known.contains_key(&(Way::List, *router)))
    }

    /// Changes that are not in force everywhere yet.
    pub fn open(&self) -> usize {
        self.open.values().map(Vec::len).sum()
    }
}

#[cfg(test)]
mod tests;
