//! Graceful shutdown racing with another event: partial commands, retries, errors, queued connections, time limits,
//! floods of connections, repeated signals. Tests fix the order of events by what they observe.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
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

/// A host that reports each request whose id begins with `held` and holds its answer until the release; it answers
/// other requests at once.
fn holding_host() -> (SocketAddr, Receiver<()>, Sender<()>) {
    let ((received_sender, received), (release, released)) = (channel(), channel::<()>());
    let (received_sender, released) = (Mutex::new(received_sender), Mutex::new(released));
    let address = fake_host(move |words| {
        if words[2].starts_with("held") {
            let _ = received_sender
                .lock()
                .expect("the mutex is not poisoned")
                .send(());
            let _ = released
                .lock()
                .expect("the mutex is not poisoned")
                .recv_timeout(TEST_TIMEOUT);
        }
        value_reply(&words[2])
    });
    (address, received, release)
}

/// Starts a router with one host; `change` edits its configuration.
fn start_router(host: SocketAddr, change: impl Fn(String) -> String) -> RouterProcess {
    let (_, answers) = channel();
    let known = endpoint_list(1, true, &[("a", host, "Ready")]);
    RouterProcess::start(
        BINARY,
        &change(router_config(fake_discovery(answers), &known)),
    )
}

/// Sends SIGTERM and waits until the router has closed idle connections.
fn drain(program: &RouterProcess, idle: &mut Client) {
    program.signal("TERM");
    assert_eq!(
        idle.reply(),
        "",
        "an idle connection is closed once no more clients are expected"
    );
}

/// An idle connection that has completed one request.
fn idle_client(program: &RouterProcess) -> Client {
    let mut client = program.client();
    client.request(&["Q.ASK", "k", "first", READ]);
    client
}

/// A client whose request the host holds, with the router draining and its idle connections closed.
fn client_with_held_request_while_draining(
    program: &RouterProcess,
    received: &Receiver<()>,
) -> Client {
    let (mut idle, mut client) = (idle_client(program), program.client());
    client.send(&["Q.ASK", "k", "held", READ]);
    received
        .recv_timeout(TEST_TIMEOUT)
        .expect("the host receives the request");
    drain(program, &mut idle);
    client
}

/// Reads to the end of the connection; `(reset)` marks a connection reset.
fn read_to_close(mut stream: &TcpStream) -> String {
    let mut text = String::new();
    match stream.read_to_string(&mut text) {
        Err(e) if e.kind() == ErrorKind::ConnectionReset => text + "(reset)",
        read => read.map(|_| text).expect("the end of the connection"),
    }
}

