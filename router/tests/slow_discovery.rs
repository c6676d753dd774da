//! Discovery that is slow or hangs: its late answers are accepted, and nothing waits longer for one that hangs.

mod common;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_testkit::*;
use rstest::rstest;

use common::{BINARY, READ};

/// Discovery may take this long for each response.
const SLOW: Duration = Duration::from_millis(1500);
/// What discovery has counts as known to a router this long after SIGHUP.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);
/// What a watch misses counts as known this long after its hold time has passed.
const WATCH_LIMIT: Duration = Duration::from_secs(2);
/// What a watch misses counts as known this long after it fell silent, or later, see [`WATCH_LIMIT`].
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
/// A router that waits no longer for discovery is ready with its cached list after this time.
const READY_TIMEOUT: Duration = Duration::from_secs(3);

/// The most calls that are open at once: one whose answer is expected and three that are late.
const MAX_CALLS: usize = 4;

/// A host that answers every request with its name.
fn named_host(name: &'static str) -> SocketAddr {
    fake_host(move |_| value_reply(name))
}

/// Two hosts, both running or with `a` draining.
struct Hosts {
    a: SocketAddr,
    b: SocketAddr,
}

impl Hosts {
    fn start() -> Self {
        Hosts {
            a: named_host("a"),
            b: named_host("b"),
        }
    }

    fn running(&self, rev: u32) -> String {
        endpoint_list(rev, true, &[("a", self.a, "Ready"), ("b", self.b, "Ready")])
    }

    fn a_draining(&self, rev: u32) -> String {
        endpoint_list(
            rev,
            true,
            &[("a", self.a, "Terminating"), ("b", self.b, "Ready")],
        )
    }
}

/// The configuration of a router with this discovery, pushed (`push`) or polled (`ask`).
fn config_in_mode(mode: &str, discovery: &Discovery, hosts: &Hosts) -> String {
    let mode = format!("\"discovery\":\"{mode}\"");
    router_config(discovery.at, &hosts.running(1)).replace("\"discovery\":\"push\"", &mode)
}

/// Fails unless all requests are served by `b`.
fn assert_only_b_serves(program: &RouterProcess) {
    let mut client = program.client();
    let mut replies = (0..20).map(|id| client.request(&["Q.ASK", "k", &id.to_string(), READ]));
    assert!(replies.all(|reply| reply == "b"));
}

/// review/9: each answer was thrown away 1.0 s after the request, or 0.4 s after its head, and requested again.
#[rstest]
#[case::whole_response(ResponseDelay::BeforeHead(SLOW))]
#[case::body(ResponseDelay::BeforeBody(SLOW))]
fn a_slow_discovery_is_followed_after_a_reload(
    #[case] delay: ResponseDelay,
    #[values("push", "ask")] mode: &str,
) {
    let hosts = Hosts::start();
    let old = Discovery::start(1, hosts.running(1));
    let program = RouterProcess::start(BINARY, &config_in_mode(mode, &old, &hosts));
    program.wait_for_log("ready");
    let new = Discovery::start_slow(2, hosts.a_draining(2), delay);
    let reloaded_at = Instant::now();
    program.reload(&config_in_mode(mode, &new, &hosts));
    program.wait_for_log("rev: 2");
    assert!(reloaded_at.elapsed() < RELOAD_LIMIT);
    assert_only_b_serves(&program);
}

/// review/9 at a start: the router served by its cached list, and never learned of any change.
#[rstest]
#[case::whole_response(ResponseDelay::BeforeHead(SLOW))]
#[case::body(ResponseDelay::BeforeBody(SLOW))]
fn a_router_that_starts_beside_a_slow_discovery_is_ready_with_its_list(
    #[case] delay: ResponseDelay,
    #[values("push", "ask")] mode: &str,
) {
    let hosts = Hosts::start();
    let discovery = Discovery::start_slow(2, hosts.a_draining(2), delay);
    let started_at = Instant::now();
    let program = RouterProcess::start(BINARY, &config_in_mode(mode, &discovery, &hosts));
    assert!(program.wait_for_log("ready").contains("by: news"));
    assert!(started_at.elapsed() < READY_TIMEOUT);
    assert_only_b_serves(&program);
}

