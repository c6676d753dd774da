//! Reopening of discovery's watch: after a failed connection, after discovery restarts its list revisions, and after
//! the watch goes silent.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use kestreltide_testkit::*;

/// Path of the router's executable.
const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
/// Request attributes: the idempotent operation `read` with a time limit of 5000 ms.
const READ: &str = "c=read,d=5000";

/// A host that answers every request with its name.
fn named_host(name: &'static str) -> SocketAddr {
    fake_host(move |_| value_reply(name))
}

/// Reads the next HTTP request of a connection and returns its request line.
fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let mut lines = reader.lines().map_while(Result::ok);
    let request_line = lines.next()?;
    lines.any(|line| line.is_empty()).then_some(request_line)
}

/// Writes an HTTP response with this body.
fn write_response(mut stream: &TcpStream, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    stream
        .write_all((head + body).as_bytes())
        .expect("the router reads");
}

#[test]
fn a_watch_is_reopened_soon_after_its_new_connection_times_out() {
    let mut listener = TestListener::open();
    let (a, b) = (named_host("a"), named_host("b"));
    let program = RouterProcess::start(
        BINARY,
        &router_config(listener.at, &endpoint_list(1, true, &[("a", a, "Ready")])),
    );
    let stream = listener.accept();
    let mut reader = BufReader::new(&stream);
    assert!(read_request(&mut reader).is_some_and(|line| !line.contains("from=")));
    write_response(
        &stream,
        &endpoint_list(2, true, &[("a", a, "Ready"), ("b", b, "Ready")]),
    );
    assert!(read_request(&mut reader).is_some_and(|line| line.contains("from=2")));
    listener.stop_accepting();
    drop(stream);
    // Waiting for this connection as long as for a watch, 6 s, would delay changes beyond the time by which a router
    // must know them.
    program.wait_for_log("the connection does not come up");
    listener.resume_accepting();
    let stream = listener.accept();
    assert!(read_request(&mut BufReader::new(&stream)).is_some_and(|line| line.contains("from=2")));
    write_response(
        &stream,
        &endpoint_list(3, false, &[("a", a, "Terminating")]),
    );
    program.wait_for_log("rev: 3");
    assert_eq!(program.client().request(&["Q.ASK", "k", "id", READ]), "b");
}

/// Discovery restarts with a lower list revision: the router requests the full list and does not loop on requests.
#[test]
fn a_full_list_is_requested_after_discovery_restarts_its_revisions() {
    let request_count = Arc::new(AtomicU32::new(0));
    let count = request_count.clone();
    let (a, b) = (named_host("a"), named_host("b"));
    let (responses_written, changes) = (Mutex::new(0), endpoint_list(3, false, &[]));
    let discovery = spawn_server(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while let Some(request_line) = read_request(&mut reader) {
            count.fetch_add(1, Relaxed);
            let mut responses_written =
                responses_written.lock().expect("the mutex is not poisoned");
            match request_line {
                line if line.contains("from=9&") => write_response(&stream, &changes),
                line if line.contains("from=") => return,
                _ if *responses_written == 0 => {
                    write_response(&stream, &endpoint_list(9, true, &[("a", a, "Ready")]))
                }
                _ => write_response(&stream, &endpoint_list(2, true, &[("b", b, "Ready")])),
            }
            *responses_written += 1;
        }
    });
    let program = RouterProcess::start(
        BINARY,
        &router_config(discovery, &endpoint_list(1, true, &[])),
    );
    program.wait_for_log("rev: 2");
    assert_eq!(program.client().request(&["Q.ASK", "k", "id", READ]), "b");
    assert!(
        request_count.load(Relaxed) < 10,
        "{}",
        request_count.load(Relaxed)
    );
}

/// A change counts as known to the router 7 s after the watch's request. A watch that is silent for longer than its
/// hold time is closed and reopened early enough to receive the change by then.
#[test]
fn a_silent_watch_is_reopened_before_missed_changes_count_as_known() {
    let (a, b) = (named_host("a"), named_host("b"));
    let watch_request_times = Arc::new(Mutex::new(vec![]));
    let times = watch_request_times.clone();
    let discovery = spawn_server(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while let Some(request_line) = read_request(&mut reader) {
            let is_watch = request_line.contains("from=2");
            let mut times = times.lock().expect("the mutex is not poisoned");
            times.extend(is_watch.then(Instant::now));
            match times.len() {
                0 => write_response(
                    &stream,
                    &endpoint_list(2, true, &[("a", a, "Ready"), ("b", b, "Ready")]),
                ),
                // The watch gets no response from here on, though its connection stays open.
                1 => {}
                _ => write_response(
                    &stream,
                    &endpoint_list(3, false, &[("a", a, "Terminating")]),
                ),
            }
        }
    });
    let program = RouterProcess::start(
        BINARY,
        &router_config(discovery, &endpoint_list(1, true, &[])),
    );
    program.wait_for_log("rev: 3");
    let watch_request_times = watch_request_times
        .lock()
        .expect("the mutex is not poisoned");
    let interval_s = watch_request_times[1]
        .duration_since(watch_request_times[0])
        .as_secs_f64();
    assert!((5.0..6.5).contains(&interval_s), "{interval_s}");
    assert_eq!(program.client().request(&["Q.ASK", "k", "id", READ]), "b");
}
