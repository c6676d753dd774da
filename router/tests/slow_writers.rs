//! Clients that write slowly, or stop in the middle of a large request, beside others that need answers.

mod common;

use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_testkit::*;

use common::{READ, echo_host, start_router_with_hosts};

/// More than the router has connections for.
const SLOW_WRITERS: usize = 400;
const OTHER_CLIENTS: usize = 6;
const RUN_TIME: Duration = Duration::from_secs(3);
/// How often a slow writer is replaced by a new one.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(2);

/// Closes of connections that are in use have to be rare.
const MIN_REQUESTS_PER_RESENT_ONE: usize = 10;

/// What became of a client's requests.
#[derive(Debug, Default)]
struct Counts {
    answered: usize,
    unanswered: usize,
    /// Sent once more on a new connection, as the router had closed the first one.
    resent: usize,
}

/// Connects and writes half of a large request.
fn slow_writer(router: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(router).ok()?;
    stream
        .set_write_timeout(Some(Duration::from_millis(50)))
        .ok()?;
    let half = format!(
        "*5\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$2\r\nid\r\n${}\r\n{READ}\r\n$60000\r\n{}",
        READ.len(),
        "b".repeat(30_000)
    );
    let _ = stream.write_all(half.as_bytes());
    Some(stream)
}

/// Keeps so many slow writers connected, ever new ones, until `stop` is set.
fn keep_slow_writers(router: SocketAddr, stop: &AtomicBool) {
    let mut writers = VecDeque::new();
    while !stop.load(Relaxed) {
        writers.extend(slow_writer(router));
        if writers.len() > SLOW_WRITERS {
            writers.pop_front();
            thread::sleep(REPLACEMENT_INTERVAL);
        }
    }
}

/// Sends requests on one connection, every third with a body that needs memory beside those of the slow writers.
fn send_requests(router: SocketAddr, number: usize) -> Counts {
    let mut client = Client::connect(router);
    let body = "x".repeat(20_000);
    let mut counts = Counts::default();
    let began_at = Instant::now();
    while began_at.elapsed() < RUN_TIME {
        let id = format!("{number}-{}", counts.answered + counts.unanswered);
        let words = ["Q.ASK", "k", &id, READ, &body];
        let count = words.len() - usize::from(counts.answered % 3 != 0);
        let mut reply = client.request(&words[..count]);
        if reply.is_empty() {
            counts.resent += 1;
            // A request that crosses the close of its connection is sent once more on a new one.
            client = Client::connect(router);
            reply = client.request(&words[..count]);
        }
        if reply == format!("of {id}") {
            counts.answered += 1;
        } else {
            counts.unanswered += 1;
            client = Client::connect(router);
        }
        thread::sleep(Duration::from_millis(30));
    }
    counts
}

/// Guards against connections in use that are closed to make room for clients that never complete a request.
#[test]
fn slow_writers_cost_no_other_client_its_connection() {
    let (program, _lists) =
        start_router_with_hosts(&[("a", echo_host().expect("a host"), "Ready")]);
    let stop = AtomicBool::new(false);
    let counts: Vec<_> = thread::scope(|scope| {
        let router = program.at;
        let stop = &stop;
        scope.spawn(move || keep_slow_writers(router, stop));
        let others: Vec<_> = (0..OTHER_CLIENTS)
            .map(|number| scope.spawn(move || send_requests(router, number)))
            .collect();
        let results: Vec<_> = others
            .into_iter()
            .map(thread::ScopedJoinHandle::join)
            .collect();
        stop.store(true, Relaxed);
        results
            .into_iter()
            .map(|result| result.expect("no panic"))
            .collect()
    });
    for client in &counts {
        assert!(client.answered > 5 && client.unanswered == 0, "{counts:?}");
        assert!(
            client.resent <= client.answered / MIN_REQUESTS_PER_RESENT_ONE,
            "{counts:?}"
        );
    }
}
