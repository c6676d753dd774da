//! What one router costs by its clients' connections, and by the requests that are open at once. Hosts and routers
//! are few.

use std::time::Duration;

use kestreltide_testkit::{Client, RouterProcess};

use super::growth::{AtSize, By, Figure, Growth, Role, at_all_sizes, growths};
use super::load::{Load, Shape};
use super::plan;
use super::requests::{Requests, requests};
use super::site::{ANSWER, Around, Plan, core_percent, cpu_of, memory_of, wait};
use super::sizes::Sizes;

const HOSTS: usize = 74;
/// Clients that come, ask whether the router is ready, and go.
const HANDSHAKES: usize = 200;
const MICROS: f64 = 1e6;

#[derive(Clone, Copy, Debug, Default)]
struct Connected {
    resident_mb: f64,
    idle_percent: f64,
    request_us: f64,
    handshake_us: f64,
    new_upstream_us: f64,
}

const CONNECTED: [Figure<Connected>; 5] = [
    Figure::new(
        Role::Router,
        "resident memory, MB",
        |of| of.resident_mb,
        Some(plan::MAX_MEMORY_MB),
    ),
    Figure::new(
        Role::Router,
        "processor at rest, % of a core",
        |of| of.idle_percent,
        Some(plan::MAX_CORE_PERCENT),
    ),
    Figure::new(
        Role::Router,
        "processor, us a request",
        |of| of.request_us,
        Some(plan::max_request_micros()),
    ),
    Figure::new(
        Role::Router,
        "processor, us a client that comes and goes",
        |of| of.handshake_us,
        None,
    ),
    Figure::new(
        Role::Router,
        "processor, us a request on a new connection",
        |of| of.new_upstream_us,
        None,
    ),
];

#[derive(Clone, Copy, Debug, Default)]
struct Open {
    open: f64,
    resident_mb: f64,
    request_us: f64,
}

const OPEN: [Figure<Open>; 2] = [
    Figure::new(
        Role::Router,
        "resident memory, MB",
        |of| of.resident_mb,
        Some(plan::MAX_MEMORY_MB),
    ),
    Figure::new(
        Role::Router,
        "processor, us a request, at five times the peak",
        |of| of.request_us,
        Some(plan::max_request_micros()),
    ),
];

pub(super) fn measure(sizes: &Sizes) -> Vec<Growth> {
    let connected = at_all_sizes(sizes.connections, sizes.times, |connections| {
        connected(connections, sizes)
    });
    let mut all = growths(By::Connections, &connected, &CONNECTED);
    let delays: Vec<_> = sizes
        .answer_ms
        .iter()
        .map(|millis| *millis as usize)
        .collect();
    let open = at_all_sizes(&delays, sizes.times, |millis| open(millis, sizes));
    // The size is how many were open, not how long they were.
    let by_open = |(_, measured): AtSize<Open>| {
        let mean = measured.iter().map(|of| of.open).sum::<f64>() / measured.len() as f64;
        (mean, measured)
    };
    let open: Vec<_> = open.into_iter().map(by_open).collect();
    all.extend(growths(By::OpenRequests, &open, &OPEN));
    all
}

/// Processor time of a request, and how many there were a second; most of them have to be served.
fn served(
    program: &RouterProcess,
    load: &Load,
    idle_percent: f64,
    seconds: f64,
    sizes: &Sizes,
) -> Requests {
    let requests = requests(program, load, idle_percent, seconds);
    let Requests {
        refused_part,
        lost_part,
        ..
    } = requests;
    assert!(
        refused_part + lost_part <= sizes.max_lost_per_request,
        "for each request that was served {refused_part:.2} were refused and {lost_part:.2} lost"
    );
    requests
}

fn connected(connections: usize, sizes: &Sizes) -> Connected {
    let around = Around::start(Plan::new(HOSTS, 1));
    let (program, _) = around.router(None);
    let load = Load::start(
        program.at,
        Shape::rate(connections, plan::requests_per_router(), ANSWER),
    );
    wait(0.5 * sizes.load_s);
    // What a router of many connections takes at rest is measured with them, and no requests.
    load.pause(true);
    wait(0.3);
    let mut seconds = 0.0;
    let cpu = cpu_of(&program, || seconds = wait(0.5 * sizes.idle_s));
    let idle_percent = core_percent(cpu, seconds);
    let resident_mb = memory_of(&program).resident;
    load.pause(false);
    wait(0.3);
    let request_us = served(&program, &load, idle_percent, sizes.load_s, sizes).micros;
    around.hosts.close_after_answer(true);
    wait(0.3);
    let new_upstream_us = served(&program, &load, idle_percent, 0.5 * sizes.load_s, sizes).micros;
    drop(load);
    wait(0.3);
    let cpu = cpu_of(&program, || {
        (0..HANDSHAKES)
            .for_each(|_| assert_eq!(Client::connect(program.at).request(&["PING"]), "+PONG"));
        wait(0.2);
    });
    let handshake_us = cpu / HANDSHAKES as f64 * MICROS;
    Connected {
        resident_mb,
        idle_percent,
        request_us,
        handshake_us,
        new_upstream_us,
    }
}

fn open(millis: usize, sizes: &Sizes) -> Open {
    let around = Around::start(Plan::new(sizes.open_hosts, 1));
    let answer = Duration::from_millis(millis as u64);
    around.hosts.answer_after(answer);
    let (program, _) = around.router(None);
    let load = Load::start(
        program.at,
        Shape::rate(sizes.open_connections, sizes.open_rate, answer),
    );
    wait(1.0 + 1.5 * answer.as_secs_f64());
    let requests = served(&program, &load, 0.0, sizes.load_s, sizes);
    let open = requests.per_second * answer.as_secs_f64();
    Open {
        open,
        resident_mb: memory_of(&program).resident,
        request_us: requests.micros,
    }
}
