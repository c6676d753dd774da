//! Golden files of the simulator's line protocol: the adapter is run on `tests/golden/NAME.input` and
//! its standard output must equal `tests/golden/NAME.output` byte by byte.
//!
//! The inputs are written by hand, in the words of the protocol, and are never generated. After a deliberate
//! change of the output, write the outputs anew with
//! `KESTRELTIDE_REGENERATE_GOLDEN=1 cargo test -p kestreltide-simulator-adapter --test golden` and review
//! their difference. Effects that no script reaches are held by the tests of the codec.

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
    let input = File::open(golden_file(&format!("{script}.input"))).expect("the input is there");
    Command::new(env!("CARGO_BIN_EXE_kestreltide-simulator-adapter"))
        .stdin(input)
        .output()
        .expect("the adapter can be run")
}

/// The adapter's replies to a script equal its golden output, and contain each of these messages.
fn check(script: &str, messages: &[&str]) {
    let output = run_adapter(script);
    let complaint = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.success(),
        "the adapter failed on {script}: {complaint}"
    );
    let replies = String::from_utf8(output.stdout).expect("the replies are text");
    let path = golden_file(&format!("{script}.output"));
    if env::var(REGENERATE).as_deref() == Ok("1") {
        fs::write(&path, &replies).expect("the golden file can be written");
    }
    let golden = fs::read_to_string(&path).expect("the golden file can be read");
    assert_eq!(replies, golden, "{} no longer holds", path.display());
    for message in messages {
        let written = replies.lines().any(|line| line.starts_with(message));
        assert!(written, "{script} no longer shows {message}");
    }
}

/// Requests with each outcome, shed with and without a time to retry after, abandoned and streamed.
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

/// Requests to a host that loses its idle connections: they are closed first.
#[test]
fn idle_connections() {
    check("idle_connections", &["LET_GO who=router_0 host="]);
}

/// An endpoint list that is polled, its failure, and each scope of a list.
#[test]
fn host_lists() {
    check(
        "host_lists",
        &["TAIL who=router_0 enable=1", "FORWARD who=router_0 req="],
    );
}

/// Gossip between routers, and a disputed answer that shows in the gossip sent.
#[test]
fn gossip() {
    check("gossip", &["BROADCAST_TO who=router_0 whom=2 payload="]);
}

/// The canary gets too few samples while its stage is ready: promoted.
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

/// The stages advance by time and the canary's hosts are missing: held, then no vote.
#[test]
fn vote_hold_then_none() {
    let messages = [
        "SAY_SO who=router_0 rel=8 wave=0 sense=2",
        "SAY_SO who=router_0 rel=8 wave=0 sense=0",
    ];
    check("vote_hold_then_none", &messages);
}

/// The canary answers with errors: rolled back.
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

/// Words and fields that are not of the protocol are rejected with the line's number.
#[test]
fn unknown_words_are_refused() {
    let refusals = [
        (
            "refused_verdict",
            "line 3: verdict 8 in PING_RESULT is not known",
        ),
        ("refused_course", "line 3: course 4 is not known"),
        ("refused_message", "line 3: message ARRIVED is not known"),
    ];
    for (script, complaint) in refusals {
        let output = run_adapter(script);
        assert!(!output.status.success(), "{script} is accepted");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            error.trim_end(),
            format!("kestreltide-simulator-adapter: {complaint}"),
            "{script}"
        );
    }
}
