//! Rejection of invalid configurations, and reload of the configuration file on SIGHUP.

mod common;

use std::io::{BufRead, Read};
use std::sync::Mutex;
use std::sync::mpsc::channel;

use kestreltide_testkit::*;
use rstest::rstest;

use common::{BINARY, READ};

/// A platform that reports the first line of each connection.
fn fake_platform() -> (std::net::SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (first_line_sender, first_lines) = channel();
    let first_line_sender = Mutex::new(first_line_sender);
    let address = spawn_server(move |stream| {
        let first_line = std::io::BufReader::new(&stream)
            .lines()
            .next()
            .and_then(Result::ok);
        let _ = first_line_sender
            .lock()
            .expect("the mutex is not poisoned")
            .send(first_line.unwrap_or_default());
        let _ = (&stream).read_to_end(&mut vec![]);
    });
    (address, first_lines)
}

#[test]
fn reloading_the_configuration_moves_discovery_and_the_platform_without_loss() {
    let (received_channel, release_channel) = (channel::<()>(), channel::<()>());
    let (received_sender, released) = (
        Mutex::new(received_channel.0),
        Mutex::new(release_channel.1),
    );
    let host = fake_host(move |words| {
        if words[2] == "open" {
            let _ = received_sender
                .lock()
                .expect("the mutex is not poisoned")
                .send(());
            let _ = released
                .lock()
                .expect("the mutex is not poisoned")
                .recv_timeout(TEST_TIMEOUT);
        }
        value_reply(&words[2])
    });
    let ((_old_lists, old_answers), (new_lists, new_answers)) = (channel(), channel());
    let ((old_platform, old_platform_lines), (new_platform, new_platform_lines)) =
        (fake_platform(), fake_platform());
    let config_with = |discovery, platform: std::net::SocketAddr, name: &str| {
        let platform = format!("\"platform\":{{\"address\":\"{platform}\"}},\"settings\"");
        let text = router_config(discovery, &endpoint_list(9, true, &[("a", host, "Ready")]));
        text.replace("\"settings\"", &platform)
            .replace("\"n0\"", name)
    };
    let (old_discovery, new_discovery) = (fake_discovery(old_answers), fake_discovery(new_answers));
    let program = RouterProcess::start(BINARY, &config_with(old_discovery, old_platform, "\"n0\""));
    old_platform_lines
        .recv_timeout(TEST_TIMEOUT)
        .expect("the router connects to the old platform");
    let mut client = program.client();
    client.send(&["Q.ASK", "k", "open", READ]);
    received_channel
        .1
        .recv_timeout(TEST_TIMEOUT)
        .expect("the host receives the request");
    // A file that is not JSON, one with an invalid value, and one that changes more than a reload may: each is rejected.
    program.reload("{\"name\"");
    assert!(
        program
            .wait_for_log("reloaded configuration rejected")
            .contains("EOF")
    );
    program.reload(
        &config_with(new_discovery, new_platform, "\"n0\"")
            .replace("\"credit\":1.0", "\"credit\":-1.0"),
    );
    assert!(
        program
            .wait_for_log("reloaded configuration rejected")
            .contains("settings.request_classes.0.credit")
    );
    program.reload(&config_with(new_discovery, new_platform, "\"other\""));
    assert!(
        program
            .wait_for_log("reloaded configuration rejected")
            .contains("name")
    );
    program.reload(&config_with(new_discovery, new_platform, "\"n0\""));
    assert!(
        new_platform_lines
            .recv_timeout(TEST_TIMEOUT)
            .expect("the router connects to the new platform")
            .contains("follow")
    );
    assert!(
        old_platform_lines.try_recv().is_err(),
        "the rejected files caused no reconnection"
    );
    // List revisions at the new address need not continue those of the old one.
    new_lists
        .send(endpoint_list(3, true, &[("a", host, "Ready")]))
        .expect("fake discovery runs");
    program.wait_for_log("rev: 3");
    drop(release_channel.0);
    assert_eq!(client.reply(), "open");
    assert_eq!(client.request(&["Q.ASK", "k", "after", READ]), "after");
}

#[test]
fn a_reloaded_file_overrides_the_environment_of_the_start() {
    let ((_old_lists, old_answers), (new_lists, new_answers)) = (channel(), channel());
    let (old_discovery, new_discovery) = (fake_discovery(old_answers), fake_discovery(new_answers));
    let known = endpoint_list(1, true, &[]);
    let program = RouterProcess::start_with_env(
        BINARY,
        &router_config(old_discovery, &known),
        &[("PROXY_DISCOVERY", old_discovery.to_string())],
    );
    program.reload(&router_config(new_discovery, &known));
    new_lists
        .send(endpoint_list(3, true, &[]))
        .expect("fake discovery runs");
    program.wait_for_log("rev: 3");
}

#[rstest]
#[case::missing("\"seed\":\"8c1f30d27a5be964\",", "", "seed")]
#[case::invalid_address("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"", "listen")]
#[case::wrong_type("\"sockets\":256", "\"sockets\":\"many\"", "limits.sockets")]
#[case::missing_in_settings("\"slo\":5000000,", "", "request_classes.0.slo")]
#[case::negative_rate("\"api_rate\":0.0", "\"api_rate\":-1", "extra.api_rate")]
#[case::rate_not_a_number("\"api_rate\":0.0", "\"api_rate\":\"NaN\"", "extra.api_rate")]
#[case::duplicate_key(
    "\"api_rate\":0.0",
    "\"api_rate\":0.0,\"api_rate\":1.0",
    "api_rate stands twice"
)]
#[case::duplicate_operation("\"name\":\"switch\"", "\"name\":\"read\"", "request_classes.1.name")]
#[case::duplicate_tenant(
    "\"accounts\":[]",
    "\"accounts\":[{\"name\":\"x\"},{\"name\":\"x\"}]",
    "accounts.1.name"
)]
#[case::unknown_variant("\"gate_mode\":\"any\"", "\"gate_mode\":\"some\"", "extra.gate_mode")]
#[case::invalid_known_list("\"rev\":1", "\"rev\":-1", "known")]
fn an_invalid_configuration_ends_the_program_and_names_the_field(
    #[case] original: &str,
    #[case] replacement: &str,
    #[case] named_field: &str,
) {
    let text = router_config(unused_address(), &endpoint_list(1, true, &[]));
    assert!(text.contains(original));
    for verb in ["serve", "check-config"] {
        let output = RouterProcess::command(BINARY, verb, &text.replace(original, replacement))
            .output()
            .expect("the program starts");
        assert!(!output.status.success(), "{verb}");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(stderr.contains(named_field), "{verb}: {stderr}");
    }
}
