//! Writes commands to hosts.
//!
//! An attempt is decided before its connection is established, and the process may stand still in between. So all bytes
//! of a command go through [`Routing::flush_upstream`], which checks at the time of each write that the command may still
//! be written. Timers alone do not ensure this, as they run after the sockets that are ready.

use kestreltide::interface::*;
use kestreltide_settings::LoadReporting;

use super::Routing;
use super::metrics::Counter;
use super::upstream_connection::{ConnectionUse, UpstreamConnection};
use crate::transport::SocketId;

/// Whether the rest of a command may be written now.
enum WritePermission {
    Granted,
    /// The request has been responded to, or its client has disconnected.
    NotNeeded,
    /// The time within which the command may be written or its response is of use is over.
    TooLate,
}

impl Routing {
    /// Writes as much of the output as the socket takes, if the command may still be written; false where the connection
    /// was closed.
    pub(super) fn flush_upstream(&mut self, id: SocketId) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return false;
        };
        match upstream.stream.is_connected() {
            Ok(true) => {}
            Ok(false) => return true,
            Err(_) => {
                self.on_upstream_failed(id);
                return false;
            }
        }
        match self.write_permission(id) {
            WritePermission::Granted => self.write_command(id),
            WritePermission::NotNeeded => self.withdraw(id, AttemptOutcome::Irrelevant),
            WritePermission::TooLate => self.withdraw(id, AttemptOutcome::NoConnection),
        }
        self.upstreams.contains(id)
    }

    /// Whether the command of the current use may be written now.
    fn write_permission(&mut self, id: SocketId) -> WritePermission {
        let now = self.event_loop.now();
        let Some(upstream) = self.upstreams.get(id) else {
            return WritePermission::NotNeeded;
        };
        if upstream.is_written() {
            return WritePermission::Granted;
        }
        if now
            >= upstream
                .deadlines
                .write_by
                .min(upstream.deadlines.response_by)
        {
            return WritePermission::TooLate;
        }
        let ConnectionUse::Attempt(in_flight) = &upstream.current_use else {
            return WritePermission::Granted;
        };
        // Whoever starts an attempt has found the client connected. Hosts are handled before clients, so that the
        // disconnect of a client that has left since may not have been read yet.
        let (request, is_deferred) = (in_flight.request.clone(), upstream.is_deferred);
        if !self.requests.client_awaits_response(&request)
            || is_deferred && self.is_client_gone(&request)
        {
            return WritePermission::NotNeeded;
        }
        WritePermission::Granted
    }

    /// Ends the current use, whose command is not fully written, so that no host has executed it. A response that was
    /// received to a part of the command counts.
    fn withdraw(&mut self, id: SocketId, outcome: AttemptOutcome) {
        self.read_final_response(id);
        let is_unwritten = |upstream: &UpstreamConnection| !upstream.is_written();
        if self.upstreams.get(id).is_some_and(is_unwritten) {
            self.event_loop
                .metrics
                .increment(Counter::CommandsWithdrawn);
            self.abandon_use(id, |_| outcome);
        }
    }

    /// Writes as much of the command as the socket takes.
    fn write_command(&mut self, id: SocketId) {
        let now = self.event_loop.now();
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        let was_written = upstream.is_written();
        let written = match &upstream.current_use {
            ConnectionUse::Attempt(in_flight) => {
                match self.requests.command(&in_flight.request) {
                    Some(command) => upstream.write_attempt(command, now),
                    // Answered; what follows the command may still be written behind a command that is.
                    None => Ok(upstream.is_written()),
                }
            }
            ConnectionUse::HealthCheck => {
                upstream.write_probe(self.transport.load_reporting != LoadReporting::Off)
            }
            ConnectionUse::Idle => Ok(true),
        };
        // From its last byte on, the host may execute the command.
        if !was_written
            && let ConnectionUse::Attempt(in_flight) = &upstream.current_use
            && upstream.is_written()
        {
            self.requests.set_may_have_run(&in_flight.request, true);
        }
        let flushed = match written {
            Ok(true) => upstream.stream.flush().map(drop),
            Ok(false) => Ok(()),
            Err(error) => Err(error),
        };
        if flushed.is_err() {
            self.on_upstream_failed(id);
        }
    }
}
