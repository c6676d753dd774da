//! Other routers as one router meets them: each answers the messages it gets with what it got, and all together begin
//! as many as one router does, so that both directions are those of a whole fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use super::{Scope, Traffic, block_on};

/// Between two messages that others begin with this router, in the mean as often as it begins one.
const EVERY: Duration = Duration::from_millis(200);
/// The first byte of a message says whether it is a reply.
const REPLY: u8 = 1;
const QUESTION: u8 = 0;
/// A router's messages are no longer than this.
const MAX_MESSAGE_BYTES: usize = 257;

#[derive(Default)]
pub(in super::super) struct Counted {
    pub(in super::super) received: Traffic,
    pub(in super::super) sent: Traffic,
}

/// The last message of the router, and where it came from.
type Last = Arc<Mutex<Option<(Vec<u8>, SocketAddr)>>>;

pub(in super::super) struct Peers {
    /// Where each listens; the first is the place of the router itself.
    pub(in super::super) at: Vec<SocketAddr>,
    sockets: Vec<Arc<UdpSocket>>,
    last: Last,
    counted: Arc<Counted>,
    _scope: Scope,
}

fn address(number: usize) -> SocketAddr {
    let [_, high, middle, low] = (number as u32 + 1).to_be_bytes();
    (Ipv4Addr::new(127, 16 + high, middle, low), 0).into()
}

impl Peers {
    /// So many routers, this one included.
    pub(in super::super) fn start(routers: usize) -> Self {
        let (counted, last) = (Arc::new(Counted::default()), Last::default());
        let scope = Scope::new();
        let sockets: Vec<_> = (1..routers)
            .map(|number| {
                let socket = block_on(UdpSocket::bind(address(number)));
                Arc::new(socket.unwrap_or_else(|e| panic!("peer {number} cannot listen: {e}")))
            })
            .collect();
        let own = SocketAddr::from(([127, 0, 0, 1], 1));
        let others = sockets
            .iter()
            .map(|socket| socket.local_addr().expect("a socket has an address"));
        let at = std::iter::once(own).chain(others).collect();
        for socket in &sockets {
            scope
                .spawner()
                .spawn(serve(socket.clone(), last.clone(), counted.clone()));
        }
        scope
            .spawner()
            .spawn(begin(sockets.clone(), last.clone(), counted.clone()));
        Peers {
            at,
            sockets,
            last,
            counted,
            _scope: scope,
        }
    }

    pub(in super::super) fn counted(&self) -> &Counted {
        &self.counted
    }

    /// Sends so many further messages, a few at a time, to which the router replies; false where it has sent none yet.
    pub(in super::super) fn flood(&self, messages: usize) -> bool {
        const AT_A_TIME: usize = 32;
        for first in (0..messages).step_by(AT_A_TIME) {
            let Some((mut payload, to)) = self.last.lock().expect("no thread has panicked").clone()
            else {
                return false;
            };
            payload[0] = QUESTION;
            for number in first..(first + AT_A_TIME).min(messages) {
                let socket = &self.sockets[number % self.sockets.len()];
                self.counted.sent.add(payload.len());
                let _ = socket.try_send_to(&payload, to);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }
}

async fn serve(socket: Arc<UdpSocket>, last: Last, counted: Arc<Counted>) {
    let mut buffer = [0; MAX_MESSAGE_BYTES];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        counted.received.add(length);
        let mut payload = buffer[..length].to_vec();
        if payload.is_empty() {
            continue;
        }
        *last.lock().expect("no thread has panicked") = Some((payload.clone(), from));
        if payload[0] != REPLY {
            payload[0] = REPLY;
            counted.sent.add(length);
            let _ = socket.send_to(&payload, from).await;
        }
    }
}

async fn begin(sockets: Vec<Arc<UdpSocket>>, last: Last, counted: Arc<Counted>) {
    let mut chance = ChaCha8Rng::seed_from_u64(sockets.len() as u64);
    while !sockets.is_empty() {
        tokio::time::sleep(EVERY).await;
        let Some((mut payload, to)) = last.lock().expect("no thread has panicked").clone() else {
            continue;
        };
        payload[0] = QUESTION;
        counted.sent.add(payload.len());
        let _ = sockets[chance.random_range(0..sockets.len())]
            .send_to(&payload, to)
            .await;
    }
}
