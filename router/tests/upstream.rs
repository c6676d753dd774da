//! Connections to hosts: attempts that cannot be written in time, early and malformed responses, and reuse of idle
//! connections.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_testkit::*;
use rstest::rstest;
use socket2::{Domain, Socket, Type};

/// Path of the router's executable.
const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
/// Request attributes: the idempotent operation `read` with a time limit of 5000 ms.
const READ: &str = "c=read,d=5000";
/// Request attributes: the non-idempotent operation `switch` with a time limit of 5000 ms.
const SWITCH: &str = "c=switch,d=5000";

/// Starts a router with one host; `change` edits its configuration.
fn start_router(host: SocketAddr, change: impl Fn(String) -> String) -> RouterProcess {
    let (_, answers) = channel();
    let known = endpoint_list(1, true, &[("a", host, "Ready")]);
    RouterProcess::start(
        BINARY,
        &change(router_config(fake_discovery(answers), &known)),
    )
}

/// A host that answers every request at once, and the idle times of its connections before each reuse.
fn idle_time_recording_host() -> (SocketAddr, Arc<Mutex<Vec<Duration>>>) {
    let idle_times = Arc::new(Mutex::new(vec![]));
    let recorded = idle_times.clone();
    let address = spawn_server(move |stream| {
        let last_response_at = Mutex::new(None);
        serve_commands(stream, |words| {
            let mut last_response_at = last_response_at.lock().expect("the mutex is not poisoned");
            // Measured from before the response is written, so that the recorded time is never too short.
            let idle_time = last_response_at
                .replace(Instant::now())
                .map(|at: Instant| at.elapsed());
            recorded
                .lock()
                .expect("the mutex is not poisoned")
                .extend(idle_time);
            value_reply(&words[2])
        });
    });
    (address, idle_times)
}

#[rstest]
#[case::non_idempotent("c=switch,d=5000", "-BUSY")]
#[case::idempotent("c=read,d=5000", "-BUSY")]
fn an_attempt_not_written_within_the_drain_grace_is_abandoned(
    #[case] attributes: &str,
    #[case] expected: &str,
) {
    let mut listener = TestListener::open();
    listener.stop_accepting();
    // The connect timeout (4 s) exceeds the time for which a drained host may still get requests (0.5 s).
    let program = start_router(listener.at, |text| {
        text.replace("\"connect_timeout\":250000", "\"connect_timeout\":4000000")
    });
    let sent_at = Instant::now();
    let command = if attributes.contains("switch") {
        "Q.DO"
    } else {
        "Q.ASK"
    };
    assert_eq!(
        program.client().request(&[command, "k", "id", attributes]),
        expected
    );
    assert!(
        sent_at.elapsed() < Duration::from_secs(3),
        "two attempts of 0.4 s each: {:?}",
        sent_at.elapsed()
    );
}

#[test]
fn a_retry_not_written_within_the_idempotency_window_is_abandoned() {
    let mut listener = TestListener::open();
    let keyed_operation = r#""effect":"by_key","group":"all","window":300000"#;
    let with_settings = |text: String| {
        let text = text
            .replace("\"effect\":\"once\"", keyed_operation)
            .replace("\"drain_grace\":500000", "\"drain_grace\":9000000");
        text.replace("\"connect_timeout\":250000", "\"connect_timeout\":4000000")
    };
    let program = start_router(listener.at, with_settings);
    let mut client = program.client();
    let sent_at = Instant::now();
    client.send(&["Q.DO", "k", "id", "c=switch,d=5000,k=5c"]);
    let connection = listener.accept();
    let command = read_command(&mut BufReader::new(&connection));
    listener.stop_accepting();
    assert!(command.is_some_and(|words| words[2] == "id"));
    // The operation may have run; its connection is closed, so that a retry needs another one.
    (&connection)
        .write_all(b"-ERR failed\r\n")
        .expect("the router reads");
    drop(connection);
    assert_eq!(client.reply(), "-ERR failed");
    assert!(
        sent_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        sent_at.elapsed()
    );
}

/// The host rejects a command that exceeds all socket buffers before the router has written it, and closes.
#[test]
fn an_early_response_counts_though_the_rest_of_the_command_cannot_be_written() {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(1)
        .expect("the socket option is set");
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a free port");
    socket.listen(8).expect("it listens");
    let address = socket
        .local_addr()
        .ok()
        .and_then(|address| address.as_socket())
        .expect("an address");
    let program = start_router(address, |text| text);
    let mut client = program.client();
    client.send(&["Q.DO", "k", "id", SWITCH, &"x".repeat(60_000)]);
    let host: TcpStream = socket.accept().expect("the router comes").0.into();
    let mut first_bytes = [0; 64];
    (&host)
        .read_exact(&mut first_bytes)
        .expect("the command begins");
    // The response has arrived by the time that the router learns that the rest cannot be written.
    program.freeze();
    (&host)
        .write_all(b"-ERR failed\r\n")
        .expect("the router is there");
    drop(host);
    program.signal("CONT");
    assert_eq!(client.reply(), "-ERR failed");
}

