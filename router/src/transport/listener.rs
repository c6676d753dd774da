//! The listening socket.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use socket2::{Domain, Protocol, Socket, Type};

use super::net::{Net, Rank, SocketId};

pub struct Listener {
    pub id: SocketId,
    socket: Rc<TcpListener>,
    token: RegistrationToken,
}

impl Listener {
    pub fn open(net: &mut Net, at: SocketAddr, backlog: i32, rank: Rank) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&at.into())?;
        socket.listen(backlog)?;
        let socket: Rc<TcpListener> = Rc::new(socket.into());
        let (id, token) = net.watch(socket.clone(), rank)?;
        Ok(Listener { id, socket, token })
    }

    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// The next client that waits, if any. An error means that none could be taken now though one may wait.
    pub fn accept(&self) -> io::Result<Option<TcpStream>> {
        loop {
            match self.socket.accept() {
                Ok((stream, _)) => return Ok(Some(stream)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(e) => return Err(e),
            }
        }
    }

    pub fn close(self, net: &Net) {
        net.forget(self.token);
    }
}
