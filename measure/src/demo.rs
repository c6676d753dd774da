//! A fleet on loopback for a newcomer: hosts, discovery, a platform that offers a trial build, clients, and what
//! the router decides about it.

use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use kestreltide_testkit::{Discovery, Fleet, Platform, RolloutState, TestHost, router_config};

use crate::router_process::{self, Clients};

/// show a router serving against stand-ins, and what it decides about a trial build
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// offer a bad build: its hosts answer slowly
    #[argh(switch)]
    bad: bool,
}

const HOSTS: usize = 8;
/// Hosts of the trial in each stage, and the cap.
const STAGES: [(usize, f64); 3] = [(1, 0.2), (4, 0.7), (8, 1.0)];

fn listed(rev: u32, hosts: &[&TestHost], build: impl Fn(&TestHost) -> u16) -> String {
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

impl Demo {
    pub fn run(&self) -> bool {
        let names: Vec<_> = (0..HOSTS)
            .map(|n| (format!("old-{n}"), "build 41"))
            .chain((0..HOSTS).map(|n| (format!("new-{n}"), "build 42")))
            .collect();
        let fleet = Fleet::start(names.iter().map(|(name, tag)| (name.as_str(), *tag)));
        let canary_response_ms = if self.bad { 60 } else { 9 };
        fleet
            .of_tag("build 41")
            .for_each(|host| host.set_response_time(Duration::from_millis(10)));
        fleet
            .of_tag("build 42")
            .for_each(|host| host.set_response_time(Duration::from_millis(canary_response_ms)));
        let (old, new): (Vec<_>, Vec<_>) = (
            fleet.of_tag("build 41").collect(),
            fleet.of_tag("build 42").collect(),
        );
        let build = |host: &TestHost| if &*host.tag == "build 41" { 41 } else { 42 };
        let standing = |stage: usize| RolloutState {
            build: 42,
            stage: stage as u32,
            progress: "testing",
            cap: STAGES[stage].1,
        };
        let platform = Platform::start(RolloutState {
            build: 41,
            stage: 2,
            progress: "live",
            cap: 1.0,
        });
        let known = listed(1, &old, build);
        let discovery = Discovery::start(1, known.clone());
        let text = router_config(discovery.at, &known)
            .replace(
                "\"settings\"",
                &format!(
                    "\"platform\":{{\"address\":\"{}\"}},\"settings\"",
                    platform.at
                ),
            )
            .replace("\"rings\":[1.0]", "\"rings\":[0.1,0.5,1.0]")
            .replace("\"most_shares\":[1.0]", "\"most_shares\":[0.2,0.7,1.0]")
            .replace("\"slo\":5000000", "\"slo\":50000");
        let program = router_process::start(&text, None);
        println!(
            "a router at {}, {HOSTS} hosts of build 41 behind it, eight clients",
            program.at
        );
        let clients = Clients::start(program.at, 8, None, Duration::from_millis(4));
        thread::sleep(Duration::from_secs(4));
        println!(
            "build 42 is offered{}",
            if self.bad {
                "; its hosts answer in 60 ms, the time aimed at is 50 ms"
            } else {
                ""
            }
        );
        let (mut stage, mut rev, begun) = (0, 2, Instant::now());
        let mut of_stage = Instant::now();
        let stand = |stage: usize, rev: u32| {
            let canary = STAGES[stage].0;
            let hosts: Vec<_> = old[..HOSTS - canary]
                .iter()
                .chain(&new[..canary])
                .copied()
                .collect();
            discovery.publish(rev, listed(rev, &hosts, build));
            platform.publish(standing(stage));
        };
        stand(stage, rev);
        let mut before = (0, 0);
        let (ended, good) = loop {
            thread::sleep(Duration::from_millis(500));
            platform.ping();
            let count = |hosts: &[&TestHost]| {
                hosts
                    .iter()
                    .map(|host| host.received.load(Relaxed))
                    .sum::<u64>()
            };
            let (baseline, canary) = (count(&old), count(&new));
            println!(
                "{:5.1} s  stage {stage}, cap {:.0}%: {} dispatches to build 41, {} to build 42",
                begun.elapsed().as_secs_f64(),
                100.0 * STAGES[stage].1,
                baseline - before.0,
                canary - before.1
            );
            before = (baseline, canary);
            let votes = platform.votes();
            for (of, sense) in &votes {
                println!("         the router votes {sense} in stage {of}");
            }
            // The platform's own rule: a stage runs for three seconds before a vote moves it on.
            let said = |sense: &str| {
                votes
                    .iter()
                    .any(|(of, said)| *of as usize == stage && said == sense)
            };
            if said("back") {
                platform.publish(RolloutState {
                    progress: "recalling",
                    cap: 0.0,
                    ..standing(stage)
                });
                break ("sent back", false);
            }
            if said("on") && of_stage.elapsed() > Duration::from_millis(2900) {
                if stage + 1 == STAGES.len() {
                    platform.publish(RolloutState {
                        progress: "live",
                        ..standing(stage)
                    });
                    break ("released", true);
                }
                (stage, rev, of_stage) = (stage + 1, rev + 1, Instant::now());
                stand(stage, rev);
            }
            if begun.elapsed() > Duration::from_secs(40) {
                break ("still on trial", false);
            }
        };
        let met = clients.stop();
        println!(
            "build 42 is {ended} after {:.1} s",
            begun.elapsed().as_secs_f64()
        );
        let lost = met.lost.load(Relaxed);
        println!(
            "demo: served={} throttled={} lost={lost} build={} ok",
            met.served.load(Relaxed),
            met.throttled.load(Relaxed),
            ended.replace(' ', "-")
        );
        lost == 0 && good != self.bad
    }
}
