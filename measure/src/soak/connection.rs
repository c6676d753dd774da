//! A client's connection to a router, which the router may close at any time.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The reply to a command, or its absence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A value; of an array, its first element.
    Value(String),
    /// An error line, without the leading `-`.
    Error(String),
    /// The connection was closed or failed.
    Closed,
    /// No complete reply came in time.
    Nothing,
}

/// A connection to a router.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(at: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(at)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Connection { stream, reader })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the next reply, for `wait` at most between two pieces of it and for 1 ms at least.
    pub fn reply(&mut self, wait: Duration) -> Reply {
        let wait = wait.max(Duration::from_millis(1));
        let reply = self
            .stream
            .set_read_timeout(Some(wait))
            .and_then(|()| self.read_reply());
        reply.unwrap_or_else(|error| match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Reply::Nothing,
            _ => Reply::Closed,
        })
    }

    fn read_reply(&mut self) -> io::Result<Reply> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Ok(Reply::Closed);
        }
        let line = line.trim_end();
        if let Some(error) = line.strip_prefix('-') {
            return Ok(Reply::Error(error.into()));
        }
        if let Some(length) = line.strip_prefix('$') {
            return Ok(Reply::Value(self.read_value(length)?));
        }
        let Some(parts) = line.strip_prefix('*').and_then(|parts| parts.parse().ok()) else {
            return Ok(Reply::Value(line.into()));
        };
        let first = self.read_reply()?;
        for _ in 1..parts {
            self.read_reply()?;
        }
        Ok(first)
    }

    fn read_value(&mut self, length: &str) -> io::Result<String> {
        // A negative length denotes null, which has no bytes.
        let Ok(length) = length.parse::<usize>() else {
            return Ok(String::new());
        };
        let mut bytes = vec![0; length + 2];
        self.reader.read_exact(&mut bytes)?;
        bytes.truncate(length);
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
