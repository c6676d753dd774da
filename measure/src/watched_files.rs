//! Measures how routers handle watched files that are rewritten thousands of times while clients send requests. Most
//! versions are invalid: truncated, malformed, against a rule, or with files of two different generations. Each valid
//! version names a host set other than the one before, so every reply shows which version was in force.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use kestreltide_testkit::{Fleet, RouterProcess, TEST_TIMEOUT, resident_memory_kib};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

use crate::report::Report;
use crate::router_process::{self, Clients, ServingSets, histogram};

/// rewrite the watched files thousands of times, and check that routers apply complete valid versions only
#[derive(FromArgs)]
#[argh(subcommand, name = "watched-files")]
pub struct WatchedFiles {
    /// ten thousand slow rewrites at each of four routers, instead of ten thousand fast ones at one and 1,200 at three
    #[argh(switch)]
    long: bool,
    /// only two thousand rewrites and the counts that must be 0, without latencies
    #[argh(switch)]
    short: bool,
    /// run one part only: storm, large, turns or capacity
    #[argh(option)]
    part: Option<String>,
}

/// Host sets that valid versions name in turn.
const HOST_SETS: usize = 6;
const HOSTS_PER_SET: usize = 3;
/// Hosts in the files of the part `large`.
const LARGE_HOST_COUNT: usize = 16 * 1024;
/// Guards that allow all hosts to be replaced at once.
const GUARDS: &str = "[guards]\nlargest-removal = 1\nleast-hosts-zone = 0\nleast-hosts-build = 0\n";
/// How long hosts of a replaced set may still receive attempts, which were sent before a client saw the new set serve.
const REPLACED_SET_GRACE: Duration = Duration::from_millis(20);

/// Returns the current time in seconds since the Unix epoch.
fn unix_seconds() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}

/// A host in the file of hosts.
struct Entry {
    name: String,
    endpoint: String,
    /// In seconds since the Unix epoch.
    started: f64,
    /// Further lines of the section.
    extra: &'static str,
}

impl Entry {
    fn new(name: impl Into<String>, endpoint: impl ToString) -> Self {
        Entry {
            name: name.into(),
            endpoint: endpoint.to_string(),
            started: unix_seconds() - 100.0,
            extra: "",
        }
    }
}

fn hosts_text(generation: &str, entries: &[Entry]) -> String {
    let mut text = format!("generation = {generation}\n{GUARDS}");
    for Entry {
        name,
        endpoint,
        started,
        extra,
    } in entries
    {
        text += &format!(
            "[host {name}]\nendpoint = {endpoint}\nzone = a\nkind = m\nbuild = 7\nstarted = {started}\n{extra}"
        );
    }
    text + &format!(
        "[end]\nhosts = {}\ngeneration = {generation}\n",
        entries.len()
    )
}

fn weights_text(generation: &str, weights: &[(String, String)]) -> String {
    let lines: String = weights
        .iter()
        .map(|(name, weight)| format!("{name} = {weight}\n"))
        .collect();
    format!(
        "generation = {generation}\n[weights]\n{lines}[end]\nentries = {}\ngeneration = {generation}\n",
        weights.len()
    )
}

/// How a version is made invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidKind {
    /// The file of hosts is cut off at any byte.
    Truncated,
    /// A line of the file of hosts cannot be parsed.
    Malformed,
    /// Both files can be parsed, but a value breaks a rule.
    BreaksRule,
    /// The file of hosts is of a newer generation than the file of weights.
    MixedGenerations,
    /// The first three quarters of the file of hosts, written in pieces.
    PartialWrites,
    /// The file of hosts is missing, empty or not UTF-8.
    MissingFile,
}

const INVALID_KINDS: [InvalidKind; 6] = [
    InvalidKind::Truncated,
    InvalidKind::Malformed,
    InvalidKind::BreaksRule,
    InvalidKind::MixedGenerations,
    InvalidKind::PartialWrites,
    InvalidKind::MissingFile,
];

