//! Graceful shutdown: clients still come for a while and are served; then connections are closed as they fall
//! quiet, while whoever crosses that may come again; then nobody comes any more, and the program ends once all
//! that was taken is answered, be it by giving it up.

use slog::info;

use super::client_connection::Client;
use super::{Routing, TimerEvent};
use crate::protocol::client::write_throttled;
use crate::protocol::resp::write_error;
use crate::transport::SocketId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shutdown {
    No,
    /// Told, but clients do not know yet.
    Serving,
    /// Connections are closed as they fall idle; whoever still comes is served first.
    Draining,
    /// All connections are closed: who crossed the close of one comes again on a new one.
    LastCall,
    /// Nobody comes any more, so that those who are never quiet for long end too.
    Closing,
    /// What was open has been given up and answered, and what still comes is turned away at once.
    GivenUp,
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    Told,
    /// The time is over in which the platform sends new connections.
    ServingOver,
    Empty,
    Came,
    LastCallOver,
    /// Half of the time left is over.
    DrainingOver,
    /// SIGKILL is near.
    LastTime,
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Nothing,
    Begin,
    CloseIdle,
    CallLast,
    CloseListener,
    GiveUp,
}

/// State, input, next state, what is done. What is not in it changes nothing: a second SIGTERM, a timer of a
/// state that has passed.
const SHUTDOWN: [(Shutdown, Input, Shutdown, Act); 13] = [
    (Shutdown::No, Input::Told, Shutdown::Serving, Act::Begin),
    (
        Shutdown::Serving,
        Input::ServingOver,
        Shutdown::Draining,
        Act::CloseIdle,
    ),
    (
        Shutdown::Serving,
        Input::LastTime,
        Shutdown::GivenUp,
        Act::GiveUp,
    ),
    (
        Shutdown::Draining,
        Input::Empty,
        Shutdown::LastCall,
        Act::CallLast,
    ),
    (
        Shutdown::Draining,
        Input::LastTime,
        Shutdown::GivenUp,
        Act::GiveUp,
    ),
    (
        Shutdown::Draining,
        Input::DrainingOver,
        Shutdown::Closing,
        Act::CloseListener,
    ),
    (
        Shutdown::LastCall,
        Input::Came,
        Shutdown::Draining,
        Act::Nothing,
    ),
    (
        Shutdown::LastCall,
        Input::DrainingOver,
        Shutdown::Closing,
        Act::CloseListener,
    ),
    (
        Shutdown::LastCall,
        Input::LastCallOver,
        Shutdown::Over,
        Act::Nothing,
    ),
    (
        Shutdown::Closing,
        Input::Empty,
        Shutdown::Over,
        Act::Nothing,
    ),
    (
        Shutdown::Closing,
        Input::LastTime,
        Shutdown::GivenUp,
        Act::GiveUp,
    ),
    (
        Shutdown::GivenUp,
        Input::Empty,
        Shutdown::Over,
        Act::Nothing,
    ),
    (Shutdown::GivenUp, Input::End, Shutdown::Over, Act::Nothing),
];

impl Routing {
    fn shut_down(&mut self, input: Input) {
        let row = SHUTDOWN
            .iter()
            .find(|row| row.0 == self.shutdown && row.1 == input);
        let Some(&(_, _, next, act)) = row else {
            return;
        };
        self.shutdown = next;
        match act {
            Act::Nothing => {}
            Act::Begin => self.begin_shutdown(),
            Act::CloseIdle => self.drain_clients(),
            Act::CallLast => {
                self.last_calls += 1;
                let at = self.event_loop.now() + self.event_loop.limits.shutdown.quiet_time;
                self.event_loop
                    .schedule(at, TimerEvent::LastCallOver(self.last_calls));
            }
            Act::CloseListener => self.close_listener(),
            Act::GiveUp => self.give_up_all(),
        }
    }

    pub(super) fn on_shutdown_requested(&mut self) {
        self.shut_down(Input::Told);
    }

    pub(super) fn on_serving_over(&mut self) {
        self.shut_down(Input::ServingOver);
    }

    pub(super) fn on_last_call_over(&mut self, number: u64) {
        if number == self.last_calls {
            self.shut_down(Input::LastCallOver);
        }
    }

    pub(super) fn on_draining_over(&mut self) {
        self.shut_down(Input::DrainingOver);
    }

