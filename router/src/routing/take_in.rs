//! Take in: clients come, their commands are read, and what is no command is turned away.

use std::collections::VecDeque;
use std::net::TcpStream;

use kestreltide::interface::*;
use slog::{info, warn};

use super::admit::Taken;
use super::{CLIENTS, Due, Routing};
use crate::protocol::client::{self, Command, Kept};
use crate::protocol::{Malformed, resp};
use crate::transport::{Fill, SocketId, Stream, out_of_descriptors};

/// A command that was taken: its answer is to come, or waits for those before it.
pub(super) enum Waiting {
    For(InvId),
    Answered(Vec<u8>),
}

pub(super) struct Client {
    pub(super) stream: Stream,
    pub(super) queue: VecDeque<Waiting>,
    /// No more is read; closed once all that was taken is answered.
    pub(super) closing: bool,
    pub(super) used: f64,
    /// Since when what was written has not been read.
    pub(super) stuck: Option<f64>,
}

impl Client {
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.stream.unwritten() == 0
    }
}

enum Step {
    Take(Taken),
    Reply(&'static str),
    Fail(&'static str),
}

impl Routing {
    pub(super) fn accept(&mut self) {
        let now = self.clock.now();
        while self.listener.is_some() {
            // Who waits to be accepted may have written a command already: room is made, nobody is kept out.
            if self.clients.len() >= self.limits.clients && !self.close_idle_client() {
                return self.accept_again(now);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok(Some(socket)) => self.accepted(socket, now),
                Ok(None) => return,
                Err(e) => {
                    // Those without use make room; else it is tried again, not at once.
                    if !out_of_descriptors(&e) || !self.free_descriptor() {
                        warn!(self.log, "no client can be accepted now"; "error" => %e);
                        return self.accept_again(now);
                    }
                }
            }
        }
    }

    fn accept_again(&mut self, now: f64) {
        if !self.accept_due {
            self.accept_due = true;
            self.set_due(now + self.limits.accept_again, Due::AcceptAgain);
        }
    }

    fn accepted(&mut self, socket: TcpStream, now: f64) {
        match Stream::accepted(&mut self.net, socket, CLIENTS) {
            Ok(stream) => {
                let id = stream.id;
                let client =
                    Client { stream, queue: VecDeque::new(), closing: false, used: now, stuck: None };
                self.clients.insert(id, client);
                self.tally.clients += 1;
                self.take_in(id);
            }
            Err(e) => warn!(self.log, "a client's connection cannot be watched"; "error" => %e),
        }
    }

    /// Closes the client's connection that has been without use for longest, or one whose answers are stale.
    fn close_idle_client(&mut self) -> bool {
        let stale = self.clock.now() - self.limits.stale_answer;
        let of_no_use = |client: &Client| client.is_idle() || client.stuck.is_some_and(|since| since < stale);
        let idle = self.clients.iter().filter(|(_, client)| of_no_use(client));
        let oldest = idle.min_by(|a, b| a.1.used.total_cmp(&b.1.used)).map(|(id, _)| *id);
        oldest.map(|id| self.client_left(id)).is_some()
    }

    fn free_descriptor(&mut self) -> bool {
        match self.pools.take_oldest() {
            Some(id) => {
                self.close_link(id);
                true
            }
            None => self.close_idle_client(),
        }
    }

    /// Reads what the client has sent and takes its commands while there is room for their answers.
    pub(super) fn take_in(&mut self, id: SocketId) {
        if !self.write_client(id) {
            return;
        }
        loop {
            let Some(client) = self.clients.get_mut(&id).filter(|client| !client.closing) else { return };
            let filled = client.stream.fill(self.limits.message, self.limits.read_step);
            if filled == Fill::Ended {
                return self.client_left(id);
            }
            let progress = self.take_commands(id);
            if filled == Fill::Drained || !progress {
                return;
            }
        }
    }

    fn take_commands(&mut self, id: SocketId) -> bool {
        let mut progress = false;
        loop {
            let limits = &self.limits;
            let Some(client) = self.clients.get(&id).filter(|client| !client.closing) else { return false };
            // Backpressure: who does not read answers gives no more commands.
            if client.queue.len() >= limits.pipeline || client.stream.unwritten() > limits.resp.value {
                return progress;
            }
            let read = client::read(client.stream.input(), &limits.resp);
            let whole = client.stream.input().len() < limits.message;
            let (step, used) = match read {
                Ok(Some((command, used))) => match self.step(command) {
                    Ok(step) => (step, used),
                    Err(why) => return self.reject(id, &why),
                },
                Ok(None) if whole => return progress,
                Ok(None) => return self.reject(id, &Malformed::new("a command is too long")),
                Err(why) => return self.reject(id, &why),
            };
            let Some(client) = self.clients.get_mut(&id) else { return false };
            client.stream.consume(used);
            client.used = self.clock.now();
            progress = true;
            match step {
                Step::Take(taken) => self.admit(id, taken),
                Step::Reply(text) => self.reply(id, |out| resp::write_simple(out, text)),
                Step::Fail(text) => self.reply(id, |out| resp::write_error(out, text)),
            }
        }
    }

    fn step(&self, command: Command) -> Result<Step, Malformed> {
        let asked = match command {
            Command::Invocation(asked) => asked,
            Command::Ping if self.ready => return Ok(Step::Reply("PONG")),
            Command::Ping => return Ok(Step::Fail("ERR starting")),
            Command::SetUp => return Ok(Step::Reply("OK")),
            Command::Unknown => return Ok(Step::Fail("ERR unknown command")),
        };
        let operation = self.transport.operations.get(asked.operation);
        let operation = *operation.ok_or_else(|| Malformed::new("the operation is not known"))?;
        if self.idempotent.get(operation.0) != Some(&asked.idempotent) {
            return Err(Malformed::new("the command is not that of the operation"));
        }
        let kept: Kept = asked.keep();
        let key = (!asked.key.is_empty()).then(|| KeyId(asked.key.into()));
        // A command that lay unread while this process stood still, be it in this turn, has less time left.
        let unread = self.stall + self.clock.now() - self.woken;
        let time_left = (asked.time_millis as f64 / 1e3 - unread).max(0.0);
        Ok(Step::Take(Taken { operation, key, time_left, again: asked.again, kept }))
    }

    fn reject(&mut self, id: SocketId, why: &Malformed) -> bool {
        info!(self.log, "a client's command is malformed, its connection is closed"; "why" => %why);
        self.tally.malformed += 1;
        if let Some(client) = self.clients.get_mut(&id) {
            client.closing = true;
            // Unread bytes would turn the close into a reset that may overtake the error.
            client.stream.consume(usize::MAX);
            let _ = client.stream.fill(self.limits.message, self.limits.read_step);
        }
        self.reply(id, |out| resp::write_error(out, &format!("ERR {why}")));
        false
    }

    /// The client is gone, or its connection is closed for want of use.
    pub(super) fn client_left(&mut self, id: SocketId) {
        let Some(client) = self.clients.remove(&id) else { return };
        for waiting in client.queue {
            if let Waiting::For(inv) = waiting
                && let Some(admitted) = self.admitted.get_mut(&inv)
            {
                admitted.left = true;
                self.tally.left += 1;
                self.events.push_back(Event::ClientLeft { inv });
            }
        }
        client.stream.close(&self.net);
    }

    /// Closes connections whose clients have not read for long, and the fullest where too much is unread.
    pub(super) fn close_stuck(&mut self, now: f64) {
        let (most, longest) = (self.limits.unread, self.limits.stuck_client);
        let stuck = self.clients.iter().filter(|(_, c)| c.stuck.is_some_and(|since| now - since > longest));
        let mut closed: Vec<_> = stuck.map(|(id, _)| *id).collect();
        let unread = |client: &Client| {
            let waiting = client.queue.iter().map(|waiting| match waiting {
                Waiting::For(_) => 0,
                Waiting::Answered(bytes) => bytes.len(),
            });
            client.stream.unwritten() + waiting.sum::<usize>()
        };
        if self.clients.values().map(unread).sum::<usize>() > most {
            let fullest = self.clients.iter().max_by_key(|(_, client)| unread(client));
            closed.extend(fullest.map(|(id, _)| *id));
        }
        for id in closed {
            warn!(self.log, "a client does not read its answers, its connection is closed");
            self.client_left(id);
        }
    }
}
