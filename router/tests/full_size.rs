//! Lists, configurations and messages at their size limits and just beyond them, and malformed input of that size:
//! input within a limit is accepted, other input is rejected with the field or limit in the error, the last valid state
//! is kept, and no request fails.

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::{fs, thread};

use kestreltide_router::limits::ResponseLimits;
use kestreltide_router::protocol::discovery::{ChunkedBody, parse_response};
use kestreltide_testkit::*;
use rstest::rstest;

/// Path of the router's executable.
const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");
/// Request attributes: the idempotent operation `read` with a time limit of 5000 ms.
const READ: &str = "c=read,d=5000";
/// The most hosts that a router keeps.
const MAX_HOSTS: usize = 16_384;
/// The most bytes of a discovery response and of a configuration file.
const MAX_FILE_BYTES: usize = 4 << 20;

/// A host that answers every request at once with the value `of ID`.
fn echo_host() -> SocketAddr {
    fake_host(|words| value_reply(&format!("of {}", words[2])))
}

/// An endpoint list of hosts that all have the same address; each is given by its number and state.
fn host_list(
    rev: u32,
    all: bool,
    address: SocketAddr,
    numbers: impl Iterator<Item = (usize, &'static str)>,
) -> String {
    let named: Vec<_> = numbers
        .map(|(number, state)| (format!("host-{number:06}"), state))
        .collect();
    let entries: Vec<_> = named
        .iter()
        .map(|(name, state)| (name.as_str(), address, *state))
        .collect();
    endpoint_list(rev, all, &entries)
}

/// These host numbers, each in the state `Ready`.
fn ready(numbers: impl Iterator<Item = usize>) -> impl Iterator<Item = (usize, &'static str)> {
    numbers.map(|number| (number, "Ready"))
}

/// The configuration with this `limits.memory_mb`.
fn with_memory(config: &str, memory_mb: usize) -> String {
    config.replace("\"memory_mb\":64", &format!("\"memory_mb\":{memory_mb}"))
}

/// A comma-separated list of distinct peer addresses, as JSON strings.
fn peer_addresses(count: usize) -> String {
    let address = |n: usize| format!("\"10.{}.{}.{}:7946\"", n >> 16, n >> 8 & 255, n & 255);
    (0..count).map(address).collect::<Vec<_>>().join(",")
}

/// The configuration with so many peers.
fn with_peers(config: &str, count: usize) -> String {
    config.replace(
        "\"known\":",
        &format!("\"peers\":[{}],\"known\":", peer_addresses(count)),
    )
}

/// The configuration with so many tenants.
fn with_tenants(config: &str, count: usize) -> String {
    let tenant = |n| format!("{{\"name\":\"t{n}\",\"quota_per_s\":5.0,\"fraction\":0.1}}");
    let tenants: Vec<_> = (0..count).map(tenant).collect();
    config.replace(
        "\"accounts\":[]",
        &format!("\"accounts\":[{}]", tenants.join(",")),
    )
}

/// Appends blanks until the text has this length in bytes.
fn padded(mut text: String, length: usize) -> String {
    text.extend(std::iter::repeat_n(' ', length - text.len()));
    text
}

/// Starts a router and gives it a list of `count` hosts. Its discovery answers with the lists that are sent through
/// the returned sender.
fn start_router_with_hosts(host: SocketAddr, count: usize) -> (RouterProcess, Sender<String>) {
    let (lists, answers) = channel();
    let program = RouterProcess::start(
        BINARY,
        &router_config(fake_discovery(answers), &endpoint_list(1, true, &[])),
    );
    lists
        .send(host_list(2, true, host, ready(0..count)))
        .expect("fake discovery runs");
    program.wait_for_log("ready");
    (program, lists)
}

/// Asserts that the router serves a request.
fn assert_serves(program: &RouterProcess) {
    assert_eq!(
        program.client().request(&["Q.ASK", "k", "id", READ]),
        "of id"
    );
}

#[test]
fn a_list_beyond_the_host_limit_is_truncated_and_logged() {
    let host = echo_host();
    let (program, lists) = start_router_with_hosts(host, MAX_HOSTS);
    lists
        .send(host_list(3, true, host, ready(0..MAX_HOSTS + 1)))
        .expect("fake discovery runs");
    let line = program.wait_for_log("endpoint list truncated");
    assert!(
        line.contains("left_out: 1,") && line.contains("most: 16384"),
        "{line}"
    );
    assert!(
        program
            .wait_for_log("rev: 3")
            .contains("entries: 16384, running: 16384")
    );
    assert_serves(&program);
}

/// Removed hosts are dropped before new ones are added, so that a replacement at the limit leaves no host out.
#[test]
fn hosts_that_replace_others_at_the_host_limit_are_accepted() {
    let host = echo_host();
    let (program, lists) = start_router_with_hosts(host, MAX_HOSTS);
    let full_list = host_list(3, true, host, ready(MAX_HOSTS..2 * MAX_HOSTS));
    let replacement = host_list(
        4,
        false,
        host,
        [(2 * MAX_HOSTS, "Ready"), (MAX_HOSTS, "Gone")].into_iter(),
    );
    for (rev, list, entries) in [
        (3, full_list, "entries: 16384, running: 16384"),
        (4, replacement, "entries: 2"),
    ] {
        lists.send(list).expect("fake discovery runs");
        let line = program.wait_for_log("endpoint list");
        assert!(
            line.contains(&format!("rev: {rev}")) && line.contains(entries),
            "{line}"
        );
    }
    assert_serves(&program);
}

#[rstest]
#[case::at_the_limit(MAX_FILE_BYTES, None)]
#[case::one_byte_over(MAX_FILE_BYTES + 1, Some("content-length: the answer is too long (4194305 bytes; 4194304 at most)"))]
fn a_discovery_response_at_its_size_limit_is_accepted_and_one_byte_more_is_rejected(
    #[case] length: usize,
    #[case] error: Option<&str>,
) {
    let host = echo_host();
    let (program, lists) = start_router_with_hosts(host, 1);
    lists
        .send(padded(
            host_list(3, true, host, ready(0..MAX_HOSTS)),
            length,
        ))
        .expect("fake discovery runs");
    match error {
        None => drop(program.wait_for_log("rev: 3")),
        Some(message) => {
            let line = program.wait_for_log("discovery request failed");
            assert!(line.contains(message), "{line}");
        }
    }
    assert_serves(&program);
}

/// A discovery that writes the given bytes as its response and then keeps (`true`) or closes (`false`) the connection.
fn raw_discovery(answers: Receiver<(String, bool)>) -> SocketAddr {
    let answers = std::sync::Mutex::new(answers);
    spawn_server(move |stream: TcpStream| {
        let mut lines =
            BufReader::new(stream.try_clone().expect("the socket can be cloned")).lines();
        while lines
            .by_ref()
            .map_while(Result::ok)
            .any(|line| line.is_empty())
        {
            let Ok((text, keeps_open)) = answers.lock().expect("the mutex is not poisoned").recv()
            else {
                return;
            };
            let _ = (&stream).write_all(text.as_bytes());
            if !keeps_open {
                return drop(stream.shutdown(std::net::Shutdown::Both));
            }
        }
    })
}

/// An HTTP response with a `Content-Length`.
fn plain_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An HTTP response in chunks of `chunk_bytes`.
fn chunked_response(body: &str, chunk_bytes: usize) -> String {
    let mut text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    for chunk in body.as_bytes().chunks(chunk_bytes) {
        let chunk = str::from_utf8(chunk).expect("plain text");
        let _ = write!(text, "{:x}\r\n{chunk}\r\n", chunk.len());
    }
    text + "0\r\n\r\n"
}

/// Truncated, stale, duplicated, unordered and unterminated lists fail no request, and the last valid list stays in
/// use.
#[test]
fn invalid_lists_at_the_host_limit_fail_no_request() {
    let host = echo_host();
    let (lists, answers) = channel();
    let text = router_config(raw_discovery(answers), &endpoint_list(1, true, &[]));
    let program = RouterProcess::start(BINARY, &text);
    lists
        .send((
            plain_response(&host_list(10, true, host, ready(0..MAX_HOSTS))),
            true,
        ))
        .expect("fake discovery runs");
    program.wait_for_log("rev: 10");
    let (stop, mut client) = (Arc::new(AtomicBool::new(false)), program.client());
    let stopped = stop.clone();
    let client_thread = thread::spawn(move || {
        let mut count = 0;
        while !stopped.load(Relaxed) || count < 10 {
            let id = format!("id{count}");
            assert_eq!(
                client.request(&["Q.ASK", "k", &id, READ]),
                format!("of {id}")
            );
            count += 1;
        }
    });
    let full_list = |rev| host_list(rev, true, host, ready(0..MAX_HOSTS));
    let (first, second) = (ready(0..MAX_HOSTS / 2), ready(0..MAX_HOSTS / 2));
    let duplicated = host_list(13, true, host, first.chain(second));
    let truncated = full_list(11)[..1 << 20].to_owned();
    let unterminated = chunked_response(&padded(full_list(17), MAX_FILE_BYTES), 1 << 16)
        .replace("0\r\n\r\n", "10000\r\n");
    let steps = [
        // Truncated by the end of the connection, and by a body that ends too soon.
        (
            (plain_response(&full_list(11))[..1 << 20].to_owned(), false),
            "the connection ended",
        ),
        ((plain_response(&truncated), true), "EOF while parsing"),
        // Stale: changes of a revision before the known one.
        (
            (
                plain_response(&host_list(9, false, host, ready(0..MAX_HOSTS))),
                true,
            ),
            "changes of version 9 after a later one",
        ),
        ((plain_response(&full_list(12)), true), "rev: 12"),
        (
            (plain_response(&duplicated), true),
            "endpoint list names hosts twice",
        ),
        (
            (
                plain_response(&host_list(14, true, host, ready((0..MAX_HOSTS).rev()))),
                true,
            ),
            "rev: 14",
        ),
        (
            (
                plain_response(&full_list(14).replace("127.0.0.1", "nowhere")),
                true,
            ),
            "targets[0].endpoint: ",
        ),
        ((chunked_response(&full_list(15), 1400), true), "rev: 15"),
        (
            (unterminated, true),
            "chunks: the answer is too long (4259840 bytes; 4194304 at most)",
        ),
        ((plain_response(&full_list(18)), true), "rev: 18"),
    ];
    for (answer, expected_log) in steps {
        lists.send(answer).expect("fake discovery runs");
        program.wait_for_log(expected_log);
    }
    stop.store(true, Relaxed);
    client_thread.join().expect("every request was answered");
}

/// A chunked response that arrives in pieces is parsed once: bytes that have been parsed are not read again. The test
/// overwrites them between calls.
#[test]
fn the_chunks_of_a_response_are_parsed_once() {
    let body = "x".repeat(100_000);
    let mut bytes = chunked_response(&body, 1000).into_bytes();
    let head_bytes = 4 + bytes
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .expect("a head");
    let limits = ResponseLimits {
        body: 100_000,
        head: 1000,
        frame: 10_000,
        headers: 8,
    };
    let mut chunk_state = ChunkedBody::default();
    for received_bytes in (0..bytes.len()).step_by(777) {
        assert_eq!(
            parse_response(&bytes[..received_bytes], &limits, &mut chunk_state),
            Ok(None)
        );
        let overwritten_to = received_bytes.saturating_sub(2000).max(head_bytes);
        bytes[head_bytes..overwritten_to].fill(b'!');
    }
    let parsed = parse_response(&bytes, &limits, &mut chunk_state)
        .expect("well formed")
        .expect("a complete response");
    assert_eq!(parsed.0.body, body.as_bytes());
    assert_eq!(parsed.1, bytes.len());
}

#[rstest]
#[case::unterminated_head("HTTP/1.1 200 OK\r\nx: ", "head: the answer is too long")]
#[case::unterminated_chunk_size(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
    "a chunk's size: "
)]
fn an_unterminated_response_is_rejected_at_its_limit(
    #[case] start: &str,
    #[case] expected_start: &str,
) {
    let limits = ResponseLimits {
        body: 100_000,
        head: 1000,
        frame: 10_000,
        headers: 8,
    };
    let text = start.to_owned() + &"y".repeat(1100);
    let error = parse_response(text.as_bytes(), &limits, &mut ChunkedBody::default())
        .expect_err("rejected");
    assert!(error.to_string().starts_with(expected_start), "{error}");
}

