//! The connections to hosts: which there are, and which of them are idle.

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
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

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

    /// Takes a connection out, to close it or to put it back.
    pub(super) fn take(&mut self, id: SocketId) -> Option<UpstreamConnection> {
        self.connections.remove(&id)
    }

    pub(super) fn put_back(&mut self, connection: UpstreamConnection) {
        self.connections.insert(connection.stream.id, connection);
    }

    /// A connection that was taken out has been idle.
    pub(super) fn forget_idle(&mut self, host: HostId, id: SocketId) {
        self.idle.remove(host, id);
    }

    /// The hosts that a connection leads to.
    pub(super) fn hosts(&self) -> BTreeSet<HostId> {
        self.connections
            .values()
            .map(|connection| connection.host)
            .collect()
    }

    /// The connections of which this is true.
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

    /// The idle connections that lead to hosts that are gone, drained or elsewhere.
    pub(super) fn unusable(&self, endpoints: &EndpointTable) -> Vec<SocketId> {
        let mut ids = self.idle.ids();
        ids.retain(|id| {
            self.connections
                .get(id)
                .is_some_and(|connection| !endpoints.is_usable(connection.host, connection.address))
        });
        ids
    }

    pub(super) fn health_check_count(&self) -> usize {
        self.connections
            .values()
            .filter(|connection| matches!(connection.current_use, ConnectionUse::HealthCheck))
            .count()
    }

    /// The freshest connection that has rested for long enough and not been idle for too long, or a new one.
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
        let rested_since = now - requirements.min_rest;
        while let Some((id, idle_since)) =
            self.idle
                .take_rested(host, rested_since, requirements.max_resting)
        {
            // Its host may be closing it by now; what is written then is reset, and may not be repeated.
            if now - idle_since > max_idle {
                self.close(event_loop, id);
                self.close_idle(event_loop, host);
                return None;
            }
            if let Some(connection) = self.connections.get_mut(&id)
                && connection.is_clean()
            {
                connection.idle_time = now - idle_since;
                return Some(id);
            }
            self.close(event_loop, id);
        }
        None
    }

    /// Opens a connection, also where an idle one has to make room for its descriptor.
    fn connect(&mut self, event_loop: &mut EventLoop, address: SocketAddr) -> Option<Stream> {
        let priority = SocketOwner::Upstream.priority();
        let error = match Stream::connect(&mut event_loop.reactor, address, priority) {
            Ok(stream) => return Some(stream),
            Err(error) => error,
        };
        debug!(event_loop.log, "upstream connection failed"; "to" => %address, "error" => %error);
        if !out_of_descriptors(&error) {
            return None;
        }
        let oldest = self.idle.take_oldest()?;
        self.close(event_loop, oldest);
        Stream::connect(&mut event_loop.reactor, address, priority).ok()
    }

    /// Keeps a connection whose use is over, where it may be used again, or closes it.
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
        connection.use_number += 1;
        let stream = &mut connection.stream;
        let is_clean = stream.input().is_empty() && stream.unwritten() == 0 && !is_closed;
        // The host may be gone, or another machine have its id by now.
        let is_usable = endpoints.is_usable(connection.host, connection.address)
            && self.idle.count() < event_loop.limits.upstream.idle_connections;
        if is_clean && is_usable {
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

    /// Closes the connections that have been idle since this time.
    pub(super) fn close_idle_since(&mut self, event_loop: &EventLoop, time: f64) {
        for id in self.idle.take_unused_since(time) {
            self.close(event_loop, id);
        }
    }

    /// Closes the connection that has been idle for longest; false where none is idle.
    pub(super) fn close_oldest_idle(&mut self, event_loop: &EventLoop) -> bool {
        let Some(oldest) = self.idle.take_oldest() else {
            return false;
        };
        self.close(event_loop, oldest);
        true
    }
}
