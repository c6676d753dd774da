//! A non-blocking TCP connection with its read and write buffers.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket, Type};

use super::reactor::Reactor;
use super::socket_id::{Priority, SocketId};

/// Maximum bytes of one read, and the capacity in bytes that an empty buffer keeps.
const CHUNK_BYTES: usize = 4096;

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// All received data has been read; a further read would block.
    Exhausted,
    /// The buffer is full or the read limit is reached; more data may be available.
    More,
    /// The peer has closed its sending direction, or the connection failed.
    Closed,
}

/// A TCP connection that is registered with the event loop.
pub struct Stream {
    /// The identifier that the event loop reports when the connection is readable or writable.
    pub id: SocketId,
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    /// Whether the connection has been found established.
    connected: bool,
    /// Bytes that have been read from the socket.
    input: Vec<u8>,
    /// Bytes at the beginning of `input` that the caller has consumed.
    consumed: usize,
    /// Bytes to be written to the socket.
    output: Vec<u8>,
    /// Bytes at the beginning of `output` that have been written to the socket.
    written: usize,
}

impl Stream {
    /// Wraps a connection that a listener has accepted.
    ///
    /// # Errors
    ///
    /// If the socket cannot be configured or registered.
    pub fn accepted(
        reactor: &mut Reactor,
        socket: TcpStream,
        priority: Priority,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Self::new(reactor, socket, priority, true)
    }

    /// Starts connecting; [`Stream::is_connected`] reports whether the connection is established.
    ///
    /// # Errors
    ///
    /// If connecting fails immediately, or the socket cannot be configured or registered.
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
    /// If connecting has failed.
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

    /// Reads until the socket is empty, the input holds `max_unconsumed` bytes, or this call has read `max_read` bytes
    /// or more. The latter limit keeps one connection from delaying the others.
    pub fn read_available(&mut self, max_unconsumed: usize, max_read: usize) -> ReadStatus {
        self.input.drain(..self.consumed);
        self.consumed = 0;
        let mut total_read = 0;
        while total_read < max_read {
            let buffered = self.input.len();
            let capacity = max_unconsumed.saturating_sub(buffered).min(CHUNK_BYTES);
            if capacity == 0 {
                return ReadStatus::More;
            }
            self.input.resize(buffered + capacity, 0);
            let read = (&*self.socket).read(&mut self.input[buffered..]);
            self.input.truncate(buffered + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return ReadStatus::Closed,
                Ok(length) => total_read += length,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.input.is_empty() {
                        self.input.shrink_to(CHUNK_BYTES);
                    }
                    return ReadStatus::Exhausted;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ReadStatus::Closed,
            }
        }
        ReadStatus::More
    }

    /// Whether the peer has closed its sending direction or the whole connection. Data that it sent before may still be
    /// unread.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut polled = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let result = poll(&mut polled, Some(&Timespec::default()));
        result.is_ok()
            && polled[0]
                .revents()
                .intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    /// The bytes that have been read but not consumed.
    pub fn input(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Marks the first `length` bytes of the input as consumed.
    pub fn consume(&mut self, length: usize) {
        self.consumed = self.consumed.saturating_add(length).min(self.input.len());
        if self.consumed == self.input.len() {
            // Frees the memory of a long message instead of keeping it for the life of the connection.
            self.input.clear();
            self.input.shrink_to(CHUNK_BYTES);
            self.consumed = 0;
        }
    }

    /// The buffer to append output to; [`Stream::flush`] writes it to the socket.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes of memory that the input buffer holds.
    pub fn input_capacity(&self) -> usize {
        self.input.capacity()
    }

    /// Bytes of memory that the output buffer holds.
    pub fn output_capacity(&self) -> usize {
        self.output.capacity()
    }

    /// Number of output bytes that have not been written.
    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes as much output as the socket accepts. Returns whether all output has been written.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
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
        self.output.shrink_to(CHUNK_BYTES);
        self.written = 0;
        Ok(true)
    }

    /// Closes the sending direction; the peer may still send.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub fn shutdown_write(&self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Write)
    }

    /// Closes the connection.
    pub fn close(self, reactor: &Reactor) {
        reactor.deregister(self.token);
    }
}