/// Runs `check-config` on this configuration; the error is its standard error.
fn check_config(config: &str) -> Result<(), String> {
    let output = RouterProcess::command(BINARY, "check-config", config)
        .output()
        .expect("the program starts");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    if output.status.success() {
        Ok(())
    } else {
        Err(stderr)
    }
}

#[test]
fn a_configuration_file_at_its_size_limit_is_accepted_and_one_byte_more_is_rejected() {
    let text = router_config(unused_address(), &endpoint_list(1, true, &[]));
    check_config(&padded(text.clone(), MAX_FILE_BYTES)).expect("the configuration is accepted");
    let error = check_config(&padded(text, MAX_FILE_BYTES + 1)).expect_err("rejected");
    assert!(
        error.contains("it is too long (4194305 bytes; 4194304 at most)"),
        "{error}"
    );
}

/// Configurations of the sizes that deployments use, and of the largest size.
#[rstest]
#[case::test_deployment(16, 300, 150, 50)]
#[case::small_deployment(32, 760, 1000, 200)]
#[case::large_deployment(256, 760, 7_400, 0)]
#[case::maximum_hosts(256, 760, MAX_HOSTS, 0)]
#[case::many_tenants(256, 760, 1_000, 53_000)]
fn a_configuration_within_its_memory_limit_is_accepted(
    #[case] memory_mb: usize,
    #[case] peers: usize,
    #[case] known: usize,
    #[case] tenants: usize,
) {
    let text = router_config(
        unused_address(),
        &host_list(1, true, unused_address(), ready(0..known)),
    );
    check_config(&with_memory(
        &with_tenants(&with_peers(&text, peers), tenants),
        memory_mb,
    ))
    .expect("the configuration is accepted");
}

