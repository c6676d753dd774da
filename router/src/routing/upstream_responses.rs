//! Responses of hosts: read from the connections, relayed to clients and reported to the decisions.

use kestreltide::interface::*;
use kestreltide_settings::{LoadReporting, TransportSettings};
use slog::warn;

use super::Routing;
use super::metrics::Counter;
use super::upstream_connection::{AttemptInFlight, Barrier, ConnectionUse, UpstreamConnection};
use crate::protocol::Malformed;
use crate::protocol::host::{self, BarrierInput, HostResponse};
use crate::protocol::resp::with_bulk_parts;
use crate::transport::{ReadStatus, SocketId};

impl Routing {
    /// Handles a ready upstream connection: writes the rest of the command, then reads and processes responses.
    pub(super) fn on_upstream_readable(&mut self, id: SocketId) {
        if !self.flush_upstream(id) {
            return;
        }
        loop {
            let Some(upstream) = self.upstreams.get_mut(id) else {
                return;
            };
            if !matches!(upstream.stream.is_connected(), Ok(true)) {
                return;
            }
            let status = upstream.stream.read_available(
                self.event_loop.limits.resp.message,
                self.event_loop.limits.event_loop.read_bytes_per_turn,
            );
            self.process_input(id, status == ReadStatus::Closed);
            if status == ReadStatus::Closed {
                return self.on_upstream_failed(id);
            }
            match status {
                ReadStatus::Exhausted => return,
                ReadStatus::OutOfMemory => return self.await_upstream_memory(id),
                ReadStatus::More | ReadStatus::Closed => {}
            }
        }
    }

    /// Handles the response in a connection's input buffer, if it is complete. `is_closed` says whether the host has
    /// closed the connection.
    fn process_input(&mut self, id: SocketId, is_closed: bool) {
        // Taken out of the pool while the response is relayed from the connection's input buffer.
        let Some(mut upstream) = self.upstreams.take(id) else {
            return;
        };
        let handled = self.handle_input(&mut upstream);
        let address = upstream.address;
        self.upstreams.put_back(upstream);
        match handled {
            Ok(Some(length)) => self.finish_use(id, length, is_closed),
            Ok(None) => {}
            Err(why) => {
                if self.event_loop.may_warn() {
                    warn!(self.event_loop.log, "malformed answer, upstream connection closed"; "why" => %why,
                        "address" => %address);
                }
                self.event_loop
                    .metrics
                    .increment(Counter::MalformedMessages);
                // The request may have run, and the host responded in time: this is an error of the host. A reset would
                // count as a lost connection, and a few losses on idle connections keep all of these from being used.
                self.abandon_use(id, |_| AttemptOutcome::Error);
            }
        }
    }

    /// Counts and logs a response of an earlier use that was received after the next command was written.
    fn record_surplus_response(&mut self, upstream: &UpstreamConnection) {
        self.event_loop
            .metrics
            .increment(Counter::SurplusResponsesDiscarded);
        if self.event_loop.may_warn() {
            warn!(self.event_loop.log, "surplus response discarded"; "address" => %upstream.address,
                "idle" => upstream.idle_time);
        }
    }

    /// Handles the input of a connection according to its use. Returns the length of the response in bytes, `None`
    /// where it is incomplete.
    fn handle_input(
        &mut self,
        upstream: &mut UpstreamConnection,
    ) -> Result<Option<usize>, Malformed> {
        match &upstream.current_use {
            ConnectionUse::Idle if !upstream.has_surplus_input() => Ok(None),
            ConnectionUse::Idle => {
                self.event_loop
                    .metrics
                    .increment(Counter::UpstreamsWithSurplusInput);
                Err(Malformed::new("a response without a request"))
            }
            ConnectionUse::Attempt(_) => self.handle_response(upstream),
            ConnectionUse::HealthCheck => self.handle_health_check_response(upstream),
        }
    }

