//! What one router costs by the hosts listed: memory, processor time of a request, of each event and of idleness,
//! bytes of lists, and times.

use std::time::Instant;

use kestreltide_testkit::RouterProcess;

use super::growth::{By, Figure, Growth, Role, at_all_sizes, growths};
use super::load::{Load, Shape};
use super::plan;
use super::requests::requests;
use super::servers::{Amount, Kind};
use super::site::{
    ANSWER, Around, CANARY_ROLLOUT, CLIENTS, Plan, RELEASED, core_percent, cpu_of, memory_of, wait,
};
use super::sizes::Sizes;

const MICROS: f64 = 1e6;

/// What one size came to. Processor times in microseconds an event, times in milliseconds, memory in MB.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    resident_mb: f64,
    private_mb: f64,
    loaded_mb: f64,
    idle_percent: f64,
    request_us: f64,
    /// Of a core, at the requests a second of the plan.
    peak_percent: f64,
    added_ms: f64,
    added_ms_99: f64,
    /// The same where clients ask a host without a router between: what the machine and the stand-ins add.
    direct_ms_99: f64,
    new_connections_per_s: f64,
    one_host_us: f64,
    complete_list_us: f64,
    status_us: f64,
    reread_us: f64,
    ready_ms: f64,
    one_host_ms: f64,
    complete_list_ms: f64,
    reread_ms: f64,
    complete_list_bytes: f64,
    one_host_bytes: f64,
    restart_watch_bytes: f64,
    restart_request_bytes: f64,
}

const CORE: Option<f64> = Some(plan::MAX_CORE_PERCENT);
const MEMORY: Option<f64> = Some(plan::MAX_MEMORY_MB);
const IN_FORCE_MS: Option<f64> = Some(plan::MAX_IN_FORCE_S * 1e3);

const FIGURES: [Figure<Measured>; 22] = [
    Figure::new(
        Role::Router,
        "resident memory at rest, MB",
        |of| of.resident_mb,
        MEMORY,
    ),
    Figure::new(
        Role::Router,
        "private memory at rest, MB",
        |of| of.private_mb,
        MEMORY,
    ),
    Figure::new(
        Role::Router,
        "resident memory after requests, MB",
        |of| of.loaded_mb,
        MEMORY,
    ),
    Figure::new(
        Role::Router,
        "processor at rest, % of a core",
        |of| of.idle_percent,
        CORE,
    ),
    Figure::new(
        Role::Router,
        "processor, us a request",
        |of| of.request_us,
        Some(plan::max_request_micros()),
    ),
    Figure::new(
        Role::Router,
        "processor at the peak, % of a core",
        |of| of.peak_percent,
        CORE,
    ),
    Figure::new(
        Role::Router,
        "added to a request, ms, median",
        |of| of.added_ms,
        Some(plan::MAX_ADDED_MS),
    ),
    Figure::new(
        Role::Router,
        "added to a request, ms, 99 in 100",
        |of| of.added_ms_99,
        Some(plan::MAX_ADDED_MS),
    ),
    Figure::new(
        Role::Router,
        "the same without a router, ms, 99 in 100",
        |of| of.direct_ms_99,
        None,
    ),
    Figure::new(
        Role::Router,
        "processor, us a change of one host",
        |of| of.one_host_us,
        None,
    ),
    Figure::new(
        Role::Router,
        "processor, us a whole list",
        |of| of.complete_list_us,
        None,
    ),
    Figure::new(
        Role::Router,
        "processor, us a news of a rollout",
        |of| of.status_us,
        None,
    ),
    Figure::new(
        Role::Router,
        "processor, us a configuration reread",
        |of| of.reread_us,
        None,
    ),
    Figure::new(Role::Router, "start to ready, ms", |of| of.ready_ms, None),
    Figure::new(
        Role::Router,
        "a change of one host in force, ms",
        |of| of.one_host_ms,
        IN_FORCE_MS,
    ),
    Figure::new(
        Role::Router,
        "a whole list in force, ms",
        |of| of.complete_list_ms,
        IN_FORCE_MS,
    ),
    Figure::new(
        Role::Router,
        "a configuration reread in force, ms",
        |of| of.reread_ms,
        IN_FORCE_MS,
    ),
    Figure::new(
        Role::Discovery,
        "bytes of a whole list",
        |of| of.complete_list_bytes,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "bytes of a change of one host",
        |of| of.one_host_bytes,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "bytes for a restart with a watch",
        |of| of.restart_watch_bytes,
        None,
    ),
    Figure::new(
        Role::Discovery,
        "bytes for a restart that asks",
        |of| of.restart_request_bytes,
        None,
    ),
    Figure::new(
        Role::Host,
        "new connections/s of a router at the peak",
        |of| of.new_connections_per_s,
        None,
    ),
];

/// All sizes at once, as a router takes little of a core; each as often as asked.
pub(super) fn measure(sizes: &Sizes) -> Vec<Growth> {
    let measured = at_all_sizes(sizes.hosts, sizes.times, |hosts| one_size(hosts, sizes));
    growths(By::Hosts, &measured, &FIGURES)
}

