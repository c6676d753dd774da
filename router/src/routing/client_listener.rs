//! Accepts clients, and closes idle connections to make room for them.

use std::net::TcpStream;

use slog::warn;

use super::accept_queue::AcceptQueue;
use super::client_connection::Client;
use super::metrics::Counter;
use super::{Routing, SocketOwner, TimerEvent};
use crate::transport::{Listener, Reactor, SocketId, Stream, out_of_descriptors};

/// The socket that clients connect to, and what is known of those that wait to be accepted.
pub(super) struct ClientListener {
    /// `None` once the graceful shutdown has closed it.
    socket: Option<Listener>,
    queue: AcceptQueue,
    /// Whether a [`TimerEvent::AcceptAgain`] timer is pending.
    is_retry_scheduled: bool,
}

impl ClientListener {
    /// `backlog` is the length of the socket's queue.
    pub(super) fn new(socket: Listener, backlog: usize) -> Self {
        ClientListener {
            socket: Some(socket),
            queue: AcceptQueue::new(backlog),
            is_retry_scheduled: false,
        }
    }

    /// Whether clients can still connect.
    pub(super) fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Stops listening.
    pub(super) fn close(&mut self, reactor: &Reactor) {
        if let Some(socket) = self.socket.take() {
            socket.close(reactor);
        }
    }
}

impl Routing {
    /// Handles the timer that has clients accepted again.
    pub(super) fn on_accept_timer(&mut self) {
        self.listener.is_retry_scheduled = false;
        let _ = self.accept();
    }

    /// Accepts waiting clients. Returns true where it stopped at `accepts_per_wake` and more may wait.
    pub(super) fn accept(&mut self) -> bool {
        let now = self.event_loop.now();
        // Bounded, so that hundreds of clients that connect at once do not delay other sockets.
        for _ in 0..self.event_loop.limits.clients.accepts_per_wake {
            // A waiting client may have sent a command already, so an idle connection is closed to make room for it.
            if self.clients.len() >= self.event_loop.limits.clients.connections
                && !self.close_idle_client()
            {
                return self.retry_accept(now);
            }
            self.close_idle_client_over_limit(now);
            let Some(socket) = &self.listener.socket else {
                return false;
            };
            match socket.accept() {
                Ok(Some(socket)) => self.add_client(socket, now),
                Ok(None) => {
                    self.listener.queue.reset();
                    return false;
                }
                Err(e) => {
                    // Without a free descriptor, an unused connection is closed. Otherwise accepting is retried later.
                    if !out_of_descriptors(&e) || !self.free_descriptor() {
                        warn!(self.event_loop.log, "client connection not accepted"; "error" => %e);
                        return self.retry_accept(now);
                    }
                }
            }
        }
        self.listener
            .queue
            .on_left_waiting(self.event_loop.arrived_since(), self.event_loop.now());
        self.schedule_accept(now);
        true
    }

    /// Schedules the next accept after a delay, as there is no room for clients; always returns false.
    fn retry_accept(&mut self, now: f64) -> bool {
        self.listener.queue.reset();
        self.schedule_accept(now + self.event_loop.limits.clients.accept_retry_delay)
    }

    /// Schedules the next accept, unless one is scheduled; always returns false.
    fn schedule_accept(&mut self, at: f64) -> bool {
        if !self.listener.is_retry_scheduled {
            self.listener.is_retry_scheduled = true;
            self.event_loop.schedule(at, TimerEvent::AcceptAgain);
        }
        false
    }

    /// Registers an accepted connection and reads its first commands.
    fn add_client(&mut self, socket: TcpStream, now: f64) {
        match Stream::accepted(
            &mut self.event_loop.reactor,
            socket,
            SocketOwner::Client.stream_role(),
        ) {
            Ok(stream) => {
                let id = stream.id;
                self.clients.insert(id, Client::new(stream, now));
                self.event_loop.metrics.increment(Counter::ClientsAccepted);
                let arrived_since = self
                    .listener
                    .queue
                    .arrived_since(self.event_loop.arrived_since());
                self.listener.queue.on_accepted(now);
                self.read_client_since(id, arrived_since);
            }
            Err(e) => {
                warn!(self.event_loop.log, "client connection not registered"; "error" => %e)
            }
        }
    }

    /// Closes one connection to make room: an idle one, one whose command does not become complete, or one whose unread
    /// replies are too late to be of use. Of those
    /// with the lowest eviction rank, it closes the one that was not used for longest. False where there is none.
    fn close_idle_client(&mut self) -> bool {
        let now = self.event_loop.now();
        let stale_before = now - self.event_loop.limits.clients.stale_response_age;
        let slow_before = now - self.event_loop.limits.clients.evictable_command_age;
        let is_evictable = |client: &Client| {
            client.is_idle()
                || client
                    .unread_since
                    .is_some_and(|since| since < stale_before)
        };
        loop {
            let evictable = self
                .clients
                .iter()
                .filter(|(_, client)| is_evictable(client));
            let by_rank_and_age = |a: &Client, b: &Client| {
                a.eviction_rank(slow_before)
                    .cmp(&b.eviction_rank(slow_before))
                    .then(a.last_used.total_cmp(&b.last_used))
            };
            let Some((&id, _)) = evictable.min_by(|a, b| by_rank_and_age(a.1, b.1)) else {
                return false;
            };
            if self.close_if_unused(id) {
                return true;
            }
        }
    }

    /// Closes the longest unused of the idle connections with exactly one command, where there are
    /// `limits.clients.idle` of them or more. Some clients send one command and never close the connection;
    /// together they could hold all the connections that their side can open, and then send no more requests.
    fn close_idle_client_over_limit(&mut self, now: f64) {
        let idle_since = now - self.event_loop.limits.clients.idle_timeout;
        let is_idle_after_one_command = |client: &Client| {
            client.commands_received == 1 && client.last_used < idle_since && client.is_idle()
        };
        let idle_clients = self
            .clients
            .iter()
            .filter(|(_, client)| is_idle_after_one_command(client) && !client.is_mid_command());
        if idle_clients.clone().count() >= self.event_loop.limits.clients.idle {
            let oldest = idle_clients
                .min_by(|a, b| a.1.last_used.total_cmp(&b.1.last_used))
                .map(|(id, _)| *id);
            if let Some(id) = oldest {
                self.close_if_unused(id);
            }
        }
    }

    /// Closes an unused connection, unless reading it first shows that it is in use again; then returns false.
    pub(super) fn close_if_unused(&mut self, id: SocketId) -> bool {
        let slow_before =
            self.event_loop.now() - self.event_loop.limits.clients.evictable_command_age;
        let usage = |client: &Client| {
            (
                client.eviction_rank(slow_before),
                client.last_used,
                client.commands_received,
                client.unread_since,
                client.is_idle(),
            )
        };
        let before = self.clients.get(&id).map(usage);
        self.read_client(id);
        let after = self.clients.get(&id).map(usage);
        let is_slow_writer = |client: &Client| client.is_slow_writer(slow_before);
        if after.is_some() && after == before {
            if self.clients.get(&id).is_some_and(is_slow_writer) {
                self.close_slow_writer(id);
            } else {
                self.close_client(id);
            }
        }
        after.is_none() || after == before
    }

    /// Closes an idle connection to a host, or one of a client, to free a file descriptor; false where there is none.
    fn free_descriptor(&mut self) -> bool {
        self.upstreams.close_oldest_idle(&self.event_loop) || self.close_idle_client()
    }
}
