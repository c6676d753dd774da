//! Send: dispatches and probes go to hosts, one on a connection at a time, and their ends come back.

use std::net::SocketAddr;

use kestreltide::interface::*;
use kestreltide_settings::{LoadReporting, TransportSettings};
use slog::{debug, warn};

use super::{Due, HOSTS, Routing};
use crate::protocol::Malformed;
use crate::protocol::host::{self, HostResponse};
use crate::protocol::resp::write_bulk;
use crate::transport::{ReadStatus, SocketId, Stream, out_of_descriptors};

const MILLIS: f64 = 1e3;

/// A dispatch that is out.
struct Out {
    request: RequestId,
    no: AttemptNumber,
}

enum Use {
    Idle,
    Dispatch(Out),
    Probe,
}

/// A connection to a host.
pub(super) struct Link {
    stream: Stream,
    host: HostId,
    to: SocketAddr,
    at_use: Use,
    /// Counts the uses, so that an alarm of an earlier one is known.
    number: u64,
    since: f64,
    /// How long it had been without use before.
    unused: f64,
    /// The last byte of the command is written: from then on it may have run.
    written: bool,
}

impl Link {
    pub(super) fn host(&self) -> HostId {
        self.host
    }

    /// The request whose command is not written whole, so that no host has begun it.
    fn unwritten(&self) -> Option<&RequestId> {
        match &self.at_use {
            Use::Dispatch(out) if !self.written => Some(&out.request),
            _ => None,
        }
    }
}

impl Routing {
    pub(super) fn send(
        &mut self,
        request: RequestId,
        host: HostId,
        time_out: f64,
        on: ConnectionRequirements,
    ) {
        let now = self.clock.now();
        let Some(admitted) = self.admitted.get_mut(&request) else {
            return;
        };
        let no = AttemptNumber(admitted.attempts);
        admitted.attempts += 1;
        let left = admitted.left;
        self.tally.attempts += 1;
        // A first attempt follows the read that brought its request, which found no close.
        if left || no.0 > 0 && self.is_client_gone(&request) {
            // Decided before the decisions could hear that the client has left: nothing goes out any more.
            return self.ended(
                Out { request, no },
                host,
                AttemptOutcome::Irrelevant,
                (0.0, 0.0),
                LoadReport::default(),
            );
        }
        let Some(id) = self.link_to(host, now, on) else {
            return self.ended(
                Out { request, no },
                host,
                AttemptOutcome::NoConnection,
                (0.0, 0.0),
                LoadReport::default(),
            );
        };
        // As long as the router will wait, and never told as nothing.
        let millis = (time_out * MILLIS).ceil().max(1.0) as u64;
        if let (Some(link), Some(admitted)) = (self.links.get_mut(&id), self.admitted.get(&request))
        {
            admitted.kept.write(link.stream.output(), millis);
        }
        self.begin_use(
            id,
            Use::Dispatch(Out { request, no }),
            now,
            (time_out, on.write_within),
        );
    }

    pub(super) fn probe(&mut self, host: HostId) {
        let now = self.clock.now();
        let probes = self
            .links
            .values()
            .filter(|link| matches!(link.at_use, Use::Probe))
            .count();
        let room = probes < self.limits.upstream.probes_in_flight;
        let (longest, write_within) = (f64::INFINITY, self.limits.upstream.connect_timeout);
        let any = ConnectionRequirements {
            max_idle: longest,
            min_rest: 0.0,
            max_resting: 1,
            write_within,
        };
        let Some(id) = room.then(|| self.link_to(host, now, any)).flatten() else {
            let load = LoadReport::default();
            return self.events.push_back(Event::HealthCheckFinished {
                host,
                outcome: AttemptOutcome::NoConnection,
                took: 0.0,
                load,
            });
        };
        if let Some(link) = self.links.get_mut(&id) {
            host::write_probe(
                link.stream.output(),
                self.transport.load_reporting != LoadReporting::Off,
            );
        }
        self.begin_use(
            id,
            Use::Probe,
            now,
            (self.limits.upstream.probe_timeout, write_within),
        );
    }

