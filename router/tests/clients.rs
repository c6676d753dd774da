//! Client connections whose close races with another event: a retry on a new connection, pipelined commands, a host
//! connection being established, a response.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_testkit::*;
use rstest::rstest;

/// Path of the router's executable.
const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
/// Request attributes: the idempotent operation `read` with a time limit of 5000 ms.
const READ: &str = "c=read,d=5000";
/// Request attributes: the non-idempotent operation `switch` with a time limit of 5000 ms.
const SWITCH: &str = "c=switch,d=5000";

/// Starts a router with four hosts at the same address; `change` edits its configuration.
fn start_router(host: SocketAddr, change: impl Fn(String) -> String) -> RouterProcess {
    let (_, answers) = channel();
    let known = endpoint_list(
        1,
        true,
        &["a", "b", "c", "d"].map(|name| (name, host, "Ready")),
    );
    RouterProcess::start(
        BINARY,
        &change(router_config(fake_discovery(answers), &known)),
    )
}

/// A host that reports the id of each request and holds the answers to ids that begin with `held` until the release.
fn holding_host() -> (SocketAddr, Receiver<String>, Sender<()>) {
    let ((received_sender, received), (release, released)) = (channel(), channel::<()>());
    let (received_sender, released) = (Mutex::new(received_sender), Mutex::new(released));
    let address = fake_host(move |words| {
        let _ = received_sender
            .lock()
            .expect("the mutex is not poisoned")
            .send(words[2].clone());
        if words[2].starts_with("held") {
            let _ = released
                .lock()
                .expect("the mutex is not poisoned")
                .recv_timeout(TEST_TIMEOUT);
        }
        value_reply(&words[2])
    });
    (address, received, release)
}

#[test]
fn a_retried_id_is_served_before_the_close_of_its_first_connection_is_read() {
    let (host, received, release) = holding_host();
    let program = start_router(host, |text| text);
    let (mut first, mut retrying) = (program.client(), program.client());
    retrying.request(&["Q.ASK", "k", "before", READ]);
    first.send(&["Q.ASK", "k", "held", READ]);
    assert_eq!(
        [
            received.recv_timeout(TEST_TIMEOUT),
            received.recv_timeout(TEST_TIMEOUT)
        ],
        ["before", "held"].map(|id| Ok(id.into()))
    );
    program.freeze();
    retrying.send(&["Q.ASK", "k", "held", READ]);
    first.close();
    program.signal("CONT");
    assert_eq!(received.recv_timeout(TEST_TIMEOUT), Ok("held".into()));
    drop(release);
    assert_eq!(retrying.reply(), "held");
}

/// Guards against a request that runs twice because its id comes again after its client has left.
#[test]
fn an_id_that_may_have_run_when_its_client_left_does_not_run_again() {
    const EXECUTED: &str = "-ERR the id is that of an invocation that may have run";
    let (host, received, release) = holding_host();
    let program = start_router(host, |text| text);
    let (mut first, mut again) = (program.client(), program.client());
    first.send(&["Q.DO", "k", "held", SWITCH]);
    assert_eq!(received.recv_timeout(TEST_TIMEOUT), Ok("held".into()));
    first.close();
    assert_eq!(again.request(&["Q.DO", "k", "held", SWITCH]), EXECUTED);
    drop(release);
    assert_eq!(again.request(&["Q.DO", "k", "served", SWITCH]), "served");
    assert_eq!(again.request(&["Q.DO", "k", "held", SWITCH]), EXECUTED);
    // The connection goes on, and what may run any number of times is run again.
    again.send(&["Q.ASK", "k", "read", READ]);
    assert_eq!(again.reply(), "read");
    let ids: Vec<_> = received.try_iter().collect();
    assert_eq!(ids, ["served", "read"]);
}

