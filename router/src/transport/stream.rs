//! A non-blocking TCP connection with its read and write buffers.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket, Type};

use super::buffer::Buffer;
use super::memory_ledger::BufferOwner;
use super::reactor::Reactor;
use super::socket_id::{Priority, SocketId};

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// All received data has been read; a further read would block.
    Exhausted,
    /// The buffer is full or the read limit is reached; more data may be available.
    More,
    /// The memory budget allows no more input to be read now.
    OutOfMemory,
    /// The peer has closed its sending direction, or the connection failed.
    Closed,
}

/// How a connection's socket is polled, and who its buffers are accounted to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRole {
    /// The order in which ready sockets are handled.
    pub priority: Priority,
    /// Owner of the input buffer.
    pub input: BufferOwner,
    /// Owner of the output buffer.
    pub output: BufferOwner,
}

/// A TCP connection that is registered with the event loop.
pub struct Stream {
    /// The identifier that the event loop reports when the connection is readable or writable.
    pub id: SocketId,
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    /// Whether the connection has been found established.
    connected: bool,
    /// Bytes that have been read from the socket and are not consumed.
    input: Buffer,
    /// Bytes to be written to the socket.
    output: Buffer,
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
        role: StreamRole,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Self::new(reactor, socket, role, true)
    }

    /// Starts connecting; [`Stream::is_connected`] reports whether the connection is established.
    ///
    /// # Errors
    ///
    /// If connecting fails immediately, or the socket cannot be configured or registered.
    pub fn connect(reactor: &mut Reactor, to: SocketAddr, role: StreamRole) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e)
                if e.raw_os_error() == Some(libc::EINPROGRESS)
                    || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Self::new(reactor, socket.into(), role, false)
    }

    fn new(
        reactor: &mut Reactor,
        socket: TcpStream,
        role: StreamRole,
        connected: bool,
    ) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let (id, token) = reactor.register(socket.clone(), role.priority)?;
        Ok(Stream {
            id,
            socket,
            token,
            connected,
            input: Buffer::new(role.input, reactor.memory()),
            output: Buffer::new(role.output, reactor.memory()),
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

    /// Reads until the socket is empty, the input holds `max_unconsumed` bytes, this call has read `max_read` bytes or
    /// more, or the memory budget is exhausted. `max_read` keeps one connection from delaying the others.
    pub fn read_available(&mut self, max_unconsumed: usize, max_read: usize) -> ReadStatus {
        let mut total_read = 0;
        while total_read < max_read {
            let wanted = max_unconsumed.saturating_sub(self.input.len());
            if wanted == 0 {
                return ReadStatus::More;
            }
            let Some(spare) = self.input.spare(wanted) else {
                return ReadStatus::OutOfMemory;
            };
            match (&*self.socket).read(spare) {
                Ok(0) => return ReadStatus::Closed,
                Ok(length) => {
                    self.input.advance(length);
                    total_read += length;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.input.release_if_empty();
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
        self.input.data()
    }

    /// Marks the first `length` bytes of the input as consumed.
    pub fn consume(&mut self, length: usize) {
        self.input.consume(length);
    }

    /// The buffer to append output to; [`Stream::flush`] writes it to the socket.
    pub fn output(&mut self) -> &mut Buffer {
        &mut self.output
    }

    /// Bytes of memory that the input buffer holds.
    pub fn input_held(&self) -> usize {
        self.input.held()
    }

    /// Bytes of memory that the output buffer holds.
    pub fn output_held(&self) -> usize {
        self.output.held()
    }

    /// Number of output bytes that have not been written.
    pub fn unwritten(&self) -> usize {
        self.output.len()
    }

    /// Writes a message that consists of these parts behind the output. What the socket does not take now is appended
    /// to the output.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub fn send(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let mut written = if self.flush()? {
            self.write_parts(parts, 0)?
        } else {
            0
        };
        for part in parts {
            let skipped = written.min(part.len());
            written -= skipped;
            self.output.append(&part[skipped..]);
        }
        Ok(())
    }

    /// Writes as much as the socket takes of a message that consists of these parts and whose first `written` bytes
    /// were written before. Returns the number of bytes that are written then. The output has to be empty.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub fn write_parts(&self, parts: &[&[u8]], mut written: usize) -> io::Result<usize> {
        let total: usize = parts.iter().map(|part| part.len()).sum();
        while written < total {
            match (&*self.socket).write_vectored(&remaining_slices(parts, written)) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => written += length,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(written)
    }

    /// Writes as much output as the socket accepts. Returns whether all output has been written.
    ///
    /// # Errors
    ///
    /// If the connection has failed.
    pub fn flush(&mut self) -> io::Result<bool> {
        let written = self.write_parts(&[self.output.data()], 0)?;
        self.output.consume(written);
        Ok(self.output.is_empty())
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

/// What remains of a message that consists of these parts after its first `written` bytes.
fn remaining_slices<'a>(parts: &[&'a [u8]], mut written: usize) -> Vec<IoSlice<'a>> {
    let remaining = parts.iter().map(|part| {
        let skipped = written.min(part.len());
        written -= skipped;
        IoSlice::new(&part[skipped..])
    });
    remaining.filter(|slice| !slice.is_empty()).collect()
}
