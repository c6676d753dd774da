//! A listener whose accept queue can be filled, so that further connection attempts hang.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::{TEST_TIMEOUT, tcp_states};

/// The queue counts as full once so many connection attempts in a row have timed out.
const DROPPED_IN_A_ROW: usize = 2;
/// How long one connection attempt that fills the queue may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// A listening socket that can stop and resume accepting connections at the level of TCP.
pub struct TestListener {
    socket: Socket,
    /// The address that clients connect to.
    pub at: SocketAddr,
    /// The listener's own connections, which fill its queue; kept open, so that no other connection gets their ports.
    own: Vec<TcpStream>,
    /// Connections of others that were accepted before [`TestListener::accept`] was called.
    accepted: Vec<TcpStream>,
}

impl TestListener {
    /// Listens at a free port of the loopback address.
    pub fn open() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a free port");
        socket.listen(0).expect("it listens");
        socket
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("an option");
        let at = socket
            .local_addr()
            .ok()
            .and_then(|at| at.as_socket())
            .expect("an address");
        TestListener {
            socket,
            at,
            own: vec![],
            accepted: vec![],
        }
    }

    /// Returns the next connection that is not the listener's own.
    pub fn accept(&mut self) -> TcpStream {
        while self.accepted.is_empty() {
            let (socket, _) = self.socket.accept().expect("somebody comes");
            self.keep_foreign(socket);
        }
        self.accepted.remove(0)
    }

    /// Fills the queue: from now on the kernel drops the first packet of each handshake.
    pub fn stop_accepting(&mut self) {
        let mut dropped = 0;
        while dropped < DROPPED_IN_A_ROW {
            match TcpStream::connect_timeout(&self.at, CONNECT_TIMEOUT) {
                Ok(stream) => {
                    self.own.push(stream);
                    dropped = 0;
                }
                Err(_) => dropped += 1,
            }
        }
    }

    /// Waits for a connection attempt while the queue is full.
    pub fn wait_for_connection(&self) {
        tcp_states::wait_for_attempt_to_connect(self.at);
    }

    /// Accepts all connections in the queue, so that others are established again.
    pub fn resume_accepting(&mut self) {
        self.socket.set_nonblocking(true).expect("an option");
        while let Ok((socket, _)) = self.socket.accept() {
            self.keep_foreign(socket);
        }
        self.socket.set_nonblocking(false).expect("an option");
    }

    fn keep_foreign(&mut self, socket: Socket) {
        let stream = TcpStream::from(socket);
        let from = stream.peer_addr().ok();
        if !self.own.iter().any(|own| own.local_addr().ok() == from) {
            self.accepted.push(stream);
        }
    }
}
