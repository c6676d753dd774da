//! What discovery lists: versions, the changes between them, and the bodies of its answers.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

/// Versions whose changes are kept; whoever knows an older one gets the whole list.
const KEPT: usize = 4096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Terminating,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub host: u32,
    pub endpoint: SocketAddr,
    pub zone: u32,
    pub rack: u32,
    pub state: Listed,
    pub size: f64,
    pub boot_ms: u64,
    pub build: u16,
}

impl Entry {
    fn render(&self, out: &mut String) {
        let Entry {
            host,
            endpoint,
            zone,
            rack,
            state,
            size,
            boot_ms,
            build,
        } = self;
        let _ = write!(
            out,
            "{{\"uid\":\"h{host}\",\"endpoint\":\"{endpoint}\",\"az\":\"z{zone}\",\"model\":\"m\",\
             \"pod_group\":{rack},\"state\":\"{state:?}\",\"capacity_hint\":{size},\
             \"boot_ms\":{boot_ms},\"build\":{build}}}"
        );
    }
}

/// Which hosts a router is told of: those with lower numbers than this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Scope(pub u32);

/// An answer to one question.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub version: u64,
    pub complete: bool,
    pub body: Arc<str>,
    /// The hosts that it tells, and whether it says that they are being shut down or gone.
    pub received: Arc<[(u32, bool)]>,
}

#[derive(Default)]
pub struct Registry {
    version: u64,
    listed: BTreeMap<u32, Entry>,
    /// Changes since the last version.
    open: BTreeMap<u32, Entry>,
    /// For each version, the hosts that it changed.
    changed: BTreeMap<u64, Vec<u32>>,
    /// Hosts that are gone; they are told among changes only.
    gone: BTreeMap<u32, Entry>,
    answers: HashMap<(Scope, Option<u64>), Answer>,
}

impl Registry {
    /// The version in which all that was noted by now will be published.
    pub fn next_version(&self) -> u64 {
        self.version + 1
    }

    pub fn note(&mut self, entry: Entry) {
        self.open.insert(entry.host, entry);
    }

    /// Publishes what was noted; the new version, if there is one.
    pub fn publish(&mut self) -> Option<u64> {
        if self.open.is_empty() {
            return None;
        }
        self.version += 1;
        self.answers.clear();
        let open = std::mem::take(&mut self.open);
        self.changed
            .insert(self.version, open.keys().copied().collect());
        for (host, entry) in open {
            if entry.state == Listed::Gone {
                self.listed.remove(&host);
                self.gone.insert(host, entry);
            } else {
                self.gone.remove(&host);
                self.listed.insert(host, entry);
            }
        }
        while self.changed.len() > KEPT {
            self.changed.pop_first();
        }
        Some(self.version)
    }

    /// The answer to whoever knows this version, or none.
    pub fn answer(&mut self, scope: Scope, known: Option<u64>) -> Answer {
        let kept = |known: &u64| self.changed.range(..=known + 1).next_back().is_some();
        let known = known.filter(|known| *known <= self.version && kept(known));
        if let Some(answer) = self.answers.get(&(scope, known)) {
            return answer.clone();
        }
        let answer = self.render(scope, known);
        self.answers.insert((scope, known), answer.clone());
        answer
    }

    fn render(&self, scope: Scope, known: Option<u64>) -> Answer {
        let mut entries: Vec<&Entry> = match known {
            None => self.listed.values().collect(),
            Some(known) => {
                let mut hosts: Vec<u32> = self
                    .changed
                    .range(known + 1..)
                    .flat_map(|(_, hosts)| hosts)
                    .copied()
                    .collect();
                hosts.sort();
                hosts.dedup();
                let entry = |host: &u32| self.listed.get(host).or_else(|| self.gone.get(host));
                hosts.iter().filter_map(entry).collect()
            }
        };
        entries.retain(|entry| entry.host < scope.0);
        let (version, complete) = (self.version, known.is_none());
        let mut body = format!("{{\"rev\":{version},\"all\":{complete},\"targets\":[");
        for (place, entry) in entries.iter().enumerate() {
            body.push_str(if place > 0 { "," } else { "" });
            entry.render(&mut body);
        }
        body.push_str("]}");
        let received = entries
            .iter()
            .map(|entry| (entry.host, entry.state != Listed::Ready));
        Answer {
            version,
            complete,
            body: body.into(),
            received: received.collect(),
        }
    }
}

#[cfg(test)]
mod tests;
