//! Golden files of the simulator's line protocol: the adapter is run on `tests/golden/NAME.input` and
//! its standard output must equal `tests/golden/NAME.output` byte by byte.
//!
//! The inputs are written by hand and never generated. After a deliberate change of the output, regenerate the outputs
//! with `KESTRELTIDE_REGENERATE_GOLDEN=1 cargo test -p kestreltide-simulator-adapter --test golden` and review
//! the difference. Effects that no script reaches are covered by the tests of the codec.

use std::env;
use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Command, Output};

const REGENERATE: &str = "KESTRELTIDE_REGENERATE_GOLDEN";

fn golden_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn run_adapter(script: &str) -> Output {
    let input = File::open(golden_file(&format!("{script}.input"))).expect("the input exists");
    Command::new(env!("CARGO_BIN_EXE_kestreltide-simulator-adapter"))
        .stdin(input)
        .output()
        .expect("the adapter runs")
}

/// Checks that the adapter's replies to a script equal the golden output and contain each of these messages.
fn check(script: &str, messages: &[&str]) {
    let output = run_adapter(script);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.success(),
        "the adapter failed on {script}: {error}"
    );
    let replies = String::from_utf8(output.stdout).expect("the replies are UTF-8");
    let path = golden_file(&format!("{script}.output"));
    if env::var(REGENERATE).as_deref() == Ok("1") {
        fs::write(&path, &replies).expect("the golden file can be written");
    }
    let golden = fs::read_to_string(&path).expect("the golden file can be read");
    assert_eq!(
        replies,
        golden,
        "the replies differ from {}",
        path.display()
    );
    for message in messages {
        let is_written = replies.lines().any(|line| line.starts_with(message));
        assert!(is_written, "the replies to {script} contain no {message}");
    }
}

/// Requests with each outcome, shed requests with and without a time to retry after, requests whose client disconnects,
/// and streamed responses.
#[test]
fn requests() {
    let messages = [
        "FORWARD who=router_0 req=",
        "DECLINE who=router_0 req=",
        "DROP_REQUEST who=router_0 req=",
        "DEFER who=router_0 instant=",
        "READY",
    ];
    check("requests", &messages);
}

/// Idle connections to a host that drops them are closed before the next request to the host.
#[test]
fn idle_connections() {
    check("idle_connections", &["LET_GO who=router_0 host="]);
}

/// An endpoint list that has to be asked for, a failure to get it, and a list of each scope.
#[test]
fn host_lists() {
    check(
        "host_lists",
        &["TAIL who=router_0 enable=1", "FORWARD who=router_0 req="],
    );
}

/// Gossip between routers; a disputed response shows in the gossip that is sent.
#[test]
fn gossip() {
    check("gossip", &["BROADCAST_TO who=router_0 whom=2 payload="]);
}

/// A canary with too few outcomes in a stage that is ready is promoted.
#[test]
fn vote_on() {
    check(
        "vote_on",
        &[
            "SAY_SO who=router_0 rel=8 wave=0 sense=1",
            "JOURNAL_LINE who=router_0 ",
        ],
    );
}

/// Where a timer advances the stages and the canary's hosts are missing, the canary is held at first; then the vote is
/// withdrawn.
#[test]
fn vote_hold_then_none() {
    let messages = [
        "SAY_SO who=router_0 rel=8 wave=0 sense=2",
        "SAY_SO who=router_0 rel=8 wave=0 sense=0",
    ];
    check("vote_hold_then_none", &messages);
}

/// A canary that answers with errors is rolled back.
#[test]
fn vote_back() {
    check(
        "vote_back",
        &[
            "SAY_SO who=router_0 rel=8 wave=0 sense=3",
            "JOURNAL_LINE who=router_0 ",
        ],
    );
}

/// Unknown messages and values are rejected with the number of the line.
#[test]
fn unknown_messages_and_values_are_rejected() {
    let rejections = [
        (
            "refused_verdict",
            "line 3: verdict 8 in PING_RESULT is not known",
        ),
        ("refused_course", "line 3: course 4 is not known"),
        ("refused_message", "line 3: message ARRIVED is not known"),
    ];
    for (script, expected) in rejections {
        let output = run_adapter(script);
        assert!(!output.status.success(), "{script} is accepted");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            error.trim_end(),
            format!("kestreltide-simulator-adapter: {expected}"),
            "{script}"
        );
    }
}
