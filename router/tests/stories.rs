//! Short stories of the real router, one for each failure met, against tiny fakes on loopback sockets.

use std::io::{BufRead, Read, Write};
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kestreltide_router::limits::{RespLimits, ResponseLimits};
use kestreltide_router::protocol::{client, discovery, host, platform};
use kestreltide_testkit::*;
use rstest::rstest;

const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
const READ: &str = "c=read,d=5000";
const SWITCH: &str = "c=switch,d=5000";

/// A router that knows these hosts, whose discovery answers with what the sender is given.
fn router_with(hosts: &[(&str, std::net::SocketAddr, &str)]) -> (Program, Sender<String>) {
    let (lists, answers) = channel();
    let known = endpoint_list(1, true, hosts);
    let program = Program::start(BINARY, &router_config(fake_discovery(answers), &known));
    (program, lists)
}

/// A router with room for few connections that knows one host.
fn router_with_few_sockets(host: std::net::SocketAddr) -> (Sender<String>, Program) {
    let (lists, answers) = channel();
    let few = router_config(
        fake_discovery(answers),
        &endpoint_list(1, true, &[("a", host, "Ready")]),
    );
    let program = Program::start(BINARY, &few.replace("\"sockets\":256", "\"sockets\":48"));
    (lists, program)
}

/// A client that has asked more than once on its connection.
fn usual_client(program: &Program) -> Client {
    let mut usual = program.client();
    for id in ["one", "again"] {
        assert_eq!(usual.request(&["Q.ASK", "k", id, READ]), format!("of {id}"));
    }
    usual
}

/// A host that answers all at once with a value that names the invocation.
fn well() -> Option<std::net::SocketAddr> {
    Some(fake_host(|words| value_reply(&format!("of {}", words[2]))))
}

#[test]
fn a_command_reaches_the_host_as_sent_but_for_its_time_and_its_value_the_client_unaltered() {
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
fn pipelined_commands_are_answered_in_their_order() {
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
fn a_side_effecting_invocation_is_throttled_only_where_it_never_ran(
    #[case] does: Option<&'static str>,
    #[case] told: &str,
) {
    let (program, _lists) =
        router_with(&[("a", fake_host(move |_| does.map(str::to_owned)), "Ready")]);
    assert_eq!(program.client().request(&["Q.DO", "k", "id", SWITCH]), told);
}

#[test]
fn spoilt_answers_that_come_at_once_do_not_narrow_what_is_kept_open() {
    let ((taken, met), (release, wait)) = (channel::<()>(), channel::<()>());
    let (taken, wait) = (Mutex::new(taken), Arc::new(Mutex::new(wait)));
    let at = fake_host(move |words| {
        if words[2].starts_with("spoilt") {
            return Some("*1\r\n$4\r\nabcdefgh\r\n".into());
        }
        let _ = taken.lock().expect("no panic before").send(());
        let _ = wait
            .lock()
            .expect("no panic before")
            .recv_timeout(TEST_TIMEOUT);
        value_reply("well")
    });
    let (program, _lists) = router_with(&[("a", at, "Ready")]);
    let mut client = program.client();
    for id in 0..20 {
        assert_eq!(
            client.request(&["Q.DO", "k", &format!("spoilt-{id}"), SWITCH]),
            "-ERR failed"
        );
    }
    let mut clients: Vec<_> = (0..5).map(|_| program.client()).collect();
    let send =
        |(id, client): (usize, &mut Client)| client.send(&["Q.DO", "k", &id.to_string(), SWITCH]);
    clients.iter_mut().enumerate().for_each(send);
    (0..5).for_each(|_| {
        met.recv_timeout(TEST_TIMEOUT)
            .expect("the host has all five")
    });
    drop(release);
    assert!(clients.iter_mut().all(|client| client.reply() == "well"));
}

#[test]
fn a_host_that_cannot_be_reached_never_ran_anything() {
    let (program, _lists) = router_with(&[("a", unused_address(), "Ready")]);
    assert_eq!(
        program.client().request(&["Q.DO", "k", "id", SWITCH]),
        "-BUSY"
    );
}

#[test]
fn a_host_with_an_impossible_address_costs_no_other_its_connections() {
    let opened = Arc::new(AtomicU32::new(0));
    let count = opened.clone();
    let at = spawn_server(move |stream| {
        count.fetch_add(1, Relaxed);
        serve_commands(stream, |_| value_reply("well"));
    });
    let (program, lists) = router_with(&[("a", at, "Ready")]);
    let mut client = program.client();
    client.request(&["Q.ASK", "k", "first", READ]);
    // To a broadcast address a connection fails in the call itself, as it does for want of descriptors.
    let nowhere = ([127, 255, 255, 255], 9).into();
    let hosts = [
        ("a", at, "Ready"),
        ("b", nowhere, "Ready"),
        ("c", nowhere, "Ready"),
    ];
    lists
        .send(endpoint_list(2, true, &hosts))
        .expect("discovery lives");
    program.wait_for_log("Full");
    for id in 0..30 {
        // A connection rests a while after its last answer; used sooner, another would be opened.
        thread::sleep(Duration::from_millis(25));
        client.request(&["Q.ASK", "k", &id.to_string(), READ]);
    }
    assert_eq!(opened.load(Relaxed), 1);
}

#[test]
fn a_host_that_moved_is_not_met_on_a_connection_to_its_old_address() {
    let ((taken, met), (slow, wait)) = (channel::<()>(), channel::<()>());
    let (taken, wait) = (Mutex::new(taken), Mutex::new(wait));
    let old = fake_host(move |_| {
        let _ = taken.lock().expect("no panic before").send(());
        let _ = wait
            .lock()
            .expect("no panic before")
            .recv_timeout(TEST_TIMEOUT);
        value_reply("old")
    });
    let (program, lists) = router_with(&[("a", old, "Ready")]);
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "one", READ]);
    met.recv_timeout(TEST_TIMEOUT).expect("the old host has it");
    lists
        .send(endpoint_list(
            2,
            true,
            &[("a", fake_host(|_| value_reply("new")), "Ready")],
        ))
        .expect("discovery lives");
    program.wait_for_log("Full");
    // From now on it answers at once.
    drop(slow);
    assert_eq!(client.reply(), "old");
    assert_eq!(client.request(&["Q.ASK", "k", "two", READ]), "new");
}

