//! The pool of connections to hosts, in use and idle. Names with `upstream` refer to these connections.
//!
//! [`UpstreamPool::checkout`] and [`UpstreamPool::check_in`] begin and end a use, during which the pool keeps the
//! connection. [`UpstreamPool::take`] and [`UpstreamPool::put_back`] move a connection out of the pool and back within
//! one function, where it is borrowed together with other parts of the router.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::debug;

use super::endpoint_table::EndpointTable;
use super::event_loop::{EventLoop, SocketOwner};
use super::metrics::Counter;
use super::upstream_connection::{ConnectionUse, UpstreamConnection};
use crate::transport::{IdleConnections, SocketId, Stream, out_of_descriptors};

/// All connections to hosts.
#[derive(Default)]
pub(super) struct UpstreamPool {
    connections: BTreeMap<SocketId, UpstreamConnection>,
    idle: IdleConnections<HostId>,
}

impl UpstreamPool {
    /// The number of connections, idle ones included.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// The number of idle connections.
    pub(super) fn idle_count(&self) -> usize {
        self.idle.count()
    }

    pub(super) fn contains(&self, id: SocketId) -> bool {
        self.connections.contains_key(&id)
    }

    pub(super) fn get(&self, id: SocketId) -> Option<&UpstreamConnection> {
        self.connections.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: SocketId) -> Option<&mut UpstreamConnection> {
        self.connections.get_mut(&id)
    }

    /// Takes a connection out of the pool, to close it or to put it back. If it is idle and gets closed,
    /// [`UpstreamPool::forget_idle`] must follow.
    pub(super) fn take(&mut self, id: SocketId) -> Option<UpstreamConnection> {
        self.connections.remove(&id)
    }

    pub(super) fn put_back(&mut self, connection: UpstreamConnection) {
        self.connections.insert(connection.stream.id, connection);
    }

    /// Removes a connection from the list of idle ones, after it was taken out of the pool.
    pub(super) fn forget_idle(&mut self, host: HostId, id: SocketId) {
        self.idle.remove(host, id);
    }

    /// The hosts to which there is a connection.
    pub(super) fn hosts(&self) -> BTreeSet<HostId> {
        self.connections
            .values()
            .map(|connection| connection.host)
            .collect()
    }

