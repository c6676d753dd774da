//! The resident memory of a router stays within `limits.memory_mb`, whatever clients and hosts send, and requests are
//! served meanwhile.

mod common;

use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;

use common::{BINARY, READ};

/// The limit on the memory of the routers here, in MiB.
const MEMORY_MB: u64 = 20;
const KIB_PER_MIB: u64 = 1024;

/// The names of the hosts, which all have the same address: enough that the decisions shed no request here.
const HOSTS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

/// Starts a router with hosts at this address and with the limits of a small deployment.
fn start_small_router(host: SocketAddr) -> RouterProcess {
    let (_, answers) = channel();
    let known = endpoint_list(1, true, &HOSTS.map(|name| (name, host, "Ready")));
    let config = router_config(fake_discovery(answers), &known)
        .replace("\"memory_mb\":64", &format!("\"memory_mb\":{MEMORY_MB}"));
    RouterProcess::start(BINARY, &config)
}

fn assert_within_memory(program: &RouterProcess) {
    let resident = resident_memory_kib(program.child.id());
    assert!(resident > 0, "the router runs");
    assert!(
        resident <= MEMORY_MB * KIB_PER_MIB,
        "{resident} KiB are resident"
    );
}

/// Guards against memory that the allocator keeps between the freed buffers of large commands and responses.
#[test]
fn large_commands_and_responses_leave_no_memory_behind() {
    const CLIENTS: usize = 24;
    const REQUESTS_PER_CLIENT: usize = 240;
    let value = "v".repeat(65_000);
    let expected = value.clone();
    let program = start_small_router(fake_host(move |_| {
        thread::sleep(Duration::from_millis(10));
        value_reply(&value)
    }));
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
