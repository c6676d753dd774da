//! A test discovery server that sends the complete endpoint list, or holds a watch until there is a newer list.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::{TEST_TIMEOUT, spawn_server};

/// A version of the endpoint list.
struct Published {
    rev: u32,
    list: String,
}

/// Where a slow server pauses in each response.
#[derive(Clone, Copy, Debug)]
pub enum ResponseDelay {
    /// Before the whole response.
    BeforeHead(Duration),
    /// Between the head, which is sent at once, and the body.
    BeforeBody(Duration),
}

/// A watch that the server has received and may hold.
#[derive(Clone, Copy, Debug)]
pub struct HeldWatch {
    /// When it arrived.
    pub at: Instant,
    /// How long the server may hold it.
    pub hold: Duration,
}

/// The requests that the server has received.
#[derive(Default)]
struct Requests {
    watches: Vec<HeldWatch>,
    /// Number of requests that are neither answered nor abandoned by the router.
    open: usize,
    most_open: usize,
}

/// The current list, and the watches that wait for a newer one.
struct Shared {
    current: Mutex<Published>,
    changed: Condvar,
    delay: ResponseDelay,
    /// The number of the watch that gets no response.
    silent_watch: Option<usize>,
    requests: Mutex<Requests>,
    arrived: Condvar,
}

/// The parameters of a watch.
struct Watch {
    /// The version that the router has.
    from: u32,
    /// How long to hold the request while there is no newer version.
    hold: Duration,
}

/// A discovery server.
pub struct Discovery {
    /// The address that routers connect to.
    pub at: SocketAddr,
    shared: Arc<Shared>,
}

/// Parses the first line of a watch; `None` for a request of the complete list.
fn parse_watch(line: &str) -> Option<Watch> {
    let query = line.split(' ').nth(1)?.split_once('?')?.1;
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|part| part.strip_prefix(name)?.parse::<u64>().ok())
    };
    Some(Watch {
        from: value("from=")? as u32,
        hold: Duration::from_millis(value("hold_ms=")?),
    })
}

impl Shared {
    /// The body of the reply: the complete list, or no changes where a watch ends without any.
    fn reply_body(&self, watch: Option<Watch>) -> String {
        let current = self.current.lock().expect("no panic before");
        let Some(Watch { from, hold }) = watch else {
            return current.list.clone();
        };
        let (current, _) = self
            .changed
            .wait_timeout_while(current, hold, |current| current.rev <= from)
            .expect("no panic before");
        if current.rev > from {
            current.list.clone()
        } else {
            format!("{{\"rev\":{},\"all\":false,\"targets\":[]}}", current.rev)
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let mut lines = BufReader::new(stream.try_clone().expect("a second handle")).lines();
        while let Some(Ok(first)) = lines.next() {
            let head_is_complete = lines
                .by_ref()
                .map_while(Result::ok)
                .any(|line| line.is_empty());
            if !head_is_complete {
                return;
            }
            let watch = parse_watch(&first);
            let hold = watch.as_ref().map_or(Duration::ZERO, |watch| watch.hold);
            let watch_number = self.record_request(hold);
            let is_silent = watch_number.is_some() && watch_number == self.silent_watch;
            let is_written = if is_silent {
                stays_open(stream, TEST_TIMEOUT)
            } else {
                self.respond(stream, watch)
            };
            self.requests.lock().expect("no panic before").open -= 1;
            if !is_written {
                return;
            }
        }
    }

    /// Records a request; returns the number of a watch that may be held, counted from 0.
    fn record_request(&self, hold: Duration) -> Option<usize> {
        let mut requests = self.requests.lock().expect("no panic before");
        requests.open += 1;
        requests.most_open = requests.most_open.max(requests.open);
        if hold.is_zero() {
            return None;
        }
        requests.watches.push(HeldWatch {
            at: Instant::now(),
            hold,
        });
        self.arrived.notify_all();
        Some(requests.watches.len() - 1)
    }

    /// Sends the response with its delay; false where the router has closed the connection.
    fn respond(&self, mut stream: &TcpStream, watch: Option<Watch>) -> bool {
        let body = self.reply_body(watch);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        match self.delay {
            ResponseDelay::BeforeHead(delay) => {
                stays_open(stream, delay) && stream.write_all((head + &body).as_bytes()).is_ok()
            }
            ResponseDelay::BeforeBody(delay) => {
                stream.write_all(head.as_bytes()).is_ok()
                    && stays_open(stream, delay)
                    && stream.write_all(body.as_bytes()).is_ok()
            }
        }
    }
}

/// Waits for `delay`, or until the router closes the connection; whether it is still open then.
fn stays_open(stream: &TcpStream, delay: Duration) -> bool {
    if delay.is_zero() {
        return true;
    }
    stream
        .set_read_timeout(Some(delay))
        .expect("a socket option");
    let is_open = stream.peek(&mut [0]).is_err();
    stream.set_read_timeout(None).expect("a socket option");
    is_open
}

impl Discovery {
    /// Starts a server with this list, as [`crate::endpoint_list`] writes it, of this version.
    pub fn start(rev: u32, list: String) -> Self {
        Self::start_slow(rev, list, ResponseDelay::BeforeHead(Duration::ZERO))
    }

    /// As [`Discovery::start_slow`], but never responds to the watch with this number, counted from 0.
    pub fn start_with_silent_watch(
        rev: u32,
        list: String,
        delay: ResponseDelay,
        silent_watch: usize,
    ) -> Self {
        Self::start_server(rev, list, delay, Some(silent_watch))
    }

    /// As [`Discovery::start`], with a delay in each response, which follows the hold of a watch.
    pub fn start_slow(rev: u32, list: String, delay: ResponseDelay) -> Self {
        Self::start_server(rev, list, delay, None)
    }

    fn start_server(
        rev: u32,
        list: String,
        delay: ResponseDelay,
        silent_watch: Option<usize>,
    ) -> Self {
        let shared = Arc::new(Shared {
            current: Mutex::new(Published { rev, list }),
            changed: Condvar::new(),
            delay,
            silent_watch,
            requests: Mutex::default(),
            arrived: Condvar::new(),
        });
        let shared_with_server = shared.clone();
        let at = spawn_server(move |stream| shared_with_server.serve(&stream));
        Discovery { at, shared }
    }

    /// Replaces the list and ends all watches that wait for a newer version.
    pub fn publish(&self, rev: u32, list: String) {
        *self.shared.current.lock().expect("no panic before") = Published { rev, list };
        self.shared.changed.notify_all();
    }

    /// Waits for the watch with this number, counted from 0.
    pub fn wait_for_watch(&self, number: usize) -> HeldWatch {
        let requests = self.shared.requests.lock().expect("no panic before");
        let (requests, _) = self
            .shared
            .arrived
            .wait_timeout_while(requests, TEST_TIMEOUT, |requests| {
                requests.watches.len() <= number
            })
            .expect("no panic before");
        requests.watches[number]
    }

    /// The most requests at once that were neither answered nor abandoned by the router.
    pub fn most_open_requests(&self) -> usize {
        self.shared
            .requests
            .lock()
            .expect("no panic before")
            .most_open
    }
}