/// A change at the end of the hold time was thrown away with the watch, and requested again too late.
#[rstest]
#[case::pushed("push")]
#[case::polled("ask")]
fn a_change_in_a_late_answer_to_a_watch_is_accepted_in_time(#[case] mode: &str) {
    let hosts = Hosts::start();
    let delay = ResponseDelay::BeforeHead(SLOW);
    let discovery = Discovery::start_slow(2, hosts.running(2), delay);
    let program = RouterProcess::start(BINARY, &config_in_mode(mode, &discovery, &hosts));
    program.wait_for_log("rev: 2");
    let watch = discovery.wait_for_watch(0);
    let change_at = watch.at + watch.hold - Duration::from_millis(200);
    thread::sleep(change_at.saturating_duration_since(Instant::now()));
    discovery.publish(3, hosts.a_draining(3));
    program.wait_for_log("rev: 3");
    assert!(watch.at.elapsed() < watch.hold + WATCH_LIMIT);
    assert_only_b_serves(&program);
}

/// Each answer to a watch came after its timeout, and the watch was repeated as a poll.
#[rstest]
#[case::whole_response(ResponseDelay::BeforeHead(SLOW))]
#[case::body(ResponseDelay::BeforeBody(SLOW))]
fn the_watch_of_a_slow_discovery_is_not_repeated(
    #[case] delay: ResponseDelay,
    #[values("push", "ask")] mode: &str,
) {
    let hosts = Hosts::start();
    let discovery = Discovery::start_slow(2, hosts.running(2), delay);
    let program = RouterProcess::start(BINARY, &config_in_mode(mode, &discovery, &hosts));
    program.wait_for_log("rev: 2");
    let last_watch = discovery.wait_for_watch(2);
    assert!(last_watch.hold >= Duration::from_secs(1));
    discovery.publish(3, hosts.a_draining(3));
    let mut lines = program.log_lines_until("rev: 3").into_iter();
    assert_eq!(lines.find(|line| line.contains("request failed")), None);
}

/// A watch that falls silent at a slow discovery was replaced too late for what it missed.
#[rstest]
#[case::pushed("push")]
#[case::polled("ask")]
fn a_silent_watch_of_a_slow_discovery_is_replaced_in_time(#[case] mode: &str) {
    let hosts = Hosts::start();
    let discovery =
        Discovery::start_with_silent_watch(2, hosts.running(2), ResponseDelay::BeforeHead(SLOW), 0);
    let program = RouterProcess::start(BINARY, &config_in_mode(mode, &discovery, &hosts));
    program.wait_for_log("rev: 2");
    let silent_watch = discovery.wait_for_watch(0);
    discovery.publish(3, hosts.a_draining(3));
    program.wait_for_log("rev: 3");
    assert!(silent_watch.at.elapsed() < SILENCE_LIMIT);
    assert_only_b_serves(&program);
}

/// A poll that takes longer than its timeout is still accepted until the next one begins. The next one replaces it, so
/// that discovery never has two polls of a router to serve.
#[test]
fn in_polling_mode_a_poll_is_accepted_until_the_next_one() {
    let hosts = Hosts::start();
    let delay = ResponseDelay::BeforeHead(Duration::from_millis(2900));
    let discovery = Discovery::start_slow(2, hosts.a_draining(2), delay);
    let config = router_config(discovery.at, &hosts.running(1));
    let program = RouterProcess::start(BINARY, &config.replace("\"push\"", "\"ask\""));
    program.wait_for_log("rev: 2");
    assert_eq!(discovery.most_open_requests(), 1);
    assert_only_b_serves(&program);
}

/// A discovery that accepts connections and never answers on those that it got before it was revived.
struct HungDiscovery {
    at: SocketAddr,
    is_revived: Arc<AtomicBool>,
    connections: Arc<AtomicUsize>,
    /// Number of connections that the router has not closed.
    open: Arc<AtomicUsize>,
}

