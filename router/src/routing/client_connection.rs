//! Client connections: clients are accepted, their commands are read, and what is no command is rejected.

use std::collections::VecDeque;
use std::net::TcpStream;

use kestreltide::interface::*;
use slog::{info, warn};

use super::admission::ParsedRequest;
use super::arrivals::Arrivals;
use super::metrics::Counter;
use super::{Routing, SocketOwner, TimerEvent};
use crate::protocol::client::{self, Command, StoredCommand};
use crate::protocol::{Malformed, resp};
use crate::transport::{ReadStatus, SocketId, Stream, out_of_descriptors};

/// A command that was taken: its answer is to come, or waits for those before it.
pub(super) enum QueuedReply {
    Pending(RequestId),
    Ready(Vec<u8>),
}

/// A client's connection.
pub(super) struct Client {
    pub(super) stream: Stream,
    /// Arrival times of what has been read and not taken.
    arrivals: Arrivals,
    pub(super) queue: VecDeque<QueuedReply>,
    /// No more commands are taken; the connection is closed once all that was taken is answered.
    pub(super) closing: bool,
    /// The client was notified of the close: what it still sends is discarded for a while.
    pub(super) lingering: Option<Lingering>,
    /// When it connected, or when its last command or response was.
    pub(super) last_used: f64,
    /// Complete commands that it has sent.
    commands: usize,
    /// Since when a command has begun and not ended.
    command_begun: Option<f64>,
    unknown_commands: usize,
    /// Since when what was written has not been read.
    pub(super) unread_since: Option<f64>,
}

/// A lingering close: how long, and how much of what still comes is read and discarded.
pub(super) struct Lingering {
    /// Unix time in seconds.
    pub(super) until: f64,
    pub(super) bytes_left: usize,
}

impl Client {
    fn new(stream: Stream, now: f64) -> Self {
        Client {
            stream,
            arrivals: Arrivals::default(),
            queue: VecDeque::new(),
            closing: false,
            lingering: None,
            last_used: now,
            commands: 0,
            command_begun: None,
            unknown_commands: 0,
            unread_since: None,
        }
    }

    /// Reads what is there, up to so many unused bytes and so many at a time. What is found arrived at this time or
    /// later.
    fn fill(&mut self, most: usize, step: usize, arrived_since: f64) -> ReadStatus {
        let before = self.stream.input().len();
        let filled = self.stream.read_available(most, step);
        let read = self.stream.input().len() - before;
        self.arrivals
            .read(read, arrived_since, filled != ReadStatus::More);
        filled
    }

    fn consume(&mut self, bytes: usize) {
        self.stream.consume(bytes);
        self.arrivals.consume(bytes);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.stream.unwritten() == 0
    }

    /// In the middle of a command.
    pub(super) fn is_begun(&self) -> bool {
        self.command_begun.is_some()
    }

    /// Who makes room first: the turned away, the silent and who has asked but once, then those that came back;
    /// those that are in the middle of a command last, who have little time for it anyway.
    fn rank(&self) -> u8 {
        match () {
            () if self.closing => 0,
            () if self.command_begun.is_some() => 3,
            () if self.commands > 1 => 2,
            () => 1,
        }
    }
}

const OPEN_ID: &str = "ERR the id is that of an open invocation";

