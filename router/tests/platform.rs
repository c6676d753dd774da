//! The connection to the platform: reconnection, line timeouts, and errors in reply to votes.

mod common;

use std::io::Read;
use std::sync::Mutex;
use std::sync::mpsc::channel;

use kestreltide_router::protocol::platform;
use kestreltide_testkit::*;
use rstest::rstest;

use common::BINARY;

#[test]
fn the_platform_is_reconnected_after_a_malformed_line() {
    let progress_line = r#"{"jsonrpc":"2.0","method":"progress","params":{"image":8,"ring":0,"progress":"testing","#;
    let progress_line = progress_line.to_owned() + r#""ceiling":0.5,"lag_ms":0}}"#;
    let lines = Mutex::new(vec![progress_line + "\n", "{nonsense}\n".to_owned()]);
    let platform = spawn_server(move |mut stream| {
        let line = lines.lock().expect("the mutex is not poisoned").pop();
        let _ = std::io::Write::write_all(&mut stream, line.unwrap_or_default().as_bytes());
        let _ = stream.read_to_end(&mut vec![]);
    });
    let (_lists, answers) = channel();
    let platform_field = format!("\"platform\":{{\"address\":\"{platform}\"}},\"settings\"");
    let text = router_config(fake_discovery(answers), &endpoint_list(1, true, &[]))
        .replace("\"settings\"", &platform_field);
    let program = RouterProcess::start(BINARY, &text);
    program.wait_for_log("platform connection lost");
    assert!(program.wait_for_log("Canary").contains("build: 8"));
}

#[test]
fn a_stalled_platform_line_times_out_sooner_than_a_quiet_connection() {
    let platform = spawn_server(move |mut stream| {
        let _ = std::io::Write::write_all(&mut stream, b"{\"jsonrpc\":");
        let _ = stream.read_to_end(&mut vec![]);
    });
    let (_lists, answers) = channel();
    let platform_field = format!("\"platform\":{{\"address\":\"{platform}\"}},\"settings\"");
    let text = router_config(fake_discovery(answers), &endpoint_list(1, true, &[]))
        .replace("\"settings\"", &platform_field);
    let program = RouterProcess::start(BINARY, &text);
    assert!(
        program
            .wait_for_log("platform connection lost")
            .contains("a line does not end")
    );
}

#[rstest]
#[case::full("too_many_calls", kestreltide::interface::AttemptOutcome::Rejected)]
#[case::moot("out_of_date", kestreltide::interface::AttemptOutcome::Irrelevant)]
#[case::error("unavailable", kestreltide::interface::AttemptOutcome::Error)]
#[case::wrong("bad_request", kestreltide::interface::AttemptOutcome::Error)]
fn a_rejected_vote_has_its_reason_as_outcome(
    #[case] message: &str,
    #[case] outcome: kestreltide::interface::AttemptOutcome,
) {
    let line = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":3,\"error\":{{\"code\":-32602,\"message\":\"{message}\"}}}}\n"
    );
    let parsed = platform::parse_line(line.as_bytes(), 1000).expect("well formed");
    assert_eq!(
        parsed.map(|parsed| parsed.0),
        Some(platform::PlatformMessage::Error { call: 3, outcome })
    );
}