/// A router that watches the files.
struct WatchingRouter {
    files: Files,
    program: RouterProcess,
}

/// The watched files of one router, and the hosts that they name.
struct Files {
    folder: TempDir,
    fleet: Fleet,
    sets: Arc<ServingSets>,
    rng: ChaCha8Rng,
    /// The generation of the version written last, valid or not.
    generation: u64,
    /// The host set that the last valid version names.
    set: usize,
}

/// The result of rewriting the files of one router.
struct RewriteOutcome {
    valid: u64,
    invalid: u64,
    /// Times from writing a valid version until a client is served by it, in microseconds.
    apply_times: hdrhistogram::Histogram<u64>,
    never_applied: u64,
    /// Resident memory of the router in KiB after a tenth of the rewrites and after all, each with the number of
    /// rewrites.
    memory: Vec<(u64, u64)>,
}

impl WatchingRouter {
    fn start(seed: u64) -> Self {
        let mut files = Files::new(seed);
        files.write_valid();
        let program = router_process::start(
            &router_process::standalone_config(),
            Some(&files.at("operator.ini")),
        );
        WatchingRouter { files, program }
    }

    fn clients(&self, count: usize, pause: Duration) -> Clients {
        let checks = Some((
            self.files.fleet.attempt_log.clone(),
            self.files.sets.clone(),
        ));
        Clients::start(self.program.at, count, checks, pause)
    }
}

