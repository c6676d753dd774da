//! The host list: a watch that is renewed at once, and lists on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{info, warn};

use super::metrics::Counter;
use super::upstream_connection::UpstreamConnection;
use super::{DISCOVERY, ReadyReason, Routing, TimerEvent};
use crate::limits::Limits;
use crate::protocol::Malformed;
use crate::protocol::discovery::{self, Chunks, List, Target};
use crate::transport::{ReadStatus, SocketId, Stream};

const MILLIS: f64 = 1e3;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// The whole list, to begin a watch with.
    First,
    Changes,
    /// The whole list once, for the decisions.
    Once,
}

struct Call {
    stream: Stream,
    asked: Asked,
    number: u64,
    /// How many lists had been taken when it was asked.
    taken: u64,
    since: f64,
    /// Of an answer that has begun and is not whole: how much has come, and when the last of it.
    begun: Option<(usize, f64)>,
    /// The same, where it comes in chunks: what has been read of it.
    chunks: Chunks,
}

pub(super) struct DiscoveryWatch {
    at: SocketAddr,
    /// Lists come only when the decisions ask for them.
    on_demand: bool,
    /// Another installation's operators list the hosts: nobody is asked.
    off: bool,
    following: bool,
    rev: Option<u64>,
    /// How many lists were taken.
    taken: u64,
    calls: BTreeMap<SocketId, Call>,
    number: u64,
    wait: f64,
    heard: bool,
    told: bool,
}

impl DiscoveryWatch {
    pub(super) fn new(at: SocketAddr, on_demand: bool, limits: &Limits) -> Self {
        let (calls, wait) = (BTreeMap::new(), limits.reconnect_backoff.initial);
        let following = !on_demand;
        let (off, rev, taken, number, heard, told) = (false, None, 0, 0, false, false);
        DiscoveryWatch {
            at,
            on_demand,
            off,
            following,
            rev,
            taken,
            calls,
            number,
            wait,
            heard,
            told,
        }
    }

    /// Not asked from now on.
    pub(super) fn turn_off(&mut self) {
        (self.off, self.following) = (true, false);
    }

    /// Whether a list is there to go by, be it a remembered one.
    pub(super) fn has_told(&self) -> bool {
        self.told || self.off
    }

    pub(super) fn is_off(&self) -> bool {
        self.off
    }

    pub(super) fn asked_only(&self) -> bool {
        self.on_demand
    }

    pub(super) fn heard(&self) -> bool {
        self.heard || self.on_demand || self.off
    }

    pub(super) fn owns(&self, id: SocketId) -> bool {
        self.calls.contains_key(&id)
    }

    fn watching(&self) -> Option<SocketId> {
        self.calls
            .iter()
            .find(|(_, call)| call.asked != Asked::Once)
            .map(|(id, _)| *id)
    }
}

impl Routing {
    /// What this router knew of the hosts before it was started.
    pub fn restore_endpoint_list(&mut self, list: &List) {
        self.apply_endpoint_list(list, ListScope::Cached);
        // What has changed since then is asked for in one call, where a whole list and a watch are two: after a
        // mass restart discovery has as many to serve.
        self.discovery.rev = Some(list.rev).filter(|_| self.discovery.on_demand);
        self.process_pending();
    }

    pub(super) fn subscribe_endpoint_list(&mut self, on: bool) {
        let on = on && !self.discovery.off;
        self.discovery.following = on;
        match self.discovery.watching() {
            Some(id) if !on => drop(self.drop_call(id)),
            None if on => self.begin_watch(),
            _ => {}
        }
    }

    /// What the old address has told by now is read. The whole list is asked for at the new one, as the count
    /// of versions there need not be that of the old one.
    pub(super) fn change_discovery_address(&mut self, at: SocketAddr) {
        if at == self.discovery.at {
            return;
        }
        let calls: Vec<_> = self.discovery.calls.keys().copied().collect();
        calls.iter().for_each(|id| self.on_discovery_readable(*id));
        (self.discovery.at, self.discovery.rev, self.discovery.wait) =
            (at, None, self.event_loop.limits.reconnect_backoff.initial);
        // Also those that were begun by what has just been read.
        for id in self.discovery.calls.keys().copied().collect::<Vec<_>>() {
            if let Some((asked, _)) = self.drop_call(id)
                && self.discovery.on_demand
            {
                self.discovery.following &= asked == Asked::Once;
                self.event_loop.notify_decisions(Event::EndpointListFailed);
            }
        }
        self.begin_watch();
    }

    pub(super) fn fetch_endpoint_list(&mut self) {
        if !self.discovery.off {
            self.call(Asked::Once);
        }
    }

