//! The discovery watch: a watch of the endpoint list that is renewed at once, and lists on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::warn;

use super::event_loop::{EventLoop, SocketOwner, TimerEvent};
use super::metrics::Counter;
use crate::limits::{Limits, ResponseLimits};
use crate::protocol::Malformed;
use crate::protocol::discovery::{self, ChunkedBody, EndpointList, ListWatch, Response};
use crate::transport::{ReadStatus, SocketId, Stream};

const MILLIS_PER_SECOND: f64 = 1e3;
const STATUS_OK: u16 = 200;

/// What a call asks for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Query {
    /// The full list, to begin a watch with.
    InitialFull,
    Changes,
    /// The full list once, for the decisions.
    SingleFull,
}

/// A connection to discovery with one question on it.
pub(super) struct Call {
    stream: Stream,
    query: Query,
    request_number: u64,
    /// How many lists had been accepted when it was asked.
    accepted_before: u64,
    connected_at: f64,
    /// Of an answer that has begun and is not complete.
    partial: Option<PartialResponse>,
    /// The same, where it comes in chunks: what has been read of it.
    chunks: ChunkedBody,
    /// Nothing more comes on the connection.
    is_closed: bool,
}

/// How much of an answer has come.
struct PartialResponse {
    bytes: usize,
    /// When the last of it came.
    last_received: f64,
}

/// How a response ended that is complete.
pub(super) struct ResponseEnd {
    /// What it took of the input.
    pub(super) bytes: usize,
    pub(super) stays_open: bool,
}

/// The calls to discovery, and how far the endpoint list is known.
pub(super) struct DiscoveryWatch {
    address: SocketAddr,
    /// Lists come only when the decisions ask for them.
    on_demand: bool,
    /// Operators alone list the endpoints: discovery is not asked.
    is_disabled: bool,
    is_watch_wanted: bool,
    /// The version of the list that was accepted last.
    version: Option<u64>,
    lists_accepted: u64,
    calls: BTreeMap<SocketId, Call>,
    last_request_number: u64,
    backoff: f64,
    has_answered: bool,
    /// A call found nobody there. One that is refused for want of room has found discovery at work.
    was_unreachable: bool,
    has_list: bool,
}

impl DiscoveryWatch {
    pub(super) fn new(address: SocketAddr, on_demand: bool, limits: &Limits) -> Self {
        DiscoveryWatch {
            address,
            on_demand,
            is_disabled: false,
            is_watch_wanted: !on_demand,
            version: None,
            lists_accepted: 0,
            calls: BTreeMap::new(),
            last_request_number: 0,
            backoff: limits.reconnect_backoff.initial,
            has_answered: false,
            was_unreachable: false,
            has_list: false,
        }
    }

    /// Discovery is not asked from now on.
    pub(super) fn disable(&mut self) {
        self.is_disabled = true;
        self.is_watch_wanted = false;
    }

    /// Whether a list is there to go by, be it a cached one.
    pub(super) fn has_list(&self) -> bool {
        self.has_list || self.is_disabled
    }

    pub(super) fn is_disabled(&self) -> bool {
        self.is_disabled
    }

    pub(super) fn is_on_demand(&self) -> bool {
        self.on_demand
    }

    /// Whether nothing has to be waited for before the router is ready.
    pub(super) fn has_answered(&self) -> bool {
        self.has_answered || self.is_disabled
    }