#[test]
fn connections_lost_unseen_after_some_time_without_use_are_hardly_used_any_more() {
    let lost = Arc::new(AtomicU32::new(0));
    let count = lost.clone();
    let at = spawn_server(move |stream| {
        let last = Mutex::new(None);
        serve_commands(stream, |words| {
            let last = last
                .lock()
                .expect("no panic before")
                .replace(std::time::Instant::now());
            let unused = last.is_some_and(|last| last.elapsed() > Duration::from_millis(100));
            count.fetch_add(u32::from(unused), Relaxed);
            if unused { None } else { value_reply(&words[2]) }
        });
    });
    let (program, _lists) = router_with(&[("a", at, "Ready")]);
    let mut client = program.client();
    let mut ask = |id: u32| {
        thread::sleep(Duration::from_millis(110));
        assert_eq!(
            client.request(&["Q.ASK", "k", &id.to_string(), READ]),
            id.to_string(),
            "it is sent again"
        );
    };
    (0..25).for_each(&mut ask);
    // It is tried again at times; each use after the first would be lost.
    let lost = lost.load(Relaxed);
    assert!((1..12).contains(&lost), "{lost}");
}

#[test]
fn a_silent_host_is_given_up_in_time_and_its_connection_closed() {
    let (closed, seen) = channel();
    let closed = Mutex::new(closed);
    let at = spawn_server(move |mut stream| {
        let mut all = vec![];
        let _ = stream.read_to_end(&mut all);
        let _ = closed.lock().expect("no panic before").send(all);
    });
    let (program, _lists) = router_with(&[("a", at, "Ready")]);
    assert_eq!(
        program
            .client()
            .request(&["Q.DO", "k", "id", "c=switch,d=300"]),
        "-ERR failed"
    );
    assert!(
        !seen
            .recv_timeout(TEST_TIMEOUT)
            .expect("the connection was closed")
            .is_empty()
    );
}

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
fn a_malformed_command_costs_its_connection_and_no_other(#[case] bytes: &[u8]) {
    let (program, _lists) = router_with(&[("a", well().expect("a host"), "Ready")]);
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
fn who_sends_no_whole_command_is_turned_away_in_time(#[case] bytes: &[u8], #[case] told: &str) {
    let (program, _lists) = router_with(&[("a", well().expect("a host"), "Ready")]);
    let (since, mut bad) = (std::time::Instant::now(), program.client());
    bad.write(bytes);
    assert_eq!(bad.reply(), told);
    assert!(since.elapsed() < Duration::from_secs(3));
}

#[test]
fn who_is_turned_away_in_the_middle_of_a_long_value_still_reads_why() {
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
fn nobody_gets_what_was_made_for_an_open_invocation_of_the_same_id() {
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

#[test]
fn silent_connections_make_room_before_those_of_usual_clients() {
    let (_lists, program) = router_with_few_sockets(well().expect("a host"));
    let mut usual = usual_client(&program);
    let mut silent: Vec<_> = (0..40).map(|_| program.client()).collect();
    assert_eq!(silent[0].reply(), "", "closed for want of room");
    assert_eq!(usual.request(&["Q.ASK", "k", "two", READ]), "of two");
}

#[test]
fn who_asks_once_and_stays_keeps_nobody_out() {
    let (_lists, program) = router_with_few_sockets(well().expect("a host"));
    let mut usual = usual_client(&program);
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
fn a_router_serves_by_what_it_remembers_and_is_ready_once_discovery_has_told() {
    let hosts = [("a", well().expect("a host"), "Ready")];
    let (program, lists) = router_with(&hosts);
    let mut client = program.client();
    assert!(client.request(&["PING"]).starts_with("-ERR"));
    assert_eq!(client.request(&["Q.ASK", "k", "id", READ]), "of id");
    lists
        .send(endpoint_list(2, true, &hosts))
        .expect("discovery lives");
    program.wait_for_log("ready");
    assert_eq!(client.request(&["PING"]), "+PONG");
}

#[test]
fn nothing_new_goes_to_a_host_that_a_change_says_is_stopping() {
    let named = |name: &'static str| fake_host(move |_| value_reply(name));
    let (a, b) = (named("a"), named("b"));
    let (program, lists) = router_with(&[("a", a, "Ready"), ("b", b, "Ready")]);
    lists
        .send(endpoint_list(
            2,
            true,
            &[("a", a, "Ready"), ("b", b, "Ready")],
        ))
        .expect("discovery lives");
    lists
        .send(endpoint_list(3, false, &[("a", a, "Terminating")]))
        .expect("discovery lives");
    program.wait_for_log("Delta");
    let mut client = program.client();
    let answers = (0..20).map(|id| client.request(&["Q.ASK", "k", &id.to_string(), READ]));
    assert!(answers.into_iter().all(|answer| answer == "b"));
}

#[test]
fn discovery_that_speaks_nonsense_is_asked_again() {
    let hosts = [("a", well().expect("a host"), "Ready")];
    let (program, lists) = router_with(&[]);
    lists.send("no list".into()).expect("discovery lives");
    program.wait_for_log("discovery does not answer");
    lists
        .send(endpoint_list(2, true, &hosts))
        .expect("discovery lives");
    program.wait_for_log("ready");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

#[test]
fn an_answer_of_discovery_that_stalls_is_given_up_sooner_than_a_quiet_watch() {
    let (again, asked) = channel();
    let (again, first) = (Mutex::new(again), AtomicU32::new(0));
    let at = spawn_server(move |mut stream| {
        if first.fetch_add(1, Relaxed) == 0 {
            let _ = std::io::Write::write_all(
                &mut stream,
                b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{",
            );
        } else {
            let _ = again
                .lock()
                .expect("no panic before")
                .send(std::time::Instant::now());
        }
        let _ = stream.read_to_end(&mut vec![]);
    });
    let since = std::time::Instant::now();
    let _program = Program::start(BINARY, &router_config(at, &endpoint_list(1, true, &[])));
    let again = asked.recv_timeout(TEST_TIMEOUT).expect("it is asked again");
    assert!(
        again - since < Duration::from_millis(900),
        "the first question alone has a second"
    );
}

#[test]
fn changes_older_than_the_list_are_not_taken() {
    let named = |name: &'static str| fake_host(move |_| value_reply(name));
    let (a, b) = (named("a"), named("b"));
    let (program, lists) = router_with(&[]);
    lists
        .send(endpoint_list(
            5,
            true,
            &[("a", a, "Ready"), ("b", b, "Ready")],
        ))
        .expect("discovery lives");
    lists
        .send(endpoint_list(4, false, &[("a", a, "Terminating")]))
        .expect("discovery lives");
    lists
        .send(endpoint_list(6, false, &[("b", b, "Terminating")]))
        .expect("discovery lives");
    program.wait_for_log("rev: 6");
    let mut client = program.client();
    assert!((0..10).all(|id| client.request(&["Q.ASK", "k", &id.to_string(), READ]) == "a"));
}

#[test]
fn where_lists_come_on_demand_the_module_asks_and_asks_again_after_a_failure() {
    let (lists, answers) = channel();
    let text = router_config(fake_discovery(answers), &endpoint_list(1, true, &[]));
    let program = Program::start(BINARY, &text.replace("\"push\"", "\"ask\""));
    lists.send("no list".into()).expect("discovery lives");
    program.wait_for_log("discovery does not answer");
    let hosts = [("a", well().expect("a host"), "Ready")];
    lists
        .send(endpoint_list(2, true, &hosts))
        .expect("discovery lives");
    program.wait_for_log("rev: 2");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

#[test]
fn a_discovery_that_many_ask_is_asked_once_from_what_is_known_and_waited_for() {
    let (asked, seen) = channel();
    let asked = Mutex::new(asked);
    let changes = endpoint_list(2, false, &[("a", well().expect("a host"), "Ready")]);
    let at = spawn_server(move |stream| {
        let mut lines = std::io::BufReader::new(&stream).lines();
        while let Some(Ok(first)) = lines.next() {
            if !lines
                .by_ref()
                .map_while(Result::ok)
                .any(|line| line.is_empty())
            {
                return;
            }
            let _ = asked.lock().expect("no panic before").send(first);
            // The calls of the others come first; none of a router's own must be added to them meanwhile.
            thread::sleep(Duration::from_millis(1500));
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                changes.len()
            );
            let _ = (&stream).write_all((head + &changes).as_bytes());
        }
    });
    let program = Program::start(
        BINARY,
        &router_config(at, &endpoint_list(1, true, &[])).replace("\"push\"", "\"ask\""),
    );
    program.wait_for_log("rev: 2");
    let questions: Vec<String> = seen.try_iter().collect();
    let well =
        |question: &&String| question.contains("from=1&hold_ms=0") || question.contains("from=2&");
    assert_eq!(
        questions
            .iter()
            .filter(|question| question.contains("from=1&"))
            .count(),
        1,
        "{questions:?}"
    );
    assert!(
        questions.iter().all(|question| well(&question)),
        "{questions:?}"
    );
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

#[test]
fn a_planned_stop_serves_who_still_comes_and_ends_once_all_is_answered() {
    let at = fake_host(|words| {
        thread::sleep(Duration::from_millis(if words[2] == "slow" {
            900
        } else {
            0
        }));
        value_reply(&words[2])
    });
    let (mut program, _lists) = router_with(&[("a", at, "Ready")]);
    let mut slow = program.client();
    slow.send(&["Q.ASK", "k", "slow", READ]);
    program.signal("TERM");
    program.wait_for_log("stopping");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "late", READ]),
        "late"
    );
    assert_eq!(slow.reply(), "slow");
    assert_eq!(slow.reply(), "", "closed once it was idle");
    assert!(program.child.wait().expect("an end").success());
}

/// A platform that says of each connection that it was opened and what was first asked on it.
fn fake_platform() -> (std::net::SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (asked, seen) = channel();
    let asked = Mutex::new(asked);
    let at = spawn_server(move |stream| {
        let first = std::io::BufReader::new(&stream)
            .lines()
            .next()
            .and_then(Result::ok);
        let _ = asked
            .lock()
            .expect("no panic before")
            .send(first.unwrap_or_default());
        let _ = (&stream).read_to_end(&mut vec![]);
    });
    (at, seen)
}

#[test]
fn a_configuration_read_again_moves_discovery_and_the_platform_and_loses_nothing() {
    let (met, wait) = (channel::<()>(), channel::<()>());
    let (taken, go) = (Mutex::new(met.0), Mutex::new(wait.1));
    let at = fake_host(move |words| {
        if words[2] == "open" {
            let _ = taken.lock().expect("no panic before").send(());
            let _ = go
                .lock()
                .expect("no panic before")
                .recv_timeout(TEST_TIMEOUT);
        }
        value_reply(&words[2])
    });
    let ((_old, no_answers), (new, answers)) = (channel(), channel());
    let ((old_platform, followed_old), (new_platform, followed)) =
        (fake_platform(), fake_platform());
    let with = |discovery, platform: std::net::SocketAddr, name: &str| {
        let platform = format!("\"platform\":{{\"address\":\"{platform}\"}},\"settings\"");
        let text = router_config(discovery, &endpoint_list(9, true, &[("a", at, "Ready")]));
        text.replace("\"settings\"", &platform)
            .replace("\"n0\"", name)
    };
    let (old_place, place) = (fake_discovery(no_answers), fake_discovery(answers));
    let program = Program::start(BINARY, &with(old_place, old_platform, "\"n0\""));
    followed_old
        .recv_timeout(TEST_TIMEOUT)
        .expect("the old platform is followed");
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "open", READ]);
    met.1.recv_timeout(TEST_TIMEOUT).expect("the host has it");
    // A file that is none, one with a bad value, and one that would change more, leave all as it was.
    program.reload("{\"name\"");
    assert!(program.wait_for_log("is not taken").contains("EOF"));
    program
        .reload(&with(place, new_platform, "\"n0\"").replace("\"credit\":1.0", "\"credit\":-1.0"));
    assert!(
        program
            .wait_for_log("is not taken")
            .contains("settings.request_classes.0.credit")
    );
    program.reload(&with(place, new_platform, "\"other\""));
    assert!(program.wait_for_log("is not taken").contains("name"));
    program.reload(&with(place, new_platform, "\"n0\""));
    assert!(
        followed
            .recv_timeout(TEST_TIMEOUT)
            .expect("the new platform is asked")
            .contains("follow")
    );
    assert!(
        followed_old.try_recv().is_err(),
        "the bad files changed nothing"
    );
    // Versions at the new address need not go on from those of the old one.
    new.send(endpoint_list(3, true, &[("a", at, "Ready")]))
        .expect("discovery lives");
    program.wait_for_log("rev: 3");
    drop(wait.0);
    assert_eq!(client.reply(), "open");
    assert_eq!(client.request(&["Q.ASK", "k", "after", READ]), "after");
}

#[test]
fn what_the_file_says_anew_goes_before_the_environment_of_the_start() {
    let ((_old, no_answers), (new, answers)) = (channel(), channel());
    let (old, place) = (fake_discovery(no_answers), fake_discovery(answers));
    let known = endpoint_list(1, true, &[]);
    let program = Program::start_with(
        BINARY,
        &router_config(old, &known),
        &[("PROXY_DISCOVERY", old.to_string())],
    );
    program.reload(&router_config(place, &known));
    new.send(endpoint_list(3, true, &[]))
        .expect("discovery lives");
    program.wait_for_log("rev: 3");
}

#[test]
fn a_command_that_lay_unread_while_the_process_stood_still_has_no_time_left() {
    let (program, _lists) = router_with(&[("a", well().expect("a host"), "Ready")]);
    let mut client = program.client();
    assert_eq!(client.request(&["Q.ASK", "k", "before", READ]), "of before");
    program.freeze();
    client.send(&["Q.ASK", "k", "during", "c=read,d=500"]);
    thread::sleep(Duration::from_millis(1500));
    program.signal("CONT");
    assert_eq!(client.reply(), "-BUSY");
}

#[test]
fn news_that_came_while_the_process_stood_still_goes_before_the_commands_that_did() {
    let named = |name: &'static str| fake_host(move |_| value_reply(name));
    let (a, b) = (named("a"), named("b"));
    let (program, lists) = router_with(&[("a", a, "Ready"), ("b", b, "Ready")]);
    lists
        .send(endpoint_list(
            2,
            true,
            &[("a", a, "Ready"), ("b", b, "Ready")],
        ))
        .expect("discovery lives");
    program.wait_for_log("Full");
    let mut clients: Vec<_> = (0..12).map(|_| program.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| assert!(!client.request(&["PING"]).is_empty()));
    program.freeze();
    let send =
        |(id, client): (usize, &mut Client)| client.send(&["Q.ASK", "k", &id.to_string(), READ]);
    clients.iter_mut().enumerate().for_each(send);
    lists
        .send(endpoint_list(3, false, &[("a", a, "Terminating")]))
        .expect("discovery lives");
    thread::sleep(Duration::from_millis(500));
    program.signal("CONT");
    assert!(clients.iter_mut().all(|client| client.reply() == "b"));
}

#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let (lists, program) = router_with_few_sockets(well().expect("a host"));
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
fn who_comes_while_all_descriptors_are_held_is_turned_away_at_once() {
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
fn the_platform_is_followed_again_after_a_line_that_cannot_be_read() {
    let state = r#"{"jsonrpc":"2.0","method":"progress","params":{"image":8,"ring":0,"progress":"testing","#;
    let state = state.to_owned() + r#""ceiling":0.5,"lag_ms":0}}"#;
    let lines = Mutex::new(vec![state + "\n", "{nonsense}\n".to_owned()]);
    let at = spawn_server(move |mut stream| {
        let line = lines.lock().expect("no panic before").pop();
        let _ = std::io::Write::write_all(&mut stream, line.unwrap_or_default().as_bytes());
        let _ = stream.read_to_end(&mut vec![]);
    });
    let (_lists, answers) = channel();
    let with = format!("\"platform\":{{\"address\":\"{at}\"}},\"settings\"");
    let text = router_config(fake_discovery(answers), &endpoint_list(1, true, &[]))
        .replace("\"settings\"", &with);
    let program = Program::start(BINARY, &text);
    program.wait_for_log("the platform's connection is lost");
    assert!(program.wait_for_log("Canary").contains("build: 8"));
}

#[test]
fn a_line_of_the_platform_that_stalls_is_given_up_sooner_than_a_quiet_connection() {
    let at = spawn_server(move |mut stream| {
        let _ = std::io::Write::write_all(&mut stream, b"{\"jsonrpc\":");
        let _ = stream.read_to_end(&mut vec![]);
    });
    let (_lists, answers) = channel();
    let with = format!("\"platform\":{{\"address\":\"{at}\"}},\"settings\"");
    let text = router_config(fake_discovery(answers), &endpoint_list(1, true, &[]))
        .replace("\"settings\"", &with);
    let program = Program::start(BINARY, &text);
    assert!(
        program
            .wait_for_log("the platform's connection is lost")
            .contains("a line does not end")
    );
}

#[test]
fn a_flood_of_nonsense_costs_few_lines_of_the_log() {
    let (mut program, _lists) = router_with(&[("a", well().expect("a host"), "Ready")]);
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

#[test]
fn a_datagram_from_a_stranger_costs_nothing_but_a_line() {
    let listen = UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("a free port");
    let (_lists, answers) = channel();
    let known = endpoint_list(1, true, &[("a", well().expect("a host"), "Ready")]);
    let with = format!("\"peer_listen\":\"{listen}\",\"peers\":[\"{listen}\"],\"settings\"");
    let text = router_config(fake_discovery(answers), &known).replace("\"settings\"", &with);
    let program = Program::start(BINARY, &text.replace("\"peers\":false", "\"peers\":true"));
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    stranger.send_to(&[7; 400], listen).expect("it is sent");
    program.wait_for_log("a datagram is from no peer or too long");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

#[rstest]
#[case::missing("\"seed\":\"8c1f30d27a5be964\",", "", "seed")]
#[case::no_address("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"", "listen")]
#[case::of_another_kind("\"sockets\":256", "\"sockets\":\"many\"", "limits.sockets")]
#[case::in_the_settings("\"slo\":5000000,", "", "request_classes.0.slo")]
#[case::negative_rate("\"api_rate\":0.0", "\"api_rate\":-1", "extra.api_rate")]
#[case::no_rate("\"api_rate\":0.0", "\"api_rate\":\"NaN\"", "extra.api_rate")]
#[case::key_twice(
    "\"api_rate\":0.0",
    "\"api_rate\":0.0,\"api_rate\":1.0",
    "api_rate stands twice"
)]
#[case::operation_twice("\"name\":\"switch\"", "\"name\":\"read\"", "request_classes.1.name")]
#[case::tenant_twice(
    "\"accounts\":[]",
    "\"accounts\":[{\"name\":\"x\"},{\"name\":\"x\"}]",
    "accounts.1.name"
)]
#[case::unknown_word("\"gate_mode\":\"any\"", "\"gate_mode\":\"some\"", "extra.gate_mode")]
#[case::known("\"rev\":1", "\"rev\":-1", "known")]
fn a_bad_configuration_ends_the_program_and_names_the_field(
    #[case] is: &str,
    #[case] becomes: &str,
    #[case] named: &str,
) {
    let text = router_config(unused_address(), &endpoint_list(1, true, &[]));
    assert!(text.contains(is));
    for verb in ["serve", "check-config"] {
        let done = Program::command(BINARY, verb, &text.replace(is, becomes))
            .output()
            .expect("it runs");
        assert!(!done.status.success(), "{verb}");
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(said.contains(named), "{verb}: {said}");
    }
}

/// Bytes come in pieces: nothing is taken for whole before its last byte, and no more is used than it has.
#[test]
fn no_message_is_read_before_its_last_byte() {
    let mut command = vec![];
    let text =
        b"*5\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$1\r\ni\r\n$14\r\nc=switch,d=100\r\n$3\r\na\r\n\r\n";
    command.extend_from_slice(text);
    let answer = b"*3\r\n$4\r\n\r\n\r\n\r\n$-1\r\n$9\r\ninflight1\r\n";
    let state =
        br#"{"jsonrpc":"2.0","id":3,"result":{"image":4,"ring":1,"progress":"live","ceiling":1,"lag_ms":3}}"#;
    let state = [state.as_slice(), b"\n"].concat();
    let chunked =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let plain = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcde";
    let limits = RespLimits {
        value: 100,
        words: 8,
        line: 100,
        digits: 9,
        message: 400,
        id: 40,
    };
    let whole = |bytes: &[u8], read: &dyn Fn(&[u8]) -> Option<usize>| {
        assert!((0..bytes.len()).all(|length| read(&bytes[..length]).is_none()));
        assert_eq!(read(&[bytes, b"more"].concat()), Some(bytes.len()));
    };
    whole(&command, &|bytes| {
        client::parse_command(bytes, &limits)
            .expect("well formed")
            .map(|read| read.1)
    });
    whole(answer, &|bytes| {
        host::parse_response(bytes, &limits)
            .expect("well formed")
            .map(|read| read.1)
    });
    whole(&state, &|bytes| {
        platform::parse_line(bytes, 1000)
            .expect("well formed")
            .map(|read| read.1)
    });
    let answer = ResponseLimits {
        body: 1000,
        head: 1000,
        frame: 1000,
        headers: 8,
    };
    for response in [chunked.as_slice(), plain] {
        // The same bytes are read again and again here, so that each time is the first.
        let read = |bytes: &[u8]| {
            let read =
                discovery::parse_response(bytes, &answer, &mut discovery::ChunkedBody::default())
                    .expect("well formed");
            read.map(|(response, used)| {
                assert_eq!(&*response.body, b"abcde");
                used
            })
        };
        whole(response, &read);
    }
}

#[rstest]
#[case::full("too_many_calls", kestreltide::interface::AttemptOutcome::Rejected)]
#[case::moot("out_of_date", kestreltide::interface::AttemptOutcome::Irrelevant)]
#[case::error("unavailable", kestreltide::interface::AttemptOutcome::Error)]
#[case::wrong("bad_request", kestreltide::interface::AttemptOutcome::Error)]
fn a_vote_that_does_not_count_says_why(
    #[case] message: &str,
    #[case] outcome: kestreltide::interface::AttemptOutcome,
) {
    let line = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":3,\"error\":{{\"code\":-32602,\"message\":\"{message}\"}}}}\n"
    );
    let read = platform::parse_line(line.as_bytes(), 1000).expect("well formed");
    assert_eq!(
        read.map(|read| read.0),
        Some(platform::PlatformMessage::Error { call: 3, outcome })
    );
}
