//! Helpers that several of the router's test files share.

// Each test file is a crate of its own and uses only some of these items.
#![allow(dead_code)]

use std::sync::mpsc::{Sender, channel};

use kestreltide_testkit::*;

/// Path of the router's executable.
pub const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
/// Request attributes: the idempotent operation `read` with a time limit of 5000 ms.
pub const READ: &str = "c=read,d=5000";
/// Request attributes: the non-idempotent operation `switch` with a time limit of 5000 ms.
pub const SWITCH: &str = "c=switch,d=5000";

/// Starts a router whose configuration lists these hosts. Its discovery answers each request with the next list
/// that is sent through the returned sender.
pub fn start_router_with_hosts(
    hosts: &[(&str, std::net::SocketAddr, &str)],
) -> (RouterProcess, Sender<String>) {
    let (lists, answers) = channel();
    let known = endpoint_list(1, true, hosts);
    let program = RouterProcess::start(BINARY, &router_config(fake_discovery(answers), &known));
    (program, lists)
}

/// Starts a router that lists one host and is limited to 48 sockets.
pub fn start_router_with_few_sockets(
    host: std::net::SocketAddr,
) -> (Sender<String>, RouterProcess) {
    let (lists, answers) = channel();
    let config = router_config(
        fake_discovery(answers),
        &endpoint_list(1, true, &[("a", host, "Ready")]),
    );
    let program =
        RouterProcess::start(BINARY, &config.replace("\"sockets\":256", "\"sockets\":48"));
    (lists, program)
}

/// A client that has completed two requests on its connection. The router closes other idle connections before this
/// one.
pub fn active_client(program: &RouterProcess) -> Client {
    let mut client = program.client();
    for id in ["one", "again"] {
        assert_eq!(
            client.request(&["Q.ASK", "k", id, READ]),
            format!("of {id}")
        );
    }
    client
}

/// A host that answers every request at once with the value `of ID`.
pub fn echo_host() -> Option<std::net::SocketAddr> {
    Some(fake_host(|words| value_reply(&format!("of {}", words[2]))))
}
