//! A client that sends commands to a router on one connection.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use crate::{TEST_TIMEOUT, tcp_states};

/// A client that sends commands on one connection and reads their replies.
pub struct Client {
    /// The connection, for tests that write parts of commands or close one direction.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a router at this address.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the router accepts the connection");
        stream.set_nodelay(true).expect("TCP_NODELAY is set");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the read timeout is set");
        Client {
            reader: BufReader::new(stream.try_clone().expect("a second handle")),
            stream,
        }
    }

    /// Closes the connection and waits until the router's machine has acknowledged its end.
    ///
    /// If the client is only dropped, the connection may end later: while another thread starts a process, that process
    /// holds a copy of the socket until it executes its program.
    pub fn close(self) {
        let local_address = self.stream.local_addr().expect("the local address");
        self.stream
            .shutdown(Shutdown::Write)
            .expect("the connection is open");
        tcp_states::wait_for_fin_to_be_acknowledged(local_address);
    }

    /// Writes bytes as they are, for tests of malformed or incomplete commands.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the router reads");
    }

    /// Sends a command, an array of bulk strings, without reading its reply.
    pub fn send(&mut self, words: &[&str]) {
        let words: Vec<_> = words
            .iter()
            .map(|word| format!("${}\r\n{word}\r\n", word.len()))
            .collect();
        self.write(format!("*{}\r\n{}", words.len(), words.concat()).as_bytes());
    }

    /// Reads the next reply: a line, or the value of a bulk string; empty at the end of the connection.
    pub fn reply(&mut self) -> String {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        assert!(
            !matches!(&read, Err(error) if error.kind() != ErrorKind::ConnectionReset),
            "reading the reply failed: {read:?}"
        );
        let line = line.trim_end();
        let Some(length) = line
            .strip_prefix('$')
            .and_then(|length| length.parse::<usize>().ok())
        else {
            return line.into();
        };
        let mut bytes = vec![0; length + 2];
        self.reader
            .read_exact(&mut bytes)
            .expect("the complete value");
        String::from_utf8_lossy(&bytes[..length]).into()
    }

    /// Sends a command and reads its reply.
    pub fn request(&mut self, words: &[&str]) -> String {
        self.send(words);
        self.reply()
    }
}