    pub(super) fn begin_watch(&mut self) {
        if self.discovery.following && self.discovery.watching().is_none() {
            self.call(if self.discovery.rev.is_some() {
                Asked::Changes
            } else {
                Asked::First
            });
        }
    }

    fn call(&mut self, asked: Asked) {
        match Stream::connect(&mut self.event_loop.reactor, self.discovery.at, DISCOVERY) {
            Ok(stream) => {
                let (id, now) = (stream.id, self.event_loop.now());
                let chunks = Chunks::default();
                let call = Call {
                    stream,
                    asked,
                    number: 0,
                    taken: 0,
                    since: now,
                    begun: None,
                    chunks,
                };
                self.discovery.calls.insert(id, call);
                self.ask(id, asked);
            }
            Err(e) => self.on_call_failed(asked, self.event_loop.now(), &e.to_string()),
        }
    }

    /// Writes the next question on a connection that has none out.
    fn ask(&mut self, id: SocketId, asked: Asked) {
        let (now, at, rev) = (self.event_loop.now(), self.discovery.at, self.discovery.rev);
        let Some(call) = self.discovery.calls.get_mut(&id) else {
            return;
        };
        // What was missed comes at once where a watch begins on demand, even if it is nothing.
        let at_once = self.discovery.on_demand && call.number == 0;
        let hold = if at_once {
            0.0
        } else {
            self.event_loop.limits.discovery.watch_hold
        };
        self.discovery.number += 1;
        self.event_loop
            .metrics
            .increment(Counter::EndpointListRequests);
        (call.asked, call.number, call.begun) = (asked, self.discovery.number, None);
        (call.taken, call.chunks) = (self.discovery.taken, Chunks::default());
        let watch = rev
            .filter(|_| asked == Asked::Changes)
            .map(|rev| (rev, (hold * MILLIS) as u64));
        discovery::write_get(call.stream.output(), at, watch);
        let in_turn = self.discovery.on_demand && hold <= 0.0 || asked == Asked::Once;
        let spare = if in_turn {
            self.event_loop.limits.discovery.list_poll_timeout
        } else {
            self.event_loop.limits.discovery.watch_grace
        };
        let patience = if watch.is_some() { hold } else { 0.0 } + spare;
        let number = call.number;
        self.event_loop
            .schedule(now + patience, TimerEvent::DiscoveryCallTimeout(id, number));
        // A connection that does not come up would cost a whole wait, in which all that is missed counts as told.
        self.event_loop.schedule(
            now + self.event_loop.limits.message_stall_timeout,
            TimerEvent::DiscoveryConnectTimeout(id, number),
        );
        self.on_discovery_readable(id);
    }

    pub(super) fn on_discovery_readable(&mut self, id: SocketId) {
        let (most, step) = (
            self.event_loop.limits.discovery.response.max_total(),
            self.event_loop.limits.event_loop.read_bytes_per_turn,
        );
        let Some(call) = self.discovery.calls.get_mut(&id) else {
            return;
        };
        let flushed = call
            .stream
            .is_connected()
            .and_then(|up| if up { call.stream.flush() } else { Ok(false) });
        match flushed {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return self.fail_call(id, &e.to_string()),
        }
        let mut filled = ReadStatus::More;
        while filled == ReadStatus::More && call.stream.input().len() < most {
            filled = call.stream.read_available(most, step);
        }
        // Out of the map meanwhile: the list is read from the buffer.
        let Some(mut call) = self.discovery.calls.remove(&id) else {
            return;
        };
        let answer = self.parse_response(&mut call);
        let ended = filled == ReadStatus::Closed;
        match answer {
            Ok(None) if !ended => self.await_rest_of_answer(id, call),
            Ok(None) => {
                let (asked, since) = (call.asked, call.since);
                call.stream.close(&self.event_loop.reactor);
                self.on_call_failed(asked, since, "the connection ended");
            }
            Ok(Some((used, stays_open))) => {
                let asked = call.asked;
                call.stream.consume(used);
                if ended || !stays_open || asked == Asked::Once || !self.discovery.following {
                    call.stream.close(&self.event_loop.reactor);
                    self.begin_watch();
                } else {
                    self.discovery.calls.insert(id, call);
                    self.ask(id, Asked::Changes);
                }
            }
            Err(why) => {
                let (asked, since) = (call.asked, call.since);
                call.stream.close(&self.event_loop.reactor);
                self.event_loop
                    .metrics
                    .increment(Counter::MalformedMessages);
                self.on_call_failed(asked, since, &why.to_string());
            }
        }
    }

