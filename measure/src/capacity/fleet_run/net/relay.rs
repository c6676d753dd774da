//! Carries datagrams between real routers, so that their regions can be parted. Each real router has an address
//! here, to which its peers send and from which it seems to send.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;

use super::shared::Shared;
use crate::capacity::fleet_run::counters::Cause;
use crate::capacity::fleet_run::layout::Party;

const LONGEST: usize = 2048;

pub async fn start(shared: &Arc<Shared>) -> io::Result<()> {
    let mut sockets = std::collections::BTreeMap::new();
    for router in shared.plan.layout.real_routers() {
        let socket = UdpSocket::bind((Party::Relay.address(router), shared.ports.peers)).await?;
        sockets.insert(router, Arc::new(socket));
    }
    let sockets = Arc::new(sockets);
    for (to, socket) in sockets.iter() {
        let (to, socket, sockets, shared) = (*to, socket.clone(), sockets.clone(), shared.clone());
        tokio::spawn(async move {
            let mut buffer = [0; LONGEST];
            loop {
                // An error tells of an earlier datagram that found nobody.
                let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let Some(from) = Party::Peer.number(*from.ip()) else {
                    continue;
                };
                let Some(sender) = sockets.get(&from) else {
                    continue;
                };
                shared.counters.add(from, Cause::GossipSent, 1, length);
                let layout = &shared.plan.layout;
                if !shared
                    .partition()
                    .reaches(layout.router_place(from), layout.router_place(to))
                {
                    continue;
                }
                shared.counters.add(to, Cause::GossipReceived, 1, length);
                let at = (Party::Peer.address(to), shared.ports.peers);
                let _ = sender.send_to(&buffer[..length], at).await;
            }
        });
    }
    Ok(())
}
