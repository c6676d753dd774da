//! Client connections: reads their commands, rejects malformed input, and closes connections that are slow or do not
//! read their replies.

use std::collections::VecDeque;
use std::io;

use kestreltide::interface::*;
use slog::{info, warn};

use super::Routing;
use super::admission::ParsedRequest;
use super::arrival_times::ArrivalTimes;
use super::metrics::Counter;
use crate::protocol::client::{self, Command};
use crate::protocol::{Malformed, resp};
use crate::transport::{Buffer, BufferOwner, CHUNK_BYTES, ReadStatus, SocketId, Stream};

/// The place of a command in its client's pipeline, whose replies are sent in the order of the commands.
pub(super) enum QueuedReply {
    /// The response to this request has not come yet.
    Pending(RequestId),
    /// The bytes of a reply that waits for those before it.
    Ready(Buffer),
}

/// A client's connection.
pub(super) struct Client {
    pub(super) stream: Stream,
    /// Of the input that has been read and not consumed.
    arrival_times: ArrivalTimes,
    /// The replies that are not written yet, in the order of the commands.
    pub(super) queue: VecDeque<QueuedReply>,
    /// No more commands are taken, and the connection is closed once all replies are written.
    pub(super) is_closing: bool,
    /// Set once the sending direction is shut down: the client's further input is discarded until the close.
    pub(super) lingering: Option<Lingering>,
    /// When it connected, sent its last complete command or got its last response, in Unix seconds.
    pub(super) last_used: f64,
    /// Complete commands.
    pub(super) commands_received: usize,
    /// Since when an incomplete command has been in the input, in Unix seconds.
    command_began_at: Option<f64>,
    unknown_commands: usize,
    /// Since when the client has not read all replies, in Unix seconds.
    pub(super) unread_since: Option<f64>,
    /// Writing to it has failed.
    has_failed: bool,
}

/// The limits of a lingering close, in which the client's input is read and discarded.
pub(super) struct Lingering {
    /// Unix time in seconds.
    pub(super) until: f64,
    /// Input that may still be discarded.
    pub(super) bytes_left: usize,
}

impl Client {
    pub(super) fn new(stream: Stream, now: f64) -> Self {
        Client {
            stream,
            arrival_times: ArrivalTimes::default(),
            queue: VecDeque::new(),
            is_closing: false,
            lingering: None,
            last_used: now,
            commands_received: 0,
            command_began_at: None,
            unknown_commands: 0,
            unread_since: None,
            has_failed: false,
        }
    }

    /// Reads input until `max_unconsumed` bytes wait to be consumed or about `max_read` bytes were read. Records that
    /// they arrived at `arrived_since` (Unix seconds) or later.
    fn read_input(
        &mut self,
        max_unconsumed: usize,
        max_read: usize,
        arrived_since: f64,
    ) -> ReadStatus {
        let before = self.stream.input().len();
        let status = self.stream.read_available(max_unconsumed, max_read);
        let read = self.stream.input().len() - before;
        self.arrival_times
            .record_read(read, arrived_since, status != ReadStatus::More);
        status
    }

    fn consume(&mut self, bytes: usize) {
        self.stream.consume(bytes);
        self.arrival_times.consume(bytes);
    }

    /// Writes a reply that consists of these parts, or keeps what the socket does not take. Where it fails,
    /// [`Client::flush`] tells.
    pub(super) fn send(&mut self, parts: &[&[u8]]) {
        self.has_failed |= self.stream.send(parts).is_err();
    }

    /// Writes the kept output as far as the socket takes it. Returns whether all of it is written; an error where
    /// writing has failed.
    pub(super) fn flush(&mut self) -> io::Result<bool> {
        if self.has_failed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.stream.flush()
    }

    /// Takes the first reply out of the queue, if it is ready.
    pub(super) fn next_ready_reply(&mut self) -> Option<Buffer> {
        match self.queue.pop_front()? {
            QueuedReply::Ready(bytes) => Some(bytes),
            pending => {
                self.queue.push_front(pending);
                None
            }
        }
    }