enum Step {
    Take(ParsedRequest),
    /// The client that holds its id is gone, and this comes after that.
    Left(SocketId),
    Reply(&'static str),
    Fail(&'static str),
    Unknown,
}

impl Routing {
    /// True where more clients may wait to be taken at once.
    pub(super) fn accept(&mut self) -> bool {
        let now = self.event_loop.now();
        // Bounded: who connects by hundreds at once leaves others their turn.
        for _ in 0..self.event_loop.limits.clients.accepts_per_wake {
            // Who waits to be accepted may have written a command already: room is made, nobody is kept out.
            if self.clients.len() >= self.event_loop.limits.clients.connections
                && !self.close_idle_client()
            {
                return self.accept_again(now + self.event_loop.limits.clients.accept_retry_delay);
            }
            self.close_idle_client_over_limit(now);
            let Some(listener) = &self.listener else {
                return false;
            };
            match listener.accept() {
                Ok(Some(socket)) => self.accepted(socket, now),
                Ok(None) => return false,
                Err(e) => {
                    // Those without use make room; else it is tried again, not at once.
                    if !out_of_descriptors(&e) || !self.free_descriptor() {
                        warn!(self.event_loop.log, "client connection not accepted"; "error" => %e);
                        return self
                            .accept_again(now + self.event_loop.limits.clients.accept_retry_delay);
                    }
                }
            }
        }
        self.accept_again(now);
        true
    }

    fn accept_again(&mut self, at: f64) -> bool {
        if !self.accept_due {
            self.accept_due = true;
            self.event_loop.schedule(at, TimerEvent::AcceptAgain);
        }
        false
    }

    fn accepted(&mut self, socket: TcpStream, now: f64) {
        match Stream::accepted(
            &mut self.event_loop.reactor,
            socket,
            SocketOwner::Client.priority(),
        ) {
            Ok(stream) => {
                let id = stream.id;
                self.clients.insert(id, Client::new(stream, now));
                self.event_loop.metrics.increment(Counter::ClientsAccepted);
                self.read_client(id);
            }
            Err(e) => {
                warn!(self.event_loop.log, "client connection not registered"; "error" => %e)
            }
        }
    }

    /// Closes a connection of no use, or one whose answers are stale: of the first rank the one that has been
    /// so for longest.
    fn close_idle_client(&mut self) -> bool {
        let stale = self.event_loop.now() - self.event_loop.limits.clients.stale_response_age;
        let of_no_use = |client: &Client| {
            client.is_idle() || client.unread_since.is_some_and(|since| since < stale)
        };
        loop {
            let idle = self.clients.iter().filter(|(_, client)| of_no_use(client));
            let order = |a: &Client, b: &Client| {
                a.rank()
                    .cmp(&b.rank())
                    .then(a.last_used.total_cmp(&b.last_used))
            };
            let Some((&id, _)) = idle.min_by(|a, b| order(a.1, b.1)) else {
                return false;
            };
            if self.close_unused(id) {
                return true;
            }
        }
    }

    /// Some clients ask once and keep their connection for good: all of them together may hold as many as their
    /// side can open, and none be left to ask on.
    fn close_idle_client_over_limit(&mut self, now: f64) {
        let since = now - self.event_loop.limits.clients.idle_timeout;
        let stays =
            |client: &Client| client.commands == 1 && client.last_used < since && client.is_idle();
        let idle_clients = self
            .clients
            .iter()
            .filter(|(_, client)| stays(client) && client.command_begun.is_none());
        if idle_clients.clone().count() >= self.event_loop.limits.clients.idle {
            let oldest = idle_clients
                .min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used))
                .map(|(id, _)| *id);
            if let Some(id) = oldest {
                self.close_unused(id);
            }
        }
    }

    /// Closes a connection for want of use, unless its next command is here by now and only not read yet. False
    /// where it is in use.
    fn close_unused(&mut self, id: SocketId) -> bool {
        let use_of = |c: &Client| {
            (
                c.rank(),
                c.last_used,
                c.commands,
                c.unread_since,
                c.is_idle(),
            )
        };
        let before = self.clients.get(&id).map(use_of);
        self.read_client(id);
        let now = self.clients.get(&id).map(use_of);
        if now.is_some() && now == before {
            self.close_client(id);
        }
        now.is_none() || now == before
    }

    fn free_descriptor(&mut self) -> bool {
        self.upstreams.close_oldest_idle(&self.event_loop) || self.close_idle_client()
    }

    /// Reads what the client has sent and takes its commands while there is room for their answers. Who sends
    /// without end has its turn, and the next one at the next wake.
    pub(super) fn read_client(&mut self, id: SocketId) {
        if !self.write_client(id) {
            return;
        }
        // What is read now may have come at any time since the last look.
        let arrived_since = self.event_loop.arrived_since();
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.closing {
            return self.discard_input(id);
        }
        let filled = client.fill(
            self.event_loop.limits.resp.message,
            self.event_loop.limits.event_loop.read_bytes_per_turn,
            arrived_since,
        );
        // Who has left more unread commands than are kept is gone all the same, with what waits for it.
        let full = client.stream.input().len() >= self.event_loop.limits.resp.message;
        if filled == ReadStatus::Closed || full && client.stream.is_closed_by_peer() {
            return self.close_client(id);
        }
        if self.take_commands(id) && filled == ReadStatus::More {
            self.ready_again.push(id);
        }
        // Only after a read that found nothing more: a command that is here already is not left unanswered.
        if filled == ReadStatus::Drained && self.shutdown.is_draining() {
            self.drain_client(id);
        }
    }