    /// The connections for which `predicate` is true.
    pub(super) fn ids_matching(
        &self,
        predicate: impl Fn(&UpstreamConnection) -> bool,
    ) -> Vec<SocketId> {
        self.connections
            .iter()
            .filter(|(_, connection)| predicate(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    /// The idle connections whose host has been removed, is draining, or has another address now.
    pub(super) fn unusable(&self, endpoints: &EndpointTable) -> Vec<SocketId> {
        let mut ids = self.idle.ids();
        ids.retain(|id| {
            self.connections
                .get(id)
                .is_some_and(|connection| !endpoints.is_usable(connection.host, connection.address))
        });
        ids
    }

    /// The number of health checks in flight.
    pub(super) fn health_check_count(&self) -> usize {
        self.connections
            .values()
            .filter(|connection| matches!(connection.current_use, ConnectionUse::HealthCheck))
            .count()
    }

    /// Returns a connection for a use: the most recently used idle one that meets the requirements, or a new one. At
    /// the limit of connections, the one that has been idle longest is closed first.
    pub(super) fn checkout(
        &mut self,
        event_loop: &mut EventLoop,
        endpoints: &EndpointTable,
        host: HostId,
        now: f64,
        requirements: ConnectionRequirements,
    ) -> Option<SocketId> {
        if let Some(id) = self.reuse(event_loop, host, now, requirements) {
            return Some(id);
        }
        let address = endpoints.address(host)?;
        if self.connections.len() >= event_loop.limits.upstream.connections {
            let oldest = self.idle.take_oldest()?;
            self.close(event_loop, oldest);
        }
        let stream = self.connect(event_loop, address)?;
        let id = stream.id;
        event_loop.metrics.increment(Counter::UpstreamsOpened);
        let connection = UpstreamConnection::new(stream, host, address, now);
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Takes an idle connection that meets the requirements out of the idle ones.
    fn reuse(
        &mut self,
        event_loop: &mut EventLoop,
        host: HostId,
        now: f64,
        requirements: ConnectionRequirements,
    ) -> Option<SocketId> {
        let max_idle = requirements
            .max_idle
            .min(event_loop.limits.upstream.idle_timeout);
        let idle_before = now - requirements.min_idle;
        while let Some((id, idle_since)) =
            self.idle
                .take_reusable(host, idle_before, requirements.max_below_min_idle)
        {
            // The host may be closing a connection that has been idle for so long. A command written to it is then
            // reset, and may not be retried. The host's other idle connections are closed as well, and the caller opens
            // a new one.
            if now - idle_since > max_idle {
                self.close(event_loop, id);
                self.close_idle(event_loop, host);
                return None;
            }
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            if connection.has_no_input() {
                connection.idle_time = now - idle_since;
                event_loop.metrics.increment(Counter::UpstreamsReused);
                if idle_since > idle_before {
                    event_loop.metrics.increment(Counter::UpstreamsReusedEarly);
                }
                return Some(id);
            }
            if connection.has_surplus_input() {
                event_loop
                    .metrics
                    .increment(Counter::UpstreamsWithSurplusInput);
            }
            self.close(event_loop, id);
        }
        None
    }

    /// Opens a connection; without a free file descriptor, closes the longest idle connection and tries again.
    fn connect(&mut self, event_loop: &mut EventLoop, address: SocketAddr) -> Option<Stream> {
        let role = SocketOwner::Upstream.stream_role();
        let error = match Stream::connect(&mut event_loop.reactor, address, role) {
            Ok(stream) => return Some(stream),
            Err(error) => error,
        };
        debug!(event_loop.log, "upstream connection failed"; "to" => %address, "error" => %error);
        if !out_of_descriptors(&error) {
            return None;
        }
        let oldest = self.idle.take_oldest()?;
        self.close(event_loop, oldest);
        Stream::connect(&mut event_loop.reactor, address, role).ok()
    }

    /// Ends the use of a connection, and keeps the connection as idle if it can be reused; otherwise closes it.
    /// `is_closed` states that the host has closed it.
    pub(super) fn check_in(
        &mut self,
        event_loop: &mut EventLoop,
        endpoints: &EndpointTable,
        id: SocketId,
        is_closed: bool,
    ) {
        let now = event_loop.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.current_use = ConnectionUse::Idle;
        event_loop.cancel(connection.timers.drain(..));
        // Timers of the use that ends here are ignored from now on.
        connection.use_number += 1;
        let has_surplus_input = connection.has_surplus_input();
        if has_surplus_input {
            event_loop
                .metrics
                .increment(Counter::UpstreamsWithSurplusInput);
        }
        // Further input could be taken for the next response, and unwritten output for part of the next command.
        let is_open_and_empty = !has_surplus_input
            && connection.is_written()
            && connection.stream.unwritten() == 0
            && !is_closed;
        // The host may have been removed, or its id may belong to another machine now.
        let may_be_kept = endpoints.is_usable(connection.host, connection.address)
            && self.idle.count() < event_loop.limits.upstream.idle_connections;
        if is_open_and_empty && may_be_kept {
            self.idle.insert(connection.host, id, now);
        } else {
            self.close(event_loop, id);
        }
    }

    pub(super) fn close(&mut self, event_loop: &EventLoop, id: SocketId) {
        if let Some(connection) = self.connections.remove(&id) {
            connection.stream.close(&event_loop.reactor);
        }
    }

    /// Closes the idle connections to a host.
    pub(super) fn close_idle(&mut self, event_loop: &EventLoop, host: HostId) {
        for id in self.idle.take_all(host) {
            self.close(event_loop, id);
        }
    }

    /// Closes the connections that have been idle since this time or longer.
    pub(super) fn close_idle_since(&mut self, event_loop: &EventLoop, time: f64) {
        for id in self.idle.take_idle_since(time) {
            self.close(event_loop, id);
        }
    }

    /// Closes the connection that has been idle longest; false where none is idle.
    pub(super) fn close_oldest_idle(&mut self, event_loop: &EventLoop) -> bool {
        let Some(oldest) = self.idle.take_oldest() else {
            return false;
        };
        self.close(event_loop, oldest);
        true
    }
}