impl Files {
    fn new(seed: u64) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let names: Vec<_> = (0..HOST_SETS)
            .flat_map(|set| {
                (0..HOSTS_PER_SET).map(move |host| (format!("s{set}-{host}"), format!("set-{set}")))
            })
            .chain((0..2).map(|host| (format!("bad-{host}"), "bad".to_owned())))
            .collect();
        let fleet = Fleet::start(
            names
                .iter()
                .map(|(name, tag)| (name.as_str(), tag.as_str())),
        );
        let sets = Arc::new(ServingSets::default());
        let operator = folder.path().join("operator.ini");
        let text = "[datastore]\nstate-directory = .\n[watch]\nhosts = hosts.ini\nweights = weights.ini\ndiscovery = off\nsettle = 0.01\n";
        fs::write(&operator, text).expect("written");
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Files {
            folder,
            fleet,
            sets,
            rng,
            generation: 0,
            set: 0,
        }
    }

    fn at(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn tag(&self) -> String {
        format!("set-{}", self.set)
    }

    fn entries(&self, tag: &str) -> Vec<Entry> {
        self.fleet
            .hosts_with_tag(tag)
            .map(|host| Entry::new(&host.name, host.at))
            .collect()
    }

    /// Returns the files of hosts and of weights for the next valid version, which lists a host of the previous set as
    /// draining in a quarter of the versions.
    fn valid_texts(&mut self) -> (String, String) {
        self.generation += 1;
        let before = self.tag();
        self.set = (self.set + 1) % HOST_SETS;
        let tag = self.tag();
        let mut entries = self.entries(&tag);
        let weights = entries.iter().map(|entry| {
            (
                entry.name.clone(),
                format!("{:.2}", 0.5 + self.rng.random::<f64>()),
            )
        });
        let weights: Vec<_> = weights.collect();
        if self.generation > 1 && self.rng.random_range(0..4) == 0 {
            let drained = self.entries(&before).into_iter().next();
            entries.extend(drained.map(|entry| Entry {
                extra: "state = draining\n",
                ..entry
            }));
        }
        let generation = self.generation.to_string();
        (
            hosts_text(&generation, &entries),
            weights_text(&generation, &weights),
        )
    }

    /// Writes the next valid version; returns when it was written completely.
    fn write_valid(&mut self) -> Instant {
        let before = self.tag();
        let (hosts, weights) = self.valid_texts();
        let tag = self.tag();
        self.sets.allow(&[&before, &tag]);
        self.fleet
            .hosts_with_tag(&tag)
            .for_each(|host| host.set_last_attempt_time(None));
        // The two files are written in random order, each by renaming or in place.
        let mut files = [("hosts.ini", hosts), ("weights.ini", weights)];
        if self.rng.random() {
            files.reverse();
        }
        for (name, text) in files {
            if self.rng.random() {
                replace(&self.at(name), text.as_bytes())
            } else {
                overwrite(&self.at(name), text.as_bytes(), 1)
            }
        }
        Instant::now()
    }

    /// Waits until a client is served by the new set, after which the hosts of the old set must receive no more
    /// attempts. Returns false where that does not happen within the test timeout.
    fn wait_until_applied(&mut self, clients: &Clients, before: &str) -> bool {
        let (tag, deadline) = (self.tag(), Instant::now() + TEST_TIMEOUT);
        while clients
            .counters
            .last_served_tag
            .lock()
            .expect("no panic before")
            .as_deref()
            != Some(&tag)
        {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(Duration::from_micros(100));
        }
        self.sets.allow(&[&tag]);
        let grace_end = SystemTime::now() + REPLACED_SET_GRACE;
        self.fleet
            .hosts_with_tag(before)
            .for_each(|host| host.set_last_attempt_time(Some(grace_end)));
        true
    }

    /// Writes a version that is invalid in this way. It names hosts tagged `bad`, which must never receive an attempt.
    fn write_invalid(&mut self, kind: InvalidKind) {
        self.generation += 1;
        let generation = self.generation.to_string();
        let mut entries = self.entries("bad");
        let weight = [(entries[0].name.clone(), "1".to_owned())];
        let (hosts, weights) = (self.at("hosts.ini"), self.at("weights.ini"));
        match kind {
            InvalidKind::Truncated => {
                let text = hosts_text(&generation, &entries);
                let cut = self.rng.random_range(0..text.len() - 1);
                replace(&weights, weights_text(&generation, &weight).as_bytes());
                if self.rng.random() {
                    replace(&hosts, &text.as_bytes()[..cut])
                } else {
                    overwrite(&hosts, &text.as_bytes()[..cut], 1)
                }
            }
            InvalidKind::Malformed => {
                let replacements = [
                    ("zone = a", "zonw = a"),
                    ("build = 7", "build = -7"),
                    ("kind = m", "kind m"),
                    ("endpoint = ", "endpoint = x"),
                    ("= a", "= \0"),
                    ("zone", "\u{0}zone"),
                ];
                let (valid, malformed) = replacements[self.rng.random_range(0..replacements.len())];
                replace(
                    &hosts,
                    hosts_text(&generation, &entries)
                        .replacen(valid, malformed, 1)
                        .as_bytes(),
                );
                replace(&weights, weights_text(&generation, &weight).as_bytes());
            }
            InvalidKind::BreaksRule => {
                let mut weight = weight;
                match self.rng.random_range(0..4) {
                    0 => entries[1].endpoint = entries[0].endpoint.clone(),
                    1 => {
                        weight[0].1 =
                            ["NaN", "inf", "-1", "1e308"][self.rng.random_range(0..4)].into()
                    }
                    2 => entries[1].name = entries[0].name.clone(),
                    _ => {
                        // The start lies 1,000 s in the future, which is not reached before the next version is
                        // written.
                        (entries[0].started, weight[0].1) = (unix_seconds() + 1000.0, "100".into());
                    }
                }
                replace(&hosts, hosts_text(&generation, &entries).as_bytes());
                replace(&weights, weights_text(&generation, &weight).as_bytes());
            }
            InvalidKind::MixedGenerations => {
                replace(&hosts, hosts_text(&generation, &entries).as_bytes())
            }
            InvalidKind::PartialWrites => {
                let text = hosts_text(&generation, &entries);
                let cut = text.len() * 3 / 4;
                overwrite(&hosts, &text.as_bytes()[..cut], 5);
            }
            InvalidKind::MissingFile => {
                let _ = fs::remove_file(&hosts);
                match self.rng.random_range(0..3) {
                    0 => fs::write(&hosts, []).expect("written"),
                    1 => fs::write(&hosts, [0xff, 0xfe, b'\n']).expect("written"),
                    _ => {}
                }
            }
        }
    }

    /// Rewrites the files as described. One in ten invalid versions stays for 15 ms, so that the router reads and
    /// rejects it in any case; the others stay for `invalid_lifetime` on average.
    fn rewrite(
        &mut self,
        pid: u32,
        clients: &Clients,
        Rewriting {
            rewrites,
            valid_percent,
            invalid_lifetime,
            ..
        }: Rewriting,
    ) -> RewriteOutcome {
        let mut outcome = RewriteOutcome {
            valid: 0,
            invalid: 0,
            apply_times: histogram(),
            never_applied: 0,
            memory: vec![],
        };
        for number in 1..=rewrites {
            if self.rng.random_range(0..100) < valid_percent || number == rewrites {
                let before = self.tag();
                let written = self.write_valid();
                outcome.valid += 1;
                if self.wait_until_applied(clients, &before) {
                    outcome
                        .apply_times
                        .saturating_record(written.elapsed().as_micros() as u64);
                } else {
                    outcome.never_applied += 1;
                }
            } else {
                let kind = INVALID_KINDS[self.rng.random_range(0..INVALID_KINDS.len())];
                self.write_invalid(kind);
                outcome.invalid += 1;
                let stays_long = self.rng.random_range(0..10) == 0;
                thread::sleep(if stays_long {
                    Duration::from_millis(15)
                } else {
                    invalid_lifetime.mul_f64(2.0 * self.rng.random::<f64>())
                });
            }
            if [rewrites / 10, rewrites].contains(&number) {
                outcome.memory.push((number, resident_memory_kib(pid)));
            }
        }
        outcome
    }

    fn attempts_at(&self, tag: &str) -> u64 {
        self.fleet
            .hosts_with_tag(tag)
            .map(|host| host.received.load(Relaxed))
            .sum()
    }
}

