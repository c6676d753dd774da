//! Hosts that inject faults drawn from the seed, and record every attempt that reaches them.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::Duration;

use kestreltide_testkit::{
    ArrivalReader, TestListener, read_request, record_arrival_times, spawn_server_on,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::record::{Attempt, Operation, Recorder, RunClock};
use super::schedule::{HOSTS, HostFaults, LATE_HOST, Schedule};

/// The upper bound, exclusive, of a reply's delay in milliseconds.
const REPLY_DELAY_LIMIT_MS: u64 = 30;

/// The range of the delay, in microseconds, of what follows a reply late.
const LATE_MICROS: std::ops::Range<u64> = 200..9000;

/// How long the late host waits for a connection before it looks at its queue again.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(20);

/// How a host handles a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handling {
    /// Replies with the request's id.
    Normal,
    /// Sends the reply twice, the second one unrequested.
    ReplyTwice,
    /// Replies, and sends the reply again some milliseconds later.
    ReplyTwiceLate,
    /// Replies, and sends the reply again once the next command has arrived, before the reply to that.
    ReplyTwiceCrossing,
    /// Replies, and sends bytes that are no reply late.
    NoiseLate,
    /// Replies and then closes the connection.
    ReplyAndClose,
    /// Replies `-BUSY` without running the command.
    Busy,
    /// Replies with an error other than `-BUSY`.
    Error,
    /// Resets the connection without a reply.
    Reset,
    /// Never replies, and keeps the connection open.
    Hang,
}

/// The hosts of one run.
pub struct Hosts {
    pub addresses: Vec<SocketAddr>,
    /// Set when the first SIGTERM is sent; from then on the host that `hangs_after_sigterm` names replies to nothing.
    pub is_terminating: Arc<AtomicBool>,
    /// Whether the queue of connections of [`LATE_HOST`] is kept full.
    pub is_queue_full: Arc<AtomicBool>,
}

/// One host.
struct HostServer {
    number: usize,
    seed: u64,
    faults: HostFaults,
    clock: RunClock,
    recorder: Arc<Recorder>,
    is_terminating: Arc<AtomicBool>,
}

impl Hosts {
    pub fn start(schedule: &Schedule, clock: RunClock, recorder: &Arc<Recorder>) -> Self {
        let (seed, faults) = (schedule.seed, schedule.faults);
        let has_late_connections = schedule.has_late_connections;
        let is_terminating = Arc::new(AtomicBool::new(false));
        let is_queue_full = Arc::new(AtomicBool::new(false));
        let start = |number| {
            let server = HostServer {
                number,
                seed,
                faults,
                clock,
                recorder: recorder.clone(),
                is_terminating: is_terminating.clone(),
            };
            if number == LATE_HOST && has_late_connections {
                return serve_with_full_queue(server, is_queue_full.clone());
            }
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            record_arrival_times(&listener);
            spawn_server_on(listener, move |stream| server.serve(stream))
        };
        Hosts {
            addresses: (0..HOSTS).map(start).collect(),
            is_terminating,
            is_queue_full,
        }
    }
}

