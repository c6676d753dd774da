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
            ShutdownAction::AwaitLastClients => self.await_last_clients(),
            ShutdownAction::CloseListener => self.close_listener(),
            ShutdownAction::GiveUpOpenRequests => self.give_up_open_requests(),
        }
    }

    pub(super) fn on_last_clients_over(&mut self, round: u64) {
        if self.shutdown.is_current_round(round) {
            self.advance_shutdown(ShutdownInput::LastClientsOver);
        }
    }

    /// After each turn: whether the program is to end.
    pub(super) fn is_over(&mut self) -> bool {
        let input = if self.clients.is_empty() {
            ShutdownInput::NoClients
        } else {
            ShutdownInput::ClientsConnected
        };
        self.advance_shutdown(input);
        self.shutdown.is_finished()
    }

    fn await_last_clients(&mut self) {
        let round = self.shutdown.begin_last_clients_round();
        let deadline = self.event_loop.now() + self.event_loop.limits.shutdown.quiet_time;
        self.event_loop
            .schedule(deadline, TimerEvent::LastClientsOver(round));
    }

    fn begin_shutdown(&mut self) {
        info!(self.event_loop.log, "stopping"; "open" => self.requests.len(), "clients" => self.clients.len());
        // It may have been requested while this process stood still, and the platform counts from there.
        let requested_at = self.event_loop.arrived_since();
        let limits = &self.event_loop.limits.shutdown;
        let serving_over = self.event_loop.woken_at() + limits.accept_time;
        let give_up = requested_at + limits.give_up;
        let exit = requested_at + limits.exit;
        self.shutdown.set_gives_up_at(give_up);
        let timers = [
            (serving_over, TimerEvent::ServingOver),
            (serving_over.midpoint(give_up), TimerEvent::DrainingOver),
            (give_up, TimerEvent::KillNear),
            (exit, TimerEvent::ShutdownDeadline),
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
            self.event_loop
                .schedule(self.event_loop.now() + self.quiet(), TimerEvent::DrainAgain);
        }
    }

    /// After so long without a command or an answer a connection is closed.
    fn quiet(&self) -> f64 {
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
        let told = |client: &Client| client.lingering.as_ref().map(|lingering| lingering.until);
        let over = self
            .clients
            .iter()
            .filter(|(_, client)| told(client).is_some_and(|until| until <= now));
        let over: Vec<_> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.close_client(id));
        if self.clients.values().any(|client| told(client).is_some()) {
            self.schedule_drain();
        }
    }

    /// Ends the sending on a connection that has been without use for a while: whoever has just got an answer
    /// may be about to write the next command. What was read is answered by now; what crosses this is dropped
    /// unanswered, so that its client may send it once more.
    pub(super) fn drain_client(&mut self, id: SocketId) {
        let now = self.event_loop.now();
        let (quiet, last_call, most) = (
            self.quiet(),
            self.event_loop.limits.shutdown.quiet_time,
            self.event_loop.limits.clients.discarded_bytes,
        );
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.closing || !client.is_idle() || client.is_begun() {
            return;
        }
        if now - client.last_used >= quiet {
            client.closing = true;
            client.lingering = Some(Lingering {
                until: now + last_call,
                bytes_left: most,
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
        for (request, attempts) in self.requests.attempts_of_all() {
            self.answer(&request, |out| match attempts {
                // There is no room any more, and it has run nowhere.
                0 => write_busy(out, None),
                _ => write_error(out, "ERR failed"),
            });
        }
    }
}
