//! A listener at which connections accepted up only as long as somebody lets them in.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::{TEST_TIMEOUT, tcp_states};

/// Shut once so many connections one after another have not accepted up.
const DROPPED_IN_A_ROW: usize = 2;

pub struct TestListener {
    socket: Socket,
    pub at: SocketAddr,
    /// The door's own connections, which fill what may wait while it is shut. Kept open, so that nobody else gets
    /// their ports.
    own: Vec<TcpStream>,
    /// Others that came up before somebody asked for them.
    accepted: Vec<TcpStream>,
}

impl TestListener {
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

    /// The next that comes and is none of the door's own.
    pub fn accept(&mut self) -> TcpStream {
        while self.accepted.is_empty() {
            let (socket, _) = self.socket.accept().expect("somebody comes");
            self.keep_foreign(socket);
        }
        self.accepted.remove(0)
    }

    /// From now on no connection comes up: the first part of its handshake is dropped.
    pub fn stop_accepting(&mut self) {
        let mut dropped = 0;
        while dropped < DROPPED_IN_A_ROW {
            match TcpStream::connect_timeout(&self.at, Duration::from_millis(100)) {
                Ok(stream) => {
                    self.own.push(stream);
                    dropped = 0;
                }
                Err(_) => dropped += 1,
            }
        }
    }

    /// Waits until somebody tries to connect, while it is shut.
    pub fn wait_for_connection(&self) {
        tcp_states::wait_for_attempt_to_connect(self.at);
    }

    /// Makes room for others by letting in those that fill it.
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