fn one_size(hosts: usize, sizes: &Sizes) -> Measured {
    let around = Around::start(Plan::new(hosts, sizes.routers_of_hosts));
    let (program, ready_ms) = around.router(None);
    let mut measured = Measured {
        ready_ms,
        ..Measured::default()
    };
    at_rest(&program, sizes, &mut measured);
    under_load(&around, &program, sizes, &mut measured);
    events(&around, &program, sizes, &mut measured);
    drop((program, around));
    measured.restart_watch_bytes = restart(hosts, false);
    measured.restart_request_bytes = restart(hosts, true);
    measured
}

fn at_rest(program: &RouterProcess, sizes: &Sizes, measured: &mut Measured) {
    wait(0.5);
    let mut seconds = 0.0;
    let cpu = cpu_of(program, || seconds = wait(sizes.idle_s));
    measured.idle_percent = core_percent(cpu, seconds);
    let memory = memory_of(program);
    (measured.resident_mb, measured.private_mb) = (memory.resident, memory.private);
}

fn under_load(around: &Around, program: &RouterProcess, sizes: &Sizes, measured: &mut Measured) {
    let load = Load::start(
        program.at,
        Shape::rate(CLIENTS, plan::requests_per_router(), ANSWER),
    );
    let direct = Load::start(
        around.hosts.at[0],
        Shape::rate(CLIENTS, plan::requests_per_router(), ANSWER),
    );
    wait(0.4 * sizes.load_s);
    load.added_ms();
    direct.added_ms();
    let (connections, begun) = (around.hosts.connections(), Instant::now());
    measured.request_us = requests(program, &load, measured.idle_percent, sizes.load_s).micros;
    let seconds = begun.elapsed().as_secs_f64();
    measured.new_connections_per_s = (around.hosts.connections() - connections) / seconds;
    // What it takes at rest it takes anyway.
    let of_requests = measured.request_us / MICROS * plan::requests_per_router();
    measured.peak_percent = 100.0 * of_requests + measured.idle_percent;
    (measured.added_ms, measured.added_ms_99) = load.added_ms();
    measured.direct_ms_99 = direct.added_ms().1;
    measured.loaded_mb = memory_of(program).resident;
}

fn events(around: &Around, program: &RouterProcess, sizes: &Sizes, measured: &mut Measured) {
    let (discovery, count) = (&around.discovery, sizes.events);
    let bytes = |kind: Kind, before: Amount| {
        let now = discovery.sent(kind);
        (now.bytes - before.bytes) / (now.messages - before.messages).max(1.0)
    };
    let before = discovery.sent(Kind::Changes);
    let one = timed(program, measured.idle_percent, count, |number| {
        let state = if number % 2 == 0 {
            "Terminating"
        } else {
            "Ready"
        };
        let rev = discovery.change(number / 2, |target| target.state = state);
        program.wait_for_log(&format!("rev: {rev},"));
    });
    (measured.one_host_us, measured.one_host_ms) = one;
    measured.one_host_bytes = bytes(Kind::Changes, before);
    let before = discovery.sent(Kind::Complete);
    let complete = timed(program, measured.idle_percent, count.div_ceil(4), |_| {
        let rev = discovery.publish_complete();
        program.wait_for_log(&format!("rev: {rev},"));
    });
    (measured.complete_list_us, measured.complete_list_ms) = complete;
    measured.complete_list_bytes = bytes(Kind::Complete, before);
    let rollout_status = timed(program, measured.idle_percent, count, |number| {
        around.platform.publish(if number % 2 == 0 {
            CANARY_ROLLOUT
        } else {
            RELEASED
        });
        program.wait_for_log("rollout status, ");
    });
    measured.status_us = rollout_status.0;
    let text = around.config();
    let reread = timed(program, measured.idle_percent, count.div_ceil(4), |_| {
        program.reload(&text);
        program.wait_for_log("configuration reloaded");
    });
    (measured.reread_us, measured.reread_ms) = reread;
}

/// Does something so many times; processor time of the router each time, in microseconds, without what it takes at
/// rest, and how long each took, in milliseconds.
pub(super) fn timed(
    program: &RouterProcess,
    idle_percent: f64,
    count: usize,
    mut work: impl FnMut(usize),
) -> (f64, f64) {
    let begun = Instant::now();
    let cpu = cpu_of(program, || (0..count).for_each(&mut work));
    let seconds = begun.elapsed().as_secs_f64();
    let cpu = (cpu - idle_percent / 100.0 * seconds).max(0.0);
    (cpu / count as f64 * MICROS, seconds / count as f64 * 1e3)
}

/// Bytes that discovery sends to a router that starts with the list it saw last, of which nothing has changed.
fn restart(hosts: usize, polls_list: bool) -> f64 {
    let around = Around::start(Plan {
        polls_list,
        silent: true,
        ..Plan::new(hosts, 1)
    });
    let (program, _) = around.router(None);
    wait(1.0);
    drop(program);
    around.discovery.sent_all().bytes
}
