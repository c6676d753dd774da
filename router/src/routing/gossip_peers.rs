//! Datagrams between routers.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{debug, info};

use super::metrics::Counter;
use super::{GOSSIP, Routing};
use crate::limits::Limits;
use crate::transport::{DatagramSocket, Reactor, SocketId};

pub(super) struct GossipPeers {
    socket: DatagramSocket,
    /// By their numbers.
    at: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    numbers: BTreeMap<SocketAddr, RouterId>,
}

impl GossipPeers {
    pub(super) fn open(
        reactor: &mut Reactor,
        listen: SocketAddr,
        at: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        limits: &Limits,
    ) -> io::Result<Self> {
        let socket = DatagramSocket::open(reactor, listen, limits.peers.datagram_bytes, GOSSIP)?;
        let numbers = at
            .iter()
            .enumerate()
            .map(|(number, at)| (*at, RouterId(number as u32)))
            .collect();
        Ok(GossipPeers {
            socket,
            at,
            all,
            numbers,
        })
    }

    pub(super) fn owns(&self, id: SocketId) -> bool {
        self.socket.id == id
    }
}

impl Routing {
    pub(super) fn send_gossip(&mut self, to: Option<RouterId>, payload: &[u8]) {
        let Some(peers) = &self.peers else { return };
        let to = to.map_or(peers.all, |router| peers.at.get(router.0 as usize).copied());
        let Some(to) = to.filter(|_| payload.len() <= self.event_loop.limits.peers.datagram_bytes)
        else {
            return debug!(self.event_loop.log, "a message to a peer has no way"; "bytes" => payload.len());
        };
        self.event_loop.metrics.increment(Counter::GossipSent);
        if let Err(e) = peers.socket.send(to, payload) {
            debug!(self.event_loop.log, "a message to a peer is lost"; "to" => %to, "error" => %e);
        }
    }

    pub(super) fn on_gossip_readable(&mut self) {
        let Some(peers) = &mut self.peers else { return };
        // Bounded: a flood leaves the rest to the next one, which it brings by itself.
        for _ in 0..self.event_loop.limits.peers.datagrams_per_wake {
            let Some((from, payload)) = peers.socket.receive() else {
                return;
            };
            let known = peers
                .numbers
                .get(&from)
                .filter(|_| payload.len() <= self.event_loop.limits.peers.datagram_bytes);
            match known {
                Some(from) => {
                    self.event_loop.metrics.increment(Counter::GossipReceived);
                    self.event_loop.notify_decisions(Event::GossipReceived {
                        from: *from,
                        payload: payload.to_vec(),
                    });
                }
                None => {
                    self.event_loop
                        .metrics
                        .increment(Counter::MalformedMessages);
                    if self.event_loop.metrics.may_warn(
                        self.event_loop.now(),
                        self.event_loop.limits.log.warnings_per_second,
                    ) {
                        info!(self.event_loop.log, "a datagram is from no peer or too long"; "from" => %from);
                    }
                }
            }
        }
    }
}
