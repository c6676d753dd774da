//! Attempts and health checks. Each uses one upstream connection, and its outcome is passed to the decisions.

use kestreltide::interface::*;

use super::metrics::Counter;
use super::upstream_connection::{
    AttemptInFlight, ConnectionUse, UpstreamConnection, UseDeadlines,
};
use super::{Routing, TimerEvent};
use crate::transport::SocketId;

impl Routing {
    /// Sends a request to a host on a connection that meets `requirements`. Where there is no such connection and none
    /// can be opened, the attempt ends at once.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        host: HostId,
        deadlines: UseDeadlines,
        requirements: ConnectionRequirements,
    ) {
        let now = self.event_loop.now();
        let Some(attempt) = self.requests.begin_attempt(&request) else {
            return;
        };
        self.event_loop.metrics.increment(Counter::AttemptsStarted);
        // A first attempt directly follows the read of its request, which found the client connected; before later
        // attempts this is checked again.
        if self.requests.client_has_disconnected(&request)
            || attempt.0 > 0 && self.is_client_gone(&request)
        {
            // The decisions had not processed the client's disconnect when they started this attempt: send nothing.
            return self.finish_attempt(
                AttemptInFlight { request, attempt },
                host,
                AttemptOutcome::Irrelevant,
                (0.0, 0.0),
                LoadReport::default(),
            );
        }
        let Some(id) = self.upstreams.checkout(
            &mut self.event_loop,
            &self.endpoints,
            host,
            now,
            requirements,
        ) else {
            return self.finish_attempt(
                AttemptInFlight { request, attempt },
                host,
                AttemptOutcome::NoConnection,
                (0.0, 0.0),
                LoadReport::default(),
            );
        };
        self.begin_use(
            id,
            ConnectionUse::Attempt(AttemptInFlight { request, attempt }),
            deadlines,
            now,
        );
    }

    /// Sends a health check to a host; it fails at once where it gets no connection or too many are in flight.
    pub(super) fn start_health_check(&mut self, host: HostId) {
        let now = self.event_loop.now();
        let health_checks = self.upstreams.health_check_count();
        let has_capacity = health_checks < self.event_loop.limits.upstream.probes_in_flight;
        let (no_idle_limit, write_timeout) = (
            f64::INFINITY,
            self.event_loop.limits.upstream.connect_timeout,
        );
        let requirements = ConnectionRequirements {
            max_idle: no_idle_limit,
            min_idle: 0.0,
            max_below_min_idle: 1,
            write_timeout,
        };
        let Some(id) = has_capacity
            .then(|| {
                self.upstreams.checkout(
                    &mut self.event_loop,
                    &self.endpoints,
                    host,
                    now,
                    requirements,
                )
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
        let deadlines = UseDeadlines {
            write_by: now + write_timeout,
            response_by: now + self.event_loop.limits.upstream.probe_timeout,
        };
        self.begin_use(id, ConnectionUse::HealthCheck, deadlines, now);
    }

    /// Begins the use of a connection: writes the command, or as much as the socket takes, and schedules the timeouts.
    fn begin_use(
        &mut self,
        id: SocketId,
        current_use: ConnectionUse,
        deadlines: UseDeadlines,
        now: f64,
    ) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let number = upstream.begin_use(current_use, deadlines, now);
        let use_timeout = TimerEvent::UpstreamUseTimeout(id, number);
        let timer = self
            .event_loop
            .schedule_cancellable(deadlines.response_by, use_timeout);
        upstream.timers.extend(timer);
        self.flush_upstream(id);
        if let Some(upstream) = self.upstreams.get_mut(id)
            && !upstream.is_written()
        {
            upstream.is_deferred = true;
            // Ends an attempt to connect that hangs, so that another host gets the request. Whether a command may still
            // be written is checked at the write.
            let connect_by = now + self.event_loop.limits.upstream.connect_timeout;
            let write_timeout = TimerEvent::UpstreamWriteTimeout(id, number);
            let timer = self
                .event_loop
                .schedule_cancellable(connect_by.min(deadlines.write_by), write_timeout);
            upstream.timers.extend(timer);
        }
    }

    /// Handles a connection that broke or was never established. A response that was received before counts.
    /// Otherwise the outcome depends on whether the command was fully written, so that it may have run.
    pub(super) fn on_upstream_failed(&mut self, id: SocketId) {
        self.read_final_response(id);
        let outcome = |is_written| {
            if is_written {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::NoConnection
            }
        };
        self.abandon_use(id, outcome);
    }

    /// Ends the current use of a connection without a response and closes it. `outcome` maps whether the command was
    /// fully written to the outcome that is reported.
    pub(super) fn abandon_use(&mut self, id: SocketId, outcome: impl Fn(bool) -> AttemptOutcome) {
        let Some(mut upstream) = self.upstreams.take(id) else {
            return;
        };
        self.event_loop.cancel(upstream.timers.drain(..));
        let (outcome, host) = (outcome(upstream.is_written()), upstream.host);
        let took = self.event_loop.now() - upstream.use_began_at;
        match upstream.current_use {
            ConnectionUse::Idle => self.upstreams.forget_idle(host, id),
            ConnectionUse::Attempt(in_flight) => self.finish_attempt(
                in_flight,
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

    /// Ends the attempts whose clients have disconnected and whose commands are not fully written, so that no host has
    /// executed them. Otherwise a connection that is established late would still send the command.
    pub(super) fn abandon_unwritten_attempts(&mut self) {
        let client_has_disconnected =
            |request: &RequestId| self.requests.client_has_disconnected(request);
        let unwritten = self.upstreams.ids_matching(|upstream| {
            upstream
                .unwritten_request()
                .is_some_and(client_has_disconnected)
        });
        for id in unwritten {
            self.abandon_use(id, |_| AttemptOutcome::Irrelevant);
        }
    }

    /// Closes the idle connections to hosts that are removed, draining or at another address now.
    pub(super) fn close_unusable_connections(&mut self) {
        for id in self.upstreams.unusable(&self.endpoints) {
            self.abandon_use(id, |_| AttemptOutcome::Irrelevant);
        }
    }

    /// Ends the use with this number if it is still current. Timers run after the sockets that the poll reported, so a
    /// response that has arrived since the poll is read first.
    pub(super) fn on_use_timeout(&mut self, id: SocketId, number: u64) {
        let is_same_use = |upstream: &UpstreamConnection| upstream.use_number == number;
        if self.upstreams.get(id).is_some_and(is_same_use) {
            self.read_final_response(id);
        }
        if self.upstreams.get(id).is_some_and(is_same_use) {
            // A command whose last byte was not written has not been executed.
            self.abandon_use(id, |is_written| {
                if is_written {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::NoConnection
                }
            });
        }
    }

    /// Closes the connection if the command of the use with this number is not fully written.
    pub(super) fn on_write_timeout(&mut self, id: SocketId, number: u64) {
        if self
            .upstreams
            .get(id)
            .is_some_and(|upstream| upstream.use_number == number && !upstream.is_written())
        {
            self.on_upstream_failed(id);
        }
    }

    /// Cancels an attempt by closing its connection.
    pub(super) fn cancel_attempt(&mut self, request: &RequestId, attempt: AttemptNumber) {
        let connections = self
            .upstreams
            .ids_matching(|upstream| upstream.carries(request, attempt));
        if let Some(&id) = connections.first() {
            self.abandon_use(id, |_| AttemptOutcome::Cancelled);
        }
    }

    /// Reports the outcome of an attempt to the decisions. `took_and_connection_idle` holds, in seconds, how long the
    /// attempt took and how long its connection had been idle before.
    pub(super) fn finish_attempt(
        &mut self,
        in_flight: AttemptInFlight,
        host: HostId,
        outcome: AttemptOutcome,
        took_and_connection_idle: (f64, f64),
        load: LoadReport,
    ) {
        self.event_loop.metrics.count_attempt(outcome);
        let AttemptInFlight { request, attempt } = in_flight;
        // Of several attempts, another one may have run.
        if outcome == AttemptOutcome::Rejected && self.requests.attempts(&request) == 1 {
            self.requests.set_may_have_run(&request, false);
        }
        let request_finished = !self.requests.client_awaits_response(&request);
        let (took, connection_idle) =
            (took_and_connection_idle.0, Some(took_and_connection_idle.1));
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