#[rstest]
#[case::peers(
    32,
    20_000,
    0,
    0,
    "peers: more than memory bears (20000 addresses; 1",
    "memory_mb is 32"
)]
#[case::hosts(
    16,
    0,
    2_000,
    0,
    "known.targets: more than memory bears (2000 hosts; ",
    "memory_mb is 16"
)]
#[case::too_many_hosts(512, 0, MAX_HOSTS + 1, 0, "known.targets: more than a router keeps (16385 hosts; 16384 at most)", "")]
#[case::tenants(
    64,
    0,
    0,
    53_000,
    "settings.accounts[",
    "holds more than memory bears (limits.memory_mb is 64)"
)]
#[case::too_many_tenants(
    4096,
    0,
    0,
    65_537,
    "settings.accounts.count: is not within 0 and 65536",
    "(65537 was given)"
)]
fn a_configuration_beyond_a_limit_is_rejected_with_the_field(
    #[case] memory_mb: usize,
    #[case] peers: usize,
    #[case] known: usize,
    #[case] tenants: usize,
    #[case] field: &str,
    #[case] limit: &str,
) {
    let text = router_config(
        unused_address(),
        &host_list(1, true, unused_address(), ready(0..known)),
    );
    let text = with_memory(&with_tenants(&with_peers(&text, peers), tenants), memory_mb);
    for verb in ["check-config", "serve"] {
        let output = RouterProcess::command(BINARY, verb, &text)
            .output()
            .expect("the program starts");
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains(field) && stderr.contains(limit),
            "{verb}: {stderr}"
        );
    }
}

