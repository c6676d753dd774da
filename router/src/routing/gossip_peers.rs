//! The gossip peers: datagrams between routers.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{debug, info};

use super::event_loop::{EventLoop, SocketOwner};
use super::metrics::Counter;
use crate::limits::Limits;
use crate::transport::{DatagramSocket, Reactor};

/// The socket that gossip goes through, and where the other routers are.
pub(super) struct GossipPeers {
    socket: DatagramSocket,
    /// By their numbers.
    addresses: Vec<SocketAddr>,
    /// An address that reaches all of them.
    broadcast: Option<SocketAddr>,
    routers: BTreeMap<SocketAddr, RouterId>,
}

impl GossipPeers {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Where the socket cannot be bound or watched.
    pub(super) fn open(
        reactor: &mut Reactor,
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
        limits: &Limits,
    ) -> io::Result<Self> {
        let socket = DatagramSocket::open(
            reactor,
            listen,
            limits.peers.datagram_bytes,
            SocketOwner::Gossip.priority(),
        )?;
        let routers = addresses
            .iter()
            .enumerate()
            .map(|(number, address)| (*address, RouterId(number as u32)))
            .collect();
        Ok(GossipPeers {
            socket,
            addresses,
            broadcast,
            routers,
        })
    }

    /// Sends a message to one router, or to all of them.
    pub(super) fn send(&self, event_loop: &mut EventLoop, to: Option<RouterId>, payload: &[u8]) {
        let address = match to {
            Some(router) => self.addresses.get(router.0 as usize).copied(),
            None => self.broadcast,
        };
        let fits = payload.len() <= event_loop.limits.peers.datagram_bytes;
        let Some(address) = address.filter(|_| fits) else {
            return debug!(event_loop.log, "a message to a peer has no way"; "bytes" => payload.len());
        };
        event_loop.metrics.increment(Counter::GossipSent);
        if let Err(e) = self.socket.send(address, payload) {
            debug!(event_loop.log, "a message to a peer is lost"; "to" => %address, "error" => %e);
        }
    }

    /// Receives what has come and tells the decisions.
    pub(super) fn on_readable(&mut self, event_loop: &mut EventLoop) {
        // Bounded: a flood leaves the rest to the next wake, which it brings by itself.
        for _ in 0..event_loop.limits.peers.datagrams_per_wake {
            let Some((from, payload)) = self.socket.receive() else {
                return;
            };
            let fits = payload.len() <= event_loop.limits.peers.datagram_bytes;
            match self.routers.get(&from).filter(|_| fits) {
                Some(&router) => {
                    event_loop.metrics.increment(Counter::GossipReceived);
                    event_loop.notify_decisions(Event::GossipReceived {
                        from: router,
                        payload: payload.to_vec(),
                    });
                }
                None => {
                    event_loop.metrics.increment(Counter::MalformedMessages);
                    if event_loop.may_warn() {
                        info!(event_loop.log, "a datagram is from no peer or too long"; "from" => %from);
                    }
                }
            }
        }
    }
}
