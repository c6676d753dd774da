//! Waits for states of TCP connections, as the kernel reports them in `/proc/net/tcp`.

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::TEST_TIMEOUT;

/// The states of a connection that tests wait for, numbered as in the kernel's `tcp_states.h`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Established = 1,
    SynSent = 2,
    FinWait1 = 4,
}

/// The state of one side of a connection.
struct Endpoint {
    local_port: u16,
    remote_port: u16,
    state: u8,
}

impl Endpoint {
    /// Parses a line; its second to fourth words are local address, remote address and state, in hexadecimal.
    fn parse(line: &str) -> Option<Self> {
        let mut words = line.split_whitespace().skip(1);
        let mut port = || u16::from_str_radix(words.next()?.split_once(':')?.1, 16).ok();
        let local_port = port()?;
        let remote_port = port()?;
        let state = u8::from_str_radix(words.next()?, 16).ok()?;
        Some(Endpoint {
            local_port,
            remote_port,
            state,
        })
    }

    fn is(&self, state: State) -> bool {
        self.state == state as u8
    }
}

/// Waits until the states of all connections fulfil a condition.
fn wait_until(awaited: &str, is_fulfilled: impl Fn(&[Endpoint]) -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let text = fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
        let endpoints: Vec<_> = text.lines().filter_map(Endpoint::parse).collect();
        if is_fulfilled(&endpoints) {
            return;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {awaited}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until a connection to this address is being attempted and is not accepted.
pub(crate) fn wait_for_connection_attempt(to: SocketAddr) {
    wait_until("a connection attempt", |endpoints| {
        endpoints
            .iter()
            .any(|endpoint| endpoint.remote_port == to.port() && endpoint.is(State::SynSent))
    });
}

/// Waits until the other side has acknowledged the FIN that was sent from this address.
pub(crate) fn wait_for_fin_to_be_acknowledged(from: SocketAddr) {
    wait_until("the acknowledgement of a FIN", |endpoints| {
        let is_unacknowledged =
            |endpoint: &Endpoint| endpoint.is(State::Established) || endpoint.is(State::FinWait1);
        !endpoints
            .iter()
            .any(|endpoint| endpoint.local_port == from.port() && is_unacknowledged(endpoint))
    });
}
