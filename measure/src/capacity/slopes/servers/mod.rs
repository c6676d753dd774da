//! Stand-ins that count what a router and they exchange: hosts, discovery, the platform, other routers and clients.
//! All run in one thread of this process, so that thousands of connections cost little.

mod discovery;
mod hosts;
mod peers;
mod platform;

use std::future::Future;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread;

use tokio::runtime::{Builder, Handle};
use tokio::sync::watch;

pub(super) use discovery::{Discovery, Kind, Target};
pub(super) use hosts::Hosts;
pub(super) use peers::Peers;
pub(super) use platform::{Platform, Rollout};

/// The runtime of all stand-ins; its thread lives as long as the process.
fn runtime() -> &'static Handle {
    static RUNTIME: OnceLock<Handle> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be built");
        let handle = runtime.handle().clone();
        thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
        handle
    })
}

/// Tasks in the stand-ins' thread that end, with their sockets, when this is dropped.
pub(super) struct Scope {
    _ends: watch::Sender<()>,
    spawner: Spawner,
}

/// Starts tasks of a scope.
#[derive(Clone)]
pub(super) struct Spawner(watch::Receiver<()>);

impl Scope {
    pub(super) fn new() -> Self {
        let (ends, ended) = watch::channel(());
        Scope {
            _ends: ends,
            spawner: Spawner(ended),
        }
    }

    pub(super) fn spawner(&self) -> Spawner {
        self.spawner.clone()
    }
}

impl Spawner {
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut ended = self.0.clone();
        runtime().spawn(async move {
            tokio::select! {
                () = task => {}
                // Nothing is ever sent: it returns when the scope is gone.
                _ = ended.changed() => {}
            }
        });
    }
}

/// Waits for a task, which runs in this thread with the stand-ins' input and output.
pub(super) fn block_on<T>(task: impl Future<Output = T>) -> T {
    runtime().block_on(task)
}

/// What went one way or the other at a stand-in's sockets: application bytes, without the headers of TCP, UDP and IP.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Messages and bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Amount {
    pub(super) messages: f64,
    pub(super) bytes: f64,
}

impl Traffic {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Relaxed);
        self.add_bytes(bytes);
    }

    /// Counts bytes that belong to no message of their own.
    fn add_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Relaxed);
    }

    pub(super) fn now(&self) -> Amount {
        Amount {
            messages: self.messages.load(Relaxed) as f64,
            bytes: self.bytes.load(Relaxed) as f64,
        }
    }
}

impl Amount {
    /// What has come since then, a second of so many.
    pub(super) fn per_second(self, since: Amount, seconds: f64) -> Amount {
        Amount {
            messages: (self.messages - since.messages) / seconds,
            bytes: (self.bytes - since.bytes) / seconds,
        }
    }
}

impl std::ops::Add for Amount {
    type Output = Amount;

    fn add(self, other: Amount) -> Amount {
        Amount {
            messages: self.messages + other.messages,
            bytes: self.bytes + other.bytes,
        }
    }
}
