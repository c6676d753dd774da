use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, SystemTime};

use super::{ArrivalReader, record_arrival_times};

/// The maximum number of commands until the kernel records arrival times, which it does shortly after the first socket
/// has requested them.
const MAX_WARM_UP_COMMANDS: usize = 20;

/// Whether the arrival time of a command that is read 50 ms late is within the time of sending it.
fn has_time_of_sending(client: &mut TcpStream, reader: &mut ArrivalReader) -> bool {
    let before = SystemTime::now();
    client.write_all(b"command").expect("written");
    let after = SystemTime::now();
    thread::sleep(Duration::from_millis(50));
    let mut buffer = [0; 16];
    assert_eq!(reader.read(&mut buffer).expect("read"), 7);
    (before..=after).contains(&reader.last_arrival())
}

/// An attempt must not look late because the server's thread runs late.
#[test]
fn bytes_that_are_read_late_have_the_time_of_their_arrival() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    record_arrival_times(&listener);
    let address = listener.local_addr().expect("the listener's address");
    let mut client = TcpStream::connect(address).expect("a connection");
    let (server, _) = listener.accept().expect("the connection");
    let mut reader = ArrivalReader::new(server);
    assert!((0..MAX_WARM_UP_COMMANDS).any(|_| has_time_of_sending(&mut client, &mut reader)));
    assert!((0..5).all(|_| has_time_of_sending(&mut client, &mut reader)));
}
