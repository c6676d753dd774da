//! Connections of clients, where two events cross: leaving, coming again, making room.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_testkit::*;
use rstest::rstest;

const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
const READ: &str = "c=read,d=5000";

fn router_at(host: SocketAddr, change: impl Fn(String) -> String) -> RouterProcess {
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

/// A host that says what it has got, and answers `held` invocations once it is told to.
fn holding_host() -> (SocketAddr, Receiver<String>, Sender<()>) {
    let ((met, seen), (release, wait)) = (channel(), channel::<()>());
    let (met, wait) = (Mutex::new(met), Mutex::new(wait));
    let at = fake_host(move |words| {
        let _ = met.lock().expect("no panic before").send(words[2].clone());
        if words[2].starts_with("held") {
            let _ = wait
                .lock()
                .expect("no panic before")
                .recv_timeout(TEST_TIMEOUT);
        }
        value_reply(&words[2])
    });
    (at, seen, release)
}

#[test]
fn an_id_sent_again_because_its_connection_broke_is_served_though_the_break_is_not_read_yet() {
    let (host, met, release) = holding_host();
    let program = router_at(host, |text| text);
    let (mut first, mut again) = (program.client(), program.client());
    again.request(&["Q.ASK", "k", "before", READ]);
    first.send(&["Q.ASK", "k", "held", READ]);
    assert_eq!(
        [
            met.recv_timeout(TEST_TIMEOUT),
            met.recv_timeout(TEST_TIMEOUT)
        ],
        ["before", "held"].map(|id| Ok(id.into()))
    );
    program.freeze();
    again.send(&["Q.ASK", "k", "held", READ]);
    first.close();
    program.signal("CONT");
    assert_eq!(met.recv_timeout(TEST_TIMEOUT), Ok("held".into()));
    drop(release);
    assert_eq!(again.reply(), "held");
}

/// A client that has written more behind its open invocations than is kept, and is gone: nothing that waited for
/// its first dispatch then is dispatched.
#[test]
fn who_leaves_behind_a_full_buffer_is_gone_all_the_same() {
    let (host, met, release) = holding_host();
    let program = router_at(host, |text| text);
    let (mut client, mut other) = (program.client(), program.client());
    for id in 0..16 {
        client.send(&["Q.ASK", "k", &format!("held-{id}"), READ]);
    }
    (0..16).for_each(|_| drop(met.recv_timeout(TEST_TIMEOUT).expect("the hosts have all")));
    // Over what is kept of one client, under what the machine takes for it: its end comes behind that.
    let long = "y".repeat(1000);
    for id in 0..90 {
        client.send(&["Q.ASK", "k", &format!("late-{id}"), READ, &long]);
    }
    client.close();
    assert_eq!(other.request(&["Q.ASK", "k", "other", READ]), "other");
    drop(release);
    other.request(&["Q.ASK", "k", "last", READ]);
    let late: Vec<_> = met.try_iter().filter(|id| id.starts_with("late")).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// A host that tells the id and the time (`d`, in milliseconds) of each attempt, and answers those whose id begins
/// with `held` once it is told to.
fn time_telling_host() -> (SocketAddr, Receiver<(String, u64)>, Sender<()>) {
    let ((met, seen), (release, wait)) = (channel(), channel::<()>());
    let (met, wait) = (Mutex::new(met), Mutex::new(wait));
    let at = fake_host(move |words| {
        let millis = words[3]
            .rsplit("d=")
            .next()
            .and_then(|text| text.parse().ok());
        let told = (words[2].clone(), millis.expect("a time"));
        let _ = met.lock().expect("no panic before").send(told);
        if words[2].starts_with("held") {
            let _ = wait
                .lock()
                .expect("no panic before")
                .recv_timeout(TEST_TIMEOUT);
        }
        value_reply(&words[2])
    });
    (at, seen, release)
}

/// As many requests of one connection as may wait for their answers, and a further one behind them: its time counts
/// from the arrival of its last byte, wherever it waits unread.
#[rstest]
#[case::in_the_router(0, 0)]
#[case::in_the_socket(3, 0)]
#[case::half_of_it_sent_later(0, 20)]
fn the_time_of_a_request_behind_a_full_pipeline_counts_from_its_last_byte(
    #[case] long_ones_before: usize,
    #[case] sent_later: usize,
) {
    const MILLIS: u64 = 10_000;
    const PAUSE: Duration = Duration::from_secs(2);
    let (host, met, release) = time_telling_host();
    let program = router_at(host, |text| text);
    let mut client = program.client();
    for id in 0..16 {
        client.send(&["Q.DO", "k", &format!("held-{id}"), "c=switch,d=10000"]);
    }
    (0..16).for_each(|_| drop(met.recv_timeout(TEST_TIMEOUT).expect("the hosts have all")));
    // Two of these are more than a router keeps unread of a client.
    for id in 0..long_ones_before {
        client.send(&[
            "Q.DO",
            "k",
            &format!("long-{id}"),
            "c=switch,d=10000",
            &"y".repeat(40_000),
        ]);
    }
    let last =
        format!("*4\r\n$4\r\nQ.DO\r\n$1\r\nk\r\n$4\r\nlast\r\n$16\r\nc=switch,d={MILLIS}\r\n");
    let (now, later) = last.split_at(last.len() - sent_later);
    let begun = Instant::now();
    client.write(now.as_bytes());
    let mut other = program.client();
    // The router has read all that it will read of it by the time that it answers this.
    other.request(&["Q.ASK", "k", "other", READ]);
    thread::sleep(PAUSE);
    client.write(later.as_bytes());
    drop(release);
    let (_, told) = met
        .iter()
        .find(|(id, _)| id == "last")
        .expect("the host has it");
    if later.is_empty() {
        assert!(told <= MILLIS - PAUSE.as_millis() as u64, "{told}");
    } else {
        let since_begun = MILLIS.saturating_sub(begun.elapsed().as_millis() as u64);
        assert!(told > since_begun, "{told} of {since_begun}");
    }
}

/// By these settings a connection to a host has long to come up, and what is decided long to be written.
fn patient(text: String) -> String {
    let text = text.replace("\"connect_timeout\":250000", "\"connect_timeout\":9000000");
    text.replace("\"drain_grace\":500000", "\"drain_grace\":30000000")
}

#[test]
fn what_waits_for_its_connection_is_not_sent_once_its_client_is_gone() {
    let mut listener = TestListener::open();
    listener.stop_accepting();
    let program = router_at(listener.at, patient);
    let mut gone = program.client();
    gone.send(&["Q.DO", "k", "gone", "c=switch,d=20000"]);
    listener.wait_for_connection();
    gone.close();
    let mut stays = program.client();
    // Answered after the close has been read.
    stays.request(&["PING"]);
    // The first parts of handshakes come again after the same time each: what was sent first comes first.
    thread::sleep(Duration::from_millis(100));
    stays.send(&["Q.DO", "k", "stays", "c=switch,d=20000"]);
    program.client().request(&["PING"]);
    listener.resume_accepting();
    let host = listener.accept();
    let read = read_command(&mut BufReader::new(&host)).map(|words| words[2].clone());
    assert_eq!(read.as_deref(), Some("stays"));
}

#[test]
fn what_waits_for_its_connection_is_not_sent_once_its_client_is_gone_though_that_is_not_read_yet() {
    let mut listener = TestListener::open();
    listener.stop_accepting();
    let program = router_at(listener.at, patient);
    let mut gone = program.client();
    gone.send(&["Q.DO", "k", "gone", "c=switch,d=20000"]);
    listener.wait_for_connection();
    program.freeze();
    gone.close();
    listener.resume_accepting();
    // The connection is up: the router learns of both in one wake, and what concerns hosts goes first.
    let host = listener.accept();
    program.signal("CONT");
    assert_eq!(read_command(&mut BufReader::new(&host)), None);
}

/// An attempt has come back, and its request could be sent to another host.
#[rstest]
#[case::the_close_is_not_read_yet(b"", true)]
#[case::the_close_lies_behind_nonsense(b"hello\r\n", false)]
fn no_further_attempt_is_made_once_the_client_is_gone(#[case] then: &[u8], #[case] frozen: bool) {
    let ((met, seen), (release, wait)) = (channel(), channel::<()>());
    let ((met, wait), (answered, ended)) = ((Mutex::new(met), Mutex::new(wait)), channel());
    let answered = Mutex::new(answered);
    let host = spawn_server(move |stream| {
        serve_commands(stream.try_clone().expect("a second handle"), |words| {
            let _ = met.lock().expect("no panic before").send(words[2].clone());
            if words[2] != "gone" {
                return value_reply(&words[2]);
            }
            let _ = wait
                .lock()
                .expect("no panic before")
                .recv_timeout(TEST_TIMEOUT);
            let _ = (&stream).write_all(b"-BUSY\r\n");
            let _ = answered.lock().expect("no panic before").send(());
            Some(String::new())
        });
    });
    let program = router_at(host, |text| text);
    let mut gone = program.client();
    gone.send(&["Q.ASK", "k", "gone", READ]);
    assert_eq!(seen.recv_timeout(TEST_TIMEOUT), Ok("gone".into()));
    gone.write(then);
    let mut stays = program.client();
    stays.request(&["PING"]);
    if frozen {
        program.freeze();
    }
    gone.close();
    if !frozen {
        stays.request(&["PING"]);
    }
    drop(release);
    ended.recv_timeout(TEST_TIMEOUT).expect("the host answers");
    if frozen {
        program.signal("CONT");
    }
    assert_eq!(stays.request(&["Q.ASK", "k", "stays", READ]), "stays");
    assert_eq!(stays.request(&["Q.ASK", "k", "last", READ]), "last");
    assert_eq!(seen.try_iter().collect::<Vec<_>>(), ["stays", "last"]);
}
