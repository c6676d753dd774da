//! A client's connection that may end at any time.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What came as the answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(String),
    /// An error line, without its `-`.
    Error(String),
    /// The connection ended.
    Closed,
    /// Nothing came in time.
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

    /// Waits so long for the next answer.
    pub fn answer(&mut self, wait: Duration) -> Answer {
        let wait = wait.max(Duration::from_millis(1));
        let answer = self
            .stream
            .set_read_timeout(Some(wait))
            .and_then(|()| self.read_answer());
        answer.unwrap_or_else(|error| match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Answer::Nothing,
            _ => Answer::Closed,
        })
    }

    fn read_answer(&mut self) -> io::Result<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Ok(Answer::Closed);
        }
        let line = line.trim_end();
        if let Some(error) = line.strip_prefix('-') {
            return Ok(Answer::Error(error.into()));
        }
        if let Some(length) = line.strip_prefix('$') {
            return Ok(Answer::Value(self.read_value(length)?));
        }
        let Some(parts) = line.strip_prefix('*').and_then(|parts| parts.parse().ok()) else {
            return Ok(Answer::Value(line.into()));
        };
        let first = self.read_answer()?;
        for _ in 1..parts {
            self.read_answer()?;
        }
        Ok(first)
    }

    fn read_value(&mut self, length: &str) -> io::Result<String> {
        // A length below zero stands for null, which has no bytes.
        let Ok(length) = length.parse::<usize>() else {
            return Ok(String::new());
        };
        let mut bytes = vec![0; length + 2];
        self.reader.read_exact(&mut bytes)?;
        bytes.truncate(length);
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
