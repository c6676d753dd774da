//! One non-blocking TCP connection with its read and write buffers.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket, Type};

use super::reactor::Reactor;
use super::socket_id::{Priority, SocketId};

/// Bytes of one read, and the capacity that the buffer of an idle connection keeps.
const CHUNK: usize = 4096;

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// The socket is empty.
    Drained,
    /// The buffer is full or this connection's turn is over: more may wait.
    More,
    /// The peer has ended its sending, or the connection broke.
    Closed,
}

/// A TCP connection that is registered with the event loop.
pub struct Stream {
    /// What the event loop reports as ready.
    pub id: SocketId,
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    connected: bool,
    input: Vec<u8>,
    /// Bytes at the beginning of `input` that the caller has consumed.
    consumed: usize,
    output: Vec<u8>,
    /// Bytes at the beginning of `output` that have been written to the socket.
    written: usize,
}

impl Stream {
    /// Takes over a connection that a listener has accepted.
    ///
    /// # Errors
    ///
    /// Where the socket cannot be configured or registered.
    pub fn accepted(
        reactor: &mut Reactor,
        socket: TcpStream,
        priority: Priority,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Self::new(reactor, socket, priority, true)
    }

    /// Begins to connect; [`Stream::is_connected`] tells when that has succeeded.
    ///
    /// # Errors
    ///
    /// Where the connection fails at once, or the socket cannot be configured or registered.
    pub fn connect(reactor: &mut Reactor, to: SocketAddr, priority: Priority) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e)
                if e.raw_os_error() == Some(libc::EINPROGRESS)
                    || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Self::new(reactor, socket.into(), priority, false)
    }

    fn new(
        reactor: &mut Reactor,
        socket: TcpStream,
        priority: Priority,
        connected: bool,
    ) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let (id, token) = reactor.register(socket.clone(), priority)?;
        Ok(Stream {
            id,
            socket,
            token,
            connected,
            input: Vec::new(),
            consumed: 0,
            output: Vec::new(),
            written: 0,
        })
    }

    /// Whether the connection is established.
    ///
    /// # Errors
    ///
    /// Where connecting has failed.
    pub fn is_connected(&mut self) -> io::Result<bool> {
        if !self.connected {
            if let Some(error) = self.socket.take_error()? {
                return Err(error);
            }
            self.connected = match self.socket.peer_addr() {
                Ok(_) => true,
                Err(e) if e.kind() == ErrorKind::NotConnected => false,
                Err(e) => return Err(e),
            };
        }
        Ok(self.connected)
    }

    /// Reads until the socket is empty, `max_unconsumed` bytes wait to be consumed, or `max_read` bytes or more
    /// have been read at this call, so that other connections get their turn.
    pub fn read_available(&mut self, max_unconsumed: usize, max_read: usize) -> ReadStatus {
        self.input.drain(..self.consumed);
        self.consumed = 0;
        let mut total = 0;
        while total < max_read {
            let buffered = self.input.len();
            let capacity = max_unconsumed.saturating_sub(buffered).min(CHUNK);
            if capacity == 0 {
                return ReadStatus::More;
            }
            self.input.resize(buffered + capacity, 0);
            let read = (&*self.socket).read(&mut self.input[buffered..]);
            self.input.truncate(buffered + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return ReadStatus::Closed,
                Ok(length) => total += length,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.input.is_empty() {
                        self.input.shrink_to(CHUNK);
                    }
                    return ReadStatus::Drained;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadStatus::Closed,
            }
        }
        ReadStatus::More
    }

    /// Whether the peer has ended its sending or is gone, though data from before that may wait to be read.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut polled = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let result = poll(&mut polled, Some(&Timespec::default()));
        result.is_ok()
            && polled[0]
                .revents()
                .intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// What has been read and not consumed.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Marks the first `length` bytes of the input as consumed.
    pub fn consume(&mut self, length: usize) {
        self.consumed = self.consumed.saturating_add(length).min(self.input.len());
        if self.consumed == self.input.len() {
            // One long message is no reason to keep its buffer for good.
            self.input.clear();
            self.input.shrink_to(CHUNK);
            self.consumed = 0;
        }
    }

    /// The buffer that further output is appended to; [`Stream::flush`] writes it.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes of the output that have not been written.
    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes what can be written now; true once nothing is left.
    ///
    /// # Errors
    ///
    /// Where the connection is broken.
    pub fn flush(&mut self) -> io::Result<bool> {
        while self.written < self.output.len() {
            match (&*self.socket).write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => self.written += length,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.output.clear();
        self.output.shrink_to(CHUNK);
        self.written = 0;
        Ok(true)
    }

    /// Shuts down the sending direction; the peer may still send.
    ///
    /// # Errors
    ///
    /// Where the connection is broken.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Write)
    }

    /// Closes the connection.
    pub fn close(self, reactor: &Reactor) {
        reactor.deregister(self.token);
    }
}
