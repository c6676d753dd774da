//! A listening TCP socket.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use socket2::{Domain, Protocol, Socket, Type};

use super::reactor::Reactor;
use super::socket_id::{Priority, SocketId};

/// A bound, non-blocking TCP listener.
pub struct Listener {
    /// The identifier that the event loop reports when a client may be accepted.
    pub id: SocketId,
    socket: Rc<TcpListener>,
    token: RegistrationToken,
}

impl Listener {
    /// Binds to `address`, listens and registers with the event loop.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on or the socket cannot be registered.
    pub fn open(
        reactor: &mut Reactor,
        address: SocketAddr,
        backlog: i32,
        priority: Priority,
    ) -> io::Result<Self> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(backlog)?;
        let socket: Rc<TcpListener> = Rc::new(socket.into());
        let (id, token) = reactor.register(socket.clone(), priority)?;
        Ok(Listener { id, socket, token })
    }

    /// The local address, with the port that the operating system chose if the configured one is 0.
    ///
    /// # Errors
    ///
    /// If the operating system does not report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts the next client; `None` if none is waiting.
    ///
    /// # Errors
    ///
    /// If accepting fails although a client may be waiting, for example because no file descriptor is left.
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

    /// Stops listening.
    pub fn close(self, reactor: &Reactor) {
        reactor.deregister(self.token);
    }
}
