//! Hosts that answer every command after a time that can be set, with the time that it really took: clients subtract
//! it, and what is left was added on the way.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use kestreltide_testkit::{effectless_reply, read_command};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Scope, Spawner, Traffic, block_on};

/// What all hosts have counted.
#[derive(Default)]
pub(in super::super) struct Counted {
    pub(in super::super) requests: Traffic,
    pub(in super::super) answered: Traffic,
    /// Connections since the start, and those that are open.
    pub(in super::super) connections: AtomicU64,
    pub(in super::super) open: AtomicI64,
}

struct Shared {
    counted: Counted,
    /// Time that an answer takes, in microseconds.
    delay: AtomicU64,
    closes: AtomicBool,
}

pub(in super::super) struct Hosts {
    /// Where each listens.
    pub(in super::super) at: Vec<SocketAddr>,
    shared: Arc<Shared>,
    _scope: Scope,
}

/// An address of its own for each host.
fn address(number: usize) -> SocketAddr {
    let [_, high, middle, low] = (number as u32 + 1).to_be_bytes();
    (Ipv4Addr::new(127, 32 + high, middle, low), 0).into()
}

impl Hosts {
    pub(in super::super) fn start(count: usize) -> Self {
        let (counted, delay, closes) = (
            Counted::default(),
            AtomicU64::new(0),
            AtomicBool::new(false),
        );
        let shared = Arc::new(Shared {
            counted,
            delay,
            closes,
        });
        let scope = Scope::new();
        let at = (0..count).map(|number| {
            let listener = block_on(TcpListener::bind(address(number)));
            let listener = listener.unwrap_or_else(|e| panic!("host {number} cannot listen: {e}"));
            let at = listener.local_addr().expect("a listener has an address");
            scope
                .spawner()
                .spawn(listen(scope.spawner(), listener, shared.clone()));
            at
        });
        let at = at.collect();
        Hosts {
            at,
            shared,
            _scope: scope,
        }
    }

    /// Addresses at which nobody listens.
    pub(in super::super) fn silent(count: usize) -> Self {
        let mut hosts = Self::start(0);
        hosts.at = (0..count)
            .map(|number| SocketAddr::new(address(number).ip(), 1))
            .collect();
        hosts
    }

    pub(in super::super) fn counted(&self) -> &Counted {
        &self.shared.counted
    }

    pub(in super::super) fn open(&self) -> f64 {
        self.shared.counted.open.load(Relaxed) as f64
    }

    /// Connections since the start.
    pub(in super::super) fn connections(&self) -> f64 {
        self.shared.counted.connections.load(Relaxed) as f64
    }

    pub(in super::super) fn answer_after(&self, delay: Duration) {
        self.shared.delay.store(delay.as_micros() as u64, Relaxed);
    }

    /// Whether each connection is closed after one answer.
    pub(in super::super) fn close_after_answer(&self, closes: bool) {
        self.shared.closes.store(closes, Relaxed);
    }
}

async fn listen(spawner: Spawner, listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        shared.counted.connections.fetch_add(1, Relaxed);
        shared.counted.open.fetch_add(1, Relaxed);
        let shared = shared.clone();
        spawner.spawn(async move {
            serve(stream, &shared).await;
            shared.counted.open.fetch_sub(1, Relaxed);
        });
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let mut read = Vec::with_capacity(512);
    loop {
        while let Some(length) = command_length(&read) {
            let begun = Instant::now();
            let command = read_command(&mut &read[..length]);
            read.drain(..length);
            if let Some(reply) = command.and_then(|words| effectless_reply(&words[0])) {
                shared.counted.requests.add_bytes(length);
                shared.counted.answered.add_bytes(reply.len());
                if stream.write_all(reply).await.is_err() {
                    return;
                }
                continue;
            }
            shared.counted.requests.add(length);
            let delay = shared.delay.load(Relaxed);
            if delay > 0 {
                tokio::time::sleep(Duration::from_micros(delay)).await;
            }
            let took = begun.elapsed().as_micros().to_string();
            let answer = format!("*3\r\n${}\r\n{took}\r\n$-1\r\n$-1\r\n", took.len());
            shared.counted.answered.add(answer.len());
            if stream.write_all(answer.as_bytes()).await.is_err() || shared.closes.load(Relaxed) {
                return;
            }
        }
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// The length of the whole RESP command at the beginning, if all of it is there.
pub(in super::super) fn command_length(bytes: &[u8]) -> Option<usize> {
    let (words, mut at) = number(bytes, b'*', 0)?;
    for _ in 0..words {
        let (length, start) = number(bytes, b'$', at)?;
        at = start + length + 2;
    }
    (bytes.len() >= at).then_some(at)
}

/// A number behind this sign, and where its line ends.
fn number(bytes: &[u8], sign: u8, at: usize) -> Option<(usize, usize)> {
    let rest = bytes.get(at..)?.strip_prefix(&[sign])?;
    let end = rest.windows(2).position(|pair| pair == b"\r\n")?;
    let value = std::str::from_utf8(&rest[..end]).ok()?.parse().ok()?;
    Some((value, at + 1 + end + 2))
}
