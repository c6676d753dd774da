//! What the graceful shutdown does to clients, the listener and open requests.

use slog::info;

use super::client_connection::{Client, Lingering};
use super::graceful_shutdown::{ShutdownAction, ShutdownInput};
use super::{Routing, TimerEvent};
use crate::protocol::client::write_busy;
use crate::protocol::resp::write_error;
use crate::transport::SocketId;

impl Routing {
    /// Moves the shutdown on and does what follows from it.
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

    pub(super) fn on_last_clients_over(&mut self, number: u64) {
        if self.shutdown.is_current_reconnect_wait(number) {
            self.advance_shutdown(ShutdownInput::LastClientsOver);
        }
    }

    /// After each turn: whether the program is to end.
    pub(super) fn update_shutdown(&mut self) -> bool {
        let input = if self.clients.is_empty() {
            ShutdownInput::NoClients
        } else {
            ShutdownInput::ClientsConnected
        };
        self.advance_shutdown(input);
        self.shutdown.is_finished()
    }

    fn await_reconnecting_clients(&mut self) {
        let number = self.shutdown.begin_reconnect_wait();
        let deadline = self.event_loop.now() + self.event_loop.limits.shutdown.quiet_time;
        self.event_loop
            .schedule(deadline, TimerEvent::LastClientsOver(number));
    }

    fn begin_shutdown(&mut self) {
        info!(self.event_loop.log, "stopping"; "open" => self.requests.len(), "clients" => self.clients.len());
        // It may have been requested while this process stood still, and the platform counts from there.
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

    fn drain_clients(&mut self) {
        info!(self.event_loop.log, "draining"; "open" => self.requests.len(), "clients" => self.clients.len());
        self.clients
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.read_client(id));
    }

    /// Who waits to be accepted is still served; bounded, as a flood would never end.
    fn close_listener(&mut self) {
        info!(self.event_loop.log, "closing"; "open" => self.requests.len(), "clients" => self.clients.len());
        (0..self.event_loop.limits.clients.backlog as usize
            / self.event_loop.limits.clients.accepts_per_wake)
            .take_while(|_| self.accept())
            .for_each(drop);
        if let Some(listener) = self.listener.take() {
            listener.close(&self.event_loop.reactor);
        }
        self.on_drain_timer();
    }

    fn schedule_drain(&mut self) {
        if !self.drain_scheduled {
            self.drain_scheduled = true;
            self.event_loop.schedule(
                self.event_loop.now() + self.quiet_time(),
                TimerEvent::DrainAgain,
            );
        }
    }

    /// After so long without a command or an answer a connection is closed.
    fn quiet_time(&self) -> f64 {
        if self.listener.is_some() {
            self.event_loop.limits.shutdown.quiet_time
        } else {
            self.event_loop.limits.shutdown.brief_quiet_time
        }
    }

    /// Closes who came a while ago and is still silent, and who was told of the close and does not end.
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

    /// Ends the sending on a connection that has been without use for a while: whoever has just got an answer
    /// may be about to write the next command. What was read is answered by now; what crosses this is dropped
    /// unanswered, so that its client may send it once more.
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

    /// The platform is about to kill the process: what is given up is answered at once, and what still comes,
    /// until the end.
    fn give_up_open_requests(&mut self) {
        info!(self.event_loop.log, "failing open requests"; "open" => self.requests.len(), "clients" => self.clients.len());
        for (request, attempts) in self.requests.attempt_counts() {
            self.respond(&request, |out| match attempts {
                // There is no room any more, and it has run nowhere.
                0 => write_busy(out, None),
                _ => write_error(out, "ERR failed"),
            });
        }
    }
}
