//! Starts routers as child processes, and clients that send them requests and count the outcomes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use hdrhistogram::Histogram;
use kestreltide_testkit::{
    AttemptLog, Client, RouterProcess, endpoint_list, router_config, unused_address,
};

/// The environment variable whose presence makes this binary run as a router.
pub const RUN_AS_ROUTER_VARIABLE: &str = "KESTRELTIDE_MEASURE_ROUTER";

/// Starts this binary as a router with this configuration and operator file.
pub fn start(config: &str, operator: Option<&Path>) -> RouterProcess {
    let binary = std::env::current_exe().expect("this program has a path");
    let mut environment = vec![(RUN_AS_ROUTER_VARIABLE, "1".to_owned())];
    environment.extend(operator.map(|path| ("KESTRELTIDE_OPERATOR", path.display().to_string())));
    RouterProcess::start_with_env(&binary.display().to_string(), config, &environment)
}

/// Returns a configuration without platform, whose discovery address nobody listens at, and with limits for many
/// connections.
pub fn standalone_config() -> String {
    router_config(unused_address(), &endpoint_list(1, true, &[]))
        .replace("\"sockets\":256", "\"sockets\":2048")
        .replace("\"memory_mb\":64", "\"memory_mb\":512")
}

/// Returns an empty histogram of durations in microseconds, up to one minute.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

/// The tags of the host sets that may serve at present: the set in force and, while a new version is being applied, the
/// next set.
#[derive(Default)]
pub struct ServingSets(RwLock<BTreeSet<Arc<str>>>);

impl ServingSets {
    /// Allows the sets with these tags and no others.
    pub fn allow(&self, tags: &[&str]) {
        *self.0.write().expect("no panic before") = tags.iter().map(|tag| (*tag).into()).collect();
    }

    fn current(&self) -> BTreeSet<Arc<str>> {
        self.0.read().expect("no panic before").clone()
    }
}

/// Counts the outcomes of the requests of a group of clients.
#[derive(Default)]
pub struct ClientCounters {
    /// Requests with a value as the reply.
    pub served: AtomicU64,
    /// Requests that the router refused with `-BUSY`.
    pub throttled: AtomicU64,
    /// Requests that ended with any other error.
    pub terminated: AtomicU64,
    /// Requests without a complete reply.
    pub lost: AtomicU64,
    /// Requests with attempts at hosts of more than one host set.
    pub mixed: AtomicU64,
    /// Requests with attempts at hosts of a set that was not allowed.
    pub invalid: AtomicU64,
    /// The tag of the host that served the most recent checked request.
    pub last_served_tag: Mutex<Option<Arc<str>>>,
    /// Latencies of requests since `take_latencies` was last called, in microseconds.
    pub latencies_us: Mutex<Option<Histogram<u64>>>,
}

impl ClientCounters {
    /// Returns the latencies since the last call in microseconds, and clears them.
    pub fn take_latencies(&self) -> Histogram<u64> {
        self.latencies_us
            .lock()
            .expect("no panic before")
            .replace(histogram())
            .unwrap_or_else(histogram)
    }
}

/// Clients on threads of their own that each send one request after another until they are stopped.
pub struct Clients {
    pub counters: Arc<ClientCounters>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients; each waits for `pause` between a reply and its next request. With `checks`, each
    /// request is also checked against the host sets that are allowed while it is open.
    pub fn start(
        at: SocketAddr,
        count: usize,
        checks: Option<(Arc<AttemptLog>, Arc<ServingSets>)>,
        pause: std::time::Duration,
    ) -> Self {
        let (counters, stop) = (
            Arc::new(ClientCounters::default()),
            Arc::new(AtomicBool::new(false)),
        );
        drop(counters.take_latencies());
        let threads = (0..count).map(|number| {
            let (counters, stop, checks) = (counters.clone(), stop.clone(), checks.clone());
            thread::spawn(move || run_client(at, number, &counters, &stop, checks, pause))
        });
        let threads = threads.collect();
        Clients {
            counters,
            stop,
            threads,
        }
    }

    /// Stops the clients after their current requests; returns their counters.
    pub fn stop(self) -> Arc<ClientCounters> {
        self.stop.store(true, Relaxed);
        self.threads
            .into_iter()
            .for_each(|thread| thread.join().expect("a client thread ends without a panic"));
        self.counters
    }
}

/// Sends requests until `stop` is set. A request that has no complete reply is counted as lost, and the next one uses a
/// new connection.
fn run_client(
    at: SocketAddr,
    number: usize,
    counters: &ClientCounters,
    stop: &AtomicBool,
    checks: Option<(Arc<AttemptLog>, Arc<ServingSets>)>,
    pause: std::time::Duration,
) {
    let mut client = Client::connect(at);
    let mut latencies = histogram();
    let mut next_id = 0u64;
    while !stop.load(Relaxed) {
        let id = format!("{number}-{next_id}");
        next_id += 1;
        let allowed_before = checks.as_ref().map(|(_, sets)| sets.current());
        let started = Instant::now();
        let mut reply = client.request(&["Q.ASK", "k", &id, "c=read,d=5000"]);
        if let Some(elements) = reply
            .strip_prefix('*')
            .and_then(|count| count.parse::<usize>().ok())
        {
            // An array is the reply of a host that was asked directly: the value, then elements that are not used here.
            reply = client.reply();
            (1..elements).for_each(|_| drop(client.reply()));
        }
        latencies.saturating_record(started.elapsed().as_micros() as u64);
        let counter = match reply.as_str() {
            "" => &counters.lost,
            busy if busy.starts_with("-BUSY") => &counters.throttled,
            failed if failed.starts_with('-') => &counters.terminated,
            _ => &counters.served,
        };
        counter.fetch_add(1, Relaxed);
        if reply.is_empty() {
            client = Client::connect(at);
        }
        if let (Some((attempt_log, sets)), Some(mut allowed)) = (&checks, allowed_before) {
            let tags: BTreeSet<_> = attempt_log.take(&id).into_iter().collect();
            counters.mixed.fetch_add(u64::from(tags.len() > 1), Relaxed);
            allowed.extend(sets.current());
            counters
                .invalid
                .fetch_add(u64::from(!tags.is_subset(&allowed)), Relaxed);
            if !reply.starts_with('-') && !reply.is_empty() {
                *counters.last_served_tag.lock().expect("no panic before") = Some(reply.into());
            }
        }
        if latencies.len() >= 64 {
            let mut total = counters.latencies_us.lock().expect("no panic before");
            total
                .get_or_insert_with(histogram)
                .add(&latencies)
                .expect("the same bounds");
            latencies.reset();
        }
        if !pause.is_zero() {
            thread::sleep(pause);
        }
    }
}
