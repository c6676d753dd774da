//! The parties of a fleet on loopback sockets: thin shells around the states beside this module.

pub mod clients;
pub mod discovery;
pub mod hollow_router;
pub mod hosts;
pub mod platform;
pub mod relay;
pub mod shared;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 4096;

/// Listens at one port of all loopback addresses, and of no others.
pub fn listen_on_loopback() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind_device(Some(b"lo"))?;
    socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// The loopback address at which a connection was accepted.
pub fn reached_at(stream: &TcpStream) -> Option<Ipv4Addr> {
    match stream.local_addr() {
        Ok(SocketAddr::V4(at)) => Some(*at.ip()),
        _ => None,
    }
}

/// Ends a connection by a reset.
pub fn reset(stream: TcpStream) {
    let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
}
