//! Forwarding of requests to hosts and of responses to clients.

mod common;

use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

use kestreltide_testkit::*;
use rstest::rstest;

use common::{READ, SWITCH, start_router_with_hosts};

#[test]
fn a_command_is_forwarded_with_its_remaining_time_and_the_value_returned_unaltered() {
    let commands = Arc::new(Mutex::new(vec![]));
    let recorded = commands.clone();
    let host = fake_host(move |words| {
        recorded
            .lock()
            .expect("the mutex is not poisoned")
            .push(words.to_vec());
        value_reply("a\r\nb")
    });
    let (program, _lists) = start_router_with_hosts(&[("a", host, "Ready")]);
    let answer =
        program
            .client()
            .request(&["Q.DO", "key", "id", "x=1,c=switch,d=5000,k=5c,r=1", "BODY"]);
    assert_eq!(answer, "a\r\nb");
    let commands = commands.lock().expect("the mutex is not poisoned");
    let [words] = commands.as_slice() else {
        panic!("one attempt: {commands:?}")
    };
    let time_limit_ms = words[3]
        .strip_prefix("x=1,c=switch,d=")
        .and_then(|rest| rest.strip_suffix(",k=5c,r=1"));
    let time_limit_ms: u32 = time_limit_ms
        .and_then(|time_limit_ms| time_limit_ms.parse().ok())
        .expect("the attributes are otherwise as sent");
    assert!((1..=5000).contains(&time_limit_ms), "{time_limit_ms}");
    assert_eq!(
        [&words[0], &words[1], &words[2], &words[4]],
        ["Q.DO", "key", "id", "BODY"]
    );
}

#[test]
fn pipelined_commands_are_answered_in_order() {
    // The host answers the first request only after it has received the second one on another connection.
    let (second_received_sender, second_received) = channel::<()>();
    let (second_received_sender, second_received) = (
        Mutex::new(second_received_sender),
        Mutex::new(second_received),
    );
    let host = fake_host(move |words| {
        match words[2].as_str() {
            "one" => drop(
                second_received
                    .lock()
                    .expect("the mutex is not poisoned")
                    .recv_timeout(TEST_TIMEOUT),
            ),
            _ => drop(
                second_received_sender
                    .lock()
                    .expect("the mutex is not poisoned")
                    .send(()),
            ),
        }
        value_reply(&words[2])
    });
    let (program, _lists) = start_router_with_hosts(&[("a", host, "Ready")]);
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "one", READ]);
    client.send(&["Q.ASK", "k", "two", READ]);
    client.send(&["PING"]);
    assert_eq!([client.reply(), client.reply()], ["one", "two"]);
    assert!(
        client.reply().starts_with("-ERR"),
        "the router is not ready yet, and answers in order"
    );
}

/// The response of the host to a non-idempotent request and the reply to its client: `-BUSY`, which invites a retry,
/// only if the operation cannot have run.
#[rstest]
#[case::busy(Some("-BUSY\r\n"), "-BUSY")]
#[case::error(Some("-ERR failed\r\n"), "-ERR failed")]
#[case::syntax_error(Some("-SYNTAX\r\n"), "-ERR failed")]
#[case::null_value(Some("*2\r\n$-1\r\n$-1\r\n"), "-ERR failed")]
#[case::malformed(Some("?what\r\n"), "-ERR failed")]
#[case::too_long(Some("*1\r\n$99999999\r\n"), "-ERR failed")]
#[case::reset_after_the_last_byte(None, "-ERR failed")]
fn a_non_idempotent_request_is_shed_only_where_it_never_ran(
    #[case] host_response: Option<&'static str>,
    #[case] expected: &str,
) {
    let (program, _lists) = start_router_with_hosts(&[(
        "a",
        fake_host(move |_| host_response.map(str::to_owned)),
        "Ready",
    )]);
    assert_eq!(
        program.client().request(&["Q.DO", "k", "id", SWITCH]),
        expected
    );
}

#[test]
fn a_duplicate_id_never_gets_the_response_of_the_open_request() {
    let ((received_sender, received), (release, released)) = (channel::<()>(), channel::<()>());
    let (received_sender, released) = (Mutex::new(received_sender), Mutex::new(released));
    let host = fake_host(move |words| {
        let _ = received_sender
            .lock()
            .expect("the mutex is not poisoned")
            .send(());
        let _ = released
            .lock()
            .expect("the mutex is not poisoned")
            .recv_timeout(TEST_TIMEOUT);
        value_reply(&words[2])
    });
    let (program, _lists) = start_router_with_hosts(&[("a", host, "Ready")]);
    let (mut holder, mut duplicate) = (program.client(), program.client());
    holder.send(&["Q.ASK", "k", "mine", READ]);
    received
        .recv_timeout(TEST_TIMEOUT)
        .expect("the host receives the request");
    assert_eq!(
        duplicate.request(&["Q.ASK", "k", "mine", READ]),
        "-ERR the id is that of an open invocation"
    );
    drop(release);
    assert_eq!(holder.reply(), "mine");
    assert_eq!(
        duplicate.request(&["Q.ASK", "k", "its-own", READ]),
        "its-own",
        "the rejected client keeps its connection"
    );
    // The id is free again once its request has been answered.
    assert_eq!(holder.request(&["Q.ASK", "k", "mine", READ]), "mine");
}