    /// Bytes of memory that its unread replies hold.
    pub(super) fn reply_bytes_held(&self) -> usize {
        let queued = self.queue.iter().map(|reply| match reply {
            QueuedReply::Pending(_) => 0,
            QueuedReply::Ready(bytes) => bytes.held(),
        });
        self.stream.output_held() + queued.sum::<usize>()
    }

    /// Whether no reply is pending or unwritten.
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.stream.unwritten() == 0
    }

    /// Since when part of a command that is longer than a chunk has been in the input, in Unix seconds.
    pub(super) fn long_command_since(&self) -> Option<f64> {
        self.command_began_at
            .filter(|_| self.stream.input_held() > CHUNK_BYTES)
    }

    /// Whether the client has sent part of a command.
    pub(super) fn is_mid_command(&self) -> bool {
        self.command_began_at.is_some()
    }

    /// Whether part of a command has been in the input since before this time, in Unix seconds.
    pub(super) fn is_slow_writer(&self, began_before: f64) -> bool {
        self.command_began_at
            .is_some_and(|began_at| began_at < began_before)
    }

    /// The order in which connections are closed to make room for new ones, lowest first: those that are being closed,
    /// those whose command began before `slow_before` (Unix seconds) and is not complete, those with at most one
    /// command, those with more. Those in the middle of a younger command are closed last.
    pub(super) fn eviction_rank(&self, slow_before: f64) -> u8 {
        match () {
            () if self.is_closing => 0,
            () if self.is_slow_writer(slow_before) => 1,
            () if self.command_began_at.is_some() => 4,
            () if self.commands_received > 1 => 3,
            () => 2,
        }
    }
}

/// The error for a request whose id is that of a request in flight.
const OPEN_ID_ERROR: &str = "ERR the id is that of an open invocation";

/// The error for a request whose id is that of a request which may have had its effect.
const EXECUTED_ID_ERROR: &str = "ERR the id is that of an invocation that may have run";

/// What to do about a command.
enum CommandAction {
    /// Admit the request.
    Admit(ParsedRequest),
    /// Close this connection, whose client holds the request's id and has disconnected; then handle the command again.
    /// Where it is the command's own connection, reply with an error instead.
    CloseHolder(SocketId),
    /// Send a simple reply.
    Reply(&'static str),
    /// Send an error reply.
    Error(&'static str),
    /// Reply that the command is unknown.
    Unknown,
    /// Reject the request, for which there is no memory.
    Busy,
}

/// The next command in a client's input.
enum NextCommand {
    /// What to do about it, and its length in bytes.
    Take(CommandAction, usize),
    /// There is none that may be taken now.
    None(TakeEnd),
}

/// Why no more commands were taken from a client's input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeEnd {
    /// The input holds no further complete command.
    InputIncomplete,
    /// As many commands were taken as one client gets in a turn; it is read again in the next iteration.
    TurnOver,
    /// Backpressure: the client is read again after its next response, or once it reads its replies.
    Paused,
    /// The connection is closed or being closed.
    Closing,
}

impl Routing {
    /// Reads a client's input and takes its commands while its pipeline has room. A client with more input than is read
    /// at once is read again in the next iteration.
    pub(super) fn read_client(&mut self, id: SocketId) {
        // The input may have arrived at any time since the sockets were polled before.
        self.read_client_since(id, self.event_loop.arrived_since());
    }

    /// Reads a client's input, which arrived at `arrived_since` (Unix seconds) or later, and takes its commands.
    pub(super) fn read_client_since(&mut self, id: SocketId, arrived_since: f64) {
        if !self.write_client(id) {
            return;
        }
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.is_closing {
            return self.discard_input(id);
        }
        let status = client.read_input(
            self.event_loop.limits.resp.message,
            self.event_loop.limits.event_loop.read_bytes_per_turn,
            arrived_since,
        );
        // Where the read was cut short, the end of the stream may lie behind what was read; polling the socket then shows
        // whether the client has disconnected.
        if status == ReadStatus::Closed
            || matches!(status, ReadStatus::More | ReadStatus::OutOfMemory)
                && client.stream.is_closed_by_peer()
        {
            return self.close_client(id);
        }
        // The socket reports only what arrives after a read that emptied it.
        let end = self.take_commands(id);
        match (end, status) {
            (TakeEnd::TurnOver, _) | (TakeEnd::InputIncomplete, ReadStatus::More) => {
                self.schedule_read(id);
            }
            (TakeEnd::InputIncomplete, ReadStatus::OutOfMemory) => self.await_client_memory(id),
            _ => {}
        }
        // Only after a read that emptied the socket, so that a command that has arrived still gets its reply.
        let is_read_to_its_end = status == ReadStatus::Exhausted && end != TakeEnd::TurnOver;
        if is_read_to_its_end && self.shutdown.is_draining() {
            self.drain_client(id);
        }
    }