    pub(super) fn on_last_time(&mut self) {
        self.shut_down(Input::LastTime);
    }

    pub(super) fn on_shutdown_end(&mut self) {
        self.shut_down(Input::End);
    }

    /// After each turn: whether the program is to end.
    pub(super) fn is_over(&mut self) -> bool {
        let input = if self.clients.is_empty() {
            Input::Empty
        } else {
            Input::Came
        };
        self.shut_down(input);
        self.shutdown == Shutdown::Over
    }

    /// A connection without use is closed, once nothing that came on it is left unread.
    pub(super) fn is_draining(&self) -> bool {
        use Shutdown::*;
        matches!(self.shutdown, Draining | LastCall | Closing | GivenUp)
    }

    /// There is no time left to serve what comes.
    pub(super) fn has_given_up(&self) -> bool {
        matches!(self.shutdown, Shutdown::GivenUp | Shutdown::Over)
    }

    /// What is taken from now on has this time at the most, however long its client waits.
    pub(super) fn time_before_last(&self) -> f64 {
        self.last_at.map_or(f64::INFINITY, |last| {
            (last - self.event_loop.now()).max(0.0)
        })
    }

    fn begin_shutdown(&mut self) {
        info!(self.event_loop.log, "stopping"; "open" => self.admitted.len(), "clients" => self.clients.len());
        // It may have been told while this process stood still, and the platform counts from there.
        let (now, told, limits) = (
            self.event_loop.woken_at(),
            self.event_loop.arrived_since(),
            &self.event_loop.limits,
        );
        let (serving, last, end) = (
            limits.shutdown.accept_time,
            limits.shutdown.give_up,
            limits.shutdown.exit,
        );
        self.last_at = Some(told + last);
        self.event_loop
            .schedule(now + serving, TimerEvent::ServingOver);
        self.event_loop.schedule(
            (now + serving).midpoint(told + last),
            TimerEvent::DrainingOver,
        );
        self.event_loop.schedule(told + last, TimerEvent::LastTime);
        self.event_loop
            .schedule(told + end, TimerEvent::ShutdownEnd);
    }

    fn drain_clients(&mut self) {
        info!(self.event_loop.log, "draining"; "open" => self.admitted.len(), "clients" => self.clients.len());
        self.clients
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.read_client(id));
    }

    /// Who waits to be accepted is still served; bounded, as a flood would never end.
    fn close_listener(&mut self) {
        info!(self.event_loop.log, "closing"; "open" => self.admitted.len(), "clients" => self.clients.len());
        (0..self.event_loop.limits.clients.backlog as usize
            / self.event_loop.limits.clients.accepts_per_wake)
            .take_while(|_| self.accept())
            .for_each(drop);
        if let Some(listener) = self.listener.take() {
            listener.close(&self.event_loop.reactor);
        }
        self.drain_due();
    }

    fn drain_again(&mut self) {
        if !self.drain_due {
            self.drain_due = true;
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
    pub(super) fn drain_due(&mut self) {
        self.drain_due = false;
        self.clients
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|id| self.read_client(id));
        let now = self.event_loop.now();
        let told = |client: &Client| client.lingers.map(|(until, _)| until);
        let over = self
            .clients
            .iter()
            .filter(|(_, client)| told(client).is_some_and(|until| until <= now));
        let over: Vec<_> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.close_client(id));
        if self.clients.values().any(|client| told(client).is_some()) {
            self.drain_again();
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
        if now - client.used >= quiet {
            client.closing = true;
            client.lingers = Some((now + last_call, most));
            if client.stream.shutdown_write().is_err() {
                return self.close_client(id);
            }
        }
        self.drain_again();
    }

    /// The platform is about to kill the process: what is given up is answered at once, and what still comes,
    /// until the end.
    fn give_up_all(&mut self) {
        info!(self.event_loop.log, "giving up what is open"; "open" => self.admitted.len(), "clients" => self.clients.len());
        let open: Vec<_> = self
            .admitted
            .iter()
            .map(|(request, admitted)| (request.clone(), admitted.attempts))
            .collect();
        for (request, attempts) in open {
            self.answer(&request, |out| match attempts {
                // There is no room any more, and it has run nowhere.
                0 => write_throttled(out, None),
                _ => write_error(out, "ERR failed"),
            });
        }
    }
}
