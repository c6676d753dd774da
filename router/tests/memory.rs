//! The resident memory of a router stays within `limits.memory_mb`, whatever clients and hosts send, and requests are
//! served meanwhile.

mod common;

use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;

use common::{BINARY, READ, echo_host};

/// The limit on the memory of the routers here, in MiB.
const MEMORY_MB: u64 = 20;
/// The part of it that the router's budget leaves to the pages of its executable, in MiB. They are not measured, as the
/// test build has far more of them than a release build.
const EXECUTABLE_MB: u64 = 7;
const KIB_PER_MIB: u64 = 1024;

/// The names of the hosts, which all have the same address: enough that the decisions shed no request here.
const HOSTS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// The configuration of a router with hosts at this address and with the limits of a small deployment.
fn small_config(host: SocketAddr) -> String {
    let (_, answers) = channel();
    let known = endpoint_list(1, true, &HOSTS.map(|name| (name, host, "Ready")));
    router_config(fake_discovery(answers), &known)
        .replace("\"memory_mb\":64", &format!("\"memory_mb\":{MEMORY_MB}"))
}

fn assert_within_memory(program: &RouterProcess) {
    let private = private_memory_kib(program.child.id());
    assert!(private > 0, "the router runs");
    assert!(
        private <= (MEMORY_MB - EXECUTABLE_MB) * KIB_PER_MIB,
        "{private} KiB are resident beside the executable"
    );
}

/// Guards against memory that the allocator keeps between the freed buffers of large commands and responses.
#[test]
fn large_commands_and_responses_leave_no_memory_behind() {
    const CLIENTS: usize = 24;
    const REQUESTS_PER_CLIENT: usize = 240;
    let value = "v".repeat(65_000);
    let expected = value.clone();
    let host = fake_host(move |_| {
        thread::sleep(Duration::from_millis(10));
        value_reply(&value)
    });
    let program = RouterProcess::start(BINARY, &small_config(host));
    let at = program.at;
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let expected = &expected;
                scope.spawn(move || {
                    let mut client = Client::connect(at);
                    let body = "b".repeat(60_000);
                    for request in 0..REQUESTS_PER_CLIENT {
                        // Bodies, which are kept until the response, alternate with requests that have none.
                        let id = format!("{number}-{request}");
                        let words = ["Q.ASK", "key", &id, READ, &body];
                        let count = words.len() - usize::from(request % 2 == 0);
                        assert!(client.request(&words[..count]) == *expected);
                    }
                })
            })
            .collect();
        while clients.iter().any(|client| !client.is_finished()) {
            assert_within_memory(&program);
            thread::sleep(Duration::from_millis(200));
        }
    });
    assert_within_memory(&program);
}

/// Guards against memory that each new key takes for good where keys stay with the build that answered them.
#[test]
fn keys_that_are_always_new_take_no_memory_for_good() {
    const CLIENTS: usize = 4;
    const REQUESTS_PER_CLIENT: usize = 1_500;
    const KEY_BYTES: usize = 8_000;
    let config = small_config(echo_host().expect("a host"))
        .replace("\"no_return\":false", "\"no_return\":true");
    let program = RouterProcess::start(BINARY, &config);
    let at = program.at;
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            scope.spawn(move || {
                let mut client = Client::connect(at);
                for request in 0..REQUESTS_PER_CLIENT {
                    let id = format!("{number}-{request}");
                    let key = format!("{id:k>KEY_BYTES$}");
                    let response = client.request(&["Q.ASK", &key, &id, READ]);
                    assert_eq!(response, format!("of {id}"));
                }
            });
        }
    });
    assert_within_memory(&program);
}