    /// Has a client read again in the next iteration, as its socket may hold more input.
    pub(super) fn schedule_read(&mut self, id: SocketId) {
        if !self.clients_with_more_input.contains(&id) {
            self.clients_with_more_input.push(id);
        }
    }

    /// Reads and discards the input of a client in a lingering close. Unread input would turn the close into a reset,
    /// and the client could lose the error reply.
    fn discard_input(&mut self, id: SocketId) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let Some(lingering) = &mut client.lingering else {
            return;
        };
        let status = client.stream.read_available(
            self.event_loop.limits.resp.message,
            self.event_loop.limits.event_loop.read_bytes_per_turn,
        );
        let read = client.stream.input().len();
        client.stream.consume(read);
        lingering.bytes_left = lingering.bytes_left.saturating_sub(read);
        let is_limit_reached = lingering.bytes_left == 0;
        if status == ReadStatus::Closed || is_limit_reached {
            self.close_client(id);
        } else if status != ReadStatus::Exhausted {
            self.schedule_read(id);
        }
    }

    /// Takes the complete commands in a client's input, as many as one client gets in a turn, while its pipeline has
    /// room. Returns why it ended.
    fn take_commands(&mut self, id: SocketId) -> TakeEnd {
        for _ in 0..self.event_loop.limits.clients.commands_per_turn {
            let taken = match self.next_command(id) {
                Ok(NextCommand::None(end)) => return end,
                Ok(NextCommand::Take(CommandAction::CloseHolder(holder), _)) if holder != id => {
                    self.close_client(holder);
                    Ok(())
                }
                Ok(NextCommand::Take(action, length)) => self.take_command(id, action, length),
                Err(why) => Err(why),
            };
            if let Err(why) = taken {
                return self.reject(id, &why);
            }
        }
        TakeEnd::TurnOver
    }

    /// The next command in a client's input.
    fn next_command(&mut self, id: SocketId) -> Result<NextCommand, Malformed> {
        let now = self.event_loop.now();
        let limits = &self.event_loop.limits;
        let Some(client) = self
            .clients
            .get_mut(&id)
            .filter(|client| !client.is_closing)
        else {
            return Ok(NextCommand::None(TakeEnd::Closing));
        };
        // Backpressure: no more commands are taken from a client that does not read its replies. The rest of a
        // command may then wait for the router, so the command timeout does not apply.
        if client.queue.len() >= limits.clients.pipelined_commands
            || client.stream.unwritten() > limits.resp.value
        {
            client.command_began_at = None;
            return Ok(NextCommand::None(TakeEnd::Paused));
        }
        let input_length = client.stream.input().len();
        if let Some(client) = self.clients.get(&id)
            && let Some((command, length)) =
                client::parse_command(client.stream.input(), &limits.resp)?
        {
            let arrived_at = client.arrival_times.arrival_of(length);
            let action = self.command_action(command, arrived_at)?;
            return Ok(NextCommand::Take(action, length));
        }
        if input_length >= limits.resp.message {
            return Err(Malformed::new("a command is too long"));
        }
        if let Some(client) = self.clients.get_mut(&id)
            && input_length > 0
        {
            client.command_began_at.get_or_insert(now);
        }
        Ok(NextCommand::None(TakeEnd::InputIncomplete))
    }