    /// What a client that was turned away still sends would, unread, turn the close into a reset that may
    /// overtake the error line.
    fn discard_input(&mut self, id: SocketId) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let Some(lingering) = &mut client.lingering else {
            return;
        };
        let filled = client.stream.read_available(
            self.event_loop.limits.resp.message,
            self.event_loop.limits.event_loop.read_bytes_per_turn,
        );
        let read = client.stream.input().len();
        client.stream.consume(read);
        lingering.bytes_left = lingering.bytes_left.saturating_sub(read);
        let is_over = lingering.bytes_left == 0;
        if filled == ReadStatus::Closed || is_over {
            self.close_client(id);
        } else if filled == ReadStatus::More {
            self.ready_again.push(id);
        }
    }

    fn take_commands(&mut self, id: SocketId) -> bool {
        let mut progress = false;
        loop {
            let limits = &self.event_loop.limits;
            let client = self.clients.get_mut(&id).filter(|client| !client.closing);
            let Some(client) = client else { return false };
            // Backpressure: who does not read answers gives no more commands.
            if client.queue.len() >= limits.clients.pipelined_commands
                || client.stream.unwritten() > limits.resp.value
            {
                client.command_begun = None;
                return progress;
            }
            let Some(client) = self.clients.get(&id) else {
                return false;
            };
            let read = client::parse_command(client.stream.input(), &limits.resp);
            let may_grow = client.stream.input().len() < limits.resp.message;
            let (step, used) = match read {
                Ok(Some((command, used))) => match self.step(command, client.arrivals.of(used)) {
                    Ok(Step::Left(holder)) if holder != id => {
                        self.close_client(holder);
                        continue;
                    }
                    Ok(step) => (step, used),
                    Err(why) => return self.reject(id, &why),
                },
                Ok(None) if may_grow => {
                    let now = self.event_loop.now();
                    let Some(client) = self.clients.get_mut(&id) else {
                        return false;
                    };
                    client.command_begun =
                        client
                            .command_begun
                            .or((!client.stream.input().is_empty()).then_some(now));
                    return progress;
                }
                Ok(None) => return self.reject(id, &Malformed::new("a command is too long")),
                Err(why) => return self.reject(id, &why),
            };
            let Some(client) = self.clients.get_mut(&id) else {
                return false;
            };
            client.consume(used);
            (client.last_used, client.commands, client.command_begun) =
                (self.event_loop.now(), client.commands + 1, None);
            client.unknown_commands += usize::from(matches!(step, Step::Unknown));
            if client.unknown_commands > self.event_loop.limits.clients.unknown_commands {
                return self.reject(id, &Malformed::new("too many unknown commands"));
            }
            progress = true;
            match step {
                Step::Take(request) => self.admit(id, request),
                Step::Reply(text) => self.reply(id, |out| resp::write_simple(out, text)),
                Step::Left(_) => self.reply(id, |out| resp::write_error(out, OPEN_ID)),
                Step::Fail(text) => self.reply(id, |out| resp::write_error(out, text)),
                Step::Unknown => {
                    self.reply(id, |out| resp::write_error(out, "ERR unknown command"))
                }
            }
        }
    }

    /// What is to be done about a command whose last byte arrived at this time.
    fn step(&self, command: Command, arrived: Option<f64>) -> Result<Step, Malformed> {
        let command_fields = match command {
            Command::Request(command_fields) => command_fields,
            Command::Ping if self.ready => return Ok(Step::Reply("PONG")),
            Command::Ping => return Ok(Step::Fail("ERR starting")),
            Command::SetUp => return Ok(Step::Reply("OK")),
            Command::Unknown => return Ok(Step::Unknown),
        };
        let operation = self.transport.operations.get(command_fields.operation);
        let operation = *operation.ok_or_else(|| Malformed::new("the operation is not known"))?;
        match self.idempotency.get(operation.0) {
            Some(Idempotency::Idempotent) if command_fields.idempotent => {}
            Some(Idempotency::IdempotencyKey { .. })
                if !command_fields.idempotent && !command_fields.has_idempotency_key =>
            {
                return Err(Malformed::new("no fingerprint (k)"));
            }
            Some(Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent)
                if !command_fields.idempotent => {}
            _ => return Err(Malformed::new("the command is not that of the operation")),
        }
        // Hosts know a request by its id: with another's, one would be answered for the other.
        if let Some(holder) = self.requests.holder(command_fields.id) {
            // Unless that client is gone, which is only not read yet: then it is sent again.
            let left = self
                .clients
                .get(&holder)
                .is_some_and(|client| client.stream.is_closed_by_peer());
            return Ok(if left {
                Step::Left(holder)
            } else {
                Step::Fail(OPEN_ID)
            });
        }
        if command_fields.time_limit_millis as f64
            > self.event_loop.limits.clients.max_time_limit * 1e3
        {
            return Err(Malformed::new("the time (d) is beyond all sense"));
        }
        let command: StoredCommand = command_fields.to_stored();
        let key = (!command_fields.key.is_empty()).then(|| KeyId(command_fields.key.into()));
        let pool = self
            .endpoints
            .route(command_fields.operation, command_fields.key)
            .map(|route| route.pool.clone());
        // A command that lay unread, while this process stood still or behind a full pipeline, has less time left.
        let now = self.event_loop.now();
        let unread = now - arrived.unwrap_or(now);
        let time_left = (command_fields.time_limit_millis as f64 / 1e3 - unread)
            .max(0.0)
            .min(self.shutdown.time_left(now));
        Ok(Step::Take(ParsedRequest {
            operation,
            key,
            pool,
            time_left,
            is_retry: command_fields.is_retry,
            command,
        }))
    }

    fn reject(&mut self, id: SocketId, why: &Malformed) -> bool {
        if self.event_loop.may_warn() {
            info!(self.event_loop.log, "malformed command, client connection closed"; "why" => %why);
        }
        self.event_loop
            .metrics
            .increment(Counter::MalformedMessages);
        if let Some(client) = self.clients.get_mut(&id) {
            client.closing = true;
            client.consume(usize::MAX);
        }
        self.reply(id, |out| resp::write_error(out, &format!("ERR {why}")));
        self.discard_input(id);
        false
    }

    /// Turns away who has connected and said nothing for long, or has begun a command and not ended it.
    pub(super) fn expire_clients_without_request(&mut self, now: f64) {
        let since = now - self.event_loop.limits.clients.command_timeout;
        let late = self
            .clients
            .iter()
            .filter(|(_, client)| match client.command_begun {
                _ if client.closing => client
                    .lingering
                    .as_ref()
                    .is_some_and(|lingering| lingering.until < now),
                Some(begun) => begun < since || client.commands == 0 && client.last_used < since,
                None => client.commands == 0 && client.last_used < since,
            });
        for (id, begun) in late
            .map(|(id, client)| (*id, client.command_begun.is_some()))
            .collect::<Vec<_>>()
        {
            match self.clients.get(&id) {
                Some(client) if begun && !client.closing => {
                    self.reject(id, &Malformed::new("a command does not end"));
                }
                Some(client) if client.closing => self.close_client(id),
                _ => {
                    self.close_unused(id);
                }
            }
        }
    }

    /// The client is gone, or its connection is closed for want of use.
    pub(super) fn close_client(&mut self, id: SocketId) {
        let Some(client) = self.clients.remove(&id) else {
            return;
        };
        let waited = !client.queue.is_empty();
        for waiting in client.queue {
            if let QueuedReply::Pending(request) = waiting
                && self.requests.abandon(&request)
            {
                self.event_loop
                    .metrics
                    .increment(Counter::RequestsAbandoned);
                self.event_loop
                    .notify_decisions(Event::ClientDisconnected { request });
            }
        }
        client.stream.close(&self.event_loop.reactor);
        if waited {
            self.abandon_unwritten_attempts();
        }
    }

    /// Whether the client of this request is gone, be it that its close is not read yet.
    pub(super) fn is_client_gone(&mut self, request: &RequestId) -> bool {
        let Some(client) = self.requests.client(request) else {
            return false;
        };
        if self.requests.is_abandoned(request) {
            return true;
        }
        let is_closed = self
            .clients
            .get(&client)
            .is_some_and(|client| client.stream.is_closed_by_peer());
        if is_closed {
            self.close_client(client);
        }
        is_closed
    }

    /// Closes connections whose clients have not read for long, and the fullest where too much is unread.
    pub(super) fn close_clients_not_reading(&mut self, now: f64) {
        let (most, longest) = (
            self.event_loop.limits.clients.unread_response_bytes,
            self.event_loop.limits.clients.write_timeout,
        );
        let not_reading = self
            .clients
            .iter()
            .filter(|(_, c)| c.unread_since.is_some_and(|since| now - since > longest));
        let mut closed: Vec<_> = not_reading.map(|(id, _)| *id).collect();
        let unread = |client: &Client| {
            let waiting = client.queue.iter().map(|waiting| match waiting {
                QueuedReply::Pending(_) => 0,
                QueuedReply::Ready(bytes) => bytes.len(),
            });
            client.stream.unwritten() + waiting.sum::<usize>()
        };
        if self.clients.values().map(unread).sum::<usize>() > most {
            let fullest = self.clients.iter().max_by_key(|(_, client)| unread(client));
            closed.extend(fullest.map(|(id, _)| *id));
        }
        for id in closed {
            warn!(
                self.event_loop.log,
                "client does not read, connection closed"
            );
            self.close_client(id);
        }
    }
}
