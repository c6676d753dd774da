//! Hosts that misbehave as the seed says, and record every attempt that reaches them.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use kestreltide_testkit::{ArrivalReader, read_command, record_arrival_times, spawn_server_on};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::record::{Attempt, Operation, Recorder, RunClock};
use super::schedule::{HOSTS, HostFaults};

/// Milliseconds that an answer takes at most.
const MAX_ANSWER_MILLIS: u64 = 30;

/// What a host does with a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Answer,
    AnswerTwice,
    AnswerAndClose,
    TurnAway,
    Error,
    Reset,
    Hang,
}

/// The hosts of one run.
pub struct Hosts {
    pub addresses: Vec<SocketAddr>,
    /// From now on the host that hangs at the end answers nothing.
    pub is_ending: Arc<AtomicBool>,
}

struct HostServer {
    number: usize,
    seed: u64,
    faults: HostFaults,
    clock: RunClock,
    recorder: Arc<Recorder>,
    is_ending: Arc<AtomicBool>,
}

impl Hosts {
    pub fn start(seed: u64, faults: HostFaults, clock: RunClock, recorder: &Arc<Recorder>) -> Self {
        let is_ending = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let server = HostServer {
                number,
                seed,
                faults,
                clock,
                recorder: recorder.clone(),
                is_ending: is_ending.clone(),
            };
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            record_arrival_times(&listener);
            spawn_server_on(listener, move |stream| server.serve(stream))
        };
        Hosts {
            addresses: (0..HOSTS).map(start).collect(),
            is_ending,
        }
    }
}

impl HostServer {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let second_handle = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(ArrivalReader::new(second_handle));
        while let Some(words) = read_command(&mut reader) {
            let Some(id) = words.get(2) else {
                return;
            };
            let reply = self.draw_reply(id);
            self.recorder.add_attempt(Attempt {
                request: id.clone(),
                operation: operation(&words),
                host: self.number,
                arrived: self.clock.at(reader.get_ref().last_arrival()),
                may_have_run: reply != Reply::TurnAway,
            });
            if !self.carry_out(reply, id, &stream) {
                return;
            }
        }
    }

    /// The same for an id at a host in each play of a seed, as far as the router chooses the same host.
    fn draw_reply(&self, id: &str) -> Reply {
        let hangs_now = self.faults.hangs_at_the_end == Some(self.number);
        if hangs_now && self.is_ending.load(Relaxed) {
            return Reply::Hang;
        }
        let mut draw = self.rng_of(id).random_range(0..1000);
        let faults = [
            (self.faults.hangs, Reply::Hang),
            (self.faults.resets, Reply::Reset),
            (self.faults.answers_twice, Reply::AnswerTwice),
            (self.faults.turns_away, Reply::TurnAway),
            (self.faults.errors, Reply::Error),
            (self.faults.closes_when_idle, Reply::AnswerAndClose),
        ];
        for (ratio, reply) in faults {
            if draw < ratio {
                return reply;
            }
            draw -= ratio;
        }
        Reply::Answer
    }

    fn rng_of(&self, id: &str) -> ChaCha8Rng {
        let number = id.bytes().fold(self.seed, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u64::from(byte))
        });
        ChaCha8Rng::seed_from_u64(number.wrapping_add(self.number as u64))
    }

    /// Whether the connection stays open.
    fn carry_out(&self, reply: Reply, id: &str, mut stream: &TcpStream) -> bool {
        let millis = self.rng_of(id).random_range(0..MAX_ANSWER_MILLIS);
        thread::sleep(Duration::from_millis(millis));
        let value = format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len());
        match reply {
            Reply::Answer => stream.write_all(value.as_bytes()).is_ok(),
            Reply::AnswerTwice => stream.write_all(value.repeat(2).as_bytes()).is_ok(),
            Reply::AnswerAndClose => {
                let _ = stream.write_all(value.as_bytes());
                thread::sleep(Duration::from_millis(millis));
                false
            }
            Reply::TurnAway => stream.write_all(b"-BUSY\r\n").is_ok(),
            Reply::Error => stream.write_all(b"-ERR failed\r\n").is_ok(),
            Reply::Reset => {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                false
            }
            // Nothing is answered until the router closes the connection.
            Reply::Hang => true,
        }
    }
}

fn operation(words: &[String]) -> Operation {
    if words[0] == "Q.DO" {
        Operation::Switch
    } else {
        Operation::Read
    }
}
