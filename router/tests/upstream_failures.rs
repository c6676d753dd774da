//! Hosts that fail, move, cannot be reached or stay silent.

mod common;

use std::io::Read;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;

use common::{READ, SWITCH, router_with};

#[test]
fn fast_malformed_responses_do_not_shrink_the_idle_connection_pool() {
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
fn a_request_to_an_unreachable_host_counts_as_never_run() {
    let (program, _lists) = router_with(&[("a", unused_address(), "Ready")]);
    assert_eq!(
        program.client().request(&["Q.DO", "k", "id", SWITCH]),
        "-BUSY"
    );
}

#[test]
fn an_unusable_host_address_closes_no_connections_of_other_hosts() {
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
fn connections_to_the_old_address_of_a_moved_host_are_not_reused() {
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
fn idle_connections_that_are_lost_unnoticed_are_reused_less() {
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
fn a_silent_host_times_out_and_its_connection_is_closed() {
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
