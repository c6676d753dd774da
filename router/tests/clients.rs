//! Connections of clients, where two events cross: leaving, coming again, making room.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

use kestreltide_standins::*;

const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
const READ: &str = "c=read,d=5000";

fn router_at(host: SocketAddr, change: impl Fn(String) -> String) -> Program {
    let (_, answers) = channel();
    let known = list(1, true, &["a", "b", "c", "d"].map(|name| (name, host, "Ready")));
    Program::start(BINARY, &change(config(fake_discovery(answers), &known)))
}

/// A host that says what it has got, and answers `held` invocations once it is told to.
fn holding_host() -> (SocketAddr, Receiver<String>, Sender<()>) {
    let ((met, seen), (release, wait)) = (channel(), channel::<()>());
    let (met, wait) = (Mutex::new(met), Mutex::new(wait));
    let at = fake_host(move |words| {
        let _ = met.lock().expect("no panic before").send(words[2].clone());
        if words[2].starts_with("held") {
            let _ = wait.lock().expect("no panic before").recv_timeout(PATIENCE);
        }
        value(&words[2])
    });
    (at, seen, release)
}

#[test]
fn an_id_sent_again_because_its_connection_broke_is_served_though_the_break_is_not_read_yet() {
    let (host, met, release) = holding_host();
    let program = router_at(host, |text| text);
    let (mut first, mut again) = (program.client(), program.client());
    again.ask(&["Q.ASK", "k", "before", READ]);
    first.send(&["Q.ASK", "k", "held", READ]);
    assert_eq!(
        [met.recv_timeout(PATIENCE), met.recv_timeout(PATIENCE)],
        ["before", "held"].map(|id| Ok(id.into()))
    );
    program.freeze();
    again.send(&["Q.ASK", "k", "held", READ]);
    drop(first);
    program.signal("CONT");
    assert_eq!(met.recv_timeout(PATIENCE), Ok("held".into()));
    drop(release);
    assert_eq!(again.answer(), "held");
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
    (0..16).for_each(|_| drop(met.recv_timeout(PATIENCE).expect("the hosts have all")));
    // Over what is kept of one client, under what the machine takes for it: its end comes behind that.
    let long = "y".repeat(1000);
    for id in 0..90 {
        client.send(&["Q.ASK", "k", &format!("late-{id}"), READ, &long]);
    }
    drop(client);
    // Its end was there before this is asked.
    assert_eq!(other.ask(&["Q.ASK", "k", "other", READ]), "other");
    drop(release);
    other.ask(&["Q.ASK", "k", "last", READ]);
    let late: Vec<_> = met.try_iter().filter(|id| id.starts_with("late")).collect();
    assert!(late.is_empty(), "{late:?}");
}