#[test]
fn a_partial_command_received_before_the_drain_is_completed_and_answered() {
    let (host, received, release) = holding_host();
    let program = start_router(host, |text| text);
    let mut client = client_with_held_request_while_draining(&program, &received);
    client.write(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n");
    release.send(()).expect("the host waits for the release");
    assert_eq!(client.reply(), "held");
    client.write(b"$3\r\ntwo\r\n$13\r\nc=read,d=5000\r\n");
    assert_eq!(client.reply(), "two");
    assert_eq!(
        client.reply(),
        "",
        "the connection is closed once it is idle"
    );
}

#[test]
fn a_command_retried_on_a_new_connection_is_served_while_a_request_is_open() {
    let (host, received, release) = holding_host();
    let mut program = start_router(host, |text| text);
    let mut client = client_with_held_request_while_draining(&program, &received);
    // A command that crossed the close of its connection is retried by its client on a new one.
    let mut again = program.client();
    assert_eq!(again.request(&["Q.ASK", "k", "again", READ]), "again");
    assert_eq!(
        again.reply(),
        "",
        "the connection is closed once it is idle"
    );
    release.send(()).expect("the host waits for the release");
    assert_eq!(client.reply(), "held");
    assert!(program.child.wait().expect("the process exits").success());
}

#[test]
fn a_client_rejected_during_shutdown_reads_the_error_and_no_reset() {
    let (host, received, release) = holding_host();
    let mut program = start_router(host, |text| text);
    let mut client = client_with_held_request_while_draining(&program, &received);
    client.write(b"nonsense\r\n");
    program.wait_for_log("malformed");
    // Bytes that are unread at the close would turn it into a reset, which may overtake the error line.
    client.write(&[b'x'; 10_000]);
    release.send(()).expect("the host waits for the release");
    assert_eq!(client.reply(), "held");
    assert!(client.reply().starts_with("-ERR"));
    assert_eq!(read_to_close(&client.stream), "");
    assert!(program.child.wait().expect("the process exits").success());
    assert!(
        client
            .stream
            .take_error()
            .expect("an open socket")
            .is_none(),
        "no reset follows the close"
    );
}

/// Connections in the listen backlog are already established for their clients. They are answered even if there are
/// more of them than the router serves at a time.
#[test]
fn connections_in_the_listen_backlog_are_all_answered() {
    let program = start_router(fake_host(|words| value_reply(&words[2])), |text| {
        text.replace("\"sockets\":256", "\"sockets\":64")
    });
    program.client().request(&["Q.ASK", "k", "first", READ]);
    program.signal("TERM");
    program.wait_for_log("stopping");
    program.freeze();
    let mut clients: Vec<_> = (0..60).map(|_| program.client()).collect();
    let send =
        |(id, client): (usize, &mut Client)| client.send(&["Q.ASK", "k", &id.to_string(), READ]);
    clients.iter_mut().enumerate().for_each(send);
    // Longer than the router waits for further clients.
    thread::sleep(Duration::from_millis(600));
    program.signal("CONT");
    let unserved = |(id, client): (usize, &mut Client)| {
        let answer = client.reply();
        (answer != id.to_string()).then_some((id, answer))
    };
    let unserved: Vec<_> = clients
        .iter_mut()
        .enumerate()
        .filter_map(unserved)
        .collect();
    // Some are rejected for lack of capacity; none is left unanswered.
    assert!(
        unserved
            .iter()
            .all(|(_, answer)| answer.starts_with("-BUSY")),
        "{unserved:?}"
    );
    assert!(unserved.len() < 60, "{unserved:?}");
}

/// The platform sends SIGKILL 0.7 s after the longest time limit in the settings, of which at most 3 s count. Open
/// requests are answered before that, whatever time limit their clients give.
#[rstest]
#[case::short_limits("500000", "400000", 1.2)]
#[case::limits_beyond_the_platforms_wait("6000000", "5000000", 3.7)]
fn open_requests_are_answered_before_the_platform_sends_sigkill(
    #[case] give_up_us: &str,
    #[case] slo_us: &str,
    #[case] kill_after_s: f64,
) {
    let (host, received, _release) = holding_host();
    let with_time_limits = |text: String| {
        text.replace("6000000", give_up_us)
            .replace("\"slo\":5000000", &format!("\"slo\":{slo_us}"))
    };
    let mut program = start_router(host, with_time_limits);
    let mut client = program.client();
    client.send(&["Q.DO", "k", "held", SWITCH]);
    received
        .recv_timeout(TEST_TIMEOUT)
        .expect("the host receives the request");
    let signalled_at = Instant::now();
    program.signal("TERM");
    // The operation may have run, so the reply must not invite a retry.
    assert_eq!(client.reply(), "-ERR failed");
    assert_eq!(read_to_close(&client.stream), "");
    assert!(program.child.wait().expect("the process exits").success());
    assert!(
        signalled_at.elapsed().as_secs_f64() < kill_after_s,
        "{:?}",
        signalled_at.elapsed()
    );
}

#[test]
fn a_flood_of_connections_delays_neither_responses_nor_the_exit() {
    let (host, received, release) = holding_host();
    let with_time_limits = |text: String| {
        text.replace("6000000", "500000")
            .replace("\"slo\":5000000", "\"slo\":400000")
    };
    let mut program = start_router(host, with_time_limits);
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "held", "c=read,d=2000"]);
    received
        .recv_timeout(TEST_TIMEOUT)
        .expect("the host receives the request");
    let address = program.at;
    let flood = move || {
        while let Ok(stream) = TcpStream::connect(address) {
            drop(stream);
        }
    };
    let flood_threads: Vec<_> = (0..2).map(|_| thread::spawn(flood)).collect();
    program.signal("TERM");
    program.wait_for_log("stopping");
    release.send(()).expect("the host waits for the release");
    assert_eq!(client.reply(), "held");
    assert!(program.child.wait().expect("the process exits").success());
    flood_threads
        .into_iter()
        .for_each(|flood| flood.join().expect("the flood ends with the listener"));
}

/// Clients that keep connecting would delay the exit until the deadline, where open requests fail. So the listener
/// closes after half of the shutdown time.
#[test]
fn after_half_of_the_shutdown_time_the_listener_closes_and_open_requests_are_answered() {
    let (host, received, release) = holding_host();
    let mut program = start_router(host, |text| text);
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "held", READ]);
    received
        .recv_timeout(TEST_TIMEOUT)
        .expect("the host receives the request");
    program.signal("TERM");
    program.wait_for_log("closing");
    // The line precedes the close of the listener; connections accepted until then are served.
    while let Ok(stream) = TcpStream::connect(program.at) {
        drop(stream);
    }
    release.send(()).expect("the host waits for the release");
    assert_eq!(client.reply(), "held");
    assert!(
        !program
            .log_lines_until("stopped")
            .iter()
            .any(|line| line.contains("failing open"))
    );
    assert!(program.child.wait().expect("the process exits").success());
}

#[test]
fn repeated_sigterm_and_a_reload_shut_down_like_one_sigterm() {
    let (host, received, release) = holding_host();
    let mut program = start_router(host, |text| text);
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "held", READ]);
    received
        .recv_timeout(TEST_TIMEOUT)
        .expect("the host receives the request");
    program.freeze();
    for signal in ["TERM", "HUP", "TERM", "CONT"] {
        program.signal(signal);
    }
    program.wait_for_log("configuration reloaded");
    program.signal("TERM");
    release.send(()).expect("the host waits for the release");
    assert_eq!(client.reply(), "held");
    assert!(program.child.wait().expect("the process exits").success());
}