    /// Whether the first answer is still to come from a discovery that is there.
    pub(super) fn awaits_first_answer(&self) -> bool {
        self.on_demand && !self.has_answered() && !self.was_unreachable
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn connections(&self) -> Vec<SocketId> {
        self.calls.keys().copied().collect()
    }

    /// A list has been applied.
    pub(super) fn record_list_applied(&mut self) {
        self.has_list = true;
    }

    /// A cached list of this version was applied at the start.
    pub(super) fn record_restored(&mut self, version: u64) {
        // What has changed since then is asked for in one call, where a full list and a watch are two: after a
        // mass restart discovery has as many to serve.
        self.version = Some(version).filter(|_| self.on_demand);
    }

    /// Follows the list from now on, or no more.
    pub(super) fn subscribe(&mut self, event_loop: &mut EventLoop, on: bool) -> Option<Call> {
        self.is_watch_wanted = on && !self.is_disabled;
        match self.watch_connection() {
            Some(id) if !self.is_watch_wanted => {
                self.close_call(event_loop, id);
                None
            }
            None if self.is_watch_wanted => self.begin_watch(event_loop),
            _ => None,
        }
    }

    /// Asks for the full list once.
    pub(super) fn fetch_list(&mut self, event_loop: &mut EventLoop) -> Option<Call> {
        if self.is_disabled {
            return None;
        }
        self.start_call(event_loop, Query::SingleFull)
    }

    /// Drops the calls to the old address; the full list is asked for at the new one, as the count of versions
    /// there need not be that of the old one.
    pub(super) fn change_address(
        &mut self,
        event_loop: &mut EventLoop,
        address: SocketAddr,
    ) -> Option<Call> {
        self.address = address;
        self.version = None;
        self.backoff = event_loop.limits.reconnect_backoff.initial;
        for id in self.connections() {
            let Some((query, _)) = self.close_call(event_loop, id) else {
                continue;
            };
            if self.on_demand {
                self.is_watch_wanted &= query == Query::SingleFull;
                event_loop.notify_decisions(Event::EndpointListFailed);
            }
        }
        self.begin_watch(event_loop)
    }

    /// Begins to watch the list, where it is followed and no watch is open.
    pub(super) fn begin_watch(&mut self, event_loop: &mut EventLoop) -> Option<Call> {
        if !self.is_watch_wanted || self.watch_connection().is_some() {
            return None;
        }
        let query = if self.version.is_some() {
            Query::Changes
        } else {
            Query::InitialFull
        };
        self.start_call(event_loop, query)
    }

    fn watch_connection(&self) -> Option<SocketId> {
        self.calls
            .iter()
            .find(|(_, call)| call.query != Query::SingleFull)
            .map(|(id, _)| *id)
    }

    fn start_call(&mut self, event_loop: &mut EventLoop, query: Query) -> Option<Call> {
        match Stream::connect(
            &mut event_loop.reactor,
            self.address,
            SocketOwner::Discovery.priority(),
        ) {
            Ok(stream) => {
                let id = stream.id;
                let call = Call {
                    stream,
                    query,
                    request_number: 0,
                    accepted_before: 0,
                    connected_at: event_loop.now(),
                    partial: None,
                    chunks: ChunkedBody::default(),
                    is_closed: false,
                };
                self.calls.insert(id, call);
                self.send_request(event_loop, id, query)
            }
            Err(e) => {
                let now = event_loop.now();
                self.was_unreachable = true;
                self.on_call_failed(event_loop, query, now, &e.to_string());
                None
            }
        }
    }

    /// Writes the next question on a connection that has none out.
    fn send_request(
        &mut self,
        event_loop: &mut EventLoop,
        id: SocketId,
        query: Query,
    ) -> Option<Call> {
        let now = event_loop.now();
        let call = self.calls.get_mut(&id)?;
        // What was missed comes at once where a watch begins on demand, even if it is nothing.
        let responds_at_once = self.on_demand && call.request_number == 0;
        let hold = if responds_at_once {
            0.0
        } else {
            event_loop.limits.discovery.watch_hold
        };
        self.last_request_number += 1;
        event_loop.metrics.increment(Counter::EndpointListRequests);
        call.query = query;
        call.request_number = self.last_request_number;
        call.partial = None;
        call.accepted_before = self.lists_accepted;
        call.chunks = ChunkedBody::default();
        let watch = self
            .version
            .filter(|_| query == Query::Changes)
            .map(|version| ListWatch {
                known_revision: version,
                hold_millis: (hold * MILLIS_PER_SECOND) as u64,
            });
        discovery::write_list_request(call.stream.output(), self.address, watch);
        let number = call.request_number;
        let is_served_in_turn = self.on_demand && hold <= 0.0 || query == Query::SingleFull;
        let grace = if is_served_in_turn {
            event_loop.limits.discovery.list_poll_timeout
        } else {
            event_loop.limits.discovery.watch_grace
        };
        let timeout = if watch.is_some() { hold } else { 0.0 } + grace;
        event_loop.schedule(now + timeout, TimerEvent::DiscoveryCallTimeout(id, number));
        // A connection that does not come up would cost a whole wait, in which all that is missed counts as told.
        event_loop.schedule(
            now + event_loop.limits.message_stall_timeout,
            TimerEvent::DiscoveryConnectTimeout(id, number),
        );
        self.on_readable(event_loop, id)
    }

    /// Writes what waits and reads what is there; an answer that is complete is to be applied, then completed.
    pub(super) fn on_readable(&mut self, event_loop: &mut EventLoop, id: SocketId) -> Option<Call> {
        let call = self.calls.get_mut(&id)?;
        match call.flush() {
            Ok(true) => {}
            Ok(false) => return None,
            Err(e) => {
                self.was_unreachable = true;
                self.fail_call(event_loop, id, &e.to_string());
                return None;
            }
        }
        call.read(event_loop);
        // Out of the map meanwhile: the list is read from the buffer.
        self.calls.remove(&id)
    }

    /// The input of a call was read up to here: a complete response has been applied. Its connection asks the next
    /// question, waits for the rest of the answer, or is closed.
    pub(super) fn complete(
        &mut self,
        event_loop: &mut EventLoop,
        mut call: Call,
        response: Result<Option<ResponseEnd>, Malformed>,
    ) -> Option<Call> {
        let end = match response {
            Ok(Some(end)) => end,
            Ok(None) if call.is_closed => {
                self.abandon_call(event_loop, call, "the connection ended");
                return None;
            }
            Ok(None) => {
                self.await_rest_of_response(event_loop, call);
                return None;
            }
            Err(why) => {
                event_loop.metrics.increment(Counter::MalformedMessages);
                self.abandon_call(event_loop, call, &why.to_string());
                return None;
            }
        };
        call.stream.consume(end.bytes);
        let can_ask = end.stays_open && !call.is_closed;
        if !can_ask || call.query == Query::SingleFull || !self.is_watch_wanted {
            call.stream.close(&event_loop.reactor);
            return self.begin_watch(event_loop);
        }
        let id = call.stream.id;
        self.calls.insert(id, call);
        self.send_request(event_loop, id, Query::Changes)
    }

    /// How the list is to be applied; none where it brings nothing or has been overtaken.
    ///
    /// # Errors
    ///
    /// Where it brings changes of a version before the one that is known.
    pub(super) fn accept_list(
        &mut self,
        event_loop: &mut EventLoop,
        list: &EndpointList,
        accepted_before: u64,
    ) -> Result<Option<ListScope>, Malformed> {
        if self.version.is_some_and(|version| list.rev < version) {
            if self.lists_accepted != accepted_before {
                // Another list came while this one was under way: it would bring back what has passed. On demand
                // each call is answered, be it with nothing.
                if self.on_demand {
                    event_loop.notify_decisions(Event::EndpointList {
                        scope: ListScope::Delta,
                        entries: [].into(),
                    });
                }
                return Ok(None);
            }
            // Discovery was asked with that list known, and knows less: it has begun to count anew. A full list
            // says where it stands; changes do not, so the full list is asked for next.
            if !list.all {
                self.version = None;
                return Err(Malformed::new(format!(
                    "changes of version {} after a later one",
                    list.rev
                )));
            }
        }
        self.version = Some(list.rev);
        self.lists_accepted += 1;
        self.backoff = event_loop.limits.reconnect_backoff.initial;
        self.has_answered = true;
        let scope = if list.all {
            ListScope::Full
        } else {
            ListScope::Delta
        };
        // On demand each call is answered, be it with nothing.
        let is_applied = list.all || !list.targets.is_empty() || self.on_demand;
        Ok(is_applied.then_some(scope))
    }

    /// The answer is not complete yet. One that has begun and stalls is given up sooner than a quiet watch: what
    /// it was to tell counts as told.
    fn await_rest_of_response(&mut self, event_loop: &mut EventLoop, mut call: Call) {
        let id = call.stream.id;
        let now = event_loop.now();
        let bytes = call.stream.input().len();
        let has_grown = call
            .partial
            .as_ref()
            .is_none_or(|partial| partial.bytes < bytes);
        if bytes > 0 && has_grown {
            if call.partial.is_none() {
                event_loop.schedule(
                    now + event_loop.limits.message_stall_timeout,
                    TimerEvent::DiscoveryAnswerTimeout(id, call.request_number),
                );
            }
            call.partial = Some(PartialResponse {
                bytes,
                last_received: now,
            });
        }
        self.calls.insert(id, call);
    }

    pub(super) fn on_call_timeout(
        &mut self,
        event_loop: &mut EventLoop,
        id: SocketId,
        number: u64,
    ) {
        let is_same = |call: &Call| call.request_number == number;
        if self.calls.get(&id).is_some_and(is_same) {
            self.fail_call(event_loop, id, "no answer came");
        }
    }

    pub(super) fn on_connect_timeout(
        &mut self,
        event_loop: &mut EventLoop,
        id: SocketId,
        number: u64,
    ) {
        let is_unconnected = |call: &mut Call| {
            call.request_number == number && !matches!(call.stream.is_connected(), Ok(true))
        };
        if self.calls.get_mut(&id).is_some_and(is_unconnected) {
            self.was_unreachable = true;
            self.fail_call(event_loop, id, "the connection does not come up");
        }
    }

    pub(super) fn on_response_stall(
        &mut self,
        event_loop: &mut EventLoop,
        id: SocketId,
        number: u64,
    ) {
        let call = self
            .calls
            .get(&id)
            .filter(|call| call.request_number == number);
        let Some(partial) = call.and_then(|call| call.partial.as_ref()) else {
            return;
        };
        let deadline = partial.last_received + event_loop.limits.message_stall_timeout;
        if event_loop.now() < deadline {
            return event_loop.schedule(deadline, TimerEvent::DiscoveryAnswerTimeout(id, number));
        }
        self.fail_call(event_loop, id, "an answer does not end");
    }

    fn close_call(&mut self, event_loop: &mut EventLoop, id: SocketId) -> Option<(Query, f64)> {
        let call = self.calls.remove(&id)?;
        call.stream.close(&event_loop.reactor);
        Some((call.query, call.connected_at))
    }

    fn fail_call(&mut self, event_loop: &mut EventLoop, id: SocketId, why: &str) {
        if let Some(call) = self.calls.remove(&id) {
            self.abandon_call(event_loop, call, why);
        }
    }

    fn abandon_call(&mut self, event_loop: &mut EventLoop, call: Call, why: &str) {
        let query = call.query;
        let connected_at = call.connected_at;
        call.stream.close(&event_loop.reactor);
        self.on_call_failed(event_loop, query, connected_at, why);
    }

    /// On demand the decisions hear of it and ask again; else the watch begins again after a while, later
    /// each time and never in step with other routers, but at once where the connection had stood for long.
    fn on_call_failed(
        &mut self,
        event_loop: &mut EventLoop,
        query: Query,
        connected_at: f64,
        why: &str,
    ) {
        warn!(event_loop.log, "discovery request failed"; "why" => why.to_owned());
        if self.on_demand {
            self.is_watch_wanted &= query == Query::SingleFull;
            return event_loop.notify_decisions(Event::EndpointListFailed);
        }
        let now = event_loop.now();
        let max_backoff = event_loop.limits.reconnect_backoff.maximum;
        let wait = if now - connected_at >= max_backoff {
            0.0
        } else {
            self.backoff * event_loop.backoff_jitter()
        };
        self.backoff = (2.0 * self.backoff).min(max_backoff);
        event_loop.schedule(now + wait, TimerEvent::DiscoveryRetry);
    }
}

impl Call {
    /// How many lists had been accepted when it was asked.
    pub(super) fn accepted_before(&self) -> u64 {
        self.accepted_before
    }

