//! Clients of a router, each asking one after another with pauses by chance, and what the way added to their answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::router_process::histogram;

use super::servers::Scope;

/// What clients do.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub(super) connections: usize,
    /// Between an answer and the next request, in the mean.
    pub(super) pause: Duration,
    /// Requests name one of so many keys, each with a beginning of its own.
    pub(super) keys: usize,
}

impl Shape {
    /// So many connections which together ask so many times a second where answers take this long.
    pub(super) fn rate(connections: usize, per_second: f64, answer: Duration) -> Self {
        let between = Duration::from_secs_f64(connections as f64 / per_second);
        Shape {
            connections,
            pause: between.saturating_sub(answer),
            keys: 1,
        }
    }
}

/// Between two looks whether a pause is over, in seconds.
const PAUSED_S: f64 = 0.1;

#[derive(Default)]
struct Counted {
    served: AtomicU64,
    refused: AtomicU64,
    /// Connections that ended before an answer.
    broken: AtomicU64,
    added: Mutex<Option<Histogram<u64>>>,
}

/// Clients until they are stopped.
pub(super) struct Load {
    counted: Arc<Counted>,
    stop: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
    _scope: Scope,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Served {
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) broken: u64,
}

impl Load {
    pub(super) fn start(at: SocketAddr, shape: Shape) -> Self {
        let (counted, stop) = (
            Arc::new(Counted::default()),
            Arc::new(AtomicBool::new(false)),
        );
        let paused = Arc::new(AtomicBool::new(false));
        let scope = Scope::new();
        for number in 0..shape.connections {
            scope.spawner().spawn(ask(
                at,
                number,
                shape,
                counted.clone(),
                (stop.clone(), paused.clone()),
            ));
        }
        Load {
            counted,
            stop,
            paused,
            _scope: scope,
        }
    }

    /// Connections stay, and ask nothing for a while.
    pub(super) fn pause(&self, paused: bool) {
        self.paused.store(paused, Relaxed);
    }

    pub(super) fn served(&self) -> Served {
        let Counted {
            served,
            refused,
            broken,
            ..
        } = &*self.counted;
        Served {
            served: served.load(Relaxed),
            refused: refused.load(Relaxed),
            broken: broken.load(Relaxed),
        }
    }

    /// What the way added to answers since the last look: its median, and what 99 in 100 are below, in milliseconds.
    pub(super) fn added_ms(&self) -> (f64, f64) {
        let added = self
            .counted
            .added
            .lock()
            .expect("no thread has panicked")
            .take();
        let at = |quantile| {
            added
                .as_ref()
                .map_or(0, |added| added.value_at_quantile(quantile)) as f64
                / 1e3
        };
        (at(0.5), at(0.99))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Relaxed);
    }
}

/// Whether to stop, and whether to ask nothing for now.
type LoadControl = (Arc<AtomicBool>, Arc<AtomicBool>);

async fn ask(
    at: SocketAddr,
    number: usize,
    shape: Shape,
    counted: Arc<Counted>,
    (stop, paused): LoadControl,
) {
    let mut chance = ChaCha8Rng::seed_from_u64(number as u64);
    let mut request = 0u64;
    while !stop.load(Relaxed) {
        let Ok(stream) = TcpStream::connect(at).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        // Who connects speaks at once: routers close who does not.
        let mut pause = 0.0;
        while !stop.load(Relaxed) {
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            if paused.load(Relaxed) {
                pause = PAUSED_S;
                continue;
            }
            pause = shape.pause.as_secs_f64() * -(1.0 - chance.random::<f64>()).ln();
            request += 1;
            let key = format!("k{}-", chance.random_range(0..shape.keys.max(1)));
            let begun = Instant::now();
            let Some(answer) = exchange(&mut stream, &key, &format!("{number}-{request}")).await
            else {
                counted.broken.fetch_add(1, Relaxed);
                break;
            };
            match answer.parse::<u64>() {
                Ok(at_host) => {
                    counted.served.fetch_add(1, Relaxed);
                    let added = (begun.elapsed().as_micros() as u64).saturating_sub(at_host);
                    let mut all = counted.added.lock().expect("no thread has panicked");
                    all.get_or_insert_with(histogram).saturating_record(added);
                }
                Err(_) => drop(counted.refused.fetch_add(1, Relaxed)),
            }
        }
    }
}

/// One request and its answer: a value, or the line of an error; none where the connection ends.
async fn exchange(stream: &mut BufReader<TcpStream>, key: &str, id: &str) -> Option<String> {
    let words = ["Q.ASK", key, id, "c=read,d=5900"];
    let words = words
        .map(|word| format!("${}\r\n{word}\r\n", word.len()))
        .concat();
    stream
        .get_mut()
        .write_all(format!("*4\r\n{words}").as_bytes())
        .await
        .ok()?;
    let mut line = String::new();
    stream
        .read_line(&mut line)
        .await
        .ok()
        .filter(|length| *length > 0)?;
    // A host that is asked without a router between answers with further parts.
    let mut parts = 1;
    if let Some(count) = line
        .strip_prefix('*')
        .and_then(|count| count.trim_end().parse().ok())
    {
        parts = count;
        line.clear();
        stream
            .read_line(&mut line)
            .await
            .ok()
            .filter(|length| *length > 0)?;
    }
    let Some(length) = line
        .strip_prefix('$')
        .and_then(|length| length.trim_end().parse::<usize>().ok())
    else {
        return Some(line);
    };
    let mut value = vec![0; length + 2];
    stream.read_exact(&mut value).await.ok()?;
    value.truncate(length);
    for _ in 1..parts {
        line.clear();
        stream
            .read_line(&mut line)
            .await
            .ok()
            .filter(|length| *length > 0)?;
    }
    String::from_utf8(value).ok()
}
