//! Watched files under rewriting: thousands of versions, most of them truncated, malformed, breaking a rule or
//! torn between two files, while clients keep the router busy. Every valid version names another set of hosts,
//! so that each answer tells which served it.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use kestreltide_testkit::{Fleet, RouterProcess, TEST_TIMEOUT};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

use crate::report::Report;
use crate::router_process::{self, Clients, ServingSets, histogram};

/// watched files: whole versions or nothing, under rewriting
#[derive(FromArgs)]
#[argh(subcommand, name = "watched-files")]
pub struct WatchedFiles {
    /// ten thousand slow rewrites at each of four routers, instead of some of them
    #[argh(switch)]
    long: bool,
    /// two thousand rewrites and what must never happen, without times
    #[argh(switch)]
    short: bool,
    /// one part alone: storm, large, turns or capacity
    #[argh(option)]
    part: Option<String>,
}

const SETS: usize = 6;
const HOSTS_A_SET: usize = 3;
const LARGE: usize = 16 * 1024;
const GUARDS: &str = "[guards]\nlargest-removal = 1\nleast-hosts-zone = 0\nleast-hosts-build = 0\n";
/// A host of a set that is in force no more may still be met by what was sent before that was seen.
const SEEN: Duration = Duration::from_millis(20);

fn unix() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |since| since.as_secs_f64())
}

struct Entry {
    name: String,
    endpoint: String,
    started: f64,
    extra: &'static str,
}