/// Responses carry no id: a surplus response that arrives some milliseconds late would be taken for that of the next
/// attempt on the connection. So a connection is reused 20 ms after a response at the earliest.
#[test]
fn a_connection_is_not_reused_within_20_ms_of_a_response() {
    let (host, idle_times) = idle_time_recording_host();
    let program = start_router(host, |text| text);
    let mut client = program.client();
    for id in 0..40 {
        assert_eq!(
            client.request(&["Q.ASK", "k", &id.to_string(), READ]),
            id.to_string()
        );
        // At this rate connections are reused, but never needed within 20 ms of a response.
        thread::sleep(Duration::from_millis(5));
    }
    let idle_times = idle_times.lock().expect("the mutex is not poisoned");
    assert!(
        idle_times.len() > 20,
        "connections are reused: {idle_times:?}"
    );
    assert!(
        idle_times
            .iter()
            .all(|idle_time| *idle_time >= Duration::from_millis(20)),
        "{idle_times:?}"
    );
}

#[test]
fn the_number_of_connections_to_a_host_is_limited() {
    let opened = Arc::new(Mutex::new(0));
    let count = opened.clone();
    let host = spawn_server(move |stream| {
        *count.lock().expect("the mutex is not poisoned") += 1;
        serve_commands(stream, |words| value_reply(&words[2]));
    });
    let program = start_router(host, |text| text);
    let mut client = program.client();
    for id in 0..200 {
        client.request(&["Q.ASK", "k", &id.to_string(), READ]);
    }
    let opened = *opened.lock().expect("the mutex is not poisoned");
    assert!((1..=8).contains(&opened), "{opened}");
}

/// Hosts close connections that are idle for the keepalive time of the settings. A request written at that moment is
/// reset, and a non-idempotent attempt cannot be retried.
#[test]
fn a_connection_idle_for_the_keepalive_time_is_not_reused() {
    let (host, idle_times) = idle_time_recording_host();
    let program = start_router(host, |text| {
        text.replace("\"keepalive\":30000000", "\"keepalive\":300000")
    });
    let mut client = program.client();
    for id in 0..12 {
        // One pause beyond the keepalive time of 300 ms, then two within it.
        let pause_ms = [350, 40, 40][id % 3];
        thread::sleep(Duration::from_millis(pause_ms));
        assert_eq!(
            client.request(&["Q.DO", "k", &id.to_string(), SWITCH]),
            id.to_string()
        );
    }
    let idle_times = idle_times.lock().expect("the mutex is not poisoned");
    assert!(!idle_times.is_empty(), "connections are reused");
    assert!(
        idle_times
            .iter()
            .all(|idle_time| *idle_time < Duration::from_millis(300)),
        "{idle_times:?}"
    );
}

/// What a host sends in response to a non-idempotent attempt, whether it then closes the connection, the time limit in
/// milliseconds, and the client's reply: the value only if it is complete. Other clients lose no response, and the
/// connection is not kept.
#[rstest]
#[case::incomplete_then_closed("*3\r\n$5\r\nab", true, 5000, "-ERR failed")]
#[case::incomplete("*3\r\n$5\r\nab", false, 300, "-ERR failed")]
#[case::two_responses(
    "*3\r\n$3\r\nbad\r\n$-1\r\n$-1\r\n*3\r\n$3\r\nbad\r\n$-1\r\n$-1\r\n",
    false,
    5000,
    "bad"
)]
#[case::one_and_a_half_responses("*3\r\n$3\r\nbad\r\n$-1\r\n$-1\r\n*3\r\n$3", false, 5000, "bad")]
#[case::wrong_type(":5\r\n", false, 5000, "-ERR failed")]
#[case::wrong_length("*3\r\n$2\r\nbad\r\n", false, 5000, "-ERR failed")]
#[case::too_long("*3\r\n$999999\r\n", false, 5000, "-ERR failed")]
#[case::nested_arrays("*1\r\n*1\r\n*1\r\n*1\r\n", false, 5000, "-ERR failed")]
fn a_malformed_response_fails_only_its_own_attempt_and_connection(
    #[case] response: &'static str,
    #[case] closes: bool,
    #[case] time_limit_ms: u32,
    #[case] expected: &str,
) {
    let host = spawn_server(move |stream| {
        serve_commands(
            stream.try_clone().expect("the socket can be cloned"),
            |words| match words[2].as_str() {
                "bad" if closes => {
                    let _ = (&stream).write_all(response.as_bytes());
                    None
                }
                "bad" => Some(response.into()),
                _ => value_reply(&words[2]),
            },
        );
    });
    let program = start_router(host, |text| text);
    let folder = format!("/proc/{}/fd", program.child.id());
    let descriptors = || {
        std::fs::read_dir(&folder)
            .expect("the process runs")
            .count()
    };
    let (mut affected, mut unaffected) = (program.client(), program.client());
    assert_eq!(unaffected.request(&["Q.ASK", "k", "first", READ]), "first");
    let descriptors_before = descriptors();
    for round in 0..3 {
        affected.send(&["Q.DO", "k", "bad", &format!("c=switch,d={time_limit_ms}")]);
        assert_eq!(
            unaffected.request(&["Q.ASK", "k", &round.to_string(), READ]),
            round.to_string()
        );
        // A host that times out is sent fewer requests: later rounds may be rejected without an attempt.
        let reply = affected.reply();
        assert!(
            reply == expected || round > 0 && reply == "-BUSY",
            "{reply}"
        );
    }
    assert_eq!(unaffected.request(&["Q.ASK", "k", "last", READ]), "last");
    // Connections with valid responses are kept; while one pauses after its response another may be opened.
    assert!(
        descriptors() <= descriptors_before + 4,
        "{} and {descriptors_before}",
        descriptors()
    );
}