impl HungDiscovery {
    fn start(list: String) -> Self {
        let is_revived = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(AtomicUsize::new(0));
        let open = Arc::new(AtomicUsize::new(0));
        let (revived, count) = (is_revived.clone(), connections.clone());
        let now_open = open.clone();
        let (answers, bodies) = std::sync::mpsc::channel();
        answers.send(list).expect("the receiver exists");
        let answering = fake_discovery(bodies);
        let sender = Mutex::new(answers);
        let at = spawn_server(move |mut stream| {
            let _keep_open = &sender;
            count.fetch_add(1, SeqCst);
            if revived.load(SeqCst) {
                return relay(stream, answering);
            }
            now_open.fetch_add(1, SeqCst);
            let _ = stream.read_to_end(&mut vec![]);
            now_open.fetch_sub(1, SeqCst);
        });
        HungDiscovery {
            at,
            is_revived,
            connections,
            open,
        }
    }
}

/// Passes all bytes of a connection on to another server, and back.
fn relay(stream: std::net::TcpStream, to: SocketAddr) {
    let server = std::net::TcpStream::connect(to).expect("the server accepts");
    let (mut requests, mut responses) = (
        stream.try_clone().expect("a second handle"),
        server.try_clone().expect("a second handle"),
    );
    let mut to_server = server;
    thread::spawn(move || std::io::copy(&mut requests, &mut to_server));
    let mut to_router = stream;
    let _ = std::io::copy(&mut responses, &mut to_router);
}

/// Calls that hang are repeated each second, as many at once as are kept for late answers. Once discovery answers new
/// calls, the next one brings the list, and all others are closed.
#[test]
fn a_hung_discovery_is_called_at_a_steady_pace_until_it_answers() {
    let hosts = Hosts::start();
    let discovery = HungDiscovery::start(hosts.a_draining(2));
    let program = RouterProcess::start(BINARY, &router_config(discovery.at, &hosts.running(1)));
    // Between two calls, as a connection that is closed for a new one may be noticed after it.
    thread::sleep(Duration::from_millis(500));
    for second in 0..14 {
        let open = discovery.open.load(SeqCst);
        assert!(open <= MAX_CALLS, "{open} calls after {second}.5 s");
        thread::sleep(Duration::from_secs(1));
    }
    let connections = discovery.connections.load(SeqCst);
    assert!((13..=15).contains(&connections), "{connections}");
    discovery.is_revived.store(true, SeqCst);
    let revived_at = Instant::now();
    program.wait_for_log("rev: 2");
    assert!(revived_at.elapsed() < Duration::from_millis(1500));
    assert_only_b_serves(&program);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while discovery.open.load(SeqCst) > 0 {
        assert!(Instant::now() < deadline, "the late calls are still open");
        thread::sleep(Duration::from_millis(10));
    }
}

/// Reloads in quick succession, each to another discovery that hangs, and then to a slow one that is named twice.
#[test]
fn the_last_of_several_reloads_is_followed_in_time() {
    let hosts = Hosts::start();
    let old = Discovery::start(1, hosts.running(1));
    let program = RouterProcess::start(BINARY, &router_config(old.at, &hosts.running(1)));
    program.wait_for_log("ready");
    let pause = Duration::from_millis(300);
    let hung: Vec<_> = (0..4)
        .map(|_| HungDiscovery::start(hosts.running(1)))
        .collect();
    for discovery in &hung {
        program.reload(&router_config(discovery.at, &hosts.running(1)));
        program.wait_for_log("configuration reloaded");
        thread::sleep(pause);
    }
    let slow = Discovery::start_slow(2, hosts.a_draining(2), ResponseDelay::BeforeHead(SLOW));
    let reloaded_at = Instant::now();
    program.reload(&router_config(slow.at, &hosts.running(1)));
    program.wait_for_log("configuration reloaded");
    thread::sleep(pause);
    program.reload(&router_config(slow.at, &hosts.running(1)));
    program.wait_for_log("rev: 2");
    assert!(reloaded_at.elapsed() < RELOAD_LIMIT);
    assert_only_b_serves(&program);
    assert!(
        hung.iter()
            .all(|discovery| discovery.open.load(SeqCst) == 0)
    );
}
