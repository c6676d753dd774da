//! The actions of the graceful shutdown on clients, the listener and open requests.

use slog::info;

use super::client_connection::{Client, Lingering};
use super::graceful_shutdown::{ShutdownAction, ShutdownInput};
use super::{Routing, TimerEvent};
use crate::protocol::client::write_busy;
use crate::protocol::resp::write_error;
use crate::transport::SocketId;

impl Routing {
    /// Makes the transition for an input and carries out its action.
    pub(super) fn advance_shutdown(&mut self, input: ShutdownInput) {
        match self.shutdown.advance(input) {
            ShutdownAction::None => {}
            ShutdownAction::Begin => self.begin_shutdown(),
            ShutdownAction::CloseIdleClients => self.drain_clients(),
            ShutdownAction::AwaitReconnects => self.await_reconnecting_clients(),
            ShutdownAction::CloseListener => self.close_listener(),
            ShutdownAction::GiveUpOpenRequests => self.give_up_open_requests(),
        }
    }

    /// Ends the wait with this number for reconnecting clients, if it is the current one.
    pub(super) fn on_last_clients_over(&mut self, number: u64) {
        if self.shutdown.is_current_reconnect_wait(number) {
            self.advance_shutdown(ShutdownInput::LastClientsOver);
        }
    }

    /// Tells the shutdown after each iteration of the event loop whether clients are connected; returns whether the
    /// program is to end.
    pub(super) fn update_shutdown(&mut self) -> bool {
        let input = if self.clients.is_empty() {
            ShutdownInput::NoClients
        } else {
            ShutdownInput::ClientsConnected
        };
        self.advance_shutdown(input);
        self.shutdown.is_finished()
    }

    /// Begins to wait for clients that reconnect.
    fn await_reconnecting_clients(&mut self) {
        let number = self.shutdown.begin_reconnect_wait();
        let deadline = self.event_loop.now() + self.event_loop.limits.shutdown.quiet_time;
        self.event_loop
            .schedule(deadline, TimerEvent::LastClientsOver(number));
    }

    /// Schedules the timers of the shutdown.
    fn begin_shutdown(&mut self) {
        info!(self.event_loop.log, "stopping"; "open" => self.requests.len(), "clients" => self.clients.len());
        // The signal may have arrived during a stall of this process, and the platform counts the time to SIGKILL from
        // its arrival.
        let requested_at = self.event_loop.arrived_since();
        let limits = &self.event_loop.limits.shutdown;
        let serving_over_at = self.event_loop.woken_at() + limits.accept_time;
        let give_up_at = requested_at + limits.give_up;
        let exit_at = requested_at + limits.exit;
        self.shutdown.set_gives_up_at(give_up_at);
        let timers = [
            (serving_over_at, TimerEvent::ServingOver),
            (
                serving_over_at.midpoint(give_up_at),
                TimerEvent::DrainingOver,
            ),
            (give_up_at, TimerEvent::KillNear),
            (exit_at, TimerEvent::ShutdownDeadline),
        ];
        for (at, event) in timers {
            self.event_loop.schedule(at, event);
        }
    }

    /// Reads all clients; a client whose socket is then empty is closed once it is idle.
    fn drain_clients(&mut self) {
        info!(self.event_loop.log, "draining"; "open" => self.requests.len(), "clients" => self.clients.len());
        self.clients
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.read_client(id));
    }

    /// Closes the listener, after accepting the waiting clients. Bounded, as a flood of clients would never end.
    fn close_listener(&mut self) {
        info!(self.event_loop.log, "closing"; "open" => self.requests.len(), "clients" => self.clients.len());
        (0..self.event_loop.limits.clients.backlog as usize
            / self.event_loop.limits.clients.accepts_per_wake)
            .take_while(|_| self.accept())
            .for_each(drop);
        self.listener.close(&self.event_loop.reactor);
        self.on_drain_timer();
    }

    /// Schedules the next look at silent clients, unless one is scheduled.
    fn schedule_drain(&mut self) {
        if !self.drain_scheduled {
            self.drain_scheduled = true;
            self.event_loop.schedule(
                self.event_loop.now() + self.quiet_time(),
                TimerEvent::DrainAgain,
            );
        }
    }

    /// Seconds without a command or a response after which a connection is closed in the shutdown.
    fn quiet_time(&self) -> f64 {
        if self.listener.is_open() {
            self.event_loop.limits.shutdown.quiet_time
        } else {
            self.event_loop.limits.shutdown.brief_quiet_time
        }
    }

    /// Looks again at all clients: begins to close those that have been idle for long enough, and closes those whose
    /// lingering close is over.
    pub(super) fn on_drain_timer(&mut self) {
        self.drain_scheduled = false;
        self.clients
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.read_client(id));
        let now = self.event_loop.now();
        let lingers_until =
            |client: &Client| client.lingering.as_ref().map(|lingering| lingering.until);
        let expired = self
            .clients
            .iter()
            .filter(|(_, client)| lingers_until(client).is_some_and(|until| until <= now));
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.close_client(id));
        if self
            .clients
            .values()
            .any(|client| lingers_until(client).is_some())
        {
            self.schedule_drain();
        }
    }

    /// Begins the lingering close of a client that has been idle for the quiet time; before that it may be about to
    /// send its next command. All commands that were read have their replies. A command that crosses the close is
    /// discarded without a reply, so its client can send it again.
    pub(super) fn drain_client(&mut self, id: SocketId) {
        let now = self.event_loop.now();
        let (quiet_time, linger_time, max_discarded_bytes) = (
            self.quiet_time(),
            self.event_loop.limits.shutdown.quiet_time,
            self.event_loop.limits.clients.discarded_bytes,
        );
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.is_closing || !client.is_idle() || client.is_mid_command() {
            return;
        }
        if now - client.last_used >= quiet_time {
            client.is_closing = true;
            client.lingering = Some(Lingering {
                until: now + linger_time,
                bytes_left: max_discarded_bytes,
            });
            if client.stream.shutdown_write().is_err() {
                return self.close_client(id);
            }
        }
        self.schedule_drain();
    }

    /// Fails all open requests, as SIGKILL is near. Requests that still come are rejected until the program ends.
    fn give_up_open_requests(&mut self) {
        info!(self.event_loop.log, "failing open requests"; "open" => self.requests.len(), "clients" => self.clients.len());
        for (request, attempts) in self.requests.attempt_counts() {
            self.respond_briefly(&request, |out| match attempts {
                // No attempt was started, so the client can safely send it again.
                0 => write_busy(out, None),
                _ => write_error(out, "ERR failed"),
            });
        }
    }
}
