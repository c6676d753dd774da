//! Gossip datagrams from addresses that are not peers.

mod common;

use std::net::UdpSocket;
use std::sync::mpsc::channel;

use kestreltide_testkit::*;

use common::{BINARY, READ, echo_host};

#[test]
fn a_datagram_from_an_unknown_sender_is_logged_and_ignored() {
    let listen = UdpSocket::bind("127.0.0.1:0")
        .and_then(|socket| socket.local_addr())
        .expect("a free port");
    let (_lists, answers) = channel();
    let known = endpoint_list(1, true, &[("a", echo_host().expect("a host"), "Ready")]);
    let peer_fields = format!("\"peer_listen\":\"{listen}\",\"peers\":[\"{listen}\"],\"settings\"");
    let text = router_config(fake_discovery(answers), &known).replace("\"settings\"", &peer_fields);
    let program = RouterProcess::start(BINARY, &text.replace("\"peers\":false", "\"peers\":true"));
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    unknown_sender
        .send_to(&[7; 400], listen)
        .expect("the datagram is sent");
    program.wait_for_log("datagram dropped, unknown peer or too long");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}
