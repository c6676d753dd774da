//! What the machine says of its TCP connections, so that a test goes on once what it forces has happened.

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::TEST_TIMEOUT;

/// How far a connection has come, as the kernel numbers its states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Established = 1,
    SynSent = 2,
    FinWait1 = 4,
}

/// One end of a connection.
struct End {
    local_port: u16,
    remote_port: u16,
    state: u8,
}

impl End {
    /// Local address, remote address and state are the second to the fourth word of a line, in hexadecimal.
    fn read(line: &str) -> Option<Self> {
        let mut words = line.split_whitespace().skip(1);
        let mut port = || u16::from_str_radix(words.next()?.split_once(':')?.1, 16).ok();
        let (local_port, remote_port) = (port()?, port()?);
        let state = u8::from_str_radix(words.next()?, 16).ok()?;
        Some(End {
            local_port,
            remote_port,
            state,
        })
    }

    fn is(&self, state: State) -> bool {
        self.state == state as u8
    }
}

fn wait_until(what: &str, holds: impl Fn(&[End]) -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let text =
            fs::read_to_string("/proc/net/tcp").expect("the machine tells of its connections");
        let ends: Vec<_> = text.lines().filter_map(End::read).collect();
        if holds(&ends) {
            return;
        }
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until somebody tries to connect to this address, where it does not come up.
pub(crate) fn wait_for_attempt_to_connect(to: SocketAddr) {
    wait_until("an attempt to connect", |ends| {
        ends.iter()
            .any(|end| end.remote_port == to.port() && end.is(State::SynSent))
    });
}

/// Waits until the machine of the other side has got the end of what was sent from here.
pub(crate) fn wait_for_end_to_arrive(from: SocketAddr) {
    wait_until("the end of a connection", |ends| {
        let under_way = |end: &End| end.is(State::Established) || end.is(State::FinWait1);
        !ends
            .iter()
            .any(|end| end.local_port == from.port() && under_way(end))
    });
}
