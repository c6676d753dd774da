//! The cases of the second review that need nothing but the standard library: `review-2 CASE RECORD`.

mod copies;
mod support;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use support::*;

/// The state of a build that is released.
const LIVE: &str = "\"image\":41,\"ring\":3,\"progress\":\"live\",\"ceiling\":1.0";

/// How far a stand-in's own clock may lag behind the bytes, in seconds: the machine may be busy.
const MEASURING_SLACK: f64 = 0.08;

/// Every time limit is 50 ms longer on sockets.
const SOCKET_SLACK: f64 = 0.05;

fn calor_serrano() -> Site {
    Site {
        discovery: "push",
        routers: 3,
        ask_every_ms: 10_000,
        drain_grace_ms: 500,
        fall_multiple: 3.0,
        fall_ms: 2000,
        cold_share: 0.35,
        cold_ms: 4900,
        rings: "0.04,0.1,0.25,0.55,1.0",
        caps: "0.056,0.14,0.35,0.77,1.0",
        window_ms: 2000,
        free: 3.0,
        no_return: false,
        second_copies: false,
        retry_after: false,
        max_attempts: 5,
        may_probe: true,
        idle_ms: 30_000,
        streams: 8,
        memory_mb: 192,
        sockets: 1024,
        classes: vec![
            Class {
                name: "schedule-read",
                effect: "repeatable",
                window_ms: 5000,
                aim_ms: 800,
                limit_ms: 2500,
                late_worth: 0.2,
                worth: 1.0,
            },
            Class {
                name: "setpoint-change",
                effect: "by_key",
                window_ms: 2500,
                aim_ms: 400,
                limit_ms: 1200,
                late_worth: 0.0,
                worth: 3.0,
            },
        ],
    }
}

fn placement_core() -> Site {
    Site {
        discovery: "ask",
        routers: 3,
        ask_every_ms: 10_000,
        drain_grace_ms: 250,
        fall_multiple: 4.0,
        fall_ms: 1000,
        cold_share: 0.35,
        cold_ms: 4300,
        rings: "0.05,0.2,0.5,1.0",
        caps: "0.06,0.24,0.6,1.0",
        window_ms: 4000,
        free: 2.0,
        no_return: false,
        second_copies: true,
        retry_after: true,
        max_attempts: 5,
        may_probe: true,
        idle_ms: 15_000,
        streams: 100,
        memory_mb: 192,
        sockets: 1024,
        classes: vec![
            Class {
                name: "vacancy-search",
                effect: "repeatable",
                window_ms: 4000,
                aim_ms: 500,
                limit_ms: 2000,
                late_worth: 0.0,
                worth: 3.0,
            },
            Class {
                name: "status-check",
                effect: "repeatable",
                window_ms: 2000,
                aim_ms: 300,
                limit_ms: 1000,
                late_worth: 0.0,
                worth: 1.0,
            },
            Class {
                name: "place-reserve",
                effect: "by_key",
                window_ms: 400,
                aim_ms: 250,
                limit_ms: 600,
                late_worth: 0.0,
                worth: 5.0,
            },
        ],
    }
}

fn gdl_oficina() -> Site {
    Site {
        discovery: "ask",
        routers: 3,
        ask_every_ms: 10_000,
        drain_grace_ms: 250,
        fall_multiple: 4.0,
        fall_ms: 2000,
        cold_share: 0.43,
        cold_ms: 4900,
        rings: "0.05,0.2,0.5,1.0",
        caps: "0.06,0.24,0.6,1.0",
        window_ms: 4000,
        free: 2.0,
        no_return: true,
        second_copies: true,
        retry_after: true,
        max_attempts: 4,
        may_probe: false,
        idle_ms: 30_000,
        streams: 32,
        memory_mb: 32,
        sockets: 1024,
        classes: vec![
            Class {
                name: "sheet-read",
                effect: "repeatable",
                window_ms: 2400,
                aim_ms: 300,
                limit_ms: 1200,
                late_worth: 0.0,
                worth: 3.0,
            },
            Class {
                name: "scan-register",
                effect: "by_key",
                window_ms: 2000,
                aim_ms: 750,
                limit_ms: 3000,
                late_worth: 0.0,
                worth: 2.0,
            },
            Class {
                name: "folio-assign",
                effect: "once",
                window_ms: 0,
                aim_ms: 750,
                limit_ms: 3000,
                late_worth: 0.2,
                worth: 2.0,
            },
        ],
    }
}

