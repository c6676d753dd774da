//! One TCP connection with what has been read and not used, and what is to be written.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::RegistrationToken;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{Domain, Protocol, Socket, Type};

use super::net::{Net, Rank, SocketId};

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
    /// All that was there.
    Drained,
    /// The buffer is full or its turn is over: more may wait.
    More,
    /// The other side has ended its sending, or the connection broke.
    Ended,
}

pub struct Stream {
    pub id: SocketId,
    socket: Rc<TcpStream>,
    token: RegistrationToken,
    up: bool,
    input: Vec<u8>,
    used: usize,
    output: Vec<u8>,
    written: usize,
}

impl Stream {
    pub fn accepted(net: &mut Net, socket: TcpStream, rank: Rank) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        Self::new(net, socket, rank, true)
    }

    /// Begins to connect; whether the connection came up shows at [`Stream::is_up`].
    pub fn connect(net: &mut Net, to: SocketAddr, rank: Rank) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e)
                if e.raw_os_error() == Some(libc::EINPROGRESS)
                    || e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Self::new(net, socket.into(), rank, false)
    }

    fn new(net: &mut Net, socket: TcpStream, rank: Rank, up: bool) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let (id, token) = net.watch(socket.clone(), rank)?;
        let (input, output) = (Vec::new(), Vec::new());
        Ok(Stream {
            id,
            socket,
            token,
            up,
            input,
            used: 0,
            output,
            written: 0,
        })
    }

    /// Whether the connection is up; an error where it never will be.
    pub fn is_up(&mut self) -> io::Result<bool> {
        if !self.up {
            if let Some(error) = self.socket.take_error()? {
                return Err(error);
            }
            self.up = match self.socket.peer_addr() {
                Ok(_) => true,
                Err(e) if e.kind() == ErrorKind::NotConnected => false,
                Err(e) => return Err(e),
            };
        }
        Ok(self.up)
    }

    /// Reads until the socket is empty, this much is unused, or its turn is over.
    pub fn fill(&mut self, most: usize, step: usize) -> Fill {
        self.input.drain(..self.used);
        self.used = 0;
        let mut turn = 0;
        while turn < step {
            let have = self.input.len();
            let room = most.saturating_sub(have).min(CHUNK);
            if room == 0 {
                return Fill::More;
            }
            self.input.resize(have + room, 0);
            let read = (&*self.socket).read(&mut self.input[have..]);
            self.input.truncate(have + *read.as_ref().unwrap_or(&0));
            match read {
                Ok(0) => return Fill::Ended,
                Ok(length) => turn += length,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.input.is_empty() {
                        self.input.shrink_to(CHUNK);
                    }
                    return Fill::Drained;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Fill::Ended,
            }
        }
        Fill::More
    }

    /// Whether the other side has ended its sending or is gone, though more may wait to be read before that.
    pub fn is_left(&self) -> bool {
        let mut watched = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let told = poll(&mut watched, Some(&Timespec::default()));
        told.is_ok()
            && watched[0]
                .revents()
                .intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    pub fn input(&self) -> &[u8] {
        &self.input[self.used..]
    }

    pub fn consume(&mut self, length: usize) {
        self.used = self.used.saturating_add(length).min(self.input.len());
        if self.used == self.input.len() {
            // A long message once is no reason to keep its room for good.
            self.input.clear();
            self.input.shrink_to(CHUNK);
            self.used = 0;
        }
    }

    /// Where further output goes; it is written by [`Stream::flush`].
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    pub fn unwritten(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes what can be written now; true once nothing is left.
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

    /// Ends the sending; the other side may still send.
    pub fn end(&self) -> io::Result<()> {
        self.socket.shutdown(Shutdown::Write)
    }

    pub fn close(self, net: &Net) {
        net.forget(self.token);
    }
}

/// Bytes: one read, and what an idle connection keeps.
const CHUNK: usize = 4096;
