//! Clients that use their connections in every way that the protocol allows, and some that it does not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::connection::{Answer, Connection};
use super::oracle::LOST_AFTER;
use super::record::{Operation, Outcome, Recorder, RequestRecord, RunClock};
use super::schedule::LONGEST_LIMIT;

/// Clients that ask one request after another.
const CLIENTS: u64 = 8;

/// Connections of a crowd that ask once and stay.
const CROWD_ASKING_ONCE: usize = 60;

/// Connections of a crowd that never send a whole request.
const CROWD_SENDING_HALF: usize = 20;

/// Seconds that a client waits for an answer beyond the time at which the request counts as lost.
const WAIT_BEYOND_LOST: f64 = 0.5;

/// Seconds that who has sent half a command waits for the error or the close.
const HALF_SENDER_WAIT: f64 = 4.0;

/// How a client sends its next requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Plain,
    Pipelined(usize),
    InPieces,
    /// It closes the connection before the answer.
    Leaving,
    /// Very little time is left.
    Brief,
}

/// One request as it is written.
struct Request {
    id: String,
    operation: Operation,
    limit: f64,
}

impl Request {
    fn command(&self) -> Vec<u8> {
        let (verb, class) = match self.operation {
            Operation::Read => ("Q.ASK", "read"),
            Operation::Switch => ("Q.DO", "switch"),
        };
        let fields = format!("c={class},d={:.0}", 1e3 * self.limit);
        let words = [verb, "key", &self.id, &fields];
        let words = words.map(|word| format!("${}\r\n{word}\r\n", word.len()));
        format!("*{}\r\n{}", words.len(), words.concat()).into_bytes()
    }
}

/// One client.
struct SoakClient {
    number: u64,
    router: SocketAddr,
    clock: RunClock,
    recorder: Arc<Recorder>,
    rng: ChaCha8Rng,
    next_id: u64,
    connection: Option<Connection>,
}

/// The clients of a run.
pub struct SoakClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SoakClients {
    /// Starts the clients; ids begin with `prefix`.
    pub fn start(
        router: SocketAddr,
        seed: u64,
        prefix: u64,
        clock: RunClock,
        recorder: &Arc<Recorder>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let number = prefix + number;
            let mut client = SoakClient {
                number,
                router,
                clock,
                recorder: recorder.clone(),
                rng: ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1000) + number),
                next_id: 0,
                connection: None,
            };
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Relaxed) {
                    client.take_turn();
                }
            })
        };
        let threads = (0..CLIENTS).map(start).collect();
        SoakClients { stop, threads }
    }

    /// Stops the clients after their present requests.
    pub fn stop(self) {
        self.stop.store(true, Relaxed);
        for thread in self.threads {
            thread.join().expect("a client ends without a panic");
        }
    }
}

impl SoakClient {
    fn take_turn(&mut self) {
        let manner = match self.rng.random_range(0..20) {
            0..10 => Manner::Plain,
            10..14 => Manner::Pipelined(self.rng.random_range(2..6)),
            14..16 => Manner::InPieces,
            16..18 => Manner::Leaving,
            _ => Manner::Brief,
        };
        let count = match manner {
            Manner::Pipelined(count) => count,
            _ => 1,
        };
        let requests: Vec<_> = (0..count).map(|_| self.draw_request(manner)).collect();
        if manner == Manner::Leaving {
            self.send_and_leave(&requests[0]);
        } else {
            self.send_and_wait(&requests, manner);
        }
        let pause = self.rng.random_range(0..8);
        thread::sleep(Duration::from_millis(pause));
    }

    fn draw_request(&mut self, manner: Manner) -> Request {
        self.next_id += 1;
        let limit = if manner == Manner::Brief {
            0.005 + 0.035 * self.rng.random::<f64>()
        } else {
            LONGEST_LIMIT
        };
        Request {
            id: format!("{}-{}", self.number, self.next_id),
            operation: if self.rng.random_range(0..10) < 3 {
                Operation::Switch
            } else {
                Operation::Read
            },
            limit,
        }
    }

    /// The open connection, or a new one; none where nobody listens.
    fn take_connection(&mut self) -> Option<Connection> {
        let open = self.connection.take();
        open.or_else(|| Connection::open(self.router).ok())
    }

    fn send_and_leave(&mut self, request: &Request) {
        let Some(mut connection) = self.take_connection() else {
            return self.wait_for_listener();
        };
        let since = self.clock.now();
        let is_written = connection.write(&request.command()).is_ok();
        let wait = self.rng.random_range(0..20);
        thread::sleep(Duration::from_millis(wait));
        drop(connection);
        if is_written {
            self.record(request, since, Outcome::Left);
        }
    }

