//! One datagram socket.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use super::net::{Net, Rank, SocketId};

pub struct Datagrams {
    pub id: SocketId,
    socket: Rc<UdpSocket>,
    buffer: Vec<u8>,
}

impl Datagrams {
    pub fn open(net: &mut Net, at: SocketAddr, most: usize, rank: Rank) -> io::Result<Self> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let (id, _) = net.watch(socket.clone(), rank)?;
        // One byte more than allowed shows what is too long.
        Ok(Datagrams {
            id,
            socket,
            buffer: vec![0; most + 1],
        })
    }

    /// A datagram that cannot be sent now is lost, as any other may be.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        self.socket.send_to(bytes, to).map(|_| ())
    }

    pub fn receive(&mut self) -> Option<(SocketAddr, &[u8])> {
        let (length, from) = loop {
            match self.socket.recv_from(&mut self.buffer) {
                Ok(received) => break received,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        };
        Some((from, &self.buffer[..length]))
    }
}
