//! SIGTERM while a request is open and new clients still connect.

mod common;

use std::thread;
use std::time::Duration;

use kestreltide_testkit::*;

use common::{READ, start_router_with_hosts};

#[test]
fn graceful_shutdown_serves_late_clients_and_exits_once_all_are_answered() {
    let host = fake_host(|words| {
        thread::sleep(Duration::from_millis(if words[2] == "slow" {
            900
        } else {
            0
        }));
        value_reply(&words[2])
    });
    let (mut program, _lists) = start_router_with_hosts(&[("a", host, "Ready")]);
    let mut slow = program.client();
    slow.send(&["Q.ASK", "k", "slow", READ]);
    program.signal("TERM");
    program.wait_for_log("stopping");
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "late", READ]),
        "late"
    );
    assert_eq!(slow.reply(), "slow");
    assert_eq!(slow.reply(), "", "the connection is closed once it is idle");
    assert!(program.child.wait().expect("the process exits").success());
}