    fn begin_use(
        &mut self,
        id: SocketId,
        at_use: Use,
        now: f64,
        (time_out, write_within): (f64, f64),
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.at_use = at_use;
        link.number += 1;
        (link.since, link.written) = (now, false);
        let number = link.number;
        self.set_due(now + time_out, Due::UseOver(id, number));
        self.write_link(id);
        // Connecting has its time, and what is decided has to be written while what it was decided by holds.
        if self.links.get(&id).is_some_and(|link| !link.written) {
            let within = self.limits.upstream.connect_timeout.min(write_within);
            self.set_due(now + within, Due::WriteOver(id, number));
        }
    }

    /// The freshest connection that has rested for long enough and not been without use for too long, or a new
    /// one.
    fn link_to(&mut self, host: HostId, now: f64, on: ConnectionRequirements) -> Option<SocketId> {
        while let Some((id, since)) =
            self.idle_connections
                .take_rested(host, now - on.min_rest, on.max_resting)
        {
            // Its host may be closing it by now; what is written then is reset, and may not be repeated.
            if now - since > on.max_idle.min(self.limits.upstream.idle_timeout) {
                self.close_link(id);
                self.close_idle(host);
                break;
            }
            // What lies on it would become the next answer; a late copy may have come since the last look.
            let look = |link: &mut Link| {
                link.stream.read_available(1, 1) == ReadStatus::Drained
                    && link.stream.input().is_empty()
            };
            if self.links.get_mut(&id).is_some_and(look) {
                if let Some(link) = self.links.get_mut(&id) {
                    link.unused = now - since;
                }
                return Some(id);
            }
            self.close_link(id);
        }
        let to = self.hosts.address(host)?;
        if self.links.len() >= self.limits.upstream.connections {
            let oldest = self.idle_connections.take_oldest()?;
            self.close_link(oldest);
        }
        let stream = match Stream::connect(&mut self.reactor, to, HOSTS) {
            Ok(stream) => stream,
            Err(e) => {
                debug!(self.log, "no connection to a host"; "to" => %to, "error" => %e);
                if !out_of_descriptors(&e) {
                    return None;
                }
                let oldest = self.idle_connections.take_oldest()?;
                self.close_link(oldest);
                Stream::connect(&mut self.reactor, to, HOSTS).ok()?
            }
        };
        let id = stream.id;
        self.tally.links += 1;
        let link = Link {
            stream,
            host,
            to,
            at_use: Use::Idle,
            number: 0,
            since: now,
            unused: 0.0,
            written: false,
        };
        self.links.insert(id, link);
        Some(id)
    }

    /// Writes what can be written now; false where the connection is gone.
    fn write_link(&mut self, id: SocketId) -> bool {
        let Some(link) = self.links.get_mut(&id) else {
            return false;
        };
        let flushed = link
            .stream
            .is_connected()
            .and_then(|up| if up { link.stream.flush() } else { Ok(false) });
        match flushed {
            Ok(all) => link.written |= all,
            Err(_) => self.link_broke(id),
        }
        self.links.contains_key(&id)
    }

    pub(super) fn link_ready(&mut self, id: SocketId) {
        // What concerns hosts goes before what clients have done: a close may lie unread.
        let waits = self.links.get(&id).and_then(Link::unwritten).cloned();
        if waits.is_some_and(|request| self.is_client_gone(&request)) || !self.write_link(id) {
            return;
        }
        loop {
            let Some(link) = self.links.get_mut(&id) else {
                return;
            };
            if !matches!(link.stream.is_connected(), Ok(true)) {
                return;
            }
            let filled = link.stream.read_available(
                self.limits.resp.message,
                self.limits.event_loop.read_bytes_per_turn,
            );
            self.read_link(id, filled == ReadStatus::Closed);
            if filled == ReadStatus::Closed {
                return self.link_broke(id);
            }
            if filled == ReadStatus::Drained {
                return;
            }
        }
    }

