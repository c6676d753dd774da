//! What one router costs by the routers of its fleet: memory, processor time, and bytes and messages a second by
//! cause, at rest and with a build on trial. The requests are those of the peak, the hosts few.

use super::growth::{By, Figure, Growth, Role, at_all_sizes, growths};
use super::load::{Load, Shape};
use super::plan;
use super::requests::requests;
use super::servers::{Amount, Kind};
use super::site::{
    ANSWER, Around, BASELINE, CANARY, CANARY_ROLLOUT, CLIENTS, Plan, core_percent, cpu_of,
    memory_of, wait,
};
use super::sizes::Sizes;

const HOSTS: usize = 74;
/// Messages that are averaged.
const FLOOD: usize = 2000;
/// Seconds after which figures of a trial are as they stay: also votes of routers that see no requests have come.
const CANARY_BEGINS_S: f64 = 1.5;

/// Messages and bytes a second at the sockets of one router's neighbours.
#[derive(Clone, Copy, Debug, Default)]
struct PerSecond {
    gossip_in: Amount,
    gossip_out: Amount,
    lists: Amount,
    watches: Amount,
    rollout_updates: Amount,
    signs_of_life: Amount,
    votes: Amount,
}

impl PerSecond {
    /// Of all causes, both directions together.
    fn bytes(&self) -> f64 {
        let PerSecond {
            gossip_in,
            gossip_out,
            lists,
            watches,
            rollout_updates,
            signs_of_life,
            votes,
        } = self;
        [
            gossip_in,
            gossip_out,
            lists,
            watches,
            rollout_updates,
            signs_of_life,
            votes,
        ]
        .map(|of| of.bytes)
        .iter()
        .sum()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    resident_mb: f64,
    idle_percent: f64,
    request_us: f64,
    canary_request_us: f64,
    message_us: f64,
    rest: PerSecond,
    canary: PerSecond,
}

const BYTES: Option<f64> = Some(plan::MAX_BYTES_PER_S);

const FIGURES: [Figure<Measured>; 21] = [
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
        "processor, us a request, on trial",
        |of| of.canary_request_us,
        Some(plan::max_request_micros()),
    ),
    Figure::new(
        Role::Router,
        "processor, us a gossip message with its reply",
        |of| of.message_us,
        None,
    ),
    Figure::new(
        Role::Router,
        "control at rest, bytes/s both ways",
        |of| of.rest.bytes(),
        BYTES,
    ),
    Figure::new(
        Role::Router,
        "control on trial, bytes/s both ways",
        |of| of.canary.bytes(),
        BYTES,
    ),
    Figure::new(
        Role::Router,
        "gossip received at rest, bytes/s",
        |of| of.rest.gossip_in.bytes,
        BYTES,
    ),
    Figure::new(
        Role::Router,
        "gossip sent at rest, bytes/s",
        |of| of.rest.gossip_out.bytes,
        BYTES,
    ),
    Figure::new(
        Role::Router,
        "gossip received on trial, bytes/s",
        |of| of.canary.gossip_in.bytes,
        BYTES,
    ),
    Figure::new(
        Role::Router,
        "gossip sent on trial, bytes/s",
        |of| of.canary.gossip_out.bytes,
        BYTES,
    ),
    Figure::new(
        Role::Router,
        "gossip received at rest, messages/s",
        |of| of.rest.gossip_in.messages,
        None,
    ),
    Figure::new(
        Role::Router,
        "gossip sent at rest, messages/s",
        |of| of.rest.gossip_out.messages,
        None,
    ),
    Figure::new(
        Role::Router,
        "gossip received on trial, messages/s",
        |of| of.canary.gossip_in.messages,
        None,
    ),
    Figure::new(
        Role::Router,
        "gossip sent on trial, messages/s",
        |of| of.canary.gossip_out.messages,
        None,
    ),
    Figure::new(
        Role::Router,
        "watches at rest, bytes/s both ways",
        |of| of.rest.watches.bytes,
        BYTES,
    ),
    Figure::new(
        Role::Router,
        "endpoint lists on trial, bytes/s",
        |of| of.canary.lists.bytes,
        BYTES,
    ),
    Figure::new(
        Role::Platform,
        "signs of life to a router, bytes/s",
        |of| of.rest.signs_of_life.bytes,
        None,
    ),
    Figure::new(
        Role::Platform,
        "rollout news to a router on trial, bytes/s",
        |of| of.canary.rollout_updates.bytes,
        None,
    ),
    Figure::new(
        Role::Platform,
        "votes of a router and answers, bytes/s",
        |of| of.canary.votes.bytes,
        None,
    ),
    Figure::new(
        Role::Platform,
        "votes of a router and answers, messages/s",
        |of| of.canary.votes.messages,
        None,
    ),
];