/// Replaces the file by renaming a new one to its name.
fn replace(path: &Path, bytes: &[u8]) {
    let new = path.with_extension("new");
    fs::write(&new, bytes)
        .and_then(|()| fs::rename(&new, path))
        .expect("replaced");
}

/// Truncates the file and writes it in place in `pieces` writes.
fn overwrite(path: &Path, bytes: &[u8], pieces: usize) {
    let mut file = OpenOptions::new()
        .create(true)
        .write(true)
        .truncate(true)
        .open(path)
        .expect("opened");
    for piece in bytes.chunks(bytes.len().div_ceil(pieces).max(1)) {
        file.write_all(piece).expect("written");
    }
}

/// The outcomes of all requests, and the events that must never happen, over all routers.
#[derive(Default)]
struct RequestTotals {
    /// Requests with attempts at hosts of more than one set.
    mixed: u64,
    /// Requests with attempts at hosts of a set that was not in force.
    invalid: u64,
    /// Requests without a complete reply.
    lost: u64,
    /// Attempts at hosts of a replaced set.
    late: u64,
    /// Attempts at hosts that only invalid versions name.
    bad: u64,
    served: u64,
    throttled: u64,
    terminated: u64,
}

impl RequestTotals {
    fn add(&mut self, router: &WatchingRouter, counters: &router_process::ClientCounters) {
        self.mixed += counters.mixed.load(Relaxed);
        self.invalid += counters.invalid.load(Relaxed);
        self.lost += counters.lost.load(Relaxed);
        self.late += router.files.fleet.attempt_log.late_attempts.load(Relaxed);
        self.bad += router.files.attempts_at("bad");
        self.served += counters.served.load(Relaxed);
        self.throttled += counters.throttled.load(Relaxed);
        self.terminated += counters.terminated.load(Relaxed);
    }
}

/// How the files of one router are rewritten.
#[derive(Clone, Copy)]
struct Rewriting {
    seed: u64,
    rewrites: u64,
    /// The percentage of versions that are valid.
    valid_percent: u32,
    /// The mean time until an invalid version is overwritten.
    invalid_lifetime: Duration,
}

