//! What several real routers together ask of discovery, the platform and hosts, and when a change is in force at the
//! last of them. All share one discovery, one platform, the hosts and the watched files.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Instant;

use kestreltide_testkit::{RouterProcess, TEST_TIMEOUT, endpoint_list, router_config};
use tempfile::TempDir;

use crate::router_process;

use super::files::{Files, operator};
use super::growth::{By, Figure, Growth, Role, at_all_sizes, growths};
use super::load::{Load, Shape};
use super::plan;
use super::servers::{Amount, Discovery, Hosts, Kind, Platform};
use super::site::{
    ANSWER, BASELINE, CANARY, CANARY_ROLLOUT, RELEASED, memory_of, settings, targets, wait,
    wait_ready,
};
use super::sizes::Sizes;

const HOSTS: usize = 74;
/// Requests a second of each router: as many as one machine bears of all.
const RATE: f64 = 10.0;
const CLIENTS: usize = 2;
/// Votes of routers without requests begin to come by this time.
const STARVED_S: f64 = 3.5;
/// How often each change is told.
const CHANGES: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    resident_mb: f64,
    started_ms: f64,
    one_host_ms: f64,
    weight_ms: f64,
    reread_ms: f64,
    start_bytes: f64,
    start_calls: f64,
    rest_out: Amount,
    rest_in: Amount,
    change_bytes: f64,
    platform_rest: Amount,
    votes: Amount,
    vote_bytes: f64,
    host_connections: f64,
    request_bytes: f64,
    answered_bytes: f64,
}

const IN_FORCE_MS: Option<f64> = Some(plan::MAX_IN_FORCE_S * 1e3);

const FIGURES: [Figure<Measured>; 16] = [
    Figure::new(
        Role::Router,
        "resident memory of one router, MB",
        |of| of.resident_mb,
        Some(plan::MAX_MEMORY_MB),
    ),
    Figure::new(
        Role::Router,
        "a change of one host in force at the last, ms",
        |of| of.one_host_ms,
        IN_FORCE_MS,
    ),
    Figure::new(
        Role::Router,
        "one weight in force at the last, ms",
        |of| of.weight_ms,
        IN_FORCE_MS,
    ),
    Figure::new(
        Role::Router,
        "a configuration reread at the last, ms",
        |of| of.reread_ms,
        IN_FORCE_MS,
    ),
    Figure::new(
        Role::Router,
        "start of all, one after another, to ready, ms",
        |of| of.started_ms,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "lists after a start of all, bytes",
        |of| of.start_bytes,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "calls after a start of all",
        |of| of.start_calls,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "sent at rest, bytes/s",
        |of| of.rest_out.bytes,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "received at rest, bytes/s",
        |of| of.rest_in.bytes,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "calls at rest, messages/s",
        |of| of.rest_in.messages,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "sent for a change of one host, bytes",
        |of| of.change_bytes,
        None,
    ),
    Figure::new(
        Role::Platform,
        "sent at rest, bytes/s",
        |of| of.platform_rest.bytes,
        None,
    ),
    Figure::new(
        Role::Platform,
        "votes received on trial, messages/s",
        |of| of.votes.messages,
        None,
    ),
    Figure::new(
        Role::Platform,
        "votes and answers on trial, bytes/s",
        |of| of.vote_bytes,
        None,
    ),
    Figure::new(
        Role::Host,
        "connections open at one host",
        |of| of.host_connections,
        None,
    ),
    Figure::new(
        Role::Host,
        "bytes of a request and its answer",
        |of| of.request_bytes + of.answered_bytes,
        None,
    ),
];

pub(super) fn measure(sizes: &Sizes) -> Vec<Growth> {
    let measured = at_all_sizes(sizes.routers, 1, |routers| one_size(routers, sizes));
    growths(By::Routers, &measured, &FIGURES)
}

/// Real routers that know each other, and what they share.
struct Fleet {
    routers: Vec<RouterProcess>,
    hosts: Hosts,
    discovery: Discovery,
    platform: Platform,
    configs: Vec<String>,
}

/// Addresses of the routers' datagram sockets: one port that is free, at an address for each.
fn peer_addresses(count: usize) -> Vec<SocketAddr> {
    let address = |number: usize, port: u16| {
        let [_, high, middle, low] = (number as u32 + 1).to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(127, 64 + high, middle, low), port))
    };
    let socket = UdpSocket::bind(address(0, 0)).and_then(|socket| socket.local_addr());
    let port = socket
        .unwrap_or_else(|e| panic!("no port for routers can be had: {e}"))
        .port();
    (0..count).map(|number| address(number, port)).collect()
}

impl Fleet {
    fn start(count: usize) -> Self {
        let hosts = Hosts::start(HOSTS);
        hosts.answer_after(ANSWER);
        let discovery = Discovery::start(targets(&hosts));
        let platform = Platform::start(RELEASED);
        let at = peer_addresses(count);
        let peers = at
            .iter()
            .map(|at| format!("\"{at}\""))
            .collect::<Vec<_>>()
            .join(",");
        let configs: Vec<_> = at
            .iter()
            .enumerate()
            .map(|(me, own)| {
                let parties = format!(
                    "\"platform\":{{\"address\":\"{}\"}},\"peer_listen\":\"{own}\",\"peers\":[{peers}],\"settings\"",
                    platform.at
                );
                let text = settings(router_config(discovery.at, &endpoint_list(0, true, &[])), me, count);
                text.replace("\"settings\"", &parties)
            })
            .collect();
        let routers: Vec<_> = configs
            .iter()
            .map(|text| router_process::start(text, None))
            .collect();
        routers.iter().for_each(wait_ready);
        Fleet {
            routers,
            hosts,
            discovery,
            platform,
            configs,
        }
    }