    fn parse_response(&mut self, call: &mut Call) -> Result<Option<(usize, bool)>, Malformed> {
        let (bytes, limits) = (
            call.stream.input(),
            self.event_loop.limits.discovery.response,
        );
        let Some((response, used)) = discovery::response(bytes, &limits, &mut call.chunks)? else {
            let room = bytes.len() < limits.max_total();
            // Nothing more of it would ever be read.
            let long = || {
                Malformed::new(format!(
                    "the answer is too long (over {} bytes)",
                    limits.max_total()
                ))
            };
            return if room { Ok(None) } else { Err(long()) };
        };
        if response.status != 200 {
            return Err(Malformed::new(format!("status {}", response.status)));
        }
        let list = discovery::list(&response.body)?;
        let scope = if list.all {
            ListScope::Full
        } else {
            ListScope::Delta
        };
        if self.discovery.rev.is_some_and(|rev| list.rev < rev) {
            if self.discovery.taken != call.taken {
                // Another list came while this one was under way: it would bring back what has passed. On demand
                // each call is answered, be it with nothing.
                if self.discovery.on_demand {
                    self.event_loop.notify_decisions(Event::EndpointList {
                        scope: ListScope::Delta,
                        entries: [].into(),
                    });
                }
                return Ok(Some((used, response.stays_open)));
            }
            // Who was asked with that list known, and knows less, has begun to count anew. A whole list says where
            // it stands; changes do not, so the whole list is asked for next.
            if !list.all {
                self.discovery.rev = None;
                return Err(Malformed::new(format!(
                    "changes of version {} after a later one",
                    list.rev
                )));
            }
        }
        self.discovery.rev = Some(list.rev);
        self.discovery.taken += 1;
        self.discovery.wait = self.event_loop.limits.reconnect_backoff.initial;
        // On demand each call is answered, be it with nothing.
        if list.all || !list.targets.is_empty() || self.discovery.on_demand {
            self.apply_endpoint_list(&list, scope);
        }
        self.discovery.heard = true;
        self.mark_ready(ReadyReason::Observed);
        Ok(Some((used, response.stays_open)))
    }

    fn apply_endpoint_list(&mut self, list: &List, scope: ListScope) {
        self.discovery.told = true;
        self.finish_staging();
        let whole = scope != ListScope::Delta;
        let mut targets: Vec<_> = list.targets.iter().collect();
        if whole {
            self.warn_of_duplicates(list);
        }
        if self.endpoints.len() + targets.len() > self.event_loop.limits.discovery.hosts {
            self.make_room(&mut targets, whole);
        }
        let mut entries = Vec::with_capacity(targets.len());
        let mut left_out = vec![];
        for target in targets {
            let goes = target.state() == HostState::Gone;
            let (entry, drop_idle) = match self.endpoints.stage_entry(target) {
                Some(staged) => (staged.entry, staged.drop_idle),
                // It takes no room, and whoever still sends to it has to hear of it.
                None if goes => (target.listed().entry(), true),
                None => {
                    left_out.push(target.uid.as_ref());
                    continue;
                }
            };
            if drop_idle {
                self.close_idle_connections(entry.host);
            }
            entries.push(entry);
        }
        if let Some(first) = left_out.first() {
            warn!(self.event_loop.log, "more hosts are listed than can be kept"; "uid" => *first,
                "left_out" => left_out.len(), "most" => self.event_loop.limits.discovery.hosts);
        }
        if whole {
            for host in self.endpoints.retain_listed(&entries) {
                self.close_idle_connections(host);
            }
            entries.extend(self.endpoints.operator_only_entries());
        }
        let youngest = entries
            .iter()
            .filter_map(|entry| entry.started)
            .reduce(f64::max);
        let youngest = youngest.map_or("none".into(), |at| {
            format!("{:.2}", self.event_loop.now() - at)
        });
        info!(self.event_loop.log, "hosts"; "rev" => list.rev, "scope" => ?scope, "entries" => entries.len(),
            "running" => entries.iter().filter(|entry| entry.state == HostState::Running).count(),
            "youngest" => youngest);
        self.event_loop.notify_decisions(Event::EndpointList {
            scope,
            entries: entries.into(),
        });
        self.mark_view_stale();
    }

    /// A whole list names each host once; changes may tell that one went and came again.
    fn warn_of_duplicates(&self, list: &List) {
        let mut hosts: Vec<_> = list
            .targets
            .iter()
            .map(|target| HostId::named(&target.uid))
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        if hosts.len() < list.targets.len() {
            warn!(self.event_loop.log, "hosts stand twice in a list, the last entry counts"; "rev" => list.rev,
                "entries" => list.targets.len(), "hosts" => hosts.len());
        }
    }

