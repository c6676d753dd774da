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

/// One side of a connection.
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

fn wait_until(what: &str, holds: impl Fn(&[Endpoint]) -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let text = fs::read_to_string("/proc/net/tcp").expect("the kernel lists its connections");
        let endpoints: Vec<_> = text.lines().filter_map(Endpoint::parse).collect();
        if holds(&endpoints) {
            return;
        }
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until a connection to this address is being attempted and is not accepted.
pub(crate) fn wait_for_attempt_to_connect(to: SocketAddr) {
    wait_until("an attempt to connect", |ends| {
        ends.iter()
            .any(|end| end.remote_port == to.port() && end.is(State::SynSent))
    });
}

/// Waits until the other side has acknowledged the end of the stream that was sent from this address.
pub(crate) fn wait_for_end_to_arrive(from: SocketAddr) {
    wait_until("the end of a connection", |ends| {
        let is_unacknowledged =
            |end: &Endpoint| end.is(State::Established) || end.is(State::FinWait1);
        !ends
            .iter()
            .any(|end| end.local_port == from.port() && is_unacknowledged(end))
    });
}