pub(super) fn measure(sizes: &Sizes) -> Vec<Growth> {
    let measured = at_all_sizes(sizes.peers, sizes.times, |routers| one_size(routers, sizes));
    growths(By::Peers, &measured, &FIGURES)
}

fn one_size(routers: usize, sizes: &Sizes) -> Measured {
    let around = Around::start(Plan::new(HOSTS, routers));
    let (program, _) = around.router(None);
    wait(1.0);
    let mut measured = Measured::default();
    let (before, mut seconds) = (counted(&around), 0.0);
    let cpu = cpu_of(&program, || seconds = wait(sizes.idle_s));
    measured.rest = counted(&around).since(&before, seconds);
    measured.idle_percent = core_percent(cpu, seconds);
    measured.resident_mb = memory_of(&program).resident;
    let load = Load::start(
        program.at,
        Shape::rate(CLIENTS, plan::requests_per_router(), ANSWER),
    );
    wait(0.4 * sizes.load_s);
    let idle_percent = measured.idle_percent;
    let per_request = || requests(&program, &load, idle_percent, 0.7 * sizes.load_s).micros;
    measured.request_us = per_request();
    around.discovery.change_all(|number, target| {
        target.build = if number % 2 == 0 { CANARY } else { BASELINE }
    });
    around.platform.publish(CANARY_ROLLOUT);
    wait(CANARY_BEGINS_S);
    let (before, begun) = (counted(&around), std::time::Instant::now());
    measured.canary_request_us = per_request();
    measured.canary = counted(&around).since(&before, begun.elapsed().as_secs_f64());
    drop(load);
    wait(0.2);
    let mut seconds = 0.0;
    let cpu = cpu_of(&program, || {
        let begun = std::time::Instant::now();
        assert!(
            around.peers.flood(FLOOD),
            "the router has sent no message to a peer"
        );
        wait(0.1);
        seconds = begun.elapsed().as_secs_f64();
    });
    measured.message_us =
        (cpu - measured.idle_percent / 100.0 * seconds).max(0.0) / FLOOD as f64 * 1e6;
    measured
}

fn counted(around: &Around) -> PerSecond {
    let (peers, platform, discovery) = (
        around.peers.counted(),
        around.platform.counted(),
        &around.discovery,
    );
    PerSecond {
        gossip_in: peers.sent.now(),
        gossip_out: peers.received.now(),
        lists: discovery.sent(Kind::Complete) + discovery.sent(Kind::Changes),
        watches: discovery.requests() + discovery.sent(Kind::Nothing),
        rollout_updates: platform.rollout_status.now(),
        signs_of_life: platform.signs_of_life.now(),
        votes: platform.votes.now() + platform.vote_answers.now(),
    }
}

impl PerSecond {
    /// What has come since then, a second of so many.
    fn since(&self, before: &PerSecond, seconds: f64) -> PerSecond {
        let each = |of: fn(&PerSecond) -> Amount| of(self).per_second(of(before), seconds);
        PerSecond {
            gossip_in: each(|of| of.gossip_in),
            gossip_out: each(|of| of.gossip_out),
            lists: each(|of| of.lists),
            watches: each(|of| of.watches),
            rollout_updates: each(|of| of.rollout_updates),
            signs_of_life: each(|of| of.signs_of_life),
            votes: each(|of| of.votes),
        }
    }
}