/// A client has pipelined more bytes than the router buffers and closes: none of its requests that still wait for
/// their first attempt is sent to a host.
#[test]
fn a_close_behind_a_full_read_buffer_stops_the_waiting_requests() {
    let (host, received, release) = holding_host();
    let program = start_router(host, |text| text);
    let (mut client, mut other) = (program.client(), program.client());
    for id in 0..16 {
        client.send(&["Q.ASK", "k", &format!("held-{id}"), READ]);
    }
    (0..16).for_each(|_| {
        drop(
            received
                .recv_timeout(TEST_TIMEOUT)
                .expect("the hosts receive all requests"),
        )
    });
    // More than the router buffers for one client, less than the socket buffers hold: the close lies behind these bytes.
    let payload = "y".repeat(1000);
    for id in 0..90 {
        client.send(&["Q.ASK", "k", &format!("late-{id}"), READ, &payload]);
    }
    client.close();
    assert_eq!(other.request(&["Q.ASK", "k", "other", READ]), "other");
    drop(release);
    other.request(&["Q.ASK", "k", "last", READ]);
    let late: Vec<_> = received
        .try_iter()
        .filter(|id| id.starts_with("late"))
        .collect();
    assert!(late.is_empty(), "{late:?}");
}

/// A host that reports the id and the time limit (`d`, in milliseconds) of each attempt, and holds the answers to ids
/// that begin with `held` until the release.
fn time_limit_reporting_host() -> (SocketAddr, Receiver<(String, u64)>, Sender<()>) {
    let ((received_sender, received), (release, released)) = (channel(), channel::<()>());
    let (received_sender, released) = (Mutex::new(received_sender), Mutex::new(released));
    let address = fake_host(move |words| {
        let limit_ms = words[3]
            .rsplit("d=")
            .next()
            .and_then(|text| text.parse().ok());
        let id_and_limit = (
            words[2].clone(),
            limit_ms.expect("the attributes have a time limit"),
        );
        let _ = received_sender
            .lock()
            .expect("the mutex is not poisoned")
            .send(id_and_limit);
        if words[2].starts_with("held") {
            let _ = released
                .lock()
                .expect("the mutex is not poisoned")
                .recv_timeout(TEST_TIMEOUT);
        }
        value_reply(&words[2])
    });
    (address, received, release)
}

/// One connection has as many open requests as a router allows (16) and one more request behind them: its time limit
/// counts from the arrival of its last byte, whether it waits in the router or in the socket.
#[rstest]
#[case::waits_in_the_router(0, 0)]
#[case::waits_in_the_socket(3, 0)]
#[case::second_half_sent_later(0, 20)]
fn the_time_limit_of_a_request_behind_a_full_pipeline_starts_at_its_last_byte(
    #[case] long_requests_before: usize,
    #[case] bytes_sent_later: usize,
) {
    const TIME_LIMIT_MS: u64 = 10_000;
    const PAUSE: Duration = Duration::from_secs(2);
    let (host, received, release) = time_limit_reporting_host();
    let program = start_router(host, |text| text);
    let mut client = program.client();
    for id in 0..16 {
        client.send(&["Q.DO", "k", &format!("held-{id}"), "c=switch,d=10000"]);
    }
    (0..16).for_each(|_| {
        drop(
            received
                .recv_timeout(TEST_TIMEOUT)
                .expect("the hosts receive all requests"),
        )
    });
    // Two of these exceed the router's read buffer for a client.
    for id in 0..long_requests_before {
        client.send(&[
            "Q.DO",
            "k",
            &format!("long-{id}"),
            "c=switch,d=10000",
            &"y".repeat(40_000),
        ]);
    }
    let last = format!(
        "*4\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$4\r\nlast\r\n$16\r\nc=switch,d={TIME_LIMIT_MS}\r\n"
    );
    let (now, later) = last.split_at(last.len() - bytes_sent_later);
    let first_byte_sent_at = Instant::now();
    client.write(now.as_bytes());
    let mut other = program.client();
    // By the time of this response the router has read as much as it can of the first connection.
    other.request(&["Q.ASK", "k", "other", READ]);
    thread::sleep(PAUSE);
    client.write(later.as_bytes());
    drop(release);
    let (_, forwarded_limit_ms) = received
        .iter()
        .find(|(id, _)| id == "last")
        .expect("the host receives the request");
    if later.is_empty() {
        assert!(
            forwarded_limit_ms <= TIME_LIMIT_MS - PAUSE.as_millis() as u64,
            "{forwarded_limit_ms}"
        );
    } else {
        let limit_from_first_byte_ms =
            TIME_LIMIT_MS.saturating_sub(first_byte_sent_at.elapsed().as_millis() as u64);
        assert!(
            forwarded_limit_ms > limit_from_first_byte_ms,
            "{forwarded_limit_ms} of {limit_from_first_byte_ms}"
        );
    }
}

