//! One router as a process, with stand-ins around it.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use kestreltide_testkit::{
    RouterProcess, TEST_TIMEOUT, endpoint_list, router_config, unused_address,
};

use crate::router_process;

use super::process::{self, Memory};
use super::servers::{Discovery, Hosts, Peers, Platform, Rollout, Target};

pub(super) const BASELINE: u16 = 7;
pub(super) const CANARY: u16 = 8;
/// Clients of a router that get an answer after this time at the host.
pub(super) const CLIENTS: usize = 16;
pub(super) const ANSWER: Duration = Duration::from_millis(5);
pub(super) const ZONES: usize = 10;
/// Limits of the routers under measurement: room for connections to many hosts and of many clients. The memory is what
/// connections may hold by the configuration, not what is taken.
const MEMORY_MB: usize = 1024;
const SOCKETS: usize = 6144;

/// What a site is made of.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) hosts: usize,
    /// Routers of the fleet; those beside the one under measurement are stand-ins.
    pub(super) routers: usize,
    /// Lists come when they are asked for, not by a watch.
    pub(super) polls_list: bool,
    /// The router has the list that it saw last.
    pub(super) knows: bool,
    /// Nobody listens at the hosts.
    pub(super) silent: bool,
}

impl Plan {
    pub(super) fn new(hosts: usize, routers: usize) -> Self {
        Plan {
            hosts,
            routers,
            polls_list: false,
            knows: true,
            silent: false,
        }
    }
}

pub(super) const RELEASED: Rollout = Rollout {
    build: BASELINE,
    stage: 1,
    progress: "live",
    cap: 1.0,
};
pub(super) const CANARY_ROLLOUT: Rollout = Rollout {
    build: CANARY,
    stage: 0,
    progress: "testing",
    cap: 0.6,
};

/// The outside of a router.
pub(super) struct Around {
    pub(super) hosts: Hosts,
    pub(super) discovery: Discovery,
    pub(super) platform: Platform,
    pub(super) peers: Peers,
    plan: Plan,
}

/// Names as long as machines' names are.
pub(super) fn host_name(number: usize) -> String {
    format!("host-{number:05}")
}

pub(super) fn targets(hosts: &Hosts) -> Vec<Target> {
    let target = |(number, at): (usize, &std::net::SocketAddr)| Target {
        name: host_name(number),
        at: *at,
        zone: number % ZONES,
        build: BASELINE,
        state: "Ready",
    };
    hosts.at.iter().enumerate().map(target).collect()
}

/// One more operation, that may run again.
fn class(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","effect":"repeatable","slo":5000000,"give_up":6000000,"credit":1.0,"late_worth":0.1,"stream":false}}"#
    )
}

/// The settings of a fleet of so many routers. Four operations, as messages between routers tell no more apart: they
/// are as long as they get.
pub(super) fn settings(text: String, me: usize, routers: usize) -> String {
    text.replace("\"group_size\":1", &format!("\"group_size\":{routers}"))
        .replace("\"me\":0", &format!("\"me\":{me}"))
        .replace("\"my_zone\":\"a\"", "\"my_zone\":\"zone-0\"")
        .replace("\"peers\":false", "\"peers\":true")
        .replace(
            "\"votes_to_go\":1",
            &format!("\"votes_to_go\":{}", routers.div_ceil(2)),
        )
        .replace(
            "\"back_votes\":1",
            &format!("\"back_votes\":{}", routers.div_ceil(2)),
        )
        .replace("\"api_rate\":0.0", "\"api_rate\":16.0")
        .replace("\"rings\":[1.0]", "\"rings\":[0.5,1.0]")
        .replace("\"most_shares\":[1.0]", "\"most_shares\":[0.6,1.0]")
        .replace(
            "\"request_classes\":[",
            &format!("\"request_classes\":[{},{},", class("look"), class("list")),
        )
        .replace("\"max_open\":1000", "\"max_open\":100000")
        .replace("\"sockets\":256", &format!("\"sockets\":{SOCKETS}"))
        .replace("\"memory_mb\":64", &format!("\"memory_mb\":{MEMORY_MB}"))
}

impl Around {
    pub(super) fn start(plan: Plan) -> Self {
        let hosts = if plan.silent {
            Hosts::silent(plan.hosts)
        } else {
            Hosts::start(plan.hosts)
        };
        hosts.answer_after(ANSWER);
        let discovery = Discovery::start(targets(&hosts));
        let (platform, peers) = (Platform::start(RELEASED), Peers::start(plan.routers));
        Around {
            hosts,
            discovery,
            platform,
            peers,
            plan,
        }
    }

    /// The configuration of the router, with what it saves of the list.
    pub(super) fn config(&self) -> String {
        let known = if self.plan.knows {
            self.discovery.complete().to_string()
        } else {
            endpoint_list(0, true, &[])
        };
        let peers: Vec<_> = self.peers.at.iter().map(|at| format!("\"{at}\"")).collect();
        let parties = format!(
            "\"platform\":{{\"address\":\"{}\"}},\"peer_listen\":\"127.0.0.1:0\",\"peers\":[{}],\"settings\"",
            self.platform.at,
            peers.join(",")
        );
        let text = settings(
            router_config(self.discovery.at, &known),
            0,
            self.plan.routers,
        );
        let text = text.replace("\"settings\"", &parties);
        if self.plan.polls_list {
            return text.replace("\"discovery\":\"push\"", "\"discovery\":\"ask\"");
        }
        text
    }

    /// Starts the router; how long until it answers that it is ready, in milliseconds.
    pub(super) fn router(&self, operator: Option<&Path>) -> (RouterProcess, f64) {
        let text = self.config();
        let begun = Instant::now();
        let program = router_process::start(&text, operator);
        wait_ready(&program);
        (program, begun.elapsed().as_secs_f64() * 1e3)
    }
}

/// Waits until a router answers PING with PONG.
pub(super) fn wait_ready(program: &RouterProcess) {
    let until = Instant::now() + TEST_TIMEOUT;
    let mut client = program.client();
    while client.request(&["PING"]) != "+PONG" {
        assert!(Instant::now() < until, "a router is not ready");
        thread::sleep(Duration::from_millis(1));
        client = program.client();
    }
}

/// A configuration of a router without discovery and platform, for one that engineers or files tell all.
pub(super) fn config_alone() -> String {
    settings(
        router_config(unused_address(), &endpoint_list(1, true, &[])),
        0,
        1,
    )
}

/// Processor time of a router while something is done, in seconds.
pub(super) fn cpu_of(program: &RouterProcess, work: impl FnOnce()) -> f64 {
    let before = process::cpu_seconds(program.child.id());
    work();
    process::cpu_seconds(program.child.id()) - before
}

pub(super) fn memory_of(program: &RouterProcess) -> Memory {
    process::memory(program.child.id())
}

/// What processor time of a second is of one core, in percent.
pub(super) fn core_percent(cpu: f64, seconds: f64) -> f64 {
    100.0 * cpu / seconds
}

/// Lets time pass, and says how much it was, in seconds.
pub(super) fn wait(seconds: f64) -> f64 {
    let begun = Instant::now();
    thread::sleep(Duration::from_secs_f64(seconds));
    begun.elapsed().as_secs_f64()
}