impl Entry {
    fn new(name: impl Into<String>, endpoint: impl ToString) -> Self {
        Entry {
            name: name.into(),
            endpoint: endpoint.to_string(),
            started: unix() - 100.0,
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

/// How a version is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidKind {
    Truncated,
    Malformed,
    Breaking,
    Torn,
    Pieces,
    Gone,
}

const INVALID_KINDS: [InvalidKind; 6] = [
    InvalidKind::Truncated,
    InvalidKind::Malformed,
    InvalidKind::Breaking,
    InvalidKind::Torn,
    InvalidKind::Pieces,
    InvalidKind::Gone,
];

/// A router with its files and hosts.
struct WatchingRouter {
    files: Files,
    program: RouterProcess,
}

/// The files of one router, and the hosts that they name.
struct Files {
    folder: TempDir,
    fleet: Fleet,
    sets: Arc<ServingSets>,
    chance: ChaCha8Rng,
    generation: u64,
    set: usize,
}

struct Outcome {
    valid: u64,
    spoilt: u64,
    applied: hdrhistogram::Histogram<u64>,
    never_applied: u64,
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
        let names: Vec<_> = (0..SETS)
            .flat_map(|set| {
                (0..HOSTS_A_SET).map(move |host| (format!("s{set}-{host}"), format!("set-{set}")))
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
        let chance = ChaCha8Rng::seed_from_u64(seed);
        Files {
            folder,
            fleet,
            sets,
            chance,
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

    /// The texts of the next valid version, which may drain a host of the one before.
    fn valid_texts(&mut self) -> (String, String) {
        self.generation += 1;
        let before = self.tag();
        self.set = (self.set + 1) % SETS;
        let tag = self.tag();
        let mut entries = self.entries(&tag);
        let weights = entries.iter().map(|entry| {
            (
                entry.name.clone(),
                format!("{:.2}", 0.5 + self.chance.random::<f64>()),
            )
        });
        let weights: Vec<_> = weights.collect();
        if self.generation > 1 && self.chance.random_range(0..4) == 0 {
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

    fn write_valid(&mut self) -> Instant {
        let before = self.tag();
        let (hosts, weights) = self.valid_texts();
        let tag = self.tag();
        self.sets.allow(&[&before, &tag]);
        self.fleet
            .hosts_with_tag(&tag)
            .for_each(|host| host.set_last_attempt_time(None));
        // In either order, by renaming or in place.
        let mut files = [("hosts.ini", hosts), ("weights.ini", weights)];
        if self.chance.random() {
            files.reverse();
        }
        for (name, text) in files {
            if self.chance.random() {
                replace(&self.at(name), text.as_bytes())
            } else {
                overwrite(&self.at(name), text.as_bytes(), 1)
            }
        }
        Instant::now()
    }

    /// Waits until a client is served by the new set; the hosts of the old one must be left alone from then on.
    fn wait_until_applied(&mut self, clients: &Clients, before: &str) -> bool {
        let (tag, until) = (self.tag(), Instant::now() + TEST_TIMEOUT);
        while clients.met.last.lock().expect("no panic before").as_deref() != Some(&tag) {
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_micros(100));
        }
        self.sets.allow(&[&tag]);
        let ends = SystemTime::now() + SEEN;
        self.fleet
            .hosts_with_tag(before)
            .for_each(|host| host.set_last_attempt_time(Some(ends)));
        true
    }

    fn write_invalid(&mut self, how: InvalidKind) {
        self.generation += 1;
        let generation = self.generation.to_string();
        let mut entries = self.entries("bad");
        let weight = [(entries[0].name.clone(), "1".to_owned())];
        let (hosts, weights) = (self.at("hosts.ini"), self.at("weights.ini"));
        match how {
            InvalidKind::Truncated => {
                let text = hosts_text(&generation, &entries);
                let cut = self.chance.random_range(0..text.len() - 1);
                replace(&weights, weights_text(&generation, &weight).as_bytes());
                if self.chance.random() {
                    replace(&hosts, &text.as_bytes()[..cut])
                } else {
                    overwrite(&hosts, &text.as_bytes()[..cut], 1)
                }
            }
            InvalidKind::Malformed => {
                let wrong = [
                    ("zone = a", "zonw = a"),
                    ("build = 7", "build = -7"),
                    ("kind = m", "kind m"),
                    ("endpoint = ", "endpoint = x"),
                    ("= a", "= \0"),
                    ("zone", "\u{0}zone"),
                ];
                let (is, becomes) = wrong[self.chance.random_range(0..wrong.len())];
                replace(
                    &hosts,
                    hosts_text(&generation, &entries)
                        .replacen(is, becomes, 1)
                        .as_bytes(),
                );
                replace(&weights, weights_text(&generation, &weight).as_bytes());
            }
            InvalidKind::Breaking => {
                let mut weight = weight;
                match self.chance.random_range(0..4) {
                    0 => entries[1].endpoint = entries[0].endpoint.clone(),
                    1 => {
                        weight[0].1 =
                            ["NaN", "inf", "-1", "1e308"][self.chance.random_range(0..4)].into()
                    }
                    2 => entries[1].name = entries[0].name.clone(),
                    _ => {
                        // Started only in a moment, which will not pass while it stands.
                        (entries[0].started, weight[0].1) = (unix() + 1000.0, "100".into());
                    }
                }
                replace(&hosts, hosts_text(&generation, &entries).as_bytes());
                replace(&weights, weights_text(&generation, &weight).as_bytes());
            }
            InvalidKind::Torn => replace(&hosts, hosts_text(&generation, &entries).as_bytes()),
            InvalidKind::Pieces => {
                let text = hosts_text(&generation, &entries);
                let cut = text.len() * 3 / 4;
                overwrite(&hosts, &text.as_bytes()[..cut], 5);
            }
            InvalidKind::Gone => {
                let _ = fs::remove_file(&hosts);
                match self.chance.random_range(0..3) {
                    0 => fs::write(&hosts, []).expect("written"),
                    1 => fs::write(&hosts, [0xff, 0xfe, b'\n']).expect("written"),
                    _ => {}
                }
            }
        }
    }

    /// So many rewrites, of which so many in a hundred are valid; spoilt ones stand for about this long, one in
    /// ten of them for long enough to be read and refused in any case.
    fn rewrite(
        &mut self,
        pid: u32,
        clients: &Clients,
        Rewriting {
            rewrites,
            valid_percent,
            stand,
            ..
        }: Rewriting,
    ) -> Outcome {
        let mut out = Outcome {
            valid: 0,
            spoilt: 0,
            applied: histogram(),
            never_applied: 0,
            memory: vec![],
        };
        for number in 1..=rewrites {
            if self.chance.random_range(0..100) < valid_percent || number == rewrites {
                let before = self.tag();
                let written = self.write_valid();
                out.valid += 1;
                if self.wait_until_applied(clients, &before) {
                    out.applied
                        .saturating_record(written.elapsed().as_micros() as u64);
                } else {
                    out.never_applied += 1;
                }
            } else {
                let how = INVALID_KINDS[self.chance.random_range(0..INVALID_KINDS.len())];
                self.write_invalid(how);
                out.spoilt += 1;
                let long = self.chance.random_range(0..10) == 0;
                thread::sleep(if long {
                    Duration::from_millis(15)
                } else {
                    stand.mul_f64(2.0 * self.chance.random::<f64>())
                });
            }
            if [rewrites / 10, rewrites].contains(&number) {
                out.memory
                    .push((number, router_process::resident_memory_kib(pid)));
            }
        }
        out
    }

    fn attempts_at(&self, tag: &str) -> u64 {
        self.fleet
            .hosts_with_tag(tag)
            .map(|host| host.received.load(Relaxed))
            .sum()
    }
}

fn replace(path: &Path, bytes: &[u8]) {
    let new = path.with_extension("new");
    fs::write(&new, bytes)
        .and_then(|()| fs::rename(&new, path))
        .expect("replaced");
}

/// Cut and written in place, in so many pieces.
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

/// What must never happen, over all routers.
#[derive(Default)]
struct Never {
    mixed: u64,
    invalid: u64,
    lost: u64,
    late: u64,
    bad: u64,
    served: u64,
    throttled: u64,
    terminated: u64,
}

impl Never {
    fn add(&mut self, router: &WatchingRouter, met: &router_process::ClientCounters) {
        self.mixed += met.mixed.load(Relaxed);
        self.invalid += met.invalid.load(Relaxed);
        self.lost += met.lost.load(Relaxed);
        self.late += router.files.fleet.attempt_log.late_attempts.load(Relaxed);
        self.bad += router.files.attempts_at("bad");
        self.served += met.served.load(Relaxed);
        self.throttled += met.throttled.load(Relaxed);
        self.terminated += met.terminated.load(Relaxed);
    }
}

/// How the files of one router are rewritten.
#[derive(Clone, Copy)]
struct Rewriting {
    seed: u64,
    rewrites: u64,
    /// Versions in a hundred that are valid.
    valid_percent: u32,
    /// The mean time that an invalid version stands.
    stand: Duration,
}

/// Runs many routers at once, each with files of its own that are rewritten.
fn storm(routers: &[Rewriting]) -> (Vec<Outcome>, Never) {
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
                let met = clients.stop();
                let mut never = Never::default();
                never.add(&router, &met);
                router.program.signal("TERM");
                (outcome, never)
            })
        })
        .collect();
    let (mut outcomes, mut all) = (vec![], Never::default());
    for thread in threads {
        let (outcome, never) = thread.join().expect("a router thread ends without a panic");
        outcomes.push(outcome);
        all.mixed += never.mixed;
        all.invalid += never.invalid;
        all.lost += never.lost;
        all.late += never.late;
        all.bad += never.bad;
        all.served += never.served;
        all.throttled += never.throttled;
        all.terminated += never.terminated;
    }
    (outcomes, all)
}

/// Times with rewrites and without, in turns on one router; medians and 99th percentiles in microseconds, and
/// those of hosts asked directly.
fn turns(seconds: f64) -> [[f64; 2]; 3] {
    let seed = 99;
    let mut router = WatchingRouter::start(seed);
    let clients = router.clients(1, Duration::ZERO);
    let (mut without, mut with) = (histogram(), histogram());
    let until = Instant::now() + Duration::from_secs_f64(seconds);
    drop(clients.met.times());
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(400));
        without.add(clients.met.times()).expect("the same bounds");
        let turn = Instant::now() + Duration::from_millis(400);
        while Instant::now() < turn {
            // Some sixty rewrites a second, one in ten of them valid.
            router.files.rewrite(
                router.program.child.id(),
                &clients,
                Rewriting {
                    seed,
                    rewrites: 10,
                    valid_percent: 0,
                    stand: Duration::from_millis(15),
                },
            );
        }
        with.add(clients.met.times()).expect("the same bounds");
    }
    clients.stop();
    let direct = Clients::start(router.files.fleet.hosts[0].at, 1, None, Duration::ZERO);
    thread::sleep(Duration::from_millis(1500));
    let direct = direct.stop().times();
    [direct, without, with]
        .map(|times| [0.5, 0.99].map(|quantile| times.value_at_quantile(quantile) as f64))
}