/// Sets the connect timeout to 9 s and the drain grace to 30 s, so that a request can wait for its connection.
fn with_long_timeouts(text: String) -> String {
    let text = text.replace("\"connect_timeout\":250000", "\"connect_timeout\":9000000");
    text.replace("\"drain_grace\":500000", "\"drain_grace\":30000000")
}

#[test]
fn a_request_waiting_for_a_host_connection_is_not_sent_after_its_client_closes() {
    let mut listener = TestListener::open();
    listener.stop_accepting();
    let program = start_router(listener.at, with_long_timeouts);
    let mut closing = program.client();
    closing.send(&["Q.DO", "k", "gone", "c=switch,d=20000"]);
    listener.wait_for_connection();
    closing.close();
    let mut staying = program.client();
    // The close has been read before this is answered.
    staying.request(&["PING"]);
    // SYN packets are retransmitted after equal intervals, so that the earlier connection is established first.
    thread::sleep(Duration::from_millis(100));
    staying.send(&["Q.DO", "k", "stays", "c=switch,d=20000"]);
    program.client().request(&["PING"]);
    listener.resume_accepting();
    let host = listener.accept();
    let received_id = read_command(&mut BufReader::new(&host)).map(|words| words[2].clone());
    assert_eq!(received_id.as_deref(), Some("stays"));
}

#[test]
fn a_request_waiting_for_a_host_connection_is_not_sent_while_the_close_is_unread() {
    let mut listener = TestListener::open();
    listener.stop_accepting();
    let program = start_router(listener.at, with_long_timeouts);
    let mut closing = program.client();
    closing.send(&["Q.DO", "k", "gone", "c=switch,d=20000"]);
    listener.wait_for_connection();
    program.freeze();
    closing.close();
    listener.resume_accepting();
    // The router sees the new connection and the close in one wake-up and handles host events first.
    let host = listener.accept();
    program.signal("CONT");
    assert_eq!(read_command(&mut BufReader::new(&host)), None);
}

/// The host rejects an attempt whose client has closed: the request is not sent to another host.
#[rstest]
#[case::close_unread(b"", true)]
#[case::close_behind_malformed_bytes(b"hello\r\n", false)]
fn no_retry_is_sent_after_the_client_closes(
    #[case] bytes_before_close: &[u8],
    #[case] close_unread: bool,
) {
    let ((received_sender, received), (release, released)) = (channel(), channel::<()>());
    let ((received_sender, released), (answered_sender, answered)) = (
        (Mutex::new(received_sender), Mutex::new(released)),
        channel(),
    );
    let answered_sender = Mutex::new(answered_sender);
    let host = spawn_server(move |stream| {
        serve_commands(
            stream.try_clone().expect("the socket can be cloned"),
            |words| {
                let _ = received_sender
                    .lock()
                    .expect("the mutex is not poisoned")
                    .send(words[2].clone());
                if words[2] != "gone" {
                    return value_reply(&words[2]);
                }
                let _ = released
                    .lock()
                    .expect("the mutex is not poisoned")
                    .recv_timeout(TEST_TIMEOUT);
                let _ = (&stream).write_all(b"-BUSY\r\n");
                let _ = answered_sender
                    .lock()
                    .expect("the mutex is not poisoned")
                    .send(());
                Some(String::new())
            },
        );
    });
    let program = start_router(host, |text| text);
    let mut closing = program.client();
    closing.send(&["Q.ASK", "k", "gone", READ]);
    assert_eq!(received.recv_timeout(TEST_TIMEOUT), Ok("gone".into()));
    closing.write(bytes_before_close);
    let mut staying = program.client();
    staying.request(&["PING"]);
    if close_unread {
        program.freeze();
    }
    closing.close();
    if !close_unread {
        staying.request(&["PING"]);
    }
    drop(release);
    answered
        .recv_timeout(TEST_TIMEOUT)
        .expect("the host answers");
    if close_unread {
        program.signal("CONT");
    }
    assert_eq!(staying.request(&["Q.ASK", "k", "stays", READ]), "stays");
    assert_eq!(staying.request(&["Q.ASK", "k", "last", READ]), "last");
    assert_eq!(received.try_iter().collect::<Vec<_>>(), ["stays", "last"]);
}