    /// Handles the response to an attempt. Where it may be a surplus one to an earlier command, a barrier tells first.
    /// Returns the length in bytes of all input that was handled, `None` where more is awaited.
    fn handle_response(
        &mut self,
        upstream: &mut UpstreamConnection,
    ) -> Result<Option<usize>, Malformed> {
        loop {
            let input = upstream.stream.input();
            let limits = &self.event_loop.limits.resp;
            let Some((response, length)) = host::parse_response(input, limits)? else {
                return self.check_incomplete_length(input);
            };
            let value = response.value();
            // The host cannot have executed a command that it has not fully received.
            if value.is_some() && !upstream.is_written() {
                return Err(Malformed::new(
                    "a response to a command that is not fully written",
                ));
            }
            let barrier_reply = match upstream.barrier {
                Barrier::None if !upstream.may_be_surplus(&response) => Some(0),
                Barrier::None => None,
                Barrier::Pending { .. } => {
                    match host::parse_barrier_input(&input[length..], limits)? {
                        Some(BarrierInput::BarrierReply(reply_length)) => Some(reply_length),
                        Some(BarrierInput::Response) => {
                            self.discard_surplus_response(upstream, length)?;
                            continue;
                        }
                        None => return self.check_incomplete_length(input),
                    }
                }
            };
            let Some(reply_length) = barrier_reply else {
                upstream.write_barrier();
                self.event_loop.metrics.increment(Counter::BarriersWritten);
                continue;
            };
            self.deliver_response(upstream, &response);
            upstream.history.record(value);
            return Ok(Some(length + reply_length));
        }
    }

    /// Discards the first response in the input, which is surplus.
    ///
    /// # Errors
    ///
    /// Where more surplus responses were received than are discarded.
    fn discard_surplus_response(
        &mut self,
        upstream: &mut UpstreamConnection,
        length: usize,
    ) -> Result<(), Malformed> {
        let Barrier::Pending { surplus_responses } = &mut upstream.barrier else {
            return Ok(());
        };
        *surplus_responses += 1;
        if *surplus_responses > self.event_loop.limits.upstream.surplus_responses {
            return Err(Malformed::new("too many responses without a request"));
        }
        upstream.stream.consume(length);
        self.record_surplus_response(upstream);
        Ok(())
    }

    /// Relays the response of an attempt and reports its outcome.
    fn deliver_response(&mut self, upstream: &UpstreamConnection, response: &HostResponse) {
        let ConnectionUse::Attempt(in_flight) = &upstream.current_use else {
            return;
        };
        let took = self.event_loop.now() - upstream.use_began_at;
        let (outcome, load) = match *response {
            HostResponse::Value { value, load } => {
                self.relay_value(&in_flight.request, value);
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
            request: in_flight.request.clone(),
            attempt: in_flight.attempt,
        };
        let took_and_connection_idle = (took, upstream.idle_time);
        self.finish_attempt(
            attempt,
            upstream.host,
            outcome,
            took_and_connection_idle,
            load,
        );
    }

    /// Reports the outcome of a health check. Returns the length of the response in bytes, `None` where it is
    /// incomplete.
    fn handle_health_check_response(
        &mut self,
        upstream: &UpstreamConnection,
    ) -> Result<Option<usize>, Malformed> {
        let input = upstream.stream.input();
        let took = self.event_loop.now() - upstream.use_began_at;
        let Some((response, length)) =
            host::parse_probe_response(input, &self.event_loop.limits.resp)?
        else {
            return self.check_incomplete_length(input);
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
        Ok(Some(length))
    }

    /// Accepts an incomplete response whose rest may still come; an error where it is too long already.
    fn check_incomplete_length(&self, input: &[u8]) -> Result<Option<usize>, Malformed> {
        if input.len() < self.event_loop.limits.resp.message {
            Ok(None)
        } else {
            Err(Malformed::new("the response is too long"))
        }
    }

    /// Sends the value of a successful response to the client.
    fn relay_value(&mut self, request: &RequestId, value: &[u8]) {
        if with_bulk_parts(value, |parts| self.respond(request, parts)) {
            self.event_loop
                .metrics
                .increment(Counter::RequestsSucceeded);
        }
    }

    /// Ends the use of a connection after a response of `length` bytes; keeps the connection if it can be reused.
    fn finish_use(&mut self, id: SocketId, length: usize, is_closed: bool) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.stream.consume(length);
        self.upstreams
            .check_in(&mut self.event_loop, &self.endpoints, id, is_closed);
    }

    /// Reads a response that has already arrived, before its attempt or health check is given up.
    pub(super) fn read_final_response(&mut self, id: SocketId) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        if !matches!(upstream.current_use, ConnectionUse::Idle)
            && matches!(upstream.stream.is_connected(), Ok(true))
        {
            let status = upstream.stream.read_available(
                self.event_loop.limits.resp.message,
                self.event_loop.limits.resp.message,
            );
            self.process_input(id, status == ReadStatus::Closed);
        }
    }
}
