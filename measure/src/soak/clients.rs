//! Clients that use their connections in all ways that the protocol allows, and in some invalid ways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::connection::{Connection, Reply};
use super::oracle::LOST_AFTER;
use super::record::{Operation, Outcome, Recorder, RequestRecord, RunClock};
use super::schedule::LONGEST_LIMIT;

/// Clients that each send one batch of requests after another.
const CLIENT_COUNT: u64 = 8;

/// Extra connections that send one request and then stay open.
const EXTRA_SINGLE_REQUEST: usize = 60;

/// Extra connections that never send a complete command.
const EXTRA_PARTIAL_COMMAND: usize = 20;

/// Seconds that a client waits for a reply after the request already counts as lost: longer than a standstill.
const WAIT_BEYOND_LOST: f64 = 1.2;

/// Length in bytes of the longest value that a command may hold.
const MAX_VALUE_BYTES: usize = 64 * 1024;

/// The clients of a crowd: more than a router accepts in one turn of its event loop.
const CROWD_SIZE: usize = 120;

/// The time limit, in seconds, of a crowd's requests.
const CROWD_LIMIT: f64 = 0.3;

/// The random number stream of value sizes and keys, so that a seed's other draws do not depend on them.
const VALUE_STREAM: u64 = 1;

/// Seconds that a client that has sent part of a command waits for the error or the close.
const PARTIAL_COMMAND_WAIT: f64 = 4.0;

/// How a client sends its next batch of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendPattern {
    Single,
    /// This many requests are written at once, before the first reply.
    Pipelined(usize),
    /// The command is written in three pieces with pauses between them.
    InPieces,
    /// The client closes the connection before the reply.
    DisconnectEarly,
    /// The request's time limit is very short, 5 to 40 ms.
    ShortLimit,
}

/// One request of a client.
struct Request {
    id: String,
    operation: Operation,
    /// Seconds from sending until the request times out.
    limit: f64,
    /// Length of its value; 0 for a request without one.
    value_bytes: usize,
}

impl Request {
    /// The request as bytes of the protocol.
    fn command(&self) -> Vec<u8> {
        let (verb, class) = match self.operation {
            Operation::Read => ("Q.ASK", "read"),
            Operation::Write => ("Q.DO", "switch"),
            Operation::KeyedWrite => ("Q.DO", "set"),
        };
        let mut fields = format!("c={class},d={:.0}", 1e3 * self.limit);
        if self.operation == Operation::KeyedWrite {
            let key: String = self.id.bytes().map(|byte| format!("{byte:02x}")).collect();
            fields.push_str(&format!(",k={key}"));
        }
        let value = "v".repeat(self.value_bytes);
        let words = [verb, "key", &self.id, &fields, &value];
        let count = if value.is_empty() { 4 } else { 5 };
        let words = words[..count]
            .iter()
            .map(|word| format!("${}\r\n{word}\r\n", word.len()));
        format!("*{count}\r\n{}", words.collect::<String>()).into_bytes()
    }
}

/// One client, with its own connection and random numbers.
struct SoakClient {
    number: u64,
    router: SocketAddr,
    clock: RunClock,
    recorder: Arc<Recorder>,
    rng: ChaCha8Rng,
    /// For value sizes and keys.
    value_rng: ChaCha8Rng,
    next_id: u64,
    connection: Option<Connection>,
}

/// The clients of a run.
pub struct SoakClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SoakClients {
    /// Starts the clients. They are numbered from `first_number` on; a request's id begins with its client's number.
    pub fn start(
        router: SocketAddr,
        seed: u64,
        first_number: u64,
        clock: RunClock,
        recorder: &Arc<Recorder>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let number = first_number + number;
            let client_seed = seed.wrapping_mul(1000) + number;
            let mut value_rng = ChaCha8Rng::seed_from_u64(client_seed);
            value_rng.set_stream(VALUE_STREAM);
            let mut client = SoakClient {
                number,
                router,
                clock,
                recorder: recorder.clone(),
                rng: ChaCha8Rng::seed_from_u64(client_seed),
                value_rng,
                next_id: 0,
                connection: None,
            };
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Relaxed) {
                    client.send_batch();
                }
            })
        };
        let threads = (0..CLIENT_COUNT).map(start).collect();
        SoakClients { stop, threads }
    }

    /// Stops the clients after their current requests.
    pub fn stop(self) {
        self.stop.store(true, Relaxed);
        for thread in self.threads {
            thread.join().expect("a client ends without a panic");
        }
    }
}