/// Rewrites the files of several routers at once, each with its own files and two clients.
fn rewrite_at_routers(routers: &[Rewriting]) -> (Vec<RewriteOutcome>, RequestTotals) {
    let threads: Vec<_> = routers
        .iter()
        .copied()
        .map(|rewriting| {
            thread::spawn(move || {
                let mut router = WatchingRouter::start(rewriting.seed);
                let clients = router.clients(2, Duration::from_micros(200));
                let outcome = router
                    .files
                    .rewrite(router.program.child.id(), &clients, rewriting);
                let counters = clients.stop();
                let mut totals = RequestTotals::default();
                totals.add(&router, &counters);
                router.program.signal("TERM");
                (outcome, totals)
            })
        })
        .collect();
    let (mut outcomes, mut all) = (vec![], RequestTotals::default());
    for thread in threads {
        let (outcome, totals) = thread.join().expect("a router thread ends without a panic");
        outcomes.push(outcome);
        all.mixed += totals.mixed;
        all.invalid += totals.invalid;
        all.lost += totals.lost;
        all.late += totals.late;
        all.bad += totals.bad;
        all.served += totals.served;
        all.throttled += totals.throttled;
        all.terminated += totals.terminated;
    }
    (outcomes, all)
}

/// Measures request latencies at one router in alternating periods of 0.4 s without and with rewrites, and of requests
/// sent directly to a host. Returns the median and 99th percentile in microseconds of each: direct, without, with.
fn measure_latencies(seconds: f64) -> [[f64; 2]; 3] {
    let seed = 99;
    let mut router = WatchingRouter::start(seed);
    let clients = router.clients(1, Duration::ZERO);
    let (mut without, mut with) = (histogram(), histogram());
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    drop(clients.counters.take_latencies());
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(400));
        without
            .add(clients.counters.take_latencies())
            .expect("the same bounds");
        let period_end = Instant::now() + Duration::from_millis(400);
        while Instant::now() < period_end {
            // About sixty rewrites a second, of which the last of each ten is valid.
            router.files.rewrite(
                router.program.child.id(),
                &clients,
                Rewriting {
                    seed,
                    rewrites: 10,
                    valid_percent: 0,
                    invalid_lifetime: Duration::from_millis(15),
                },
            );
        }
        with.add(clients.counters.take_latencies())
            .expect("the same bounds");
    }
    clients.stop();
    let direct = Clients::start(router.files.fleet.hosts[0].at, 1, None, Duration::ZERO);
    thread::sleep(Duration::from_millis(1500));
    let direct = direct.stop().take_latencies();
    [direct, without, with]
        .map(|times| [0.5, 0.99].map(|quantile| times.value_at_quantile(quantile) as f64))
}

