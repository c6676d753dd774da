//! Hosts that answer malformed, move, cannot be reached, close idle connections or stay silent.

mod common;

use std::io::Read;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;

use common::{READ, SWITCH, start_router_with_hosts};

#[test]
fn fast_malformed_responses_do_not_shrink_the_idle_connection_pool() {
    let ((received_sender, received), (release, released)) = (channel::<()>(), channel::<()>());
    let (received_sender, released) = (Mutex::new(received_sender), Arc::new(Mutex::new(released)));
    let host = fake_host(move |words| {
        if words[2].starts_with("spoilt") {
            return Some("*1\r\n$4\r\nabcdefgh\r\n".into());
        }
        let _ = received_sender
            .lock()
            .expect("the mutex is not poisoned")
            .send(());
        let _ = released
            .lock()
            .expect("the mutex is not poisoned")
            .recv_timeout(TEST_TIMEOUT);
        value_reply("well")
    });
    let (program, _lists) = start_router_with_hosts(&[("a", host, "Ready")]);
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
        received
            .recv_timeout(TEST_TIMEOUT)
            .expect("the host receives all five requests")
    });
    drop(release);
    assert!(clients.iter_mut().all(|client| client.reply() == "well"));
}

#[test]
fn a_request_to_an_unreachable_host_counts_as_never_run() {
    let (program, _lists) = start_router_with_hosts(&[("a", unused_address(), "Ready")]);
    assert_eq!(
        program.client().request(&["Q.DO", "k", "id", SWITCH]),
        "-BUSY"
    );
}

#[test]
fn an_unusable_host_address_closes_no_connections_of_other_hosts() {
    let opened = Arc::new(AtomicU32::new(0));
    let count = opened.clone();
    let host = spawn_server(move |stream| {
        count.fetch_add(1, Relaxed);
        serve_commands(stream, |_| value_reply("well"));
    });
    let (program, lists) = start_router_with_hosts(&[("a", host, "Ready")]);
    let mut client = program.client();
    client.request(&["Q.ASK", "k", "first", READ]);
    // A connection to a broadcast address fails in the `connect` call itself, as it does without free descriptors.
    let broadcast_address = ([127, 255, 255, 255], 9).into();
    let hosts = [
        ("a", host, "Ready"),
        ("b", broadcast_address, "Ready"),
        ("c", broadcast_address, "Ready"),
    ];
    lists
        .send(endpoint_list(2, true, &hosts))
        .expect("fake discovery runs");
    program.wait_for_log("Full");
    for id in 0..30 {
        // A connection is reused only some time after its last response; a sooner request would open another one.
        thread::sleep(Duration::from_millis(25));
        client.request(&["Q.ASK", "k", &id.to_string(), READ]);
    }
    assert_eq!(opened.load(Relaxed), 1);
}

#[test]
fn connections_to_the_old_address_of_a_moved_host_are_not_reused() {
    let ((received_sender, received), (release, released)) = (channel::<()>(), channel::<()>());
    let (received_sender, released) = (Mutex::new(received_sender), Mutex::new(released));
    let old_host = fake_host(move |_| {
        let _ = received_sender
            .lock()
            .expect("the mutex is not poisoned")
            .send(());
        let _ = released
            .lock()
            .expect("the mutex is not poisoned")
            .recv_timeout(TEST_TIMEOUT);
        value_reply("old")
    });
    let (program, lists) = start_router_with_hosts(&[("a", old_host, "Ready")]);
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "one", READ]);
    received
        .recv_timeout(TEST_TIMEOUT)
        .expect("the old host receives the request");
    lists
        .send(endpoint_list(
            2,
            true,
            &[("a", fake_host(|_| value_reply("new")), "Ready")],
        ))
        .expect("fake discovery runs");
    program.wait_for_log("Full");
    // The old host answers at once from here on.
    drop(release);
    assert_eq!(client.reply(), "old");
    assert_eq!(client.request(&["Q.ASK", "k", "two", READ]), "new");
}

#[test]
fn idle_connections_that_hosts_drop_silently_are_reused_less() {
    let lost = Arc::new(AtomicU32::new(0));
    let count = lost.clone();
    let host = spawn_server(move |stream| {
        let last_response_at = Mutex::new(None);
        serve_commands(stream, |words| {
            let last_response_at = last_response_at
                .lock()
                .expect("the mutex is not poisoned")
                .replace(std::time::Instant::now());
            let idle_too_long = last_response_at.is_some_and(|last_response_at| {
                last_response_at.elapsed() > Duration::from_millis(100)
            });
            count.fetch_add(u32::from(idle_too_long), Relaxed);
            if idle_too_long {
                None
            } else {
                value_reply(&words[2])
            }
        });
    });
    let (program, _lists) = start_router_with_hosts(&[("a", host, "Ready")]);
    let mut client = program.client();
    let mut ask = |id: u32| {
        thread::sleep(Duration::from_millis(110));
        assert_eq!(
            client.request(&["Q.ASK", "k", &id.to_string(), READ]),
            id.to_string(),
            "the request is retried"
        );
    };
    (0..25).for_each(&mut ask);
    // The router reuses an idle connection now and then; every reuse after 100 ms is lost.
    let lost = lost.load(Relaxed);
    assert!((1..12).contains(&lost), "{lost}");
}

#[test]
fn a_silent_host_times_out_and_its_connection_is_closed() {
    let (received_sender, received) = channel();
    let received_sender = Mutex::new(received_sender);
    let host = spawn_server(move |mut stream| {
        let mut bytes = vec![];
        let _ = stream.read_to_end(&mut bytes);
        let _ = received_sender
            .lock()
            .expect("the mutex is not poisoned")
            .send(bytes);
    });
    let (program, _lists) = start_router_with_hosts(&[("a", host, "Ready")]);
    assert_eq!(
        program
            .client()
            .request(&["Q.DO", "k", "id", "c=switch,d=300"]),
        "-ERR failed"
    );
    assert!(
        !received
            .recv_timeout(TEST_TIMEOUT)
            .expect("the connection was closed")
            .is_empty()
    );
}