impl SoakClient {
    /// Draws and sends one batch of requests, then pauses for less than 8 ms.
    fn send_batch(&mut self) {
        let pattern = match self.rng.random_range(0..20) {
            0..10 => SendPattern::Single,
            10..14 => SendPattern::Pipelined(self.rng.random_range(2..6)),
            14..16 => SendPattern::InPieces,
            16..18 => SendPattern::DisconnectEarly,
            _ => SendPattern::ShortLimit,
        };
        let count = match pattern {
            SendPattern::Pipelined(count) => count,
            _ => 1,
        };
        let requests: Vec<_> = (0..count).map(|_| self.draw_request(pattern)).collect();
        if pattern == SendPattern::DisconnectEarly {
            self.send_and_disconnect(&requests[0]);
        } else {
            self.send_and_wait(&requests, pattern);
        }
        let pause = self.rng.random_range(0..8);
        thread::sleep(Duration::from_millis(pause));
    }

    fn draw_request(&mut self, pattern: SendPattern) -> Request {
        self.next_id += 1;
        let limit = if pattern == SendPattern::ShortLimit {
            0.005 + 0.035 * self.rng.random::<f64>()
        } else {
            LONGEST_LIMIT
        };
        let operation = match self.rng.random_range(0..10) {
            0..3 if self.value_rng.random() => Operation::KeyedWrite,
            0..3 => Operation::Write,
            _ => Operation::Read,
        };
        Request {
            id: format!("{}-{}", self.number, self.next_id),
            operation,
            limit,
            value_bytes: self.draw_value_bytes(),
        }
    }

    /// Most requests have no value; some have one of any size, and some one near the limit of a turn's read.
    fn draw_value_bytes(&mut self) -> usize {
        match self.value_rng.random_range(0..16) {
            0 => MAX_VALUE_BYTES,
            1 => self
                .value_rng
                .random_range(MAX_VALUE_BYTES - 100..=MAX_VALUE_BYTES),
            2 => self.value_rng.random_range(1..=MAX_VALUE_BYTES),
            _ => 0,
        }
    }

    /// Returns the open connection or a new one, or none where the router does not listen.
    fn take_connection(&mut self) -> Option<Connection> {
        let open = self.connection.take();
        open.or_else(|| Connection::open(self.router).ok())
    }

    /// Sends a request and closes the connection within 20 ms, whether or not a reply has come.
    fn send_and_disconnect(&mut self, request: &Request) {
        let Some(mut connection) = self.take_connection() else {
            return self.pause_before_reconnect();
        };
        let sent_at = self.clock.now();
        let is_written = connection.write(&request.command()).is_ok();
        let wait = self.rng.random_range(0..20);
        thread::sleep(Duration::from_millis(wait));
        drop(connection);
        if is_written {
            self.record(request, sent_at, Outcome::Disconnected);
        }
    }

    /// Writes requests on one connection and waits for each reply in order. Requests without a reply when the
    /// connection closes are sent once more on new connections.
    fn send_and_wait(&mut self, requests: &[Request], pattern: SendPattern) {
        let Some(mut connection) = self.take_connection() else {
            self.record(&requests[0], self.clock.now(), Outcome::NotAccepted);
            return self.pause_before_reconnect();
        };
        let bytes: Vec<_> = requests.iter().flat_map(Request::command).collect();
        let is_written = self.write(&mut connection, &bytes, pattern);
        let mut sent_at = self.clock.now();
        for (index, request) in requests.iter().enumerate() {
            let reply = if is_written {
                connection.reply(reply_timeout(request))
            } else {
                Reply::Closed
            };
            if reply == Reply::Closed {
                return self.resend(&requests[index..]);
            }
            let has_no_reply = reply == Reply::Nothing;
            self.record(request, sent_at, outcome(request, reply));
            if has_no_reply {
                return;
            }
            sent_at = self.clock.now();
        }
        self.connection = Some(connection);
    }

    /// Writes the bytes in one piece or in three; returns whether that succeeded.
    fn write(&mut self, connection: &mut Connection, bytes: &[u8], pattern: SendPattern) -> bool {
        if pattern != SendPattern::InPieces {
            return connection.write(bytes).is_ok();
        }
        let first = self.rng.random_range(1..bytes.len() / 2);
        let second = self.rng.random_range(first..bytes.len());
        let pieces = [&bytes[..first], &bytes[first..second], &bytes[second..]];
        pieces.into_iter().all(|piece| {
            let pause = self.rng.random_range(0..20);
            thread::sleep(Duration::from_millis(pause));
            connection.write(piece).is_ok()
        })
    }

    /// Sends each request once more on a new connection: the router may close a connection while a request is on its
    /// way, so one close without a reply is no error.
    fn resend(&mut self, requests: &[Request]) {
        for request in requests {
            let sent_at = self.clock.now();
            let connection = Connection::open(self.router);
            let Ok(mut connection) = connection else {
                self.record(request, sent_at, Outcome::NotAccepted);
                continue;
            };
            let reply = match connection.write(&request.command()) {
                Ok(()) => connection.reply(reply_timeout(request)),
                Err(_) => Reply::Closed,
            };
            self.record(request, sent_at, outcome(request, reply));
        }
    }

