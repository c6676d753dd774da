//! Attempts and health checks: each is carried by an upstream connection, and its outcome goes to the decisions.

use kestreltide::interface::*;
use kestreltide_settings::{LoadReporting, TransportSettings};
use slog::warn;

use super::metrics::Counter;
use super::upstream_connection::{AttemptInFlight, ConnectionUse, UpstreamConnection};
use super::{Routing, TimerEvent};
use crate::protocol::Malformed;
use crate::protocol::host::{self, HostResponse};
use crate::protocol::resp::write_bulk;
use crate::transport::{ReadStatus, SocketId};

const MILLIS: f64 = 1e3;

impl Routing {
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        host: HostId,
        timeout: f64,
        on: ConnectionRequirements,
    ) {
        let now = self.event_loop.now();
        let Some(attempt) = self.requests.begin_attempt(&request) else {
            return;
        };
        self.event_loop.metrics.increment(Counter::AttemptsStarted);
        // A first attempt follows the read that brought its request, which found no close.
        if self.requests.is_abandoned(&request) || attempt.0 > 0 && self.is_client_gone(&request) {
            // Decided before the decisions could hear that the client has left: nothing goes out any more.
            return self.finish_attempt(
                AttemptInFlight { request, attempt },
                host,
                AttemptOutcome::Irrelevant,
                (0.0, 0.0),
                LoadReport::default(),
            );
        }
        let Some(id) =
            self.upstreams
                .checkout(&mut self.event_loop, &self.endpoints, host, now, on)
        else {
            return self.finish_attempt(
                AttemptInFlight { request, attempt },
                host,
                AttemptOutcome::NoConnection,
                (0.0, 0.0),
                LoadReport::default(),
            );
        };
        // As long as the router will wait, and never told as nothing.
        let millis = (timeout * MILLIS).ceil().max(1.0) as u64;
        if let (Some(upstream), Some(command)) =
            (self.upstreams.get_mut(id), self.requests.command(&request))
        {
            command.write(upstream.stream.output(), millis);
        }
        self.begin_use(
            id,
            ConnectionUse::Attempt(AttemptInFlight { request, attempt }),
            now,
            (timeout, on.write_timeout),
        );
    }

    pub(super) fn start_health_check(&mut self, host: HostId) {
        let now = self.event_loop.now();
        let health_checks = self.upstreams.health_checks();
        let room = health_checks < self.event_loop.limits.upstream.probes_in_flight;
        let (longest, write_timeout) = (
            f64::INFINITY,
            self.event_loop.limits.upstream.connect_timeout,
        );
        let any = ConnectionRequirements {
            max_idle: longest,
            min_idle: 0.0,
            max_below_min_idle: 1,
            write_timeout,
        };
        let Some(id) = room
            .then(|| {
                self.upstreams
                    .checkout(&mut self.event_loop, &self.endpoints, host, now, any)
            })
            .flatten()
        else {
            let load = LoadReport::default();
            return self
                .event_loop
                .notify_decisions(Event::HealthCheckFinished {
                    host,
                    outcome: AttemptOutcome::NoConnection,
                    took: 0.0,
                    load,
                });
        };
        if let Some(upstream) = self.upstreams.get_mut(id) {
            host::write_probe(
                upstream.stream.output(),
                self.transport.load_reporting != LoadReporting::Off,
            );
        }
        self.begin_use(
            id,
            ConnectionUse::HealthCheck,
            now,
            (self.event_loop.limits.upstream.probe_timeout, write_timeout),
        );
    }

    fn begin_use(
        &mut self,
        id: SocketId,
        current_use: ConnectionUse,
        now: f64,
        (timeout, write_timeout): (f64, f64),
    ) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let number = upstream.begin_use(current_use, now);
        self.event_loop
            .schedule(now + timeout, TimerEvent::UpstreamUseTimeout(id, number));
        self.flush_upstream(id);
        // Connecting has its time, and what is decided has to be written while what it was decided by holds.
        if self
            .upstreams
            .get(id)
            .is_some_and(|upstream| !upstream.is_written)
        {
            let within = self
                .event_loop
                .limits
                .upstream
                .connect_timeout
                .min(write_timeout);
            self.event_loop
                .schedule(now + within, TimerEvent::UpstreamWriteTimeout(id, number));
        }
    }

    /// Writes what can be written now; false where the connection is gone.
    fn flush_upstream(&mut self, id: SocketId) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        match upstream.flush() {
            Ok(all) => upstream.is_written |= all,
            Err(_) => self.on_upstream_failed(id),
        }
        self.upstreams.contains(id)
    }

    pub(super) fn on_upstream_readable(&mut self, id: SocketId) {
        // What concerns hosts goes before what clients have done: a close may lie unread.
        let waits = self
            .upstreams
            .get(id)
            .and_then(UpstreamConnection::unwritten_request)
            .cloned();
        if waits.is_some_and(|request| self.is_client_gone(&request)) || !self.flush_upstream(id) {
            return;
        }
        loop {
            let Some(upstream) = self.upstreams.get_mut(id) else {
                return;
            };
            if !matches!(upstream.stream.is_connected(), Ok(true)) {
                return;
            }
            let filled = upstream.stream.read_available(
                self.event_loop.limits.resp.message,
                self.event_loop.limits.event_loop.read_bytes_per_turn,
            );
            self.read_upstream(id, filled == ReadStatus::Closed);
            if filled == ReadStatus::Closed {
                return self.on_upstream_failed(id);
            }
            if filled == ReadStatus::Drained {
                return;
            }
        }
    }

    /// Takes the answer that a connection holds, if it is whole.
    fn read_upstream(&mut self, id: SocketId, ended: bool) {
        // Out of the map meanwhile: the value is passed on from the buffer it was read into.
        let Some(upstream) = self.upstreams.take(id) else {
            return;
        };
        let read = self.take_answer(&upstream);
        self.upstreams.put_back(upstream);
        match read {
            Ok(Some(used)) => self.finish_use(id, used, ended),
            Ok(None) => {}
            Err(why) => {
                if self.event_loop.may_warn() {
                    warn!(self.event_loop.log, "malformed answer, upstream connection closed"; "why" => %why);
                }
                self.event_loop
                    .metrics
                    .increment(Counter::MalformedMessages);
                // It may have run, and what came of it came in time: an error of the host's, not a lost connection.
                // As a reset it would count as late, and a few spoilt answers would narrow what is kept open.
                self.abandon_use(id, |_| AttemptOutcome::Error);
            }
        }
    }

    /// Passes on and books what has come; the bytes it took, None where it is not whole.
    fn take_answer(&mut self, upstream: &UpstreamConnection) -> Result<Option<usize>, Malformed> {
        match &upstream.current_use {
            ConnectionUse::Idle if upstream.stream.input().is_empty() => Ok(None),
            ConnectionUse::Idle => Err(Malformed::new("nothing was asked")),
            ConnectionUse::Attempt(carried) => self.take_response(upstream, carried),
            ConnectionUse::HealthCheck => self.take_health_check_response(upstream),
        }
    }

    /// Relays the response of an attempt and reports its outcome; the bytes it took, `None` where it is incomplete.
    fn take_response(
        &mut self,
        upstream: &UpstreamConnection,
        carried: &AttemptInFlight,
    ) -> Result<Option<usize>, Malformed> {
        let input = upstream.stream.input();
        let took = self.event_loop.now() - upstream.used_since;
        let Some((response, used)) = host::parse_response(input, &self.event_loop.limits.resp)?
        else {
            return self.await_more(input);
        };
        let (outcome, load) = match response {
            // No host has begun it.
            HostResponse::Value { .. } if !upstream.is_written => {
                return Err(Malformed::new(
                    "a value for a command that has not been written",
                ));
            }
            HostResponse::Value { value, load } => {
                self.relay_value(&carried.request, value);
                (AttemptOutcome::Succeeded, load)
            }
            HostResponse::Error { load } => (AttemptOutcome::Error, load),
            HostResponse::Rejected { load } => (AttemptOutcome::Rejected, load),
            HostResponse::UnknownCommand(line) => {
                warn!(self.event_loop.log, "host rejected the form of a command"; "line" => line.to_owned());
                (AttemptOutcome::Error, None)
            }
        };
        let load = load
            .filter(|_| self.transport.load_reporting == LoadReporting::Inline)
            .map(TransportSettings::load_from_pairs)
            .unwrap_or_default();
        let attempt = AttemptInFlight {
            request: carried.request.clone(),
            attempt: carried.attempt,
        };
        let times = (took, upstream.idle_time);
        self.finish_attempt(attempt, upstream.host, outcome, times, load);
        Ok(Some(used))
    }

    /// Reports the outcome of a health check; the bytes its response took, `None` where it is incomplete.
    fn take_health_check_response(
        &mut self,
        upstream: &UpstreamConnection,
    ) -> Result<Option<usize>, Malformed> {
        let input = upstream.stream.input();
        let took = self.event_loop.now() - upstream.used_since;
        let Some((response, used)) =
            host::parse_probe_response(input, &self.event_loop.limits.resp)?
        else {
            return self.await_more(input);
        };
        let outcome = if response.is_healthy {
            AttemptOutcome::Succeeded
        } else {
            AttemptOutcome::Error
        };
        let load = response
            .load
            .map(TransportSettings::load_from_pairs)
            .unwrap_or_default();
        self.event_loop
            .notify_decisions(Event::HealthCheckFinished {
                host: upstream.host,
                outcome,
                took,
                load,
            });
        Ok(Some(used))
    }

    /// An incomplete response: the rest of it is waited for, unless it is longer than it may be.
    fn await_more(&self, input: &[u8]) -> Result<Option<usize>, Malformed> {
        if input.len() < self.event_loop.limits.resp.message {
            Ok(None)
        } else {
            Err(Malformed::new("an answer is too long"))
        }
    }

    fn relay_value(&mut self, request: &RequestId, value: &[u8]) {
        if self.answer(request, |out| write_bulk(out, value)) {
            self.event_loop
                .metrics
                .increment(Counter::RequestsSucceeded);
        }
    }

    /// The connection is without use again, and kept where the host may be used again.
    fn finish_use(&mut self, id: SocketId, used: usize, ended: bool) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.stream.consume(used);
        self.upstreams
            .check_in(&mut self.event_loop, &self.endpoints, id, ended);
    }

    /// The connection broke or was never up. An answer that had come before counts; else what it carried ends by
    /// how far its command had come.
    fn on_upstream_failed(&mut self, id: SocketId) {
        self.read_final_answer(id);
        let outcome = |written| {
            if written {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::NoConnection
            }
        };
        self.abandon_use(id, outcome);
    }

    /// Takes an answer that is here already, before what it answers is given up.
    fn read_final_answer(&mut self, id: SocketId) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if !matches!(upstream.current_use, ConnectionUse::Idle)
            && matches!(upstream.stream.is_connected(), Ok(true))
        {
            let filled = upstream.stream.read_available(
                self.event_loop.limits.resp.message,
                self.event_loop.limits.resp.message,
            );
            self.read_upstream(id, filled == ReadStatus::Closed);
        }
    }

    /// Gives up what a connection carries; giving up closes it.
    fn abandon_use(&mut self, id: SocketId, outcome: impl Fn(bool) -> AttemptOutcome) {
        let Some(upstream) = self.upstreams.take(id) else {
            return;
        };
        let (outcome, host) = (outcome(upstream.is_written), upstream.host);
        let took = self.event_loop.now() - upstream.used_since;
        match upstream.current_use {
            ConnectionUse::Idle => self.upstreams.forget_idle(host, id),
            ConnectionUse::Attempt(out) => self.finish_attempt(
                out,
                host,
                outcome,
                (took, upstream.idle_time),
                LoadReport::default(),
            ),
            ConnectionUse::HealthCheck => {
                self.event_loop
                    .notify_decisions(Event::HealthCheckFinished {
                        host,
                        outcome,
                        took,
                        load: LoadReport::default(),
                    });
            }
        }
        upstream.stream.close(&self.event_loop.reactor);
    }

    /// Gives up the attempts whose clients are gone and whose command is not written whole, so that no host has begun
    /// them: a connection may come up long after its client has gone.
    pub(super) fn abandon_unwritten_attempts(&mut self) {
        let gone = |request: &RequestId| self.requests.is_abandoned(request);
        let abandoned = self
            .upstreams
            .ids_where(|upstream| upstream.unwritten_request().is_some_and(gone));
        for id in abandoned {
            self.abandon_use(id, |_| AttemptOutcome::Irrelevant);
        }
    }

    /// Closes what is without use and leads to hosts that are gone, drained or elsewhere.
    pub(super) fn close_unusable_connections(&mut self) {
        for id in self.upstreams.unusable(&self.endpoints) {
            self.abandon_use(id, |_| AttemptOutcome::Irrelevant);
        }
    }

    /// Timers come after all that the last wait told of; what has come since then is here all the same.
    pub(super) fn on_use_timeout(&mut self, id: SocketId, number: u64) {
        let same = |upstream: &UpstreamConnection| upstream.use_number == number;
        if self.upstreams.get(id).is_some_and(same) {
            self.read_final_answer(id);
        }
        if self.upstreams.get(id).is_some_and(same) {
            // A command whose last byte was never written has not been begun.
            self.abandon_use(id, |written| {
                if written {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::NoConnection
                }
            });
        }
    }

    pub(super) fn on_write_timeout(&mut self, id: SocketId, number: u64) {
        if self
            .upstreams
            .get(id)
            .is_some_and(|upstream| upstream.use_number == number && !upstream.is_written)
        {
            self.on_upstream_failed(id);
        }
    }

    pub(super) fn cancel_attempt(&mut self, request: &RequestId, attempt: AttemptNumber) {
        let carrying = self
            .upstreams
            .ids_where(|upstream| upstream.carries(request, attempt));
        if let Some(&id) = carrying.first() {
            self.abandon_use(id, |_| AttemptOutcome::Cancelled);
        }
    }

    fn finish_attempt(
        &mut self,
        out: AttemptInFlight,
        host: HostId,
        outcome: AttemptOutcome,
        times: (f64, f64),
        load: LoadReport,
    ) {
        self.event_loop.metrics.count_attempt(outcome);
        let AttemptInFlight { request, attempt } = out;
        let request_finished = !self.requests.owes_response(&request);
        let (took, connection_idle) = (times.0, Some(times.1));
        self.event_loop.notify_decisions(Event::AttemptFinished {
            request,
            attempt,
            host,
            outcome,
            request_finished,
            took,
            load,
            connection_idle,
        });
    }
}