/// Clients of one router that send at a steady rate, each on a connection of its own.
struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

/// A key by the number of its request.
type KeyOf = fn(u64, &mut Random) -> String;

fn few_keys(_: u64, random: &mut Random) -> String {
    format!("k{}", random.below(2000))
}

impl Load {
    /// `rate`: requests a second. `shares`: of the site's classes, in percent.
    fn start(
        site: &'static Site,
        router: SocketAddr,
        rate: f64,
        clients: u64,
        shares: &'static [u64],
        key_of: KeyOf,
    ) -> Self {
        Self::start_with_bodies(site, router, rate, clients, shares, key_of, 4)
    }

    /// `body_bytes`: the length of the body of `Q.DO`.
    fn start_with_bodies(
        site: &'static Site,
        router: SocketAddr,
        rate: f64,
        clients: u64,
        shares: &'static [u64],
        key_of: KeyOf,
        body_bytes: usize,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(vec![]));
        let number = Arc::new(AtomicU64::new(0));
        let threads = (0..clients)
            .map(|client_number| {
                let (stop, sent, number) = (stop.clone(), sent.clone(), number.clone());
                thread::spawn(move || {
                    let mut random = Random::new(client_number + 17 * u64::from(router.port()));
                    let mut client = Client::new(router);
                    client.body_bytes = body_bytes;
                    let pause = clients as f64 / rate;
                    let mut next = now() + pause * client_number as f64 / clients as f64;
                    while !stop.load(SeqCst) {
                        sleep_until(next);
                        next = (next + pause).max(now() - pause);
                        let mut draw = random.below(shares.iter().sum());
                        let mut class = 0;
                        while draw >= shares[class] {
                            draw -= shares[class];
                            class += 1;
                        }
                        let class = &site.classes[class];
                        let key = key_of(number.fetch_add(1, SeqCst), &mut random);
                        let request = client.send(&key, class, class.limit_ms);
                        record(&format!(
                            "client of {} sent {} {} at {:.3}: {:?}",
                            router.port(),
                            request.class,
                            request.id,
                            request.at,
                            request.outcome
                        ));
                        lock(&sent).push(request);
                    }
                })
            })
            .collect();
        Load {
            stop,
            sent,
            threads,
        }
    }

    fn end(self) -> Vec<Sent> {
        self.stop.store(true, SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        lock(&self.sent).clone()
    }
}

fn count(sent: &[Sent], outcome: Outcome) -> usize {
    sent.iter()
        .filter(|request| request.outcome == outcome)
        .count()
}

fn tell_outcomes(name: &str, sent: &[Sent]) {
    say(&format!(
        "{name}: sent {}, served {}, refused {}, failed {}, closed {}, silent {}, unreachable {}",
        sent.len(),
        count(sent, Outcome::Served),
        count(sent, Outcome::Refused),
        count(sent, Outcome::Failed),
        count(sent, Outcome::Closed),
        count(sent, Outcome::Silent),
        count(sent, Outcome::Unreachable)
    ));
}

/// The commands that a host got later than `told` plus the grace, the slack on sockets and that of measuring.
fn late_sends(host: &Host, site: &Site, told: f64, until: f64) -> Vec<f64> {
    let bound = told + site.drain_grace_ms as f64 / 1e3 + SOCKET_SLACK + MEASURING_SLACK;
    let begun = lock(&host.begun);
    begun
        .iter()
        .map(|begun| begun.first_at)
        .filter(|at| *at > bound && *at < until)
        .collect()
}