/// Returns the event loop's longest pauses in milliseconds while it applies 16,384 hosts with weights, one per
/// version: all hosts are new, all weights change, all hosts are replaced, all hosts have restarted, all hosts are
/// replaced again.
fn measure_large_file_pauses() -> Vec<f64> {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name);
    fs::write(
        path("operator.ini"),
        "[watch]\nhosts = hosts.ini\nweights = weights.ini\ndiscovery = off\nsettle = 0.05\n",
    )
    .expect("written");
    let write_version = |generation: &str, prefix: &str, port: usize, weight: f64, started: f64| {
        let endpoint = |number: usize| {
            format!(
                "127.{}.{}.{}:{port}",
                1 + number / 65536,
                number / 256 % 256,
                number % 256
            )
        };
        let entries: Vec<_> = (0..LARGE_HOST_COUNT)
            .map(|number| Entry {
                started,
                ..Entry::new(format!("{prefix}{number}"), endpoint(number))
            })
            .collect();
        let weights = entries.iter().enumerate().map(|(number, entry)| {
            (
                entry.name.clone(),
                format!("{:.2}", weight + number as f64 / 1e4),
            )
        });
        let weights: Vec<_> = weights.collect();
        replace(
            &folder.path().join("hosts.ini"),
            hosts_text(generation, &entries).as_bytes(),
        );
        replace(
            &folder.path().join("weights.ini"),
            weights_text(generation, &weights).as_bytes(),
        );
    };
    fs::write(
        path("hosts.ini"),
        hosts_text("0", &[Entry::new("first", "127.0.0.1:9")]),
    )
    .expect("written");
    fs::write(path("weights.ini"), weights_text("0", &[])).expect("written");
    let program = router_process::start(
        &router_process::standalone_config(),
        Some(&path("operator.ini")),
    );
    program.wait_for_log("revision applied");
    let start = unix_seconds() - 1000.0;
    // Prefix of the names, port, weight of the first host, start of the hosts in seconds after `start`.
    let versions = [
        ("a", 9, 1.0, 0.0),
        ("a", 9, 2.0, 0.0),
        ("b", 10, 1.0, 0.0),
        ("b", 10, 2.0, 100.0),
        ("a", 9, 1.0, 200.0),
    ];
    let mut pauses = vec![];
    for (number, (prefix, port, weight, start_offset)) in versions.into_iter().enumerate() {
        write_version(
            &(number + 1).to_string(),
            prefix,
            port,
            weight,
            start + start_offset,
        );
        let line = program.wait_for_log("revision applied");
        let pause = line
            .split("pause_ms: ")
            .nth(1)
            .and_then(|rest| rest.split([',', ' ']).next());
        pauses.push(
            pause
                .and_then(|pause| pause.parse().ok())
                .expect("the line holds the pause"),
        );
    }
    pauses
}

/// Returns the requests per second that one router serves with 16 clients.
fn measure_requests_per_second() -> f64 {
    let router = WatchingRouter::start(7);
    let clients = Clients::start(router.program.at, 16, None, Duration::ZERO);
    thread::sleep(Duration::from_millis(500));
    let (served_before, started) = (clients.counters.served.load(Relaxed), Instant::now());
    thread::sleep(Duration::from_secs(2));
    let served = clients.counters.served.load(Relaxed) - served_before;
    let seconds = started.elapsed().as_secs_f64();
    clients.stop();
    served as f64 / seconds
}

impl WatchedFiles {
    /// Runs the selected parts; returns whether all figures meet their requirements.
    pub fn run(&self) -> bool {
        let mut report = Report::new("watched-files");
        let is_selected = |part: &str| self.part.as_ref().is_none_or(|only| only == part);
        if is_selected("storm") {
            self.report_rewrites(&mut report, &self.rewritings());
        }
        if self.short {
            return report.end();
        }
        if is_selected("large") {
            report_pauses(&mut report, &measure_large_file_pauses());
        }
        if is_selected("turns") {
            report_latencies(
                &mut report,
                measure_latencies(if self.long { 60.0 } else { 8.0 }),
            );
        }
        if is_selected("capacity") {
            report.record(
                "capacity",
                "requests per second, 16 clients",
                format!("{:.0}", measure_requests_per_second()),
            );
        }
        report.end()
    }

    /// Returns how the files of each of the four routers are rewritten.
    fn rewritings(&self) -> Vec<Rewriting> {
        let fast = Duration::from_micros(300);
        let slow = Duration::from_millis(6);
        let rewriting = |seed, rewrites, valid_percent, invalid_lifetime| Rewriting {
            seed,
            rewrites,
            valid_percent,
            invalid_lifetime,
        };
        if self.short {
            return vec![
                rewriting(1, 500, 12, fast),
                rewriting(2, 500, 20, slow),
                rewriting(3, 500, 20, slow),
                rewriting(4, 500, 20, slow),
            ];
        }
        if self.long {
            return vec![
                rewriting(1, 10_000, 12, slow),
                rewriting(2, 10_000, 30, slow),
                rewriting(3, 10_000, 30, slow),
                rewriting(4, 10_000, 30, slow),
            ];
        }
        // One router gets ten thousand versions in quick succession; the others get fewer, which last long enough to
        // be read.
        vec![
            rewriting(1, 10_000, 10, fast),
            rewriting(2, 1_200, 25, slow),
            rewriting(3, 1_200, 25, slow),
            rewriting(4, 1_200, 25, slow),
        ]
    }

