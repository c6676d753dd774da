//! Gossip: datagrams to and from the other routers of the service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{debug, info};

use super::event_loop::{EventLoop, SocketOwner};
use super::metrics::Counter;
use crate::limits::Limits;
use crate::transport::{DatagramSocket, Reactor};

/// The gossip socket and the addresses of the routers.
pub(super) struct GossipPeers {
    socket: DatagramSocket,
    /// Of the routers, by [`RouterId`].
    addresses: Vec<SocketAddr>,
    /// An address that reaches all routers.
    broadcast: Option<SocketAddr>,
    /// The routers by address, to identify senders.
    routers: BTreeMap<SocketAddr, RouterId>,
}

impl GossipPeers {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// Where the socket cannot be bound to `listen` or registered with the reactor.
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

    /// Sends a message to one router, or to all where `to` is `None`. A message that is too long or has no address is
    /// dropped.
    pub(super) fn send(&self, event_loop: &mut EventLoop, to: Option<RouterId>, payload: &[u8]) {
        let address = match to {
            Some(router) => self.addresses.get(router.0 as usize).copied(),
            None => self.broadcast,
        };
        let fits = payload.len() <= event_loop.limits.peers.datagram_bytes;
        let Some(address) = address.filter(|_| fits) else {
            return debug!(event_loop.log, "gossip message not sent, no address"; "bytes" => payload.len());
        };
        event_loop.metrics.increment(Counter::GossipSent);
        if let Err(e) = self.socket.send(address, payload) {
            debug!(event_loop.log, "gossip message not sent"; "to" => %address, "error" => %e);
        }
    }

    /// Receives datagrams and passes those of known routers to the decisions.
    pub(super) fn on_readable(&mut self, event_loop: &mut EventLoop) {
        // Bounded, so that a flood does not block the event loop; the socket stays ready for the next iteration.
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
                        info!(event_loop.log, "datagram dropped, unknown peer or too long"; "from" => %from);
                    }
                }
            }
        }
    }
}