    /// The response in the input, and how many bytes it takes; none where it is not complete.
    ///
    /// # Errors
    ///
    /// Where it is malformed, longer than it may be or reports a failure.
    pub(super) fn response(
        &mut self,
        limits: &ResponseLimits,
    ) -> Result<Option<(Response<'_>, usize)>, Malformed> {
        let input = self.stream.input();
        let Some((response, bytes)) = discovery::parse_response(input, limits, &mut self.chunks)?
        else {
            // Nothing more of it would ever be read.
            if input.len() >= limits.max_total() {
                return Err(Malformed::new(format!(
                    "the answer is too long (over {} bytes)",
                    limits.max_total()
                )));
            }
            return Ok(None);
        };
        if response.status != STATUS_OK {
            return Err(Malformed::new(format!("status {}", response.status)));
        }
        Ok(Some((response, bytes)))
    }

    /// True where all is written; false where the connection is not up, or takes no more now.
    fn flush(&mut self) -> std::io::Result<bool> {
        Ok(self.stream.is_connected()? && self.stream.flush()?)
    }

    /// Reads what is there, up to the longest answer.
    fn read(&mut self, event_loop: &EventLoop) {
        let max_bytes = event_loop.limits.discovery.response.max_total();
        let bytes_per_turn = event_loop.limits.event_loop.read_bytes_per_turn;
        let mut status = ReadStatus::More;
        while status == ReadStatus::More && self.stream.input().len() < max_bytes {
            status = self.stream.read_available(max_bytes, bytes_per_turn);
        }
        self.is_closed = status == ReadStatus::Closed;
    }
}
