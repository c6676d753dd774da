//! Malformed commands, idle clients, and more clients than the router has descriptors for.

mod common;

use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;
use rstest::rstest;

use common::{READ, SWITCH, active_client, echo_host, router_with, router_with_few_sockets};

#[rstest]
#[case::no_array(b"hello\r\n")]
#[case::no_operation(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$5\r\nd=100\r\n")]
#[case::no_time(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$6\r\nc=read\r\n")]
#[case::unknown_operation(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$9\r\nc=no,d=100\r\n")]
#[case::wrong_command(b"*4\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$1\r\ni\r\n$12\r\nc=read,d=100\r\n")]
#[case::too_many_words(b"*99\r\n")]
#[case::too_long(b"*5\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$1\r\ni\r\n$14\r\nc=switch,d=100\r\n$70000\r\n")]
#[case::negative(b"*1\r\n$-5\r\n")]
#[case::number_without_end(b"*5555555555555555555555555555555")]
#[case::noise_for_a_number(b"*4\r\n$5\r\nQ.ASK\r\n$noise")]
#[case::no_id(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$0\r\n\r\n$12\r\nc=read,d=100\r\n")]
#[case::no_number(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$13\r\nc=read,d=+100\r\n")]
#[case::time_beyond_sense(
    b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$18\r\nc=read,d=999999999\r\n"
)]
#[case::two_times(b"*4\r\n$5\r\nQ.ASK\r\n$1\r\nk\r\n$1\r\ni\r\n$16\r\nc=read,d=10,d=20\r\n")]
fn a_malformed_command_closes_only_its_own_connection(#[case] bytes: &[u8]) {
    let (program, _lists) = router_with(&[("a", echo_host().expect("a host"), "Ready")]);
    let (mut bad, mut good) = (program.client(), program.client());
    bad.write(bytes);
    assert!(bad.reply().starts_with("-ERR"));
    assert_eq!(bad.reply(), "", "the connection is closed");
    assert_eq!(good.request(&["Q.ASK", "k", "id", READ]), "of id");
}

/// Bytes that are no whole command; whoever sends them, or nothing, is turned away soon after connecting.
#[rstest]
#[case::silent(b"", "")]
#[case::half_a_command(b"*4\r\n$5\r\nQ.A", "-ERR a command does not end")]
fn a_client_without_a_complete_command_is_disconnected_in_time(
    #[case] bytes: &[u8],
    #[case] told: &str,
) {
    let (program, _lists) = router_with(&[("a", echo_host().expect("a host"), "Ready")]);
    let (since, mut bad) = (std::time::Instant::now(), program.client());
    bad.write(bytes);
    assert_eq!(bad.reply(), told);
    assert!(since.elapsed() < Duration::from_secs(3));
}

#[test]
fn a_client_rejected_within_a_long_value_can_read_the_error() {
    let (program, _lists) = router_with(&[]);
    let mut bad = program.client();
    bad.write(b"*4\r\n$5\r\nQ.ASK\r\n$60000000\r\n");
    // What comes after the error would, unread, make a reset of the close.
    bad.write(&[7; 100_000]);
    thread::sleep(Duration::from_millis(100));
    assert_eq!(bad.reply(), "-ERR a bulk string is too long");
    assert_eq!(bad.reply(), "");
}

#[test]
fn silent_connections_are_closed_before_those_of_active_clients() {
    let (_lists, program) = router_with_few_sockets(echo_host().expect("a host"));
    let mut usual = active_client(&program);
    let mut silent: Vec<_> = (0..40).map(|_| program.client()).collect();
    assert_eq!(silent[0].reply(), "", "closed for want of room");
    assert_eq!(usual.request(&["Q.ASK", "k", "two", READ]), "of two");
}

#[test]
fn idle_clients_with_one_request_keep_no_other_client_out() {
    let (_lists, program) = router_with_few_sockets(echo_host().expect("a host"));
    let mut usual = active_client(&program);
    // There is room for eight connections in all.
    let mut once: Vec<_> = (0..4).map(|_| program.client()).collect();
    for (id, client) in once.iter_mut().enumerate() {
        assert_eq!(
            client.request(&["Q.ASK", "k", &id.to_string(), READ]),
            format!("of {id}")
        );
    }
    thread::sleep(Duration::from_millis(300));
    let _next = program.client();
    assert_eq!(
        once[0].reply(),
        "",
        "closed, for the client to connect anew when it asks again"
    );
    assert_eq!(usual.request(&["Q.ASK", "k", "two", READ]), "of two");
}

#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let (lists, program) = router_with_few_sockets(echo_host().expect("a host"));
    let mut clients: Vec<_> = (0..40).map(|_| program.client()).collect();
    // Those without use make room for those that come; who was closed finds out and comes again.
    let last = clients.last_mut().expect("clients");
    assert_eq!(last.request(&["Q.ASK", "k", "id", READ]), "of id");
    assert_eq!(
        clients[0].reply(),
        "",
        "the first has been without use for longest"
    );
    drop(lists);
}

#[test]
fn a_client_is_rejected_at_once_while_all_descriptors_are_in_use() {
    let ((taken, met), (release, wait)) = (channel::<()>(), channel::<()>());
    let (taken, wait) = (Mutex::new(taken), Mutex::new(wait));
    let at = fake_host(move |_| {
        let _ = taken.lock().expect("no panic before").send(());
        let _ = wait
            .lock()
            .expect("no panic before")
            .recv_timeout(TEST_TIMEOUT);
        value_reply("held")
    });
    let (_lists, program) = router_with_few_sockets(at);
    let mut held: Vec<_> = (0..6).map(|_| program.client()).collect();
    for (id, client) in held.iter_mut().enumerate() {
        client.send(&["Q.ASK", "k", &format!("held-{id}"), READ]);
        met.recv_timeout(TEST_TIMEOUT).expect("the host has it");
    }
    for _ in 0..20 {
        assert_eq!(
            program.client().request(&["Q.DO", "k", "late", SWITCH]),
            "-BUSY"
        );
    }
    drop(release);
    assert!(held.iter_mut().all(|client| client.reply() == "held"));
}

#[test]
fn a_flood_of_malformed_commands_logs_few_lines() {
    let (mut program, _lists) = router_with(&[("a", echo_host().expect("a host"), "Ready")]);
    for _ in 0..100 {
        let mut bad = program.client();
        bad.write(b"?\r\n");
        assert!(bad.reply().starts_with("-ERR"));
    }
    program.signal("TERM");
    let lines = program.log_lines_until("stopped");
    assert!(program.child.wait().expect("an end").success());
    let told = lines
        .iter()
        .filter(|line| line.contains("malformed, its"))
        .count();
    assert!((1..100).contains(&told), "{told}");
}
