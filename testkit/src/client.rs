//! A client on one connection.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

use crate::{TEST_TIMEOUT, tcp_states};

pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(at: SocketAddr) -> Self {
        let stream = TcpStream::connect(at).expect("somebody listens");
        stream.set_nodelay(true).expect("an option");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        Client {
            reader: BufReader::new(stream.try_clone().expect("a second handle")),
            stream,
        }
    }

    /// Ends the connection, and waits until the machine of the program has got that. A mere drop may come later: while
    /// another thread starts a program, the new process holds this connection, too, for a moment.
    pub fn close(self) {
        let here = self.stream.local_addr().expect("an address");
        self.stream.shutdown(Shutdown::Write).expect("it is open");
        tcp_states::wait_for_end_to_arrive(here);
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the program reads");
    }

    pub fn send(&mut self, words: &[&str]) {
        let words: Vec<_> = words
            .iter()
            .map(|word| format!("${}\r\n{word}\r\n", word.len()))
            .collect();
        self.write(format!("*{}\r\n{}", words.len(), words.concat()).as_bytes());
    }

    /// The next answer: a line, or a bulk string's value; empty at the connection's end.
    pub fn reply(&mut self) -> String {
        let mut line = String::new();
        let read = self.reader.read_line(&mut line);
        assert!(
            !matches!(&read, Err(e) if e.kind() != ErrorKind::ConnectionReset),
            "no answer: {read:?}"
        );
        let line = line.trim_end();
        let Some(length) = line
            .strip_prefix('$')
            .and_then(|length| length.parse::<usize>().ok())
        else {
            return line.into();
        };
        let mut bytes = vec![0; length + 2];
        self.reader.read_exact(&mut bytes).expect("the whole value");
        String::from_utf8_lossy(&bytes[..length]).into()
    }

    pub fn request(&mut self, words: &[&str]) -> String {
        self.send(words);
        self.reply()
    }
}
