//! Malformed and incomplete commands, idle clients, and more clients than the router has descriptors for.

mod common;

use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;
use rstest::rstest;

use common::{
    READ, SWITCH, active_client, echo_host, start_router_with_few_sockets, start_router_with_hosts,
};

#[rstest]
#[case::not_an_array(b"hello\r\n")]
#[case::no_operation(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$5\r\nd=100\r\n")]
#[case::no_time(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$6\r\nc=read\r\n")]
#[case::unknown_operation(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$9\r\nc=no,d=100\r\n")]
#[case::wrong_command(b"*4\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$1\r\ni\r\n$12\r\nc=read,d=100\r\n")]
#[case::too_many_words(b"*99\r\n")]
#[case::value_too_long(
    b"*5\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$1\r\ni\r\n$14\r\nc=switch,d=100\r\n$70000\r\n"
)]
#[case::negative_length(b"*1\r\n$-5\r\n")]
#[case::unterminated_count(b"*5555555555555555555555555555555")]
#[case::length_not_a_number(b"*4\r\n$5\r\nQ.ASK\r\n$noise")]
#[case::no_id(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$0\r\n\r\n$12\r\nc=read,d=100\r\n")]
#[case::time_with_a_sign(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$13\r\nc=read,d=+100\r\n")]
#[case::time_too_long(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$18\r\nc=read,d=999999999\r\n")]
#[case::two_times(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$16\r\nc=read,d=10,d=20\r\n")]
fn a_malformed_command_closes_only_its_own_connection(#[case] bytes: &[u8]) {
    let (program, _lists) =
        start_router_with_hosts(&[("a", echo_host().expect("a host"), "Ready")]);
    let (mut malformed, mut valid) = (program.client(), program.client());
    malformed.write(bytes);
    assert!(malformed.reply().starts_with("-ERR"));
    assert_eq!(malformed.reply(), "", "the connection is closed");
    assert_eq!(valid.request(&["Q.ASK", "k", "id", READ]), "of id");
}

/// A client that sends nothing or only part of a command is disconnected within 3 s of connecting.
#[rstest]
#[case::no_bytes(b"", "")]
#[case::half_a_command(b"*4\r\n$5\r\nQ.A", "-ERR a command does not end")]
fn a_client_without_a_complete_command_is_disconnected_in_time(
    #[case] bytes: &[u8],
    #[case] expected: &str,
) {
    let (program, _lists) =
        start_router_with_hosts(&[("a", echo_host().expect("a host"), "Ready")]);
    let (connected_at, mut client) = (std::time::Instant::now(), program.client());
    client.write(bytes);
    assert_eq!(client.reply(), expected);
    assert!(connected_at.elapsed() < Duration::from_secs(3));
}

#[test]
fn a_client_rejected_within_a_long_value_can_read_the_error() {
    let (program, _lists) = start_router_with_hosts(&[]);
    let mut client = program.client();
    client.write(b"*4\r\n$5\r\nQ.ASK\r\n$60000000\r\n");
    // Bytes that are unread when the router closes would turn the close into a reset.
    client.write(&[7; 100_000]);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(client.reply(), "-ERR a bulk string is too long");
    assert_eq!(client.reply(), "");
}

#[test]
fn silent_connections_are_closed_before_those_of_active_clients() {
    let (_lists, program) = start_router_with_few_sockets(echo_host().expect("a host"));
    let mut active = active_client(&program);
    let mut silent: Vec<_> = (0..40).map(|_| program.client()).collect();
    assert_eq!(
        silent[0].reply(),
        "",
        "the oldest silent connection is closed to free a descriptor"
    );
    assert_eq!(active.request(&["Q.ASK", "k", "two", READ]), "of two");
}

#[test]
fn idle_clients_with_one_request_keep_no_other_client_out() {
    let (_lists, program) = start_router_with_few_sockets(echo_host().expect("a host"));
    let mut active = active_client(&program);
    // The router accepts eight connections in all.
    let mut idle: Vec<_> = (0..4).map(|_| program.client()).collect();
    for (id, client) in idle.iter_mut().enumerate() {
        assert_eq!(
            client.request(&["Q.ASK", "k", &id.to_string(), READ]),
            format!("of {id}")
        );
    }
    thread::sleep(Duration::from_millis(300));
    let _newcomer = program.client();
    assert_eq!(
        idle[0].reply(),
        "",
        "closed; the client reconnects for its next request"
    );
    assert_eq!(active.request(&["Q.ASK", "k", "two", READ]), "of two");
}

#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let (lists, program) = start_router_with_few_sockets(echo_host().expect("a host"));
    let mut clients: Vec<_> = (0..40).map(|_| program.client()).collect();
    // The longest idle connections are closed for new ones; their clients see the close and can reconnect.
    let last = clients.last_mut().expect("clients");
    assert_eq!(last.request(&["Q.ASK", "k", "id", READ]), "of id");
    assert_eq!(
        clients[0].reply(),
        "",
        "the first connection has been idle for longest"
    );
    drop(lists);
}

#[test]
fn a_client_is_rejected_at_once_while_all_descriptors_are_in_use() {
    let ((received_sender, received), (release, released)) = (channel::<()>(), channel::<()>());
    let (received_sender, released) = (Mutex::new(received_sender), Mutex::new(released));
    let host = fake_host(move |_| {
        let _ = received_sender
            .lock()
            .expect("the mutex is not poisoned")
            .send(());
        let _ = released
            .lock()
            .expect("the mutex is not poisoned")
            .recv_timeout(TEST_TIMEOUT);
        value_reply("held")
    });
    let (_lists, program) = start_router_with_few_sockets(host);
    let mut held_clients: Vec<_> = (0..6).map(|_| program.client()).collect();
    for (id, client) in held_clients.iter_mut().enumerate() {
        client.send(&["Q.ASK", "k", &format!("held-{id}"), READ]);
        received
            .recv_timeout(TEST_TIMEOUT)
            .expect("the host receives the request");
    }
    for _ in 0..20 {
        assert_eq!(
            program.client().request(&["Q.DO", "k", "late", SWITCH]),
            "-BUSY"
        );
    }
    drop(release);
    assert!(
        held_clients
            .iter_mut()
            .all(|client| client.reply() == "held")
    );
}

#[test]
fn a_flood_of_malformed_commands_logs_few_lines() {
    let (mut program, _lists) =
        start_router_with_hosts(&[("a", echo_host().expect("a host"), "Ready")]);
    for _ in 0..100 {
        let mut client = program.client();
        client.write(b"?\r\n");
        assert!(client.reply().starts_with("-ERR"));
    }
    program.signal("TERM");
    let lines = program.log_lines_until("stopped");
    assert!(program.child.wait().expect("the process exits").success());
    let logged = lines
        .iter()
        .filter(|line| line.contains("malformed command"))
        .count();
    assert!((1..100).contains(&logged), "{logged}");
}
