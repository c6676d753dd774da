//! Book: which hosts there are and where, and the counts of what was done.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;

use kestreltide::interface::*;
use kestreltide_terms::Names;

use crate::protocol::discovery::Target;

struct Site {
    uid: Box<str>,
    at: SocketAddr,
    state: HostState,
    /// An id and its address may come back as another process.
    process: (u16, Option<f64>),
}

/// Where hosts are, by ids that every router derives alike from discovery's.
pub(super) struct Hosts {
    sites: BTreeMap<HostId, Site>,
    most: usize,
}

/// What a list entry changed.
pub(super) struct Noted {
    pub(super) entry: HostEntry,
    /// Connections without use lead nowhere now, or are not wanted.
    pub(super) drop_idle: bool,
}

impl Hosts {
    pub(super) fn new(most: usize) -> Self {
        Hosts { sites: BTreeMap::new(), most }
    }

    pub(super) fn len(&self) -> usize {
        self.sites.len()
    }

    pub(super) fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.sites.get(&host).map(|site| site.at)
    }

    /// Whether a connection to this host at this address may be used again.
    pub(super) fn wanted(&self, host: HostId, at: SocketAddr) -> bool {
        self.sites.get(&host).is_some_and(|site| site.state == HostState::Running && site.at == at)
    }

    /// The same at every router and after every start, but for the rare uids whose hashes meet.
    pub(super) fn id(&self, uid: &str) -> HostId {
        let mut id = HostId::named(uid);
        while self.sites.get(&id).is_some_and(|site| *site.uid != *uid) {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }

    /// Notes one entry of a list; None where there is no room for one more host.
    pub(super) fn note(&mut self, target: &Target, names: &mut Names) -> Option<Noted> {
        let host = self.id(&target.uid);
        let (at, state) = (target.endpoint, target.state());
        let old = self.sites.get(&host);
        if old.is_none() && self.sites.len() >= self.most {
            return None;
        }
        let process = (target.build, target.started());
        let moved = old.is_some_and(|old| old.at != at || old.process != process);
        let drop_idle = moved || state != HostState::Running;
        self.sites.insert(host, Site { uid: target.uid.as_ref().into(), at, state, process });
        let entry = HostEntry {
            host,
            build: BuildId(target.build),
            zone: names.zone(&target.az),
            cell: CellId(target.pod_group),
            kind: names.kind(&target.model),
            size: target.capacity_hint,
            started: target.started(),
            state,
        };
        Some(Noted { entry, drop_idle })
    }

    /// A whole list has come: who is not in it is gone.
    pub(super) fn only(&mut self, listed: &[HostEntry]) -> Vec<HostId> {
        let listed: BTreeSet<_> = listed.iter().map(|entry| entry.host).collect();
        let missing = self.sites.iter_mut().filter(|(host, _)| !listed.contains(host));
        let gone = missing.map(|(host, site)| {
            site.state = HostState::Gone;
            *host
        });
        gone.collect()
    }

    pub(super) fn forget_gone(&mut self, using: &BTreeSet<HostId>) {
        self.sites.retain(|host, site| site.state != HostState::Gone || using.contains(host));
    }
}

const VERDICTS: [(Verdict, &str); 8] = [
    (Verdict::Succeeded, "succeeded"),
    (Verdict::Error, "error"),
    (Verdict::Full, "full"),
    (Verdict::TimedOut, "timed_out"),
    (Verdict::NoConnection, "no_connection"),
    (Verdict::Reset, "reset"),
    (Verdict::Recalled, "recalled"),
    (Verdict::Moot, "moot"),
];

/// Counts since the state was last told.
#[derive(Default)]
pub(super) struct Tally {
    told: f64,
    pub(super) clients: u64,
    pub(super) taken: u64,
    pub(super) no_room: u64,
    pub(super) succeeded: u64,
    pub(super) throttled: u64,
    pub(super) terminated: u64,
    pub(super) left: u64,
    pub(super) malformed: u64,
    pub(super) dispatches: u64,
    pub(super) links: u64,
    /// Lines that were not written, of too many in a second; when that second began, and its lines.
    unlogged: u64,
    second: (f64, u64),
    ends: [u64; VERDICTS.len()],
}

impl Tally {
    pub(super) fn count(&mut self, verdict: Verdict) {
        if let Some(place) = VERDICTS.iter().position(|(of, _)| *of == verdict) {
            self.ends[place] += 1;
        }
    }

    /// Whether one more line about what others do wrong is within so many a second.
    pub(super) fn complain(&mut self, now: f64, most: u64) -> bool {
        if now - self.second.0 >= 1.0 {
            self.second = (now, 0);
        }
        self.second.1 += 1;
        let may = self.second.1 <= most;
        self.unlogged += u64::from(!may);
        may
    }

    /// The counts, where it is time to tell them; they begin afresh.
    pub(super) fn line(&mut self, now: f64, every: f64) -> Option<String> {
        if now - self.told < every {
            return None;
        }
        let counts = [
            ("clients", self.clients),
            ("taken", self.taken),
            ("no_room", self.no_room),
            ("succeeded", self.succeeded),
            ("throttled", self.throttled),
            ("terminated", self.terminated),
            ("left", self.left),
            ("malformed", self.malformed),
            ("dispatches", self.dispatches),
            ("new_links", self.links),
            ("unlogged", self.unlogged),
        ];
        let mut line = String::new();
        for (name, count) in counts {
            let _ = write!(line, "{name} {count} ");
        }
        line.push_str("ends:");
        for ((_, name), count) in VERDICTS.iter().zip(self.ends).filter(|(_, count)| *count > 0) {
            let _ = write!(line, " {name} {count}");
        }
        *self = Tally { told: now, second: self.second, ..Tally::default() };
        Some(line)
    }
}
