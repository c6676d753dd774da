use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, SystemTime};

use super::{ArrivalReader, record_arrival_times};

/// Exchanges until the machine has begun to note arrivals, which it does a moment after the first socket asks for it.
const MAX_FIRST_EXCHANGES: usize = 20;

/// Whether a command that is read late is told with the time at which it was sent.
fn is_told_when_sent(client: &mut TcpStream, reader: &mut ArrivalReader) -> bool {
    let before = SystemTime::now();
    client.write_all(b"command").expect("written");
    let after = SystemTime::now();
    thread::sleep(Duration::from_millis(50));
    let mut buffer = [0; 16];
    assert_eq!(reader.read(&mut buffer).expect("read"), 7);
    (before..=after).contains(&reader.last_arrival())
}

/// A server's thread that gets no processor for a while must not make an attempt look late.
#[test]
fn bytes_that_are_read_late_are_told_with_the_time_at_which_they_came() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    record_arrival_times(&listener);
    let address = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(address).expect("a connection");
    let (server, _) = listener.accept().expect("the connection");
    let mut reader = ArrivalReader::new(server);
    assert!((0..MAX_FIRST_EXCHANGES).any(|_| is_told_when_sent(&mut client, &mut reader)));
    assert!((0..5).all(|_| is_told_when_sent(&mut client, &mut reader)));
}
