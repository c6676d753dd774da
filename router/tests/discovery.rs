//! Endpoint lists from discovery, watched or polled: readiness, retries, stale changes, and time limits of responses.

mod common;

use std::io::{BufRead, Read, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;

use common::{BINARY, READ, echo_host, start_router_with_hosts};

#[test]
fn a_router_serves_from_the_cached_list_and_is_ready_once_discovery_has_answered() {
    let hosts = [("a", echo_host().expect("a host"), "Ready")];
    let (program, lists) = start_router_with_hosts(&hosts);
    let mut client = program.client();
    assert!(client.request(&["PING"]).starts_with("-ERR"));
    assert_eq!(client.request(&["Q.ASK", "k", "id", READ]), "of id");
    lists
        .send(endpoint_list(2, true, &hosts))
        .expect("fake discovery runs");
    program.wait_for_log("ready");
    assert_eq!(client.request(&["PING"]), "+PONG");
}

#[test]
fn a_stopping_host_gets_no_new_requests() {
    let named_host = |name: &'static str| fake_host(move |_| value_reply(name));
    let (a, b) = (named_host("a"), named_host("b"));
    let (program, lists) = start_router_with_hosts(&[("a", a, "Ready"), ("b", b, "Ready")]);
    lists
        .send(endpoint_list(
            2,
            true,
            &[("a", a, "Ready"), ("b", b, "Ready")],
        ))
        .expect("fake discovery runs");
    lists
        .send(endpoint_list(3, false, &[("a", a, "Terminating")]))
        .expect("fake discovery runs");
    program.wait_for_log("Delta");
    let mut client = program.client();
    let replies = (0..20).map(|id| client.request(&["Q.ASK", "k", &id.to_string(), READ]));
    assert!(replies.into_iter().all(|reply| reply == "b"));
}

#[test]
fn discovery_is_polled_again_after_a_malformed_response() {
    let hosts = [("a", echo_host().expect("a host"), "Ready")];
    let (program, lists) = start_router_with_hosts(&[]);
    lists.send("no list".into()).expect("fake discovery runs");
    program.wait_for_log("discovery request failed");
    lists
        .send(endpoint_list(2, true, &hosts))
        .expect("fake discovery runs");
    program.wait_for_log("ready");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

#[test]
fn a_stalled_discovery_response_times_out_sooner_than_a_quiet_watch() {
    let (arrival_sender, second_request) = channel();
    let (arrival_sender, connections) = (Mutex::new(arrival_sender), AtomicU32::new(0));
    let discovery = spawn_server(move |mut stream| {
        if connections.fetch_add(1, Relaxed) == 0 {
            let _ = std::io::Write::write_all(
                &mut stream,
                b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{",
            );
        } else {
            let _ = arrival_sender
                .lock()
                .expect("the mutex is not poisoned")
                .send(std::time::Instant::now());
        }
        let _ = stream.read_to_end(&mut vec![]);
    });
    let started_at = std::time::Instant::now();
    let _program = RouterProcess::start(
        BINARY,
        &router_config(discovery, &endpoint_list(1, true, &[])),
    );
    let second_request_at = second_request
        .recv_timeout(TEST_TIMEOUT)
        .expect("the router sends another request");
    assert!(
        second_request_at - started_at < Duration::from_millis(900),
        "a quiet first request may take 1 s, a stalled response less"
    );
}

#[test]
fn changes_older_than_the_list_are_ignored() {
    let named_host = |name: &'static str| fake_host(move |_| value_reply(name));
    let (a, b) = (named_host("a"), named_host("b"));
    let (program, lists) = start_router_with_hosts(&[]);
    lists
        .send(endpoint_list(
            5,
            true,
            &[("a", a, "Ready"), ("b", b, "Ready")],
        ))
        .expect("fake discovery runs");
    lists
        .send(endpoint_list(4, false, &[("a", a, "Terminating")]))
        .expect("fake discovery runs");
    lists
        .send(endpoint_list(6, false, &[("b", b, "Terminating")]))
        .expect("fake discovery runs");
    program.wait_for_log("rev: 6");
    let mut client = program.client();
    assert!((0..10).all(|id| client.request(&["Q.ASK", "k", &id.to_string(), READ]) == "a"));
}

#[test]
fn in_polling_mode_discovery_is_polled_again_after_a_failure() {
    let (lists, answers) = channel();
    let text = router_config(fake_discovery(answers), &endpoint_list(1, true, &[]));
    let program = RouterProcess::start(BINARY, &text.replace("\"push\"", "\"ask\""));
    lists.send("no list".into()).expect("fake discovery runs");
    program.wait_for_log("discovery request failed");
    let hosts = [("a", echo_host().expect("a host"), "Ready")];
    lists
        .send(endpoint_list(2, true, &hosts))
        .expect("fake discovery runs");
    program.wait_for_log("rev: 2");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

#[test]
fn a_slow_discovery_is_polled_once_from_the_known_revision() {
    let (request_sender, requests) = channel();
    let request_sender = Mutex::new(request_sender);
    let changes = endpoint_list(2, false, &[("a", echo_host().expect("a host"), "Ready")]);
    let discovery = spawn_server(move |stream| {
        let mut lines = std::io::BufReader::new(&stream).lines();
        while let Some(Ok(request_line)) = lines.next() {
            if !lines
                .by_ref()
                .map_while(Result::ok)
                .any(|line| line.is_empty())
            {
                return;
            }
            let _ = request_sender
                .lock()
                .expect("the mutex is not poisoned")
                .send(request_line);
            // Discovery serves other routers' requests first; the router must not add more requests of its own meanwhile.
            thread::sleep(Duration::from_millis(1500));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                changes.len()
            );
            let _ = (&stream).write_all((head + &changes).as_bytes());
        }
    });
    let program = RouterProcess::start(
        BINARY,
        &router_config(discovery, &endpoint_list(1, true, &[])).replace("\"push\"", "\"ask\""),
    );
    program.wait_for_log("rev: 2");
    let polled: Vec<String> = requests.try_iter().collect();
    let from_a_known_revision =
        |request: &&String| request.contains("from=1&hold_ms=0") || request.contains("from=2&");
    assert_eq!(
        polled
            .iter()
            .filter(|request| request.contains("from=1&"))
            .count(),
        1,
        "{polled:?}"
    );
    assert!(
        polled.iter().all(|request| from_a_known_revision(&request)),
        "{polled:?}"
    );
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

/// Without a cached list, a platform and clients, only a timer of the router's own can start the first poll.
#[test]
fn in_polling_mode_a_router_without_a_cached_list_polls_discovery() {
    let host = echo_host().expect("a host");
    let list = endpoint_list(1, true, &[("a", host, "Ready")]);
    let discovery = Discovery::start(1, list.clone());
    let config = router_config(discovery.at, &list)
        .replace("\"discovery\":\"push\"", "\"discovery\":\"ask\"")
        .replace(&format!("\"known\":{list},"), "");
    assert!(!config.contains("known") && config.contains("\"ask\""));
    let program = RouterProcess::start(BINARY, &config);
    program.wait_for_log("endpoint list applied");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

/// In polling mode the cached list may be outdated and the first poll may be late. The router must not report itself
/// ready to clients before discovery has answered; a rollout status from the platform does not make it ready.
#[test]
fn in_polling_mode_a_router_is_ready_once_discovery_has_answered() {
    let host = echo_host().expect("a host");
    let list = endpoint_list(1, true, &[("a", host, "Ready")]);
    let (lists, answers) = channel();
    let platform = Platform::start(RolloutState {
        build: 7,
        stage: 0,
        progress: "live",
        cap: 1.0,
    });
    let with_platform = format!(
        "\"platform\":{{\"address\":\"{}\"}},\"settings\"",
        platform.at
    );
    let config = router_config(fake_discovery(answers), &list)
        .replace("\"discovery\":\"push\"", "\"discovery\":\"ask\"")
        .replace("\"settings\"", &with_platform);
    let program = RouterProcess::start(BINARY, &config);
    program.wait_for_log_since_start("rollout status");
    let mut client = program.client();
    assert!(client.request(&["PING"]).starts_with("-ERR"));
    lists
        .send(endpoint_list(2, true, &[("a", host, "Ready")]))
        .expect("fake discovery runs");
    program.wait_for_log("ready");
    assert_eq!(client.request(&["PING"]), "+PONG");
}

#[test]
fn in_polling_mode_a_router_is_ready_after_a_timeout_if_discovery_fails() {
    let host = echo_host().expect("a host");
    let list = endpoint_list(1, true, &[("a", host, "Ready")]);
    let config = router_config(unused_address(), &list)
        .replace("\"discovery\":\"push\"", "\"discovery\":\"ask\"");
    let program = RouterProcess::start(BINARY, &config);
    assert!(program.wait_for_log("ready").contains("by: time"));
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}