/// Case: after SIGHUP the new discovery takes 1.5 s for each answer.
fn slow_list() {
    let site: &'static Site = Box::leak(Box::new(calor_serrano()));
    let hosts: Vec<_> = (0..6)
        .map(|number| Host::start(&format!("s-{number}"), 20, true))
        .collect();
    let entries: Vec<_> = hosts.iter().map(|host| Entry::of(host, 41)).collect();
    let platform = Platform::start(LIVE);
    let old = Agent::start("old", 41, &entries);
    let listen = free_address();
    let peers = [free_address(), free_address(), free_address()];
    let known = whole_list(41, &entries);
    let text =
        |discovery| site.config(0, listen, &peers, discovery, platform.address, LIVE, &known);
    let router = Router::start("n0", listen, old.address, &text(old.address), &[]);
    let load = Load::start(site, listen, 120.0, 24, &[70, 30], few_keys);
    sleep(3.0);

    let mut drained = entries[0].clone();
    drained.state = "Terminating";
    let mut new_entries = entries.clone();
    new_entries[0] = drained;
    let new = Agent::start("new", 42, &new_entries);
    if with_trouble() {
        new.delay_ms.store(1500, SeqCst);
    }
    let temporary = router.config.with_extension("new");
    std::fs::write(&temporary, text(new.address))
        .and_then(|()| std::fs::rename(&temporary, &router.config))
        .unwrap_or_else(|e| cannot_run(&e.to_string()));
    let signalled = now();
    router.signal("HUP");
    old.leave();
    sleep(20.0);
    let runs = router.runs();
    let sent = load.end();
    tell_outcomes("clients", &sent);
    let told = signalled + 4.0;
    let late = late_sends(&hosts[0], site, told, f64::INFINITY);
    say(&format!(
        "the new discovery was asked {} times; s-0 counts as told {told:.3}; commands to it after the grace: {}; the last at {:.3}",
        new.calls.load(SeqCst),
        late.len(),
        late.last().copied().unwrap_or(0.0)
    ));
    if !runs || count(&sent, Outcome::Served) == 0 {
        cannot_run("the router does not serve");
    }
    finish(
        !late.is_empty(),
        "nothing new goes to a host later than the grace after the router was told that it drains",
    );
}

/// Case: a fleet that asks for lists follows them again too late after an outage of discovery.
fn ask_backoff() {
    let site: &'static Site = Box::leak(Box::new(Site {
        routers: 160,
        ..placement_core()
    }));
    let hosts: Vec<_> = (0..8)
        .map(|number| Host::start(&format!("w-{number}"), 15, true))
        .collect();
    let entries: Vec<_> = hosts.iter().map(|host| Entry::of(host, 41)).collect();
    let platform = Platform::start(LIVE);
    let peers: Vec<_> = (0..8).map(|_| free_address()).collect();
    let agents: Vec<_> = (0..8)
        .map(|number| Agent::start(&format!("of n{number}"), 41, &entries))
        .collect();
    let starts: Vec<_> = (0..8u32)
        .map(|me| {
            let (listen, agent, peers) =
                (free_address(), agents[me as usize].clone(), peers.clone());
            let text = site.config(
                me,
                listen,
                &peers,
                agent.address,
                platform.address,
                LIVE,
                &whole_list(41, &entries),
            );
            thread::spawn(move || {
                Router::start(&format!("n{me}"), listen, agent.address, &text, &[])
            })
        })
        .collect();
    let routers: Vec<_> = starts
        .into_iter()
        .filter_map(|start| start.join().ok())
        .collect();
    if routers.len() < 8 {
        cannot_run("a router did not start");
    }
    let loads: Vec<_> = routers
        .iter()
        .map(|router| Load::start(site, router.address, 20.0, 4, &[47, 43, 10], few_keys))
        .collect();
    sleep(2.0);
    let mut broken = 0;
    // Two outages, each with one host that is drained while discovery is down.
    for (round, drained) in [&entries[0], &entries[1]].into_iter().enumerate() {
        let began = now();
        if with_trouble() {
            record("discovery is down");
            agents.iter().for_each(|agent| agent.set_silent(true));
        }
        sleep_until(began + 5.0);
        let mut drained = drained.clone();
        drained.state = "Terminating";
        agents
            .iter()
            .for_each(|agent| agent.change(std::slice::from_ref(&drained)));
        sleep_until(began + 29.0);
        record("discovery is back");
        agents.iter().for_each(|agent| agent.set_silent(false));
        let back = now();
        sleep_until(back + 10.0);
        // A change counts as told at the latest 6 s after discovery had it and could be reached.
        let late = late_sends(&hosts[round], site, back + 6.0, f64::INFINITY);
        broken += late.len();
        say(&format!(
            "outage {}: discovery is back at {back:.3}; commands to {} later than 6 s and the grace: {}; the last {:.3} s after the return",
            round + 1,
            drained.uid,
            late.len(),
            late.last().map_or(0.0, |at| at - back)
        ));
        // All routers follow again before the next outage.
        sleep_until(back + if round == 0 { 14.0 } else { 0.0 });
    }
    let runs = routers.iter().all(Router::runs);
    let sent: Vec<_> = loads.into_iter().flat_map(Load::end).collect();
    tell_outcomes("clients", &sent);
    if !runs || count(&sent, Outcome::Served) == 0 {
        cannot_run("the routers do not serve");
    }
    finish(
        broken > 0,
        "nothing new goes to a host later than the grace after the router was told that it drains",
    );
}