    /// Consumes a command of `length` bytes and carries out its action.
    fn take_command(
        &mut self,
        id: SocketId,
        action: CommandAction,
        length: usize,
    ) -> Result<(), Malformed> {
        let Some(client) = self.clients.get_mut(&id) else {
            return Ok(());
        };
        client.consume(length);
        client.last_used = self.event_loop.now();
        client.commands_received += 1;
        client.command_began_at = None;
        client.unknown_commands += usize::from(matches!(action, CommandAction::Unknown));
        if client.unknown_commands > self.event_loop.limits.clients.unknown_commands {
            return Err(Malformed::new("too many unknown commands"));
        }
        match action {
            CommandAction::Admit(request) => self.admit(id, request),
            CommandAction::Reply(text) => self.reply(id, |out| resp::write_simple(out, text)),
            CommandAction::CloseHolder(_) => {
                self.reply(id, |out| resp::write_error(out, OPEN_ID_ERROR));
            }
            CommandAction::Error(text) => self.reply(id, |out| resp::write_error(out, text)),
            CommandAction::Busy => self.reject_request(id),
            CommandAction::Unknown => {
                self.reply(id, |out| resp::write_error(out, "ERR unknown command"));
            }
        }
        Ok(())
    }

    /// What to do about a command whose last byte arrived at `arrived_at` (Unix seconds).
    fn command_action(
        &self,
        command: Command,
        arrived_at: Option<f64>,
    ) -> Result<CommandAction, Malformed> {
        let command_fields = match command {
            Command::Request(command_fields) => command_fields,
            Command::Ping if self.is_ready => return Ok(CommandAction::Reply("PONG")),
            Command::Ping => return Ok(CommandAction::Error("ERR starting")),
            Command::SetUp => return Ok(CommandAction::Reply("OK")),
            Command::Unknown => return Ok(CommandAction::Unknown),
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
        // Hosts identify a request by its id: of two with one id, one would get the response to the other.
        if let Some(holder) = self.requests.connection_awaiting(command_fields.id) {
            // A client that has disconnected may not have been read yet; the request is then one that is sent again.
            let is_gone = self
                .clients
                .get(&holder)
                .is_some_and(|client| client.stream.is_closed_by_peer());
            return Ok(if is_gone {
                CommandAction::CloseHolder(holder)
            } else {
                CommandAction::Error(OPEN_ID_ERROR)
            });
        }
        let now = self.event_loop.now();
        if !self.is_idempotent(operation) && self.executed_ids.contains(command_fields.id) {
            return Ok(CommandAction::Error(EXECUTED_ID_ERROR));
        }
        if command_fields.time_limit_millis as f64
            > self.event_loop.limits.clients.max_time_limit * 1e3
        {
            return Err(Malformed::new("the time (d) is beyond all sense"));
        }
        let memory = self.event_loop.memory();
        if memory.allowance(BufferOwner::Commands) < command_fields.size() {
            return Ok(CommandAction::Busy);
        }
        let command = command_fields.to_stored(memory);
        let key = (!command_fields.key.is_empty()).then(|| KeyId(command_fields.key.into()));
        let pool = self
            .endpoints
            .route(command_fields.operation, command_fields.key)
            .map(|route| route.pool.clone());
        // Time that the command waited unread, in a stall of this process or behind a full pipeline, is subtracted.
        let unread_time = now - arrived_at.unwrap_or(now);
        let time_left = (command_fields.time_limit_millis as f64 / 1e3 - unread_time)
            .max(0.0)
            .min(self.shutdown.time_left(now));
        Ok(CommandAction::Admit(ParsedRequest {
            operation,
            key,
            pool,
            deadline: now + time_left,
            is_retry: command_fields.is_retry,
            command,
        }))
    }

    /// Sends an error reply to malformed input and begins to close the connection.
    fn reject(&mut self, id: SocketId, why: &Malformed) -> TakeEnd {
        if self.event_loop.may_warn() {
            info!(self.event_loop.log, "malformed command, client connection closed"; "why" => %why);
        }
        self.event_loop
            .metrics
            .increment(Counter::MalformedMessages);
        self.close_with(id, |out| resp::write_error(out, &format!("ERR {why}")));
        TakeEnd::Closing
    }

    /// Rejects a command that is not complete, as its memory is needed for others, and begins to close the connection.
    pub(super) fn reject_incomplete_command(&mut self, id: SocketId) {
        self.event_loop.metrics.increment(Counter::RequestsRejected);
        self.close_with(id, |out| client::write_busy(out, None));
    }

    /// Rejects a command that is not complete, as its connection is needed for others, and closes the connection.
    pub(super) fn close_slow_writer(&mut self, id: SocketId) {
        self.reject_incomplete_command(id);
        self.close_client(id);
    }

    /// Sends a last reply and begins to close the connection. Its input is discarded.
    fn close_with(&mut self, id: SocketId, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.is_closing = true;
            client.consume(usize::MAX);
        }
        self.reply(id, write);
        self.discard_input(id);
    }

