//! How requests and responses pass the router between clients and hosts.

mod common;

use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

use kestreltide_testkit::*;
use rstest::rstest;

use common::{READ, SWITCH, router_with};

#[test]
fn a_command_is_forwarded_with_its_remaining_time_and_the_value_returned_unaltered() {
    let seen = Arc::new(Mutex::new(vec![]));
    let record = seen.clone();
    let at = fake_host(move |words| {
        record.lock().expect("no panic before").push(words.to_vec());
        value_reply("a\r\nb")
    });
    let (program, _lists) = router_with(&[("a", at, "Ready")]);
    let answer =
        program
            .client()
            .request(&["Q.DO", "key", "id", "x=1,c=switch,d=5000,k=5c,r=1", "BODY"]);
    assert_eq!(answer, "a\r\nb");
    let seen = seen.lock().expect("no panic before");
    let [words] = seen.as_slice() else {
        panic!("one dispatch: {seen:?}")
    };
    let time = words[3]
        .strip_prefix("x=1,c=switch,d=")
        .and_then(|rest| rest.strip_suffix(",k=5c,r=1"));
    let time: u32 = time
        .and_then(|time| time.parse().ok())
        .expect("the list as it was sent");
    assert!((1..=5000).contains(&time), "{time}");
    assert_eq!(
        [&words[0], &words[1], &words[2], &words[4]],
        ["Q.DO", "key", "id", "BODY"]
    );
}

#[test]
fn pipelined_commands_are_answered_in_order() {
    // The first answer comes only after the second host connection has answered.
    let (done, wait) = channel::<()>();
    let (done, wait) = (Mutex::new(done), Mutex::new(wait));
    let at = fake_host(move |words| {
        match words[2].as_str() {
            "one" => drop(
                wait.lock()
                    .expect("no panic before")
                    .recv_timeout(TEST_TIMEOUT),
            ),
            _ => drop(done.lock().expect("no panic before").send(())),
        }
        value_reply(&words[2])
    });
    let (program, _lists) = router_with(&[("a", at, "Ready")]);
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "one", READ]);
    client.send(&["Q.ASK", "k", "two", READ]);
    client.send(&["PING"]);
    assert_eq!([client.reply(), client.reply()], ["one", "two"]);
    assert!(
        client.reply().starts_with("-ERR"),
        "not ready yet, and after the others"
    );
}

/// What a host does with every command, and what the client of a side-effecting operation is told: throttled
/// only where nothing can have run.
#[rstest]
#[case::turned_away(Some("-BUSY\r\n"), "-BUSY")]
#[case::error(Some("-ERR failed\r\n"), "-ERR failed")]
#[case::refused_form(Some("-SYNTAX\r\n"), "-ERR failed")]
#[case::no_value(Some("*2\r\n$-1\r\n$-1\r\n"), "-ERR failed")]
#[case::malformed(Some("?what\r\n"), "-ERR failed")]
#[case::too_long(Some("*1\r\n$99999999\r\n"), "-ERR failed")]
#[case::reset_after_the_last_byte(None, "-ERR failed")]
fn a_non_idempotent_request_is_shed_only_where_it_never_ran(
    #[case] does: Option<&'static str>,
    #[case] told: &str,
) {
    let (program, _lists) =
        router_with(&[("a", fake_host(move |_| does.map(str::to_owned)), "Ready")]);
    assert_eq!(program.client().request(&["Q.DO", "k", "id", SWITCH]), told);
}

#[test]
fn a_duplicate_id_never_gets_the_response_of_the_open_request() {
    let ((taken, met), (release, wait)) = (channel::<()>(), channel::<()>());
    let (taken, wait) = (Mutex::new(taken), Mutex::new(wait));
    let at = fake_host(move |words| {
        let _ = taken.lock().expect("no panic before").send(());
        let _ = wait
            .lock()
            .expect("no panic before")
            .recv_timeout(TEST_TIMEOUT);
        value_reply(&words[2])
    });
    let (program, _lists) = router_with(&[("a", at, "Ready")]);
    let (mut usual, mut bad) = (program.client(), program.client());
    usual.send(&["Q.ASK", "k", "mine", READ]);
    met.recv_timeout(TEST_TIMEOUT).expect("the host has it");
    assert_eq!(
        bad.request(&["Q.ASK", "k", "mine", READ]),
        "-ERR the id is that of an open invocation"
    );
    drop(release);
    assert_eq!(usual.reply(), "mine");
    assert_eq!(
        bad.request(&["Q.ASK", "k", "its-own", READ]),
        "its-own",
        "it keeps its connection"
    );
    // Its use is over with its answer.
    assert_eq!(usual.request(&["Q.ASK", "k", "mine", READ]), "mine");
}