    /// Writes requests on one connection and waits for each answer in turn; what its close leaves open is sent once
    /// more on a new one.
    fn send_and_wait(&mut self, requests: &[Request], manner: Manner) {
        let Some(mut connection) = self.take_connection() else {
            self.record(&requests[0], self.clock.now(), Outcome::NotTaken);
            return self.wait_for_listener();
        };
        let bytes: Vec<_> = requests.iter().flat_map(Request::command).collect();
        let is_written = self.write(&mut connection, &bytes, manner);
        let mut since = self.clock.now();
        for (place, request) in requests.iter().enumerate() {
            let answer = if is_written {
                connection.answer(wait_for(request))
            } else {
                Answer::Closed
            };
            if answer == Answer::Closed {
                return self.send_again(&requests[place..]);
            }
            let is_over = answer == Answer::Nothing;
            self.record(request, since, outcome(request, answer));
            if is_over {
                return;
            }
            since = self.clock.now();
        }
        self.connection = Some(connection);
    }

    fn write(&mut self, connection: &mut Connection, bytes: &[u8], manner: Manner) -> bool {
        if manner != Manner::InPieces {
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

    /// Sends each of these once more on a new connection: they crossed a close.
    fn send_again(&mut self, requests: &[Request]) {
        for request in requests {
            let since = self.clock.now();
            let connection = Connection::open(self.router);
            let Ok(mut connection) = connection else {
                self.record(request, since, Outcome::NotTaken);
                continue;
            };
            let answer = match connection.write(&request.command()) {
                Ok(()) => connection.answer(wait_for(request)),
                Err(_) => Answer::Closed,
            };
            self.record(request, since, outcome(request, answer));
        }
    }

    fn wait_for_listener(&self) {
        thread::sleep(Duration::from_millis(20));
    }

    fn record(&self, request: &Request, since: f64, outcome: Outcome) {
        self.recorder.add_request(RequestRecord {
            id: request.id.clone(),
            since,
            limit: request.limit,
            ended: self.clock.now(),
            outcome,
        });
    }
}

fn wait_for(request: &Request) -> Duration {
    Duration::from_secs_f64(request.limit + LOST_AFTER + WAIT_BEYOND_LOST)
}

fn outcome(request: &Request, answer: Answer) -> Outcome {
    match answer {
        Answer::Value(value) if value == request.id => Outcome::Served,
        Answer::Value(value) => Outcome::Foreign(value),
        Answer::Error(error) if error.starts_with("BUSY") => Outcome::Refused,
        Answer::Error(_) => Outcome::Failed,
        Answer::Closed => Outcome::ClosedTwice,
        Answer::Nothing => Outcome::Unanswered,
    }
}

/// A crowd: connections that ask once and stay, and such that never send a whole request.
pub struct Crowd {
    asked_once: Vec<Connection>,
    half_senders: Vec<JoinHandle<()>>,
}

impl Crowd {
    pub fn start(router: SocketAddr, clock: RunClock, recorder: &Arc<Recorder>) -> Self {
        let half_sender = |_| {
            let recorder = recorder.clone();
            thread::spawn(move || {
                let since = clock.now();
                if let Some(answer) = send_half(router) {
                    let is_answered = answer != Answer::Nothing;
                    recorder.add_half_sender(is_answered.then(|| clock.now() - since));
                }
            })
        };
        let half_senders = (0..CROWD_SENDING_HALF).map(half_sender).collect();
        let ask_once = |number| {
            let mut connection = Connection::open(router).ok()?;
            let request = Request {
                id: format!("crowd-{number}"),
                operation: Operation::Read,
                limit: LONGEST_LIMIT,
            };
            let since = clock.now();
            connection.write(&request.command()).ok()?;
            let answer = connection.answer(wait_for(&request));
            if answer != Answer::Closed {
                recorder.add_request(RequestRecord {
                    since,
                    limit: request.limit,
                    ended: clock.now(),
                    outcome: outcome(&request, answer),
                    id: request.id,
                });
            }
            Some(connection)
        };
        Crowd {
            asked_once: (0..CROWD_ASKING_ONCE).filter_map(ask_once).collect(),
            half_senders,
        }
    }

    /// Closes what still stays, and waits for those that sent half a command.
    pub fn stop(self) {
        drop(self.asked_once);
        for thread in self.half_senders {
            thread.join().expect("a client ends without a panic");
        }
    }
}

/// Sends half a command; what came then, or none where the router did not take the connection.
fn send_half(router: SocketAddr) -> Option<Answer> {
    let mut connection = Connection::open(router).ok()?;
    connection.write(b"*4\r\n$5\r\nQ.ASK\r\n$3\r\nk").ok()?;
    Some(connection.answer(Duration::from_secs_f64(HALF_SENDER_WAIT)))
}
