//! A demonstration on loopback: a router with simulated hosts, discovery and clients, and a simulated platform that
//! rolls out a canary by the router's votes.

use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use kestreltide_testkit::{Discovery, Fleet, Platform, RolloutState, TestHost, router_config};

use crate::router_process::{self, ClientCounters, Clients};

/// show how a router serves with simulated hosts, discovery and platform, and how it votes on a canary build
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// roll out a bad canary, whose hosts answer slowly
    #[argh(switch)]
    bad: bool,
}

/// Hosts of each build.
const HOSTS: usize = 8;
/// For each stage: the number of canary hosts, and the cap on the canary's share of requests.
const STAGES: [(usize, f64); 3] = [(1, 0.2), (4, 0.7), (8, 1.0)];

/// Returns an endpoint list of version `rev` with these hosts.
fn endpoint_list(rev: u32, hosts: &[&TestHost], build: impl Fn(&TestHost) -> u16) -> String {
    let target = |host: &&TestHost| {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"m","pod_group":0,"state":"Ready","capacity_hint":1.0,"boot_ms":0,"build":{}}}"#,
            host.name,
            host.at,
            build(host)
        )
    };
    let targets: Vec<_> = hosts.iter().map(target).collect();
    format!(
        r#"{{"rev":{rev},"all":true,"targets":[{}]}}"#,
        targets.join(",")
    )
}

/// The platform protocol's value for a canary that is being tested.
const TESTING: &str = "testing";
/// The platform protocol's value for a build that is released to all hosts.
const RELEASED: &str = "live";
/// The platform protocol's value for a build that is being rolled back.
const ROLLING_BACK: &str = "recalling";
const BASELINE_TAG: &str = "build 41";
const CANARY_TAG: &str = "build 42";
const BASELINE_RESPONSE: Duration = Duration::from_millis(10);
const GOOD_CANARY_RESPONSE: Duration = Duration::from_millis(9);
const BAD_CANARY_RESPONSE: Duration = Duration::from_millis(60);
/// How long the baseline serves alone before the rollout begins.
const BASELINE_ONLY_TIME: Duration = Duration::from_secs(4);
/// The time between two printed progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// How long a stage lasts at least before the platform promotes the canary. The platform's rule is three seconds.
const MIN_STAGE_TIME: Duration = Duration::from_millis(2900);
/// The time after which the demonstration ends without a decision.
const DECISION_TIMEOUT: Duration = Duration::from_secs(40);

fn build_of(host: &TestHost) -> u16 {
    if &*host.tag == BASELINE_TAG { 41 } else { 42 }
}

fn canary_state(stage: usize) -> RolloutState {
    RolloutState {
        build: 42,
        stage: stage as u32,
        progress: TESTING,
        cap: STAGES[stage].1,
    }
}

/// How the rollout of the canary ended.
enum Decision {
    RolledBack,
    Released,
    Undecided,
}

impl Decision {
    /// The decision as it is printed; the last line holds it with `-` for each space.
    fn text(&self) -> &'static str {
        match self {
            Decision::RolledBack => "sent back",
            Decision::Released => "released",
            Decision::Undecided => "still on trial",
        }
    }
}

/// The number of attempts that have reached the hosts of each build.
#[derive(Clone, Copy, Default)]
struct Attempts {
    baseline: u64,
    canary: u64,
}

/// The rollout of the canary: its hosts, and the servers that announce each stage.
struct Rollout<'a> {
    baseline: Vec<&'a TestHost>,
    canary: Vec<&'a TestHost>,
    discovery: &'a Discovery,
    platform: &'a Platform,
    /// The version of the endpoint list.
    rev: u32,
    stage: usize,
    stage_began: Instant,
}

impl Rollout<'_> {
    /// Begins a stage: replaces baseline hosts in the endpoint list by the stage's number of canary hosts.
    fn enter(&mut self, stage: usize) {
        self.stage = stage;
        self.stage_began = Instant::now();
        self.rev += 1;
        let canary_hosts = STAGES[stage].0;
        let hosts: Vec<_> = self.baseline[..HOSTS - canary_hosts]
            .iter()
            .chain(&self.canary[..canary_hosts])
            .copied()
            .collect();
        self.discovery
            .publish(self.rev, endpoint_list(self.rev, &hosts, build_of));
        self.platform.publish(canary_state(stage));
    }

    fn attempts(&self) -> Attempts {
        let count = |hosts: &[&TestHost]| {
            hosts
                .iter()
                .map(|host| host.received.load(Relaxed))
                .sum::<u64>()
        };
        Attempts {
            baseline: count(&self.baseline),
            canary: count(&self.canary),
        }
    }

    /// Follows the router's votes from stage to stage until the canary is released or rolled back, or time is up.
    fn run(&mut self) -> Decision {
        let started = Instant::now();
        self.enter(0);
        let mut before = Attempts::default();
        loop {
            thread::sleep(PROGRESS_INTERVAL);
            self.platform.ping();
            let attempts = self.attempts();
            println!(
                "{:5.1} s  stage {}, cap {:.0}%: {} attempts at build 41, {} at build 42",
                started.elapsed().as_secs_f64(),
                self.stage,
                100.0 * STAGES[self.stage].1,
                attempts.baseline - before.baseline,
                attempts.canary - before.canary
            );
            before = attempts;
            if let Some(decision) = self.apply_votes() {
                return decision;
            }
            if started.elapsed() > DECISION_TIMEOUT {
                return Decision::Undecided;
            }
        }
    }

    /// Promotes or rolls back the canary by the router's votes; returns the decision once there is one.
    fn apply_votes(&mut self) -> Option<Decision> {
        let votes = self.platform.votes();
        for (stage, opinion) in &votes {
            println!("         the router votes {opinion} in stage {stage}");
        }
        let has_voted = |opinion: &str| {
            votes
                .iter()
                .any(|(stage, cast)| *stage as usize == self.stage && cast == opinion)
        };
        if has_voted("back") {
            self.platform.publish(RolloutState {
                progress: ROLLING_BACK,
                cap: 0.0,
                ..canary_state(self.stage)
            });
            return Some(Decision::RolledBack);
        }
        if !has_voted("on") || self.stage_began.elapsed() <= MIN_STAGE_TIME {
            return None;
        }
        if self.stage + 1 == STAGES.len() {
            self.platform.publish(RolloutState {
                progress: RELEASED,
                ..canary_state(self.stage)
            });
            return Some(Decision::Released);
        }
        self.enter(self.stage + 1);
        None
    }
}