    /// Reports the part `storm`: rewrites at all routers at once.
    fn report_rewrites(&self, report: &mut Report, routers: &[Rewriting]) {
        let (outcomes, totals) = rewrite_at_routers(routers);
        let (valid, invalid): (u64, u64) = (
            outcomes.iter().map(|outcome| outcome.valid).sum(),
            outcomes.iter().map(|outcome| outcome.invalid).sum(),
        );
        report.record("rewrites", "rewrites", valid + invalid);
        report.check(
            "spoilt",
            "of them invalid",
            invalid,
            "over half",
            invalid > valid,
        );
        report.record("served", "requests served meanwhile", totals.served);
        report.record("throttled", "throttled", totals.throttled);
        report.record("terminated", "terminated", totals.terminated);
        report.check_none(
            "mixed",
            "requests with attempts at more than one host set",
            totals.mixed,
        );
        report.check_none(
            "invalid",
            "requests at a host set that was not in force",
            totals.invalid,
        );
        report.check_none("bad", "attempts at hosts of invalid versions", totals.bad);
        report.check_none("lost", "requests without a reply", totals.lost);
        report.check_none("late", "attempts at hosts of a replaced set", totals.late);
        report.check_none(
            "untaken",
            "valid versions never applied",
            outcomes.iter().map(|outcome| outcome.never_applied).sum(),
        );
        if self.short {
            return;
        }
        let mut apply_times = histogram();
        outcomes.iter().for_each(|outcome| {
            apply_times
                .add(&outcome.apply_times)
                .expect("the same bounds")
        });
        let quantile_ms = |quantile: f64| apply_times.value_at_quantile(quantile) as f64 / 1e3;
        report.record(
            "taken_p50_ms",
            "time until a valid version is applied, ms, median",
            format!("{:.1}", quantile_ms(0.5)),
        );
        report.check_at_most(
            "taken_p99_ms",
            "time until a valid version is applied, ms, p99",
            quantile_ms(0.99),
            300.0,
        );
        let [(_, after_a_tenth), (_, after_all)] = outcomes[0].memory[..] else {
            panic!("memory is read twice")
        };
        let growth_mb = (after_all as f64 - after_a_tenth as f64) / 1024.0;
        report.check_at_most(
            "memory_mb",
            "memory growth after a tenth of the rewrites, MB",
            growth_mb,
            2.0,
        );
    }
}

/// Reports the event loop's pauses for the large files.
fn report_pauses(report: &mut Report, pauses_ms: &[f64]) {
    report.record(
        "pauses_ms",
        "event loop pauses for 16,384 hosts, ms",
        format!("{pauses_ms:.1?}").replace(", ", "/"),
    );
    report.check_at_most(
        "pause_ms",
        "longest of these pauses, ms",
        pauses_ms.iter().copied().fold(0.0, f64::max),
        5.0,
    );
}

/// Reports medians and 99th percentiles in microseconds: sent directly to a host, through a router without rewrites,
/// and through a router with rewrites.
fn report_latencies(report: &mut Report, [direct, without, with]: [[f64; 2]; 3]) {
    report.record(
        "direct_us",
        "direct to a host, µs, median/p99",
        format!("{}/{}", direct[0], direct[1]),
    );
    report.record(
        "without_us",
        "router without rewrites, µs, median/p99",
        format!("{}/{}", without[0], without[1]),
    );
    report.record(
        "with_us",
        "router with rewrites, µs, median/p99",
        format!("{}/{}", with[0], with[1]),
    );
    let added_by_router = |times: [f64; 2]| times[1] - direct[0];
    report.check_at_most(
        "added",
        "p99 added by the router, with over without rewrites",
        added_by_router(with) / added_by_router(without),
        1.2,
    );
}