    /// Who has left makes room for who comes, and is taken after them: both would else be kept together until the
    /// next sweep, and at the limit who comes be left out.
    fn make_room(&mut self, targets: &mut [&Target], whole: bool) {
        let host = |target: &&Target| HostId::named(&target.uid);
        let last: BTreeMap<_, _> = targets
            .iter()
            .map(|target| (host(target), target.state()))
            .collect();
        let goes = |target: &&Target| last.get(&host(target)) == Some(&HostState::Gone);
        targets.sort_by_key(goes);
        for target in targets.iter().filter(|target| goes(target)) {
            self.endpoints.stage_entry(target);
        }
        if whole {
            let listed: Vec<_> = targets
                .iter()
                .map(|target| target.listed().entry())
                .collect();
            for host in self.endpoints.retain_listed(&listed) {
                self.close_idle_connections(host);
            }
        }
        let using = self
            .upstreams
            .values()
            .map(UpstreamConnection::host)
            .collect();
        self.endpoints.forget_gone(&using);
    }

    pub(super) fn close_idle_connections(&mut self, host: HostId) {
        for id in self.idle_connections.take_all(host) {
            self.close_upstream(id);
        }
    }

    fn drop_call(&mut self, id: SocketId) -> Option<(Asked, f64)> {
        let call = self.discovery.calls.remove(&id)?;
        call.stream.close(&self.event_loop.reactor);
        Some((call.asked, call.since))
    }

    fn fail_call(&mut self, id: SocketId, why: &str) {
        if let Some((asked, since)) = self.drop_call(id) {
            self.on_call_failed(asked, since, why);
        }
    }

    pub(super) fn on_call_timeout(&mut self, id: SocketId, number: u64) {
        if self
            .discovery
            .calls
            .get(&id)
            .is_some_and(|call| call.number == number)
        {
            self.fail_call(id, "no answer came");
        }
    }

    pub(super) fn on_call_connect_timeout(&mut self, id: SocketId, number: u64) {
        let down = |call: &mut Call| {
            call.number == number && !matches!(call.stream.is_connected(), Ok(true))
        };
        if self.discovery.calls.get_mut(&id).is_some_and(down) {
            self.fail_call(id, "the connection does not come up");
        }
    }

    /// The answer is not whole yet. One that has begun and stalls is given up sooner than a quiet watch: what
    /// it was to tell counts as told.
    fn await_rest_of_answer(&mut self, id: SocketId, mut call: Call) {
        let (now, come, number) = (
            self.event_loop.now(),
            call.stream.input().len(),
            call.number,
        );
        if come > 0 && call.begun.is_none_or(|(before, _)| before < come) {
            if call.begun.is_none() {
                self.event_loop.schedule(
                    now + self.event_loop.limits.message_stall_timeout,
                    TimerEvent::DiscoveryAnswerTimeout(id, number),
                );
            }
            call.begun = Some((come, now));
        }
        self.discovery.calls.insert(id, call);
    }

    pub(super) fn on_answer_timeout(&mut self, id: SocketId, number: u64) {
        let call = self
            .discovery
            .calls
            .get(&id)
            .filter(|call| call.number == number);
        let Some((_, last)) = call.and_then(|call| call.begun) else {
            return;
        };
        let until = last + self.event_loop.limits.message_stall_timeout;
        if self.event_loop.now() < until {
            return self
                .event_loop
                .schedule(until, TimerEvent::DiscoveryAnswerTimeout(id, number));
        }
        self.fail_call(id, "an answer does not end");
    }

    /// On demand the decisions hear of it and ask again; else the watch begins again after a while, later
    /// each time and never in step with other routers, but at once where the connection had stood for long.
    fn on_call_failed(&mut self, asked: Asked, since: f64, why: &str) {
        warn!(self.event_loop.log, "discovery does not answer"; "why" => why.to_owned());
        if self.discovery.on_demand {
            self.discovery.following &= asked == Asked::Once;
            return self.event_loop.notify_decisions(Event::EndpointListFailed);
        }
        let now = self.event_loop.now();
        let stood = now - since >= self.event_loop.limits.reconnect_backoff.maximum;
        let at = now
            + if stood {
                0.0
            } else {
                self.discovery.wait * self.event_loop.backoff_jitter()
            };
        self.discovery.wait =
            (2.0 * self.discovery.wait).min(self.event_loop.limits.reconnect_backoff.maximum);
        self.event_loop.schedule(at, TimerEvent::DiscoveryRetry);
    }
}