/// Starts the hosts of both builds with their response times.
fn start_hosts(canary_response: Duration) -> Fleet {
    let baseline = (0..HOSTS).map(|host| (format!("old-{host}"), BASELINE_TAG));
    let canary = (0..HOSTS).map(|host| (format!("new-{host}"), CANARY_TAG));
    let names: Vec<_> = baseline.chain(canary).collect();
    let fleet = Fleet::start(names.iter().map(|(name, tag)| (name.as_str(), *tag)));
    for host in fleet.hosts_with_tag(BASELINE_TAG) {
        host.set_response_time(BASELINE_RESPONSE);
    }
    for host in fleet.hosts_with_tag(CANARY_TAG) {
        host.set_response_time(canary_response);
    }
    fleet
}

/// Returns the router's configuration, with three rollout stages and a latency objective of 50 ms.
fn configuration(discovery: &Discovery, platform: &Platform, initial_list: &str) -> String {
    let with_platform = format!(
        "\"platform\":{{\"address\":\"{}\"}},\"settings\"",
        platform.at
    );
    router_config(discovery.at, initial_list)
        .replace("\"settings\"", &with_platform)
        .replace("\"rings\":[1.0]", "\"rings\":[0.1,0.5,1.0]")
        .replace("\"most_shares\":[1.0]", "\"most_shares\":[0.2,0.7,1.0]")
        .replace("\"slo\":5000000", "\"slo\":50000")
}

impl Demo {
    /// Runs the demonstration; returns whether no request was lost and the good canary was released, or the bad one
    /// was not.
    pub fn run(&self) -> bool {
        let fleet = start_hosts(if self.bad {
            BAD_CANARY_RESPONSE
        } else {
            GOOD_CANARY_RESPONSE
        });
        let baseline: Vec<_> = fleet.hosts_with_tag(BASELINE_TAG).collect();
        let platform = Platform::start(RolloutState {
            build: 41,
            stage: 2,
            progress: RELEASED,
            cap: 1.0,
        });
        let initial_list = endpoint_list(1, &baseline, build_of);
        let discovery = Discovery::start(1, initial_list.clone());
        let program =
            router_process::start(&configuration(&discovery, &platform, &initial_list), None);
        println!(
            "a router at {} with {HOSTS} hosts of build 41 and eight clients",
            program.at
        );
        let clients = Clients::start(program.at, 8, None, Duration::from_millis(4));
        thread::sleep(BASELINE_ONLY_TIME);
        self.print_rollout_begins();
        let mut rollout = Rollout {
            baseline,
            canary: fleet.hosts_with_tag(CANARY_TAG).collect(),
            discovery: &discovery,
            platform: &platform,
            rev: 1,
            stage: 0,
            stage_began: Instant::now(),
        };
        let started = Instant::now();
        let decision = rollout.run();
        let counters = clients.stop();
        self.print_result(&decision, started.elapsed(), &counters)
    }

    fn print_rollout_begins(&self) {
        println!(
            "the rollout of build 42 begins{}",
            if self.bad {
                "; its hosts answer in 60 ms, the latency objective is 50 ms"
            } else {
                ""
            }
        );
    }

    fn print_result(
        &self,
        decision: &Decision,
        duration: Duration,
        counters: &ClientCounters,
    ) -> bool {
        let text = decision.text();
        println!("build 42 is {text} after {:.1} s", duration.as_secs_f64());
        let lost = counters.lost.load(Relaxed);
        println!(
            "demo: served={} throttled={} lost={lost} build={} ok",
            counters.served.load(Relaxed),
            counters.throttled.load(Relaxed),
            text.replace(' ', "-")
        );
        let released = matches!(decision, Decision::Released);
        lost == 0 && released != self.bad
    }
}