/// A short text can have very many values, or long strings that need several times their size in memory.
#[rstest]
#[case::many_objects("{\"a\":1},".repeat(40_000), "settings.x[")]
#[case::long_string(format!("\"{}\",", "y".repeat(700_000)), "settings.x[0]")]
fn settings_that_need_far_more_memory_than_their_text_are_rejected(
    #[case] items: String,
    #[case] field: &str,
) {
    let text = router_config(unused_address(), &endpoint_list(1, true, &[]));
    let settings_start = format!("\"settings\":{{\"x\":[{}0],", items);
    let text = with_memory(&text.replace("\"settings\":{", &settings_start), 16);
    let error = check_config(&text).expect_err("rejected");
    assert!(
        error.contains(field) && error.contains("holds more than memory bears"),
        "{error}"
    );
}

#[rstest]
#[case::uid("\"uid\":\"a\"", "uid", 257)]
#[case::zone("\"az\":\"a\"", "az", 300)]
fn a_name_beyond_its_length_limit_is_rejected_with_its_path(
    #[case] original: &str,
    #[case] field: &str,
    #[case] length: usize,
) {
    let text = router_config(
        unused_address(),
        &endpoint_list(1, true, &[("a", unused_address(), "Ready")]),
    );
    let named = |length: usize| format!("\"{field}\":\"{}\"", "n".repeat(length));
    check_config(&text.replace(original, &named(256))).expect("the configuration is accepted");
    let error = check_config(&text.replace(original, &named(length))).expect_err("rejected");
    let expected = format!("known.targets[0].{field}: is too long ({length} bytes; 256 at most)");
    assert!(error.contains(&expected), "{error}");
}