fn new_key(number: u64, _: &mut Random) -> String {
    let line = format!("upload/2026-12-05/partner-herbarium/batch-{number:012}/sheet;");
    line.chars().cycle().take(400).collect()
}

fn old_key(number: u64, random: &mut Random) -> String {
    let _ = number;
    new_key(random.below(7300), random)
}

/// Case: keys that are always new, in a deployment that keeps a key with the build that answered it.
fn sticky_memory() {
    let site: &'static Site = Box::leak(Box::new(gdl_oficina()));
    let hosts: Vec<_> = (0..14)
        .map(|number| Host::start(&format!("c-{number}"), 4, false))
        .collect();
    let entries: Vec<_> = hosts.iter().map(|host| Entry::of(host, 41)).collect();
    let platform = Platform::start(LIVE);
    let agent = Agent::start("of n0", 41, &entries);
    let listen = free_address();
    let peers = [free_address(), free_address(), free_address()];
    let text = site.config(
        0,
        listen,
        &peers,
        agent.address,
        platform.address,
        LIVE,
        &whole_list(41, &entries),
    );
    let router = Router::start("n0", listen, agent.address, &text, &[]);
    let key_of = if with_trouble() { new_key } else { old_key };
    let load = Load::start(site, listen, 740.0, 24, &[56, 29, 15], key_of);
    watch_memory(site, &router, load, 105.0);
}

/// Case: commands and values of nearly the length that a value may have.
fn large_values() {
    let site: &'static Site = Box::leak(Box::new(gdl_oficina()));
    let (body_bytes, value_bytes) = if with_trouble() {
        (60_000, 65_000)
    } else {
        (200, 200)
    };
    let hosts: Vec<_> = (0..14)
        .map(|number| Host::start(&format!("c-{number}"), 50, false))
        .collect();
    hosts
        .iter()
        .for_each(|host| host.value_bytes.store(value_bytes, SeqCst));
    let entries: Vec<_> = hosts.iter().map(|host| Entry::of(host, 41)).collect();
    let platform = Platform::start(LIVE);
    let agent = Agent::start("of n0", 41, &entries);
    let listen = free_address();
    let peers = [free_address(), free_address(), free_address()];
    let known = whole_list(41, &entries);
    let text = site.config(
        0,
        listen,
        &peers,
        agent.address,
        platform.address,
        LIVE,
        &known,
    );
    let router = Router::start("n0", listen, agent.address, &text, &[]);
    let load = Load::start_with_bodies(
        site,
        listen,
        740.0,
        110,
        &[47, 35, 18],
        few_keys,
        body_bytes,
    );
    watch_memory(site, &router, load, 75.0);
}

/// Watches a router's memory for so many seconds; over its limit the platform kills it.
fn watch_memory(site: &Site, router: &Router, load: Load, seconds: f64) -> ! {
    let limit_kib = u64::from(site.memory_mb) * 1024;
    let began = now();
    let mut most = 0;
    while now() - began < seconds && router.runs() {
        let Some(memory) = router.memory_kib() else {
            cannot_run("the memory of a process cannot be read")
        };
        most = most.max(memory);
        let taken = lock(&load.sent).len();
        say(&format!(
            "after {:5.1} s and {taken} requests: {memory} KiB of {limit_kib}",
            now() - began
        ));
        if memory > limit_kib {
            record("the platform kills it");
            router.kill();
            break;
        }
        sleep(2.5);
    }
    let over = most > limit_kib;
    let sent = load.end();
    tell_outcomes("clients", &sent);
    if count(&sent, Outcome::Served) == 0 || !over && !router.runs() {
        cannot_run("the router does not serve");
    }
    finish(
        over,
        &format!("a router stays within memory_mb; it held {most} KiB of {limit_kib}"),
    );
}