    /// Does something, and waits until every router has logged this: the mean time to the last, in milliseconds.
    fn until_last(&self, mut change: impl FnMut(usize) -> String) -> f64 {
        let begun = Instant::now();
        for number in 0..CHANGES {
            let says = change(number);
            self.routers
                .iter()
                .for_each(|router| drop(router.wait_for_log(&says)));
        }
        begun.elapsed().as_secs_f64() * 1e3 / CHANGES as f64
    }

    fn reread_all(&self) {
        self.routers
            .iter()
            .zip(&self.configs)
            .for_each(|(router, text)| router.reload(text));
    }
}

fn one_size(count: usize, sizes: &Sizes) -> Measured {
    let begun = Instant::now();
    let fleet = Fleet::start(count);
    let mut measured = Measured {
        started_ms: begun.elapsed().as_secs_f64() * 1e3,
        ..Measured::default()
    };
    wait(0.3);
    let discovery = &fleet.discovery;
    (measured.start_bytes, measured.start_calls) =
        (discovery.sent_all().bytes, discovery.requests().messages);
    at_rest(&fleet, sizes, &mut measured);
    let before = discovery.sent(Kind::Changes);
    measured.one_host_ms = fleet.until_last(|number| {
        let rev = discovery.change(number, |target| target.state = "Terminating");
        format!("rev: {rev},")
    });
    measured.change_bytes = (discovery.sent(Kind::Changes).bytes - before.bytes) / CHANGES as f64;
    measured.reread_ms = fleet.until_last(|_| {
        fleet.reread_all();
        "configuration reloaded".into()
    });
    requests(&fleet, sizes, &mut measured);
    with_canary(&fleet, sizes, &mut measured);
    drop(fleet);
    measured.weight_ms = weight_ms(count);
    measured
}

fn at_rest(fleet: &Fleet, sizes: &Sizes, measured: &mut Measured) {
    let platform = |fleet: &Fleet| {
        let counted = fleet.platform.counted();
        counted.rollout_status.now() + counted.signs_of_life.now()
    };
    let (sent, requests, received) = (
        fleet.discovery.sent_all(),
        fleet.discovery.requests(),
        platform(fleet),
    );
    let seconds = wait(sizes.fleet_s);
    measured.rest_out = fleet.discovery.sent_all().per_second(sent, seconds);
    measured.rest_in = fleet.discovery.requests().per_second(requests, seconds);
    measured.platform_rest = platform(fleet).per_second(received, seconds);
    let memory: f64 = fleet
        .routers
        .iter()
        .map(|router| memory_of(router).resident)
        .sum();
    measured.resident_mb = memory / fleet.routers.len() as f64;
}

fn requests(fleet: &Fleet, sizes: &Sizes, measured: &mut Measured) {
    let shape = Shape::rate(CLIENTS, RATE, ANSWER);
    let loads: Vec<_> = fleet
        .routers
        .iter()
        .map(|router| Load::start(router.at, shape))
        .collect();
    wait(0.5 * sizes.fleet_s);
    let (counted, begun) = (fleet.hosts.counted(), Instant::now());
    while counted.answered.now().messages < fleet.routers.len() as f64 {
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "fewer requests came to the hosts in {TEST_TIMEOUT:?} than routers are"
        );
        wait(0.1);
    }
    let (requests, answered) = (counted.requests.now(), counted.answered.now());
    measured.request_bytes = requests.bytes / requests.messages;
    measured.answered_bytes = answered.bytes / answered.messages;
    measured.host_connections = fleet.hosts.open() / HOSTS as f64;
    drop(loads);
}

fn with_canary(fleet: &Fleet, sizes: &Sizes, measured: &mut Measured) {
    fleet.discovery.change_all(|number, target| {
        target.build = if number % 2 == 0 { CANARY } else { BASELINE }
    });
    fleet.platform.publish(CANARY_ROLLOUT);
    let counted = fleet.platform.counted();
    let (votes, answers) = (counted.votes.now(), counted.vote_answers.now());
    let seconds = wait(STARVED_S + 0.5 * sizes.fleet_s);
    measured.votes = counted.votes.now().per_second(votes, seconds);
    measured.vote_bytes = measured.votes.bytes
        + counted
            .vote_answers
            .now()
            .per_second(answers, seconds)
            .bytes;
}

/// Routers that follow the same files: the mean time until one weight is in force at the last of them.
fn weight_ms(count: usize) -> f64 {
    let mut files = Files::new(HOSTS);
    let states: Vec<TempDir> = (0..count)
        .map(|_| tempfile::tempdir().unwrap_or_else(|e| panic!("no folder can be made: {e}")))
        .collect();
    let watched = files.at("");
    let routers: Vec<_> = states
        .iter()
        .map(|state| {
            let at = state.path().join("operator.ini");
            fs::write(&at, operator(&watched, state.path()))
                .unwrap_or_else(|e| panic!("{} cannot be written: {e}", at.display()));
            router_process::start(&super::site::config_alone(), Some(&at))
        })
        .collect();
    for router in &routers {
        wait_ready(router);
        router.wait_for_log_since_start("revision applied");
    }
    let mut took = 0.0;
    for _ in 0..CHANGES {
        files.next_version();
        let begun = Instant::now();
        routers
            .iter()
            .for_each(|router| drop(router.wait_for_log("revision applied")));
        took += begun.elapsed().as_secs_f64();
    }
    took * 1e3 / CHANGES as f64
}