/// A reload is checked against the memory limit of the start, whatever `memory_mb` the new file has.
#[rstest]
#[case::same_memory(32)]
#[case::larger_memory(100_000)]
fn a_reloaded_configuration_beyond_the_memory_limit_is_rejected(#[case] memory_mb: usize) {
    let (lists, answers) = channel();
    let text = router_config(
        fake_discovery(answers),
        &endpoint_list(1, true, &[("a", echo_host(), "Ready")]),
    );
    let program = RouterProcess::start(BINARY, &with_memory(&text, 32));
    lists
        .send(endpoint_list(2, false, &[]))
        .expect("fake discovery runs");
    program.wait_for_log("ready");
    program.reload(&with_memory(&with_peers(&text, 20_000), memory_mb));
    let line = program.wait_for_log("reloaded configuration rejected");
    assert!(
        line.contains("peers: more than memory bears (20000 addresses; "),
        "{line}"
    );
    assert!(line.contains("where limits.memory_mb is 32)"), "{line}");
    assert_serves(&program);
    let new_discovery = Discovery::start(5, endpoint_list(5, true, &[("b", echo_host(), "Ready")]));
    program.reload(&with_memory(
        &router_config(new_discovery.at, &endpoint_list(1, true, &[])),
        32,
    ));
    program.wait_for_log("rev: 5");
    assert_serves(&program);
}

/// Datagrams of a known peer that are too long, truncated, malformed or duplicated are dropped, and no request fails.
#[test]
fn oversized_and_malformed_datagrams_fail_no_request() {
    let bound_socket = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let (listen, peer) = (
        bound_socket().local_addr().expect("an address"),
        bound_socket(),
    );
    let peer_fields = format!(
        "\"peer_listen\":\"{listen}\",\"peers\":[\"{listen}\",\"{}\"],\"settings\"",
        peer.local_addr().expect("an address")
    );
    let (_lists, answers) = channel();
    let text = router_config(
        fake_discovery(answers),
        &endpoint_list(1, true, &[("a", echo_host(), "Ready")]),
    );
    let text = text
        .replace("\"settings\"", &peer_fields)
        .replace("\"peers\":false", "\"peers\":true");
    let program = RouterProcess::start(
        BINARY,
        &text.replace("\"group_size\":1", "\"group_size\":2"),
    );
    for payload in [&[][..], &[1], &[7; 5], &[255; 256], &[255; 256]] {
        peer.send_to(payload, listen).expect("the datagram is sent");
    }
    peer.send_to(&[7; 257], listen)
        .expect("the datagram is sent");
    let line = program.wait_for_log("datagram dropped, unknown peer or too long");
    assert!(
        line.contains(&peer.local_addr().expect("an address").to_string()),
        "{line}"
    );
    assert_serves(&program);
}

