//! A listener at which connections come up only as long as somebody lets them in.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

pub struct Door {
    socket: Socket,
    pub at: SocketAddr,
    /// Fill what may wait, while it is shut.
    waiting: Vec<TcpStream>,
}

impl Door {
    pub fn open() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).expect("it listens");
        let at = socket.local_addr().ok().and_then(|at| at.as_socket()).expect("an address");
        Door { socket, at, waiting: vec![] }
    }

    /// The next that comes, be it one of those that have filled it.
    pub fn accept(&self) -> TcpStream {
        self.socket.accept().expect("somebody comes").0.into()
    }

    /// From now on no connection comes up: the first part of its handshake is dropped.
    pub fn shut(&mut self) {
        while let Ok(stream) = TcpStream::connect_timeout(&self.at, Duration::from_millis(100)) {
            self.waiting.push(stream);
        }
    }

    /// Those that filled it are let in and gone.
    pub fn reopen(&mut self) {
        for _ in self.waiting.drain(..) {
            drop(self.socket.accept());
        }
    }
}