    fn pause_before_reconnect(&self) {
        thread::sleep(Duration::from_millis(20));
    }

    fn record(&self, request: &Request, sent_at: f64, outcome: Outcome) {
        self.recorder.add_request(RequestRecord {
            id: request.id.clone(),
            sent_at,
            limit: request.limit,
            ended: self.clock.now(),
            outcome,
        });
    }
}

/// Returns how long a client waits for the reply to this request.
fn reply_timeout(request: &Request) -> Duration {
    Duration::from_secs_f64(request.limit + LOST_AFTER + WAIT_BEYOND_LOST)
}

/// Returns the outcome of a request with this reply. Hosts reply with the request's id, so any other value is foreign.
fn outcome(request: &Request, reply: Reply) -> Outcome {
    match reply {
        Reply::Value(value) if value == request.id => Outcome::Served,
        Reply::Value(value) => Outcome::Foreign(value),
        Reply::Error(error) if error.starts_with("BUSY") => Outcome::Refused,
        Reply::Error(_) => Outcome::Failed,
        Reply::Closed => Outcome::ClosedTwice,
        Reply::Nothing => Outcome::Unanswered,
    }
}

/// Connects a crowd of clients at once, each of which sends one request, and waits for their replies.
pub fn start_crowd(
    router: SocketAddr,
    crowd: usize,
    clock: RunClock,
    recorder: &Arc<Recorder>,
) -> JoinHandle<()> {
    let recorder = recorder.clone();
    thread::spawn(move || {
        let send_one_request = |number| {
            let request = Request {
                id: format!("crowd-{crowd}-{number}"),
                operation: Operation::Read,
                limit: CROWD_LIMIT,
                value_bytes: 0,
            };
            let mut connection = Connection::open(router).ok()?;
            connection.write(&request.command()).ok()?;
            Some((connection, request, clock.now()))
        };
        let sent: Vec<_> = (0..CROWD_SIZE).filter_map(send_one_request).collect();
        for (mut connection, request, sent_at) in sent {
            receive_and_record(&mut connection, request, sent_at, clock, &recorder);
        }
    })
}

/// Extra connections: some send one request and stay open, others never send a complete command.
pub struct ExtraConnections {
    single_request: Vec<Connection>,
    partial_senders: Vec<JoinHandle<()>>,
}

impl ExtraConnections {
    /// Opens all extra connections, and waits for the reply to each of their requests.
    pub fn start(router: SocketAddr, clock: RunClock, recorder: &Arc<Recorder>) -> Self {
        let partial_sender = |_| {
            let recorder = recorder.clone();
            thread::spawn(move || {
                let sent_at = clock.now();
                if let Some(reply) = send_partial_command(router) {
                    let is_answered = reply != Reply::Nothing;
                    recorder.add_partial_sender(is_answered.then(|| clock.now() - sent_at));
                }
            })
        };
        let partial_senders = (0..EXTRA_PARTIAL_COMMAND).map(partial_sender).collect();
        let send_one_request = |number| {
            let mut connection = Connection::open(router).ok()?;
            let request = Request {
                id: format!("crowd-{number}"),
                operation: Operation::Read,
                limit: LONGEST_LIMIT,
                value_bytes: 0,
            };
            let sent_at = clock.now();
            connection.write(&request.command()).ok()?;
            receive_and_record(&mut connection, request, sent_at, clock, recorder);
            Some(connection)
        };
        ExtraConnections {
            single_request: (0..EXTRA_SINGLE_REQUEST)
                .filter_map(send_one_request)
                .collect(),
            partial_senders,
        }
    }

    /// Closes the open connections, and waits for the threads of those that sent part of a command.
    pub fn stop(self) {
        drop(self.single_request);
        for thread in self.partial_senders {
            thread.join().expect("a client ends without a panic");
        }
    }
}

/// Waits for the reply to a request that was sent once, and records it. A close without a reply is no error and is not
/// recorded.
fn receive_and_record(
    connection: &mut Connection,
    request: Request,
    sent_at: f64,
    clock: RunClock,
    recorder: &Recorder,
) {
    let reply = connection.reply(reply_timeout(&request));
    if reply != Reply::Closed {
        recorder.add_request(RequestRecord {
            sent_at,
            limit: request.limit,
            ended: clock.now(),
            outcome: outcome(&request, reply),
            id: request.id,
        });
    }
}

/// Sends part of a command and returns what came back, or none where the router did not accept the connection.
fn send_partial_command(router: SocketAddr) -> Option<Reply> {
    let mut connection = Connection::open(router).ok()?;
    connection.write(b"*4\r\n$5\r\nQ.ASK\r\n$3\r\nk").ok()?;
    Some(connection.reply(Duration::from_secs_f64(PARTIAL_COMMAND_WAIT)))
}