/// Serves at a listener whose queue of connections is kept full while `is_queue_full` is set; returns its address.
fn serve_with_full_queue(server: HostServer, is_queue_full: Arc<AtomicBool>) -> SocketAddr {
    let mut listener = TestListener::open();
    listener.record_arrival_times();
    let address = listener.at;
    let server = Arc::new(server);
    thread::spawn(move || {
        loop {
            if is_queue_full.load(Relaxed) {
                listener.stop_accepting();
                while is_queue_full.load(Relaxed) {
                    thread::sleep(Duration::from_millis(1));
                }
                listener.resume_accepting();
            }
            if let Some(stream) = listener.accept_within(ACCEPT_TIMEOUT) {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        }
    });
    address
}

impl HostServer {
    /// Handles commands until the connection ends.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let second_handle = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(ArrivalReader::new(second_handle));
        // The second copy of the last reply, which is sent once the next command has arrived.
        let mut copy = vec![];
        while let Some(words) = read_request(&mut reader, &mut &stream) {
            let Some(id) = words.get(2) else {
                return;
            };
            let handling = self.draw_handling(id);
            self.recorder.add_attempt(Attempt {
                request: id.clone(),
                operation: operation(&words),
                host: self.number,
                arrived: self.clock.at(reader.get_ref().last_arrival()),
                told_limit: told_limit(&words),
                may_have_run: handling != Handling::Busy,
            });
            let is_open = (&stream).write_all(&std::mem::take(&mut copy)).is_ok();
            if handling == Handling::ReplyTwiceCrossing {
                copy = reply_to(id);
            }
            if !is_open || !self.perform(handling, id, &stream) {
                return;
            }
        }
    }

    /// Draws how to handle a request. The result depends only on the seed, the host and the request's id, so it is
    /// the same in every run of a seed in which the router chooses the same host for the request.
    fn draw_handling(&self, id: &str) -> Handling {
        let hangs_now = self.faults.hangs_after_sigterm == Some(self.number);
        if hangs_now && self.is_terminating.load(Relaxed) {
            return Handling::Hang;
        }
        let mut draw = self.rng_of(id).random_range(0..1000);
        let faults = [
            (self.faults.hangs, Handling::Hang),
            (self.faults.resets, Handling::Reset),
            (self.faults.replies_twice, Handling::ReplyTwice),
            (self.faults.replies_twice_late, Handling::ReplyTwiceLate),
            (
                self.faults.replies_twice_crossing,
                Handling::ReplyTwiceCrossing,
            ),
            (self.faults.noise_late, Handling::NoiseLate),
            (self.faults.busy_replies, Handling::Busy),
            (self.faults.errors, Handling::Error),
            (self.faults.closes_after_reply, Handling::ReplyAndClose),
        ];
        for (ratio, handling) in faults {
            if draw < ratio {
                return handling;
            }
            draw -= ratio;
        }
        Handling::Normal
    }

    /// Returns a random number generator that is seeded by the run's seed, the host and the request's id.
    fn rng_of(&self, id: &str) -> ChaCha8Rng {
        let number = id.bytes().fold(self.seed, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u64::from(byte))
        });
        ChaCha8Rng::seed_from_u64(number.wrapping_add(self.number as u64))
    }

    /// Sends bytes on the connection after a delay.
    fn send_late(&self, id: &str, stream: &TcpStream, bytes: Vec<u8>) {
        let delay = Duration::from_micros(self.rng_of(id).random_range(LATE_MICROS));
        let Ok(mut stream) = stream.try_clone() else {
            return;
        };
        thread::spawn(move || {
            thread::sleep(delay);
            let _ = stream.write_all(&bytes);
        });
    }

    /// Handles a command; returns whether the connection stays open.
    fn perform(&self, handling: Handling, id: &str, mut stream: &TcpStream) -> bool {
        let millis = self.rng_of(id).random_range(0..REPLY_DELAY_LIMIT_MS);
        thread::sleep(Duration::from_millis(millis));
        let value = reply_to(id);
        match handling {
            Handling::Normal | Handling::ReplyTwiceCrossing => stream.write_all(&value).is_ok(),
            Handling::ReplyTwice => stream.write_all(&value.repeat(2)).is_ok(),
            Handling::ReplyTwiceLate => {
                let is_written = stream.write_all(&value).is_ok();
                self.send_late(id, stream, value);
                is_written
            }
            Handling::NoiseLate => {
                let is_written = stream.write_all(&value).is_ok();
                self.send_late(id, stream, b"?!\r\n".to_vec());
                is_written
            }
            Handling::ReplyAndClose => {
                let _ = stream.write_all(&value);
                thread::sleep(Duration::from_millis(millis));
                false
            }
            Handling::Busy => stream.write_all(b"-BUSY\r\n").is_ok(),
            Handling::Error => stream.write_all(b"-ERR failed\r\n").is_ok(),
            Handling::Reset => {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
                false
            }
            // No reply is sent, to this command or a later one, until the router closes the connection.
            Handling::Hang => {
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
                false
            }
        }
    }
}

/// The reply with the value for the request with this id.
fn reply_to(id: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{id}\r\n$-1\r\n$-1\r\n", id.len()).into_bytes()
}

/// The kind of the request with these words.
fn operation(words: &[String]) -> Operation {
    match words.get(3) {
        Some(fields) if fields.starts_with("c=switch") => Operation::Write,
        Some(fields) if fields.starts_with("c=set") => Operation::KeyedWrite,
        _ => Operation::Read,
    }
}

/// The time limit of the request with these words, in seconds; infinite where there is none.
fn told_limit(words: &[String]) -> f64 {
    let fields = words.get(3).map_or("", String::as_str);
    fields
        .split(',')
        .find_map(|field| field.strip_prefix("d="))
        .and_then(|millis| millis.parse::<f64>().ok())
        .map_or(f64::INFINITY, |millis| millis / 1e3)
}