/// The loop's longest pauses in milliseconds for taking 16,384 hosts with weights: all new, all weights changed,
/// all replaced, all restarted, all replaced again.
fn large() -> Vec<f64> {
    let folder = tempfile::tempdir().expect("a folder");
    let at = |name: &str| folder.path().join(name);
    fs::write(
        at("operator.ini"),
        "[watch]\nhosts = hosts.ini\nweights = weights.ini\ndiscovery = off\nsettle = 0.05\n",
    )
    .expect("written");
    let write = |generation: &str, prefix: &str, port: usize, weight: f64, started: f64| {
        let at = |number: usize| {
            format!(
                "127.{}.{}.{}:{port}",
                1 + number / 65536,
                number / 256 % 256,
                number % 256
            )
        };
        let entries: Vec<_> = (0..LARGE)
            .map(|number| Entry {
                started,
                ..Entry::new(format!("{prefix}{number}"), at(number))
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
        at("hosts.ini"),
        hosts_text("0", &[Entry::new("first", "127.0.0.1:9")]),
    )
    .expect("written");
    fs::write(at("weights.ini"), weights_text("0", &[])).expect("written");
    let program = router_process::start(
        &router_process::standalone_config(),
        Some(&at("operator.ini")),
    );
    program.wait_for_log("revision applied");
    let start = unix() - 1000.0;
    let versions = [
        ("a", 9, 1.0, 0.0),
        ("a", 9, 2.0, 0.0),
        ("b", 10, 1.0, 0.0),
        ("b", 10, 2.0, 100.0),
        ("a", 9, 1.0, 200.0),
    ];
    let mut pauses = vec![];
    for (number, (prefix, port, weight, later)) in versions.into_iter().enumerate() {
        write(
            &(number + 1).to_string(),
            prefix,
            port,
            weight,
            start + later,
        );
        let line = program.wait_for_log("revision applied");
        let pause = line
            .split("pause_ms: ")
            .nth(1)
            .and_then(|rest| rest.split([',', ' ']).next());
        pauses.push(
            pause
                .and_then(|pause| pause.parse().ok())
                .expect("the line tells the pause"),
        );
    }
    pauses
}

/// Invocations a second through one router with 16 clients.
fn capacity() -> f64 {
    let router = WatchingRouter::start(7);
    let clients = Clients::start(router.program.at, 16, None, Duration::ZERO);
    thread::sleep(Duration::from_millis(500));
    let (before, begun) = (clients.met.served.load(Relaxed), Instant::now());
    thread::sleep(Duration::from_secs(2));
    let served = clients.met.served.load(Relaxed) - before;
    let seconds = begun.elapsed().as_secs_f64();
    clients.stop();
    served as f64 / seconds
}

impl WatchedFiles {
    /// Runs the parts that were asked for; whether all figures are as required.
    pub fn run(&self) -> bool {
        let mut report = Report::new("watched-files");
        let wants = |part: &str| self.part.as_ref().is_none_or(|only| only == part);
        if wants("storm") {
            self.storm(&mut report, &self.rewritings());
        }
        if self.short {
            return report.end();
        }
        if wants("large") {
            report_pauses(&mut report, &large());
        }
        if wants("turns") {
            report_turns(&mut report, turns(if self.long { 60.0 } else { 8.0 }));
        }
        if wants("capacity") {
            report.record(
                "capacity",
                "invocations a second, 16 clients",
                format!("{:.0}", capacity()),
            );
        }
        report.end()
    }

    /// How the files of each of four routers are rewritten.
    fn rewritings(&self) -> Vec<Rewriting> {
        let fast = Duration::from_micros(300);
        let slow = Duration::from_millis(6);
        let rewriting = |seed, rewrites, valid_percent, stand| Rewriting {
            seed,
            rewrites,
            valid_percent,
            stand,
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
        // One router meets ten thousand versions quickly; at the others they are fewer and stand long enough to be read.
        vec![
            rewriting(1, 10_000, 10, fast),
            rewriting(2, 1_200, 25, slow),
            rewriting(3, 1_200, 25, slow),
            rewriting(4, 1_200, 25, slow),
        ]
    }

    fn storm(&self, report: &mut Report, routers: &[Rewriting]) {
        let (outcomes, never) = storm(routers);
        let (valid, spoilt): (u64, u64) = (
            outcomes.iter().map(|o| o.valid).sum(),
            outcomes.iter().map(|o| o.spoilt).sum(),
        );
        report.record("rewrites", "rewrites", valid + spoilt);
        report.check(
            "spoilt",
            "of them truncated, malformed, breaking, torn",
            spoilt,
            "over half",
            spoilt > valid,
        );
        report.record("served", "invocations served meanwhile", never.served);
        report.record("throttled", "throttled", never.throttled);
        report.record("terminated", "terminated", never.terminated);
        report.check_none("mixed", "invocations under a mixed set", never.mixed);
        report.check_none(
            "invalid",
            "invocations under a set not in force",
            never.invalid,
        );
        report.check_none("bad", "dispatches to hosts of invalid versions", never.bad);
        report.check_none("lost", "invocations lost", never.lost);
        report.check_none(
            "late",
            "dispatches to a host after its drain or removal",
            never.late,
        );
        report.check_none(
            "untaken",
            "valid versions never taken",
            outcomes.iter().map(|o| o.never_applied).sum(),
        );
        if self.short {
            return;
        }
        let mut applied = histogram();
        outcomes
            .iter()
            .for_each(|o| applied.add(&o.applied).expect("the same bounds"));
        let at = |quantile: f64| applied.value_at_quantile(quantile) as f64 / 1e3;
        report.record(
            "taken_p50_ms",
            "a valid version taken, ms, median",
            format!("{:.1}", at(0.5)),
        );
        report.check_at_most(
            "taken_p99_ms",
            "a valid version taken, ms, 99th percentile",
            at(0.99),
            300.0,
        );
        let [(_, early), (_, last)] = outcomes[0].memory[..] else {
            panic!("two readings")
        };
        let grown = (last as f64 - early as f64) / 1024.0;
        report.check_at_most(
            "memory_mb",
            "memory after the last over after a tenth, MB",
            grown,
            2.0,
        );
    }
}

fn report_pauses(report: &mut Report, pauses_ms: &[f64]) {
    report.record(
        "pauses_ms",
        "pauses for 16,384 hosts, ms",
        format!("{pauses_ms:.1?}").replace(", ", "/"),
    );
    report.check_at_most(
        "pause_ms",
        "the longest of them, ms",
        pauses_ms.iter().copied().fold(0.0, f64::max),
        5.0,
    );
}

/// Reports medians and 99th percentiles in microseconds: direct, through a router, and the same with rewrites.
fn report_turns(report: &mut Report, [direct, without, with]: [[f64; 2]; 3]) {
    report.record(
        "direct_us",
        "direct to a host, µs, median and 99th",
        format!("{}/{}", direct[0], direct[1]),
    );
    report.record(
        "without_us",
        "through the router, no rewrites",
        format!("{}/{}", without[0], without[1]),
    );
    report.record(
        "with_us",
        "through the router, with rewrites",
        format!("{}/{}", with[0], with[1]),
    );
    let added = |times: [f64; 2]| times[1] - direct[0];
    report.check_at_most(
        "added",
        "added at the 99th percentile, with over without",
        added(with) / added(without),
        1.2,
    );
}
