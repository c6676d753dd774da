//! A listener at which connections come up only as long as somebody lets them in.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::{PATIENCE, machine};

/// Shut once so many connections one after another have not come up.
const REFUSED: usize = 2;

pub struct TestListener {
    socket: Socket,
    pub at: SocketAddr,
    /// The door's own connections, which fill what may wait while it is shut. Kept open, so that nobody else gets
    /// their ports.
    own: Vec<TcpStream>,
    /// Others that came up before somebody asked for them.
    come: Vec<TcpStream>,
}

impl TestListener {
    pub fn open() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a free port");
        socket.listen(0).expect("it listens");
        socket.set_read_timeout(Some(PATIENCE)).expect("an option");
        let at = socket
            .local_addr()
            .ok()
            .and_then(|at| at.as_socket())
            .expect("an address");
        TestListener {
            socket,
            at,
            own: vec![],
            come: vec![],
        }
    }

    /// The next that comes and is none of the door's own.
    pub fn accept(&mut self) -> TcpStream {
        while self.come.is_empty() {
            let (socket, _) = self.socket.accept().expect("somebody comes");
            self.note(socket);
        }
        self.come.remove(0)
    }

    /// From now on no connection comes up: the first part of its handshake is dropped.
    pub fn shut(&mut self) {
        let mut refused = 0;
        while refused < REFUSED {
            match TcpStream::connect_timeout(&self.at, Duration::from_millis(100)) {
                Ok(stream) => {
                    self.own.push(stream);
                    refused = 0;
                }
                Err(_) => refused += 1,
            }
        }
    }

    /// Waits until somebody tries to connect, while it is shut.
    pub fn wait_for_connection(&self) {
        machine::wait_for_attempt_to_connect(self.at);
    }

    /// Makes room for others by letting in those that fill it.
    pub fn reopen(&mut self) {
        self.socket.set_nonblocking(true).expect("an option");
        while let Ok((socket, _)) = self.socket.accept() {
            self.note(socket);
        }
        self.socket.set_nonblocking(false).expect("an option");
    }

    fn note(&mut self, socket: Socket) {
        let stream = TcpStream::from(socket);
        let from = stream.peer_addr().ok();
        if !self.own.iter().any(|own| own.local_addr().ok() == from) {
            self.come.push(stream);
        }
    }
}