    /// Closes clients that have sent no command within `command_timeout` of connecting or have not completed one within
    /// that time, and those whose lingering close is over.
    pub(super) fn expire_clients_without_command(&mut self, now: f64) {
        let began_before = now - self.event_loop.limits.clients.command_timeout;
        let expired = self
            .clients
            .iter()
            .filter(|(_, client)| match client.command_began_at {
                _ if client.is_closing => client
                    .lingering
                    .as_ref()
                    .is_some_and(|lingering| lingering.until < now),
                Some(began_at) => {
                    began_at < began_before
                        || client.commands_received == 0 && client.last_used < began_before
                }
                None => client.commands_received == 0 && client.last_used < began_before,
            });
        for (id, is_mid_command) in expired
            .map(|(id, client)| (*id, client.command_began_at.is_some()))
            .collect::<Vec<_>>()
        {
            match self.clients.get(&id) {
                Some(client) if is_mid_command && !client.is_closing => {
                    self.reject(id, &Malformed::new("a command does not end"));
                }
                Some(client) if client.is_closing => self.close_client(id),
                _ => {
                    self.close_if_unused(id);
                }
            }
        }
    }

    /// Closes a client's connection and abandons its pending requests. Their attempts whose commands are not fully
    /// written are ended.
    pub(super) fn close_client(&mut self, id: SocketId) {
        let Some(client) = self.clients.remove(&id) else {
            return;
        };
        let had_queued_replies = !client.queue.is_empty();
        for reply in client.queue {
            if let QueuedReply::Pending(request) = reply
                && self.requests.abandon(&request)
            {
                if let Some(id) = self.requests.unrepeatable_id(&request) {
                    self.executed_ids.remember(id, self.event_loop.now());
                }
                self.event_loop
                    .metrics
                    .increment(Counter::RequestsAbandoned);
                self.event_loop
                    .notify_decisions(Event::ClientDisconnected { request });
            }
        }
        client.stream.close(&self.event_loop.reactor);
        if had_queued_replies {
            self.abandon_unwritten_attempts();
        }
    }

    /// Whether the client of this request has disconnected. Where that has not been read yet, closes the connection.
    pub(super) fn is_client_gone(&mut self, request: &RequestId) -> bool {
        let Some(client) = self.requests.client(request) else {
            return false;
        };
        if self.requests.client_has_disconnected(request) {
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

    /// Closes clients that have not read their replies within `write_timeout`.
    pub(super) fn close_clients_not_reading(&mut self, now: f64) {
        let write_timeout = self.event_loop.limits.clients.write_timeout;
        let not_reading = self.clients.iter().filter(|(_, client)| {
            client
                .unread_since
                .is_some_and(|since| now - since > write_timeout)
        });
        let to_close: Vec<_> = not_reading.map(|(id, _)| *id).collect();
        for id in to_close {
            self.close_client_not_reading(id);
        }
    }

    /// Closes the client whose unread replies hold the most memory.
    pub(super) fn close_client_with_most_unread(&mut self) {
        let fullest = self
            .clients
            .iter()
            .max_by_key(|(_, client)| client.reply_bytes_held());
        if let Some((&id, _)) = fullest {
            self.close_client_not_reading(id);
        }
    }

    fn close_client_not_reading(&mut self, id: SocketId) {
        warn!(
            self.event_loop.log,
            "client not reading replies, connection closed"
        );
        self.close_client(id);
    }
}
