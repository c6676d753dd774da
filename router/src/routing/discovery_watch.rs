//! The discovery client: watches the endpoint list by long polls, or fetches it when the decisions ask for it.
//!
//! A request whose response is late is repeated on a new connection, as its own may be broken. The late one stays open:
//! a discovery that is only slow answers it first. The first response to a watch, late or not, closes all its other
//! calls, and the watch continues on the connection of that response.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{info, warn};

use super::discovery_call::{Call, PartialResponse, Query, ResponseEnd};
use super::event_loop::{EventLoop, SocketOwner, TimerEvent};
use super::metrics::Counter;
use super::watch_timing::WatchTiming;
use crate::limits::Limits;
use crate::protocol::Malformed;
use crate::protocol::discovery::{self, ChunkedBody, EndpointList, ListWatch};
use crate::transport::{SocketId, Stream};

const MILLIS_PER_SECOND: f64 = 1e3;

/// The calls to discovery, and the state of the endpoint list.
pub(super) struct DiscoveryWatch {
    address: SocketAddr,
    /// The list is watched or fetched only when the decisions ask for it (`polls_endpoint_list`).
    on_demand: bool,
    /// Operators alone list the endpoints; discovery is not used.
    is_disabled: bool,
    /// Whether the list is to be watched.
    is_watch_wanted: bool,
    /// The version of the list that was accepted last.
    version: Option<u64>,
    lists_accepted: u64,
    calls: BTreeMap<SocketId, Call>,
    last_request_number: u64,
    timing: WatchTiming,
    /// The next pause before a retry, in seconds, without jitter.
    backoff: f64,
    /// Whether a list was accepted since the start.
    has_answered: bool,
    /// Whether a call could not connect, or lost its connection while it sent its request. A call that discovery
    /// rejects for lack of capacity does not count, as discovery is running.
    was_unreachable: bool,
    /// Whether a list was applied, received or cached.
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
            timing: WatchTiming::default(),
            backoff: limits.reconnect_backoff.initial,
            has_answered: false,
            was_unreachable: false,
            has_list: false,
        }
    }

    /// Stops using discovery.
    pub(super) fn disable(&mut self) {
        self.is_disabled = true;
        self.is_watch_wanted = false;
    }

    /// Whether a list was applied, received or cached, or none is needed.
    pub(super) fn has_list(&self) -> bool {
        self.has_list || self.is_disabled
    }

    pub(super) fn is_disabled(&self) -> bool {
        self.is_disabled
    }

    /// Whether the list is watched or fetched only when the decisions ask for it.
    pub(super) fn is_on_demand(&self) -> bool {
        self.on_demand
    }

    /// Whether discovery has sent a list since the start, or is not used.
    pub(super) fn has_answered(&self) -> bool {
        self.has_answered || self.is_disabled
    }

    /// Whether lists are requested on demand and the first one is still to come from a discovery that is reachable.
    pub(super) fn awaits_first_answer(&self) -> bool {
        self.on_demand && !self.has_answered() && !self.was_unreachable
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The connections of all calls.
    pub(super) fn connections(&self) -> Vec<SocketId> {
        self.calls.keys().copied().collect()
    }

    /// Records that a list was applied.
    pub(super) fn record_list_applied(&mut self) {
        self.has_list = true;
    }

    /// Records that a cached list of this version was applied at the start.
    pub(super) fn record_restored(&mut self, version: u64) {
        // On demand, the changes since then are requested in one call. A full list and a watch would be two, and
        // discovery would have twice as many calls to serve after a mass restart.
        self.version = Some(version).filter(|_| self.on_demand);
    }

    /// Starts or ends the watch of the list.
    pub(super) fn subscribe(&mut self, event_loop: &mut EventLoop, on: bool) -> Option<Call> {
        self.is_watch_wanted = on && !self.is_disabled;
        if !self.is_watch_wanted {
            self.close_watch(event_loop);
        }
        self.begin_watch(event_loop)
    }

    /// Fetches the full list once.
    pub(super) fn fetch_list(&mut self, event_loop: &mut EventLoop) -> Option<Call> {
        if self.is_disabled {
            return None;
        }
        self.start_call(event_loop, Query::SingleFull)
    }

    /// Drops the calls to the old address. Where the list is watched, requests the full list from the new address,
    /// whose version numbers may be unrelated.
    pub(super) fn change_address(
        &mut self,
        event_loop: &mut EventLoop,
        address: SocketAddr,
    ) -> Option<Call> {
        self.address = address;
        self.version = None;
        self.timing = WatchTiming::default();
        self.backoff = event_loop.limits.reconnect_backoff.initial;
        for id in self.connections() {
            let Some(call) = self.calls.remove(&id) else {
                continue;
            };
            // The failure of a late call has been reported.
            let is_reported = call.is_late();
            let is_watch = call.is_watch();
            call.stream.close(&event_loop.reactor);
            if self.on_demand && !is_reported {
                self.is_watch_wanted &= !is_watch;
                event_loop.notify_decisions(Event::EndpointListFailed);
            }
        }
        self.begin_watch(event_loop)
    }

    /// Begins to watch the list, where it is to be watched and no watch is open whose response is not late.
    pub(super) fn begin_watch(&mut self, event_loop: &mut EventLoop) -> Option<Call> {
        let is_watched = |call: &Call| call.is_watch() && !call.is_late();
        if !self.is_watch_wanted || self.calls.values().any(is_watched) {
            return None;
        }
        let query = if self.version.is_some() {
            Query::Changes
        } else {
            Query::InitialFull
        };
        self.start_call(event_loop, query)
    }

    /// Connects to discovery and sends a request. Returns the call where its input is to be processed.
    fn start_call(&mut self, event_loop: &mut EventLoop, query: Query) -> Option<Call> {
        // Otherwise a crowded discovery would have several polls of this router to serve.
        self.close_calls(event_loop, |call| call.is_late() && call.awaits_its_turn());
        match Stream::connect(
            &mut event_loop.reactor,
            self.address,
            SocketOwner::Discovery.stream_role(),
        ) {
            Ok(stream) => {
                let id = stream.id;
                let call = Call {
                    stream,
                    query,
                    request_number: 0,
                    requested_at: event_loop.now(),
                    hold: 0.0,
                    is_served_in_turn: false,
                    late_since: None,
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

    /// Sends a request on a connection without one, and schedules its timeouts. Returns the call where its input is to
    /// be processed.
    fn send_request(
        &mut self,
        event_loop: &mut EventLoop,
        id: SocketId,
        query: Query,
    ) -> Option<Call> {
        let now = event_loop.now();
        let call = self.calls.get_mut(&id)?;
        // The first request of a watch on demand is not held: discovery responds at once, even if nothing has changed.
        let responds_at_once = self.on_demand && call.request_number == 0;
        let version = self.version.filter(|_| query == Query::Changes);
        let is_held = version.is_some() && !responds_at_once;
        let limits = &event_loop.limits.discovery;
        let hold = if is_held {
            self.timing.hold(limits)
        } else {
            0.0
        };
        self.last_request_number += 1;
        event_loop.metrics.increment(Counter::EndpointListRequests);
        call.query = query;
        call.request_number = self.last_request_number;
        call.requested_at = now;
        call.hold = hold;
        call.is_served_in_turn = self.on_demand && responds_at_once || query == Query::SingleFull;
        call.late_since = None;
        call.partial = None;
        call.accepted_before = self.lists_accepted;
        call.chunks = ChunkedBody::default();
        let watch = version.map(|version| ListWatch {
            known_revision: version,
            hold_millis: (hold * MILLIS_PER_SECOND) as u64,
        });
        discovery::write_list_request(call.stream.output(), self.address, watch);
        let number = call.request_number;
        let grace = if call.is_served_in_turn {
            limits.list_poll_timeout
        } else if is_held {
            self.timing.grace(limits)
        } else {
            limits.watch_grace
        };
        let late_at = now + hold + grace;
        event_loop.schedule(late_at, TimerEvent::DiscoveryCallTimeout(id, number));
        // Changes of the list count as known to a router after a fixed time, received or not. A connection that is not
        // established must therefore be noticed sooner than at the call timeout.
        event_loop.schedule(
            now + event_loop.limits.message_stall_timeout,
            TimerEvent::DiscoveryConnectTimeout(id, number),
        );
        self.on_readable(event_loop, id)
    }

    /// Writes the rest of a request and reads the response. Returns the call where its input is to be applied and then
    /// passed to [`DiscoveryWatch::complete`].
    pub(super) fn on_readable(&mut self, event_loop: &mut EventLoop, id: SocketId) -> Option<Call> {
        let call = self.calls.get_mut(&id)?;
        match call.flush() {
            // A late connection has come up after all.
            Ok(true) if call.is_late() => self.was_unreachable = false,
            Ok(true) => {}
            Ok(false) => return None,
            Err(e) => {
                self.was_unreachable = true;
                self.fail_call(event_loop, id, &e.to_string());
                return None;
            }
        }
        call.read(event_loop);
        // Removed from the map while the list borrows from its input buffer; `complete` puts it back.
        self.calls.remove(&id)
    }

    /// Continues a call whose input was processed, with the result `response`: after a complete response its connection
    /// sends the next request or is closed; after an incomplete one it waits for the rest. Returns a call whose input
    /// is to be processed next.
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
        if let Some(since) = call.late_since {
            let late_by = format!("{:.2}", event_loop.now() - since);
            info!(event_loop.log, "late discovery response accepted"; "late_by" => late_by);
        }
        if call.hold <= 0.0 || end.is_unchanged {
            let elapsed = event_loop.now() - call.requested_at;
            self.timing.record_response(elapsed, call.hold);
        }
        if call.is_watch() {
            // A watch that is late on demand is not wanted until the decisions ask again.
            self.is_watch_wanted |= call.is_late();
            self.close_watch(event_loop);
        }
        let can_send_next = end.stays_open && !call.is_closed;
        if !can_send_next || !call.is_watch() || !self.is_watch_wanted {
            call.stream.close(&event_loop.reactor);
            return self.begin_watch(event_loop);
        }
        let id = call.stream.id;
        self.calls.insert(id, call);
        self.send_request(event_loop, id, Query::Changes)
    }

    /// Accepts a received list. Returns how it is to be applied; `None` where it holds nothing, or a newer list was
    /// accepted while it was under way.
    ///
    /// # Errors
    ///
    /// Where it holds changes of a version older than the one it was requested with.
    pub(super) fn accept_list(
        &mut self,
        event_loop: &mut EventLoop,
        list: &EndpointList,
        accepted_before: u64,
    ) -> Result<Option<ListScope>, Malformed> {
        if self.version.is_some_and(|version| list.rev < version) {
            if self.lists_accepted != accepted_before {
                // A newer list was accepted since this one was requested; applying this one would restore old state. On
                // demand the decisions expect an event for each call, so they get an empty list.
                if self.on_demand {
                    event_loop.notify_decisions(Event::EndpointList {
                        scope: ListScope::Delta,
                        entries: [].into(),
                    });
                }
                return Ok(None);
            }
            // Discovery's version is older than the one in the request: it has restarted its count. A full list shows
            // its state; changes do not, so the full list is requested next.
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
        // On demand the decisions expect an event for each call, even for an empty list.
        let is_applied = list.all || !list.targets.is_empty() || self.on_demand;
        Ok(is_applied.then_some(scope))
    }

    /// Waits for the rest of an incomplete response. One that has begun and then stalls is late sooner than a watch
    /// without changes: the changes in it count as known to this router after a fixed time, received or not.
    fn await_rest_of_response(&mut self, event_loop: &mut EventLoop, mut call: Call) {
        let id = call.stream.id;
        let now = event_loop.now();
        let bytes = call.stream.input().len();
        let has_grown = call
            .partial
            .as_ref()
            .is_none_or(|partial| partial.bytes < bytes);
        if bytes > 0 && has_grown {
            if call.partial.is_none() && !call.is_late() {
                event_loop.schedule(
                    now + self.timing.stall_timeout(&event_loop.limits),
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

    /// The call on this connection, if it waits for the response to the request with this number and is not late.
    fn call_in_time(&mut self, id: SocketId, number: u64) -> Option<&mut Call> {
        self.calls
            .get_mut(&id)
            .filter(|call| call.request_number == number && !call.is_late())
    }

    /// Repeats the request with this number, if it has no complete response yet.
    pub(super) fn on_call_timeout(
        &mut self,
        event_loop: &mut EventLoop,
        id: SocketId,
        number: u64,
    ) {
        if self.call_in_time(id, number).is_some() {
            self.mark_late(event_loop, id, "no response in time");
        }
    }

    /// Repeats the request with this number, if its connection is not established yet.
    pub(super) fn on_connect_timeout(
        &mut self,
        event_loop: &mut EventLoop,
        id: SocketId,
        number: u64,
    ) {
        let is_unconnected = |call: &mut Call| !matches!(call.stream.is_connected(), Ok(true));
        if self.call_in_time(id, number).is_some_and(is_unconnected) {
            self.was_unreachable = true;
            self.mark_late(event_loop, id, "the connection does not come up");
        }
    }

    /// Repeats the request with this number, if its response has begun and nothing more was received for the stall
    /// timeout.
    pub(super) fn on_response_stall(
        &mut self,
        event_loop: &mut EventLoop,
        id: SocketId,
        number: u64,
    ) {
        let stall_timeout = self.timing.stall_timeout(&event_loop.limits);
        let call = self.call_in_time(id, number);
        let Some(partial) = call.and_then(|call| call.partial.as_ref()) else {
            return;
        };
        let deadline = partial.last_received + stall_timeout;
        if event_loop.now() < deadline {
            return event_loop.schedule(deadline, TimerEvent::DiscoveryAnswerTimeout(id, number));
        }
        self.mark_late(event_loop, id, "the response stalled");
    }

    /// Reports a call as failed, so that it is repeated, but keeps it open for a late response.
    fn mark_late(&mut self, event_loop: &mut EventLoop, id: SocketId, why: &str) {
        let now = event_loop.now();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.late_since = Some(now);
        let query = call.query;
        let connected_at = call.connected_at;
        self.close_surplus_late_call(event_loop);
        self.on_call_failed(event_loop, query, connected_at, why);
    }

    /// Closes a late call if there are too many: the oldest one where it has been late for long, otherwise the next
    /// one. So a slow discovery has the time to answer the oldest, and the others are replaced by newer ones.
    fn close_surplus_late_call(&mut self, event_loop: &mut EventLoop) {
        let now = event_loop.now();
        let limits = &event_loop.limits.discovery;
        let mut late: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_late())
            .collect();
        late.sort_unstable_by_key(|(_, call)| call.request_number);
        let [(oldest_id, oldest), (second_id, _), ..] = late[..] else {
            return;
        };
        if late.len() <= limits.late_calls {
            return;
        }
        let is_expired = oldest
            .late_since
            .is_some_and(|since| now - since >= limits.late_call_age);
        let surplus_id = if is_expired { *oldest_id } else { *second_id };
        if let Some(call) = self.calls.remove(&surplus_id) {
            call.stream.close(&event_loop.reactor);
        }
    }

    /// Closes all calls of the watch without reporting a failure.
    fn close_watch(&mut self, event_loop: &EventLoop) {
        self.close_calls(event_loop, Call::is_watch);
    }

    /// Closes all calls that `is_closed` selects, without reporting a failure.
    fn close_calls(&mut self, event_loop: &EventLoop, is_closed: impl Fn(&Call) -> bool) {
        let closed = self.calls.extract_if(.., |_, call| is_closed(call));
        closed.for_each(|(_, call)| call.stream.close(&event_loop.reactor));
    }

    /// Abandons the call on this connection.
    fn fail_call(&mut self, event_loop: &mut EventLoop, id: SocketId, why: &str) {
        if let Some(call) = self.calls.remove(&id) {
            self.abandon_call(event_loop, call, why);
        }
    }

    /// Closes a call and reports its failure.
    fn abandon_call(&mut self, event_loop: &mut EventLoop, call: Call, why: &str) {
        let query = call.query;
        let connected_at = call.connected_at;
        let is_reported = call.is_late();
        call.stream.close(&event_loop.reactor);
        if !is_reported {
            self.on_call_failed(event_loop, query, connected_at, why);
        }
    }

    /// Handles a failed call. On demand the decisions are told, and request the list again. Otherwise the watch is
    /// retried with exponential backoff and jitter, or at once where the call had been open for the maximum backoff.
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