#[test]
fn a_platform_line_at_its_size_limit_is_accepted_and_one_byte_more_is_rejected() {
    let progress = |length: usize| {
        let params = r#"{"image":7,"ring":0,"progress":"live","ceiling":1.0,"lag_ms":0}"#;
        let line = format!(r#"{{"jsonrpc":"2.0","method":"progress","params":{params}}}"#);
        padded(line, length - 1) + "\n"
    };
    let (lines, written_lines) = channel::<String>();
    let written_lines = std::sync::Mutex::new(written_lines);
    let platform = spawn_server(move |stream| {
        while let Ok(line) = written_lines
            .lock()
            .expect("the mutex is not poisoned")
            .recv()
        {
            if (&stream).write_all(line.as_bytes()).is_err() {
                return;
            }
        }
    });
    let platform_field = format!("\"platform\":{{\"address\":\"{platform}\"}},\"settings\"");
    let (_lists, answers) = channel();
    let text = router_config(
        fake_discovery(answers),
        &endpoint_list(1, true, &[("a", echo_host(), "Ready")]),
    );
    let program = RouterProcess::start(BINARY, &text.replace("\"settings\"", &platform_field));
    lines.send(progress(8192)).expect("the platform runs");
    program.wait_for_log("rollout status, ");
    lines.send(progress(8193)).expect("the platform runs");
    let line = program.wait_for_log("platform connection lost");
    assert!(
        line.contains("a line is too long (8192 bytes at most)"),
        "{line}"
    );
    assert_serves(&program);
}

/// Each log line is one write, so that a slow reader blocks the log thread once a line and not for each part of it.
#[test]
fn each_log_line_is_one_write() {
    let (reader, writer) = UnixDatagram::pair().expect("a pair");
    reader
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a read timeout");
    let text = router_config(unused_address(), &endpoint_list(1, true, &[]));
    let mut command = RouterProcess::command(BINARY, "serve", &text);
    command.stderr(Stdio::from(OwnedFd::from(writer)));
    let mut child = command.spawn().expect("the program starts");
    let mut buffer = [0; 8192];
    let lines: Vec<_> = (0..3)
        .map(|_| {
            let length = reader.recv(&mut buffer).expect("a line");
            String::from_utf8_lossy(&buffer[..length]).into_owned()
        })
        .collect();
    child
        .kill()
        .and_then(|()| child.wait())
        .expect("the process exits");
    assert!(
        lines
            .iter()
            .all(|line| line.ends_with('\n') && line.matches('\n').count() == 1),
        "{lines:?}"
    );
    assert!(
        lines[0].contains("starting") && lines[1].contains("listening"),
        "{lines:?}"
    );
}

/// `check-operator` checks the number of hosts against the router's limit, and against the memory limit of the
/// configuration if it is given one.
#[rstest]
#[case::fits(MAX_HOSTS, None, None)]
#[case::beyond_the_host_limit(MAX_HOSTS + 1, None, Some("(given: 16385; taken: 16384 at most)"))]
#[case::beyond_the_memory_limit(
    2_000,
    Some(16),
    Some(
        "hosts: take more memory than the router has for them (given: 9216000 bytes for 2000 hosts"
    )
)]
fn a_hosts_file_beyond_a_limit_is_rejected_by_check_operator(
    #[case] count: usize,
    #[case] memory_mb: Option<usize>,
    #[case] expected_error: Option<&str>,
) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut text = "generation = g\n".to_owned();
    for n in 0..count {
        let endpoint = format!("10.{}.{}.{}:7", n >> 16, n >> 8 & 255, n & 255);
        let _ = write!(
            text,
            "[host h{n}]\nendpoint = {endpoint}\nzone = a\nkind = m\nbuild = 7\n"
        );
    }
    let _ = write!(text, "[end]\nhosts = {count}\ngeneration = g\n");
    let path = |name: &str| folder.path().join(name);
    fs::write(path("hosts.ini"), text).expect("a writable folder");
    fs::write(
        path("operator.ini"),
        "[watch]\nhosts = hosts.ini\ndiscovery = off\n",
    )
    .expect("a writable folder");
    let mut command = std::process::Command::new(BINARY);
    command.arg("check-operator").arg(path("operator.ini"));
    if let Some(memory_mb) = memory_mb {
        let text = with_memory(
            &router_config(unused_address(), &endpoint_list(1, true, &[])),
            memory_mb,
        );
        fs::write(path("config.json"), text).expect("a writable folder");
        command.arg("--config").arg(path("config.json"));
    }
    let output = command.output().expect("the program starts");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    match expected_error {
        None => assert!(output.status.success(), "{stderr}"),
        Some(error) => assert!(
            !output.status.success() && stderr.contains(error),
            "{stderr}"
        ),
    }
}

#[test]
fn a_router_with_the_maximum_number_of_hosts_serves_requests() {
    let host = echo_host();
    let (_lists, answers) = channel();
    let known = host_list(1, true, host, ready(0..MAX_HOSTS));
    let text = with_memory(
        &with_peers(&router_config(fake_discovery(answers), &known), 760),
        256,
    );
    let program = RouterProcess::start(BINARY, &text);
    assert_serves(&program);
}