/// Case: second copies of answers come late, and `PING` is answered at once.
fn late_copies() {
    let site: &'static Site = Box::leak(Box::new(Site {
        memory_mb: 192,
        ..gdl_oficina()
    }));
    let manner = Arc::new(copies::Manner {
        copies_percent: if with_trouble() { 30 } else { 0 },
        busy_percent: 5,
        batch: 0.032,
        pong_at_once: std::env::var("PONG").map_or(true, |value| value != "in-order"),
    });
    let ran = Arc::new(copies::Ran::default());
    let entries: Vec<_> = (0..2)
        .map(|number| {
            let uid = format!("c-{number}");
            let endpoint = copies::network(copies::start(&uid, &manner, &ran), 0.002);
            Entry {
                uid,
                endpoint,
                zone: "a",
                state: "Ready",
                boot_ms: 0,
                build: 41,
            }
        })
        .collect();
    let platform = Platform::start(LIVE);
    let agent = Agent::start("of n0", 41, &entries);
    let listen = free_address();
    let peers = [free_address(), free_address(), free_address()];
    let text = site.config(
        0,
        listen,
        &peers,
        agent.address,
        platform.address,
        LIVE,
        &whole_list(41, &entries),
    );
    let router = Router::start("n0", listen, agent.address, &text, &[]);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..24u64)
        .map(|number| {
            let stop = stop.clone();
            thread::spawn(move || {
                let mut random = Random::new(number + 400);
                let mut client = Client::new(listen);
                let mut sent = vec![];
                while !stop.load(SeqCst) {
                    let draw = random.below(100);
                    let class = &site.classes[if draw < 50 {
                        0
                    } else if draw < 82 {
                        1
                    } else {
                        2
                    }];
                    let request = client.send(&few_keys(0, &mut random), class, class.limit_ms);
                    record(&format!(
                        "client {number} sent {} {} at {:.4}: {:?} {}",
                        request.class, request.id, request.at, request.outcome, request.answer
                    ));
                    // After a refusal they come again after the time that it names.
                    let wait_ms = request
                        .answer
                        .strip_prefix("-BUSY ")
                        .and_then(|wait| wait.trim().parse::<f64>().ok());
                    sent.push(request);
                    sleep(wait_ms.unwrap_or(random.below(4000) as f64 / 1e3) / 1e3);
                }
                sent
            })
        })
        .collect();
    sleep(40.0);
    stop.store(true, SeqCst);
    let sent: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten()
        .collect();
    tell_outcomes("clients", &sent);
    let foreign: Vec<_> = sent
        .iter()
        .filter(|request| {
            request.outcome == Outcome::Served && !request.answer.contains(&request.id)
        })
        .collect();
    for request in foreign.iter().take(5) {
        say(&format!(
            "{} {} got {}",
            request.class, request.id, request.answer
        ));
    }
    let runs = lock(&ran.runs);
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, (class, runs))| class == "folio-assign" && runs.len() > 1)
        .collect();
    for (id, (class, runs)) in twice.iter().take(5) {
        say(&format!("{class} {id} ran {} times: {runs:?}", runs.len()));
    }
    // A side-effecting invocation that has run never gets a refusal, which says that trying again is harmless.
    let refused: Vec<_> = sent
        .iter()
        .filter(|request| {
            request.class == "folio-assign"
                && request.outcome == Outcome::Refused
                && runs.contains_key(&request.id)
        })
        .collect();
    for request in refused.iter().take(5) {
        say(&format!(
            "{} {} ran ({:?}) and got {}",
            request.class, request.id, runs[&request.id].1, request.answer
        ));
    }
    say(&format!(
        "{} second copies, {} PINGs; {} requests served with a value made for another; {} folio-assign run more than once, {} refused though they had run",
        ran.copies.load(SeqCst),
        ran.pings.load(SeqCst),
        foreign.len(),
        twice.len(),
        refused.len()
    ));
    if count(&sent, Outcome::Served) < 1000 || !router.runs() {
        cannot_run("the router does not serve");
    }
    finish(
        !twice.is_empty() || !foreign.is_empty() || !refused.is_empty(),
        "a side-effecting invocation never runs twice, and no client gets a value made for another's request",
    );
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("review-2 CASE RECORD");
        std::process::exit(2);
    };
    open_record(path);
    // Ends everything before the 120 seconds are over.
    thread::spawn(|| {
        sleep(116.0);
        cannot_run("it takes too long");
    });
    match case.as_str() {
        "slow-list" => slow_list(),
        "ask-backoff" => ask_backoff(),
        "sticky-memory" => sticky_memory(),
        "large-values" => large_values(),
        "late-copies" => late_copies(),
        _ => cannot_run("no such case"),
    }
}
