//! A router process that is stopped for a while and then continues, as after a long event loop delay.

mod common;

use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;

use common::{READ, echo_host, start_router_with_hosts};

#[test]
fn a_command_whose_time_limit_passes_during_an_event_loop_delay_is_rejected() {
    let (program, _lists) =
        start_router_with_hosts(&[("a", echo_host().expect("a host"), "Ready")]);
    let mut client = program.client();
    assert_eq!(client.request(&["Q.ASK", "k", "before", READ]), "of before");
    program.freeze();
    client.send(&["Q.ASK", "k", "during", "c=read,d=500"]);
    thread::sleep(Duration::from_millis(1500));
    program.signal("CONT");
    assert_eq!(client.reply(), "-BUSY");
}

#[test]
fn updates_received_during_an_event_loop_delay_are_applied_before_commands() {
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
        .expect("fake discovery runs");
    thread::sleep(Duration::from_millis(500));
    program.signal("CONT");
    assert!(clients.iter_mut().all(|client| client.reply() == "b"));
}