    /// Takes the answer that a connection holds, if it is whole.
    fn read_link(&mut self, id: SocketId, ended: bool) {
        // Out of the map meanwhile: the value is passed on from the buffer it was read into.
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let read = self.take_answer(&link);
        self.links.insert(id, link);
        match read {
            Ok(Some(used)) => self.use_done(id, used, ended),
            Ok(None) => {}
            Err(why) => {
                if self.complain() {
                    warn!(self.log, "a host's answer is malformed, its connection is closed"; "why" => %why);
                }
                self.tally.malformed += 1;
                // It may have run, and what came of it came in time: an error of the host's, not a lost link.
                // As a reset it would count as late, and a few spoilt answers would narrow what is kept open.
                self.end_use(id, |_| AttemptOutcome::Error);
            }
        }
    }

    /// Passes on and books what has come; the bytes it took, None where it is not whole.
    fn take_answer(&mut self, link: &Link) -> Result<Option<usize>, Malformed> {
        let (bytes, host) = (link.stream.input(), link.host);
        let took = self.clock.now() - link.since;
        match &link.at_use {
            Use::Idle if bytes.is_empty() => Ok(None),
            Use::Idle => Err(Malformed::new("nothing was asked")),
            Use::Dispatch(out) => {
                let Some((answer, used)) = host::parse_response(bytes, &self.limits.resp)? else {
                    let room = bytes.len() < self.limits.resp.message;
                    return if room {
                        Ok(None)
                    } else {
                        Err(Malformed::new("an answer is too long"))
                    };
                };
                let (outcome, load) = match answer {
                    // No host has begun it.
                    HostResponse::Value { .. } if !link.written => {
                        return Err(Malformed::new(
                            "a value for a command that has not been written",
                        ));
                    }
                    HostResponse::Value { value, load } => {
                        self.relay_value(&out.request, value);
                        (AttemptOutcome::Succeeded, load)
                    }
                    HostResponse::Error { load } => (AttemptOutcome::Error, load),
                    HostResponse::Rejected { load } => (AttemptOutcome::Rejected, load),
                    HostResponse::UnknownCommand(line) => {
                        warn!(self.log, "a host refused the form of a command"; "line" => line.to_owned());
                        (AttemptOutcome::Error, None)
                    }
                };
                let load = load.filter(|_| self.transport.load_reporting == LoadReporting::Inline);
                let load = load
                    .map(TransportSettings::load_by_name)
                    .unwrap_or_default();
                self.ended(
                    Out {
                        request: out.request.clone(),
                        no: out.no,
                    },
                    host,
                    outcome,
                    (took, link.unused),
                    load,
                );
                Ok(Some(used))
            }
            Use::Probe => {
                let Some((response, used)) = host::parse_probe_response(bytes, &self.limits.resp)?
                else {
                    let room = bytes.len() < self.limits.resp.message;
                    return if room {
                        Ok(None)
                    } else {
                        Err(Malformed::new("an answer is too long"))
                    };
                };
                let outcome = if response.is_healthy {
                    AttemptOutcome::Succeeded
                } else {
                    AttemptOutcome::Error
                };
                let load = response
                    .load
                    .map(TransportSettings::load_by_name)
                    .unwrap_or_default();
                self.events.push_back(Event::HealthCheckFinished {
                    host,
                    outcome,
                    took,
                    load,
                });
                Ok(Some(used))
            }
        }
    }

    fn relay_value(&mut self, request: &RequestId, value: &[u8]) {
        if self.answer(request, |out| write_bulk(out, value)) {
            self.tally.succeeded += 1;
        }
    }

