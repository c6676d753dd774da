//! A UDP socket.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use super::reactor::Reactor;
use super::socket_id::{Priority, SocketId};

/// A bound, non-blocking UDP socket with its receive buffer.
pub struct DatagramSocket {
    /// The identifier that the event loop reports when the socket is ready.
    pub id: SocketId,
    socket: Rc<UdpSocket>,
    buffer: Vec<u8>,
}

impl DatagramSocket {
    /// Binds to `address` and registers with the event loop.
    ///
    /// A datagram longer than `max_bytes` is truncated to `max_bytes + 1` bytes, so that the caller can detect it.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the socket cannot be registered.
    pub fn open(
        reactor: &mut Reactor,
        address: SocketAddr,
        max_bytes: usize,
        priority: Priority,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        let (id, _) = reactor.register(socket.clone(), priority)?;
        Ok(DatagramSocket {
            id,
            socket,
            buffer: vec![0; max_bytes + 1],
        })
    }

    /// Sends one datagram.
    ///
    /// # Errors
    ///
    /// If it cannot be sent now. The caller may ignore the error, since any datagram may be lost.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) -> io::Result<()> {
        self.socket.send_to(bytes, to).map(|_| ())
    }

    /// Receives the next datagram with its sender; `None` if none is available or the socket fails.
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
