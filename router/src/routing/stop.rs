//! A planned stop: clients still come for a while and are served; then no more are let in, and the program
//! ends once all that was taken is answered.

use slog::info;

use super::{Due, Routing};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    No,
    /// Told to stop, but clients do not know yet.
    Serving,
    /// The listener is closed, and connections as they fall idle.
    Ending,
    /// Whatever is left is given up.
    Over,
}

impl Routing {
    pub(super) fn stop_told(&mut self, now: f64) {
        if self.stop == Stop::No {
            info!(self.log, "stopping"; "open" => self.admitted.len(), "clients" => self.clients.len());
            self.stop = Stop::Serving;
            self.set_due(now + self.limits.stop_serving, Due::StopServing);
            self.set_due(now + self.limits.stop_last, Due::StopLast);
        }
    }

    pub(super) fn stop_serving(&mut self) {
        // Who is accepted by the machine may have written a command: none is left behind unread.
        while self.accept() {}
        let clients: Vec<_> = self.clients.keys().copied().collect();
        clients.iter().for_each(|id| self.take_in(*id));
        self.settle();
        self.stop = Stop::Ending;
        if let Some(listener) = self.listener.take() {
            listener.close(&self.net);
        }
        for id in clients {
            self.write_client(id);
        }
    }

    pub(super) fn stop_last(&mut self) {
        self.stop = Stop::Over;
        info!(self.log, "stopped with clients left"; "open" => self.admitted.len());
    }

    pub(super) fn stopped(&self) -> bool {
        self.stop == Stop::Over || self.stop == Stop::Ending && self.clients.is_empty()
    }
}