    /// The connection is without use again, and kept where the host may be used again.
    fn use_done(&mut self, id: SocketId, used: usize, ended: bool) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.stream.consume(used);
        link.at_use = Use::Idle;
        link.number += 1;
        let clean = link.stream.input().is_empty() && link.stream.unwritten() == 0 && !ended;
        // The host may be gone, or another machine have its id by now.
        let wanted = self.hosts.wanted(link.host, link.to)
            && self.idle_connections.count() < self.limits.upstream.idle_connections;
        if clean && wanted {
            self.idle_connections.insert(link.host, id, now);
        } else {
            self.close_link(id);
        }
    }

    /// The connection broke or was never up. An answer that had come before counts; else what it carried ends by
    /// how far its command had come.
    fn link_broke(&mut self, id: SocketId) {
        self.last_look(id);
        let outcome = |written| {
            if written {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::NoConnection
            }
        };
        self.end_use(id, outcome);
    }

    /// Takes an answer that is here already, before what it answers is given up.
    fn last_look(&mut self, id: SocketId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if !matches!(link.at_use, Use::Idle) && matches!(link.stream.is_connected(), Ok(true)) {
            let filled = link
                .stream
                .read_available(self.limits.resp.message, self.limits.resp.message);
            self.read_link(id, filled == ReadStatus::Closed);
        }
    }

    /// Gives up what a connection carries; giving up closes it.
    fn end_use(&mut self, id: SocketId, outcome: impl Fn(bool) -> AttemptOutcome) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let (outcome, host) = (outcome(link.written), link.host);
        let took = self.clock.now() - link.since;
        match link.at_use {
            Use::Idle => self.idle_connections.remove(host, id),
            Use::Dispatch(out) => self.ended(
                out,
                host,
                outcome,
                (took, link.unused),
                LoadReport::default(),
            ),
            Use::Probe => {
                self.events.push_back(Event::HealthCheckFinished {
                    host,
                    outcome,
                    took,
                    load: LoadReport::default(),
                });
            }
        }
        link.stream.close(&self.reactor);
    }

    /// Gives up the attempts whose clients are gone and whose command is not written whole, so that no host has begun
    /// them: a connection may come up long after its client has gone.
    pub(super) fn give_up_unwritten(&mut self) {
        let gone = |request: &RequestId| {
            self.admitted
                .get(request)
                .is_some_and(|admitted| admitted.left)
        };
        let waits = |link: &Link| link.unwritten().is_some_and(gone);
        let given_up = self
            .links
            .iter()
            .filter(|(_, link)| waits(link))
            .map(|(id, _)| *id);
        for id in given_up.collect::<Vec<_>>() {
            self.end_use(id, |_| AttemptOutcome::Irrelevant);
        }
    }

    pub(super) fn close_link(&mut self, id: SocketId) {
        if let Some(link) = self.links.remove(&id) {
            link.stream.close(&self.reactor);
        }
    }

    /// Closes what is without use and leads to hosts that are gone, drained or elsewhere.
    pub(super) fn close_unwanted(&mut self) {
        let idle = self.idle_connections.ids();
        let unwanted = |id: &SocketId| {
            self.links
                .get(id)
                .is_some_and(|l| !self.hosts.wanted(l.host, l.to))
        };
        for id in idle.into_iter().filter(unwanted).collect::<Vec<_>>() {
            self.end_use(id, |_| AttemptOutcome::Irrelevant);
        }
    }

    /// Timers come after all that the last wait told of; what has come since then is here all the same.
    pub(super) fn use_over(&mut self, id: SocketId, number: u64) {
        let same = |link: &Link| link.number == number;
        if self.links.get(&id).is_some_and(same) {
            self.last_look(id);
        }
        if self.links.get(&id).is_some_and(same) {
            // A command whose last byte was never written has not been begun.
            self.end_use(id, |written| {
                if written {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::NoConnection
                }
            });
        }
    }

    pub(super) fn write_over(&mut self, id: SocketId, number: u64) {
        if self
            .links
            .get(&id)
            .is_some_and(|link| link.number == number && !link.written)
        {
            self.link_broke(id);
        }
    }

    pub(super) fn recall(&mut self, request: &RequestId, no: AttemptNumber) {
        let of = |link: &Link| matches!(&link.at_use, Use::Dispatch(out) if out.request == *request && out.no == no);
        if let Some(id) = self
            .links
            .iter()
            .find(|(_, link)| of(link))
            .map(|(id, _)| *id)
        {
            self.end_use(id, |_| AttemptOutcome::Cancelled);
        }
    }

    fn ended(
        &mut self,
        out: Out,
        host: HostId,
        outcome: AttemptOutcome,
        times: (f64, f64),
        load: LoadReport,
    ) {
        self.tally.count(outcome);
        let Out {
            request,
            no: attempt,
        } = out;
        let over = self
            .admitted
            .get(&request)
            .is_none_or(|admitted| admitted.left);
        let (took, unused) = (times.0, Some(times.1));
        self.events.push_back(Event::AttemptFinished {
            request,
            attempt,
            host,
            outcome,
            over,
            took,
            load,
            unused,
        });
    }
}
