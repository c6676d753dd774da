//! One run: a real router, its surroundings, and the schedule of a seed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kestreltide_testkit::{Discovery, RouterProcess, router_config};

use super::clients::{Crowd, SoakClients};
use super::connection::{Answer, Connection};
use super::hosts::Hosts;
use super::record::{Drain, ProcessRecord, Recorder, RunClock, RunRecord};
use super::schedule::{Action, HOSTS, KILL_AFTER_TERM, LONGEST_LIMIT, Schedule};
use crate::router_process;

/// Ids of the clients of the second process begin here.
const SECOND_PROCESS: u64 = 100;

/// Seconds that the second process serves.
const SECOND_LIFE: f64 = 0.4;

/// Seconds in which a router has to answer `PING` before the run goes on without it.
const READY_WAIT: f64 = 12.0;

/// The latency objective of both operations, in seconds.
const LATENCY_OBJECTIVE: f64 = 0.4;

/// The endpoint list, as both discovery servers have it.
struct Listing {
    addresses: Vec<SocketAddr>,
    is_draining: [bool; HOSTS],
    started_millis: [u64; HOSTS],
    revision: u32,
}

impl Listing {
    fn text(&self) -> String {
        let target = |host: usize| {
            let state = if self.is_draining[host] {
                "Terminating"
            } else {
                "Ready"
            };
            format!(
                r#"{{"uid":"h{host}","endpoint":"{}","az":"a","model":"m","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{},"build":7}}"#,
                self.addresses[host], self.started_millis[host]
            )
        };
        let targets: Vec<_> = (0..HOSTS).map(target).collect();
        let revision = self.revision;
        format!(
            r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#,
            targets.join(",")
        )
    }
}

/// One run, while it is played.
struct Run {
    clock: RunClock,
    recorder: Arc<Recorder>,
    hosts: Hosts,
    listing: Listing,
    discovery: [Discovery; 2],
    /// Which of them the configuration names.
    active: usize,
    program: RouterProcess,
    drains: Vec<Drain>,
    process: ProcessRecord,
}

/// Plays the schedule.
pub fn play(schedule: &Schedule) -> RunRecord {
    let mut run = Run::start(schedule);
    let crowd = schedule
        .has_crowd
        .then(|| Crowd::start(run.program.at, run.clock, &run.recorder));
    let clients = run.clients(schedule.seed, 0);
    let began = Instant::now();
    for step in &schedule.steps {
        sleep_until(began + Duration::from_secs_f64(step.at));
        run.carry_out(step.action);
    }
    run.wait_for_end();
    clients.stop();
    if let Some(crowd) = crowd {
        crowd.stop();
    }
    let restarted_after = run.restart(schedule.seed);
    run.recorder
        .finish(run.drains, run.process, restarted_after)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn configuration(discovery: SocketAddr, known: &str) -> String {
    let micros = |seconds: f64| format!("{:.0}", 1e6 * seconds);
    router_config(discovery, known)
        .replace(
            "\"slo\":5000000",
            &format!("\"slo\":{}", micros(LATENCY_OBJECTIVE)),
        )
        .replace(
            "\"give_up\":6000000",
            &format!("\"give_up\":{}", micros(LONGEST_LIMIT)),
        )
}

/// Seconds until the router answers `PING` as it does when it is ready.
fn wait_until_ready(router: SocketAddr) -> f64 {
    let began = Instant::now();
    let is_ready = || {
        let mut connection = Connection::open(router).ok()?;
        connection.write(b"*1\r\n$4\r\nPING\r\n").ok()?;
        let answer = connection.answer(Duration::from_secs(1));
        (answer == Answer::Value("+PONG".into())).then_some(())
    };
    while is_ready().is_none() && began.elapsed().as_secs_f64() < READY_WAIT {
        thread::sleep(Duration::from_millis(5));
    }
    began.elapsed().as_secs_f64()
}

impl Run {
    fn start(schedule: &Schedule) -> Self {
        let clock = RunClock::start();
        let recorder = Arc::new(Recorder::default());
        let hosts = Hosts::start(schedule.seed, schedule.faults, clock, &recorder);
        let listing = Listing {
            addresses: hosts.addresses.clone(),
            is_draining: [false; HOSTS],
            started_millis: [0; HOSTS],
            revision: 1,
        };
        let discovery = [(); 2].map(|()| Discovery::start(listing.revision, listing.text()));
        let config = configuration(discovery[0].at, &listing.text());
        let program = router_process::start(&config, None);
        let process = ProcessRecord {
            ready_after: wait_until_ready(program.at),
            ..ProcessRecord::default()
        };
        Run {
            clock,
            recorder,
            hosts,
            listing,
            discovery,
            active: 0,
            program,
            drains: vec![],
            process,
        }
    }

    fn clients(&self, seed: u64, prefix: u64) -> SoakClients {
        SoakClients::start(self.program.at, seed, prefix, self.clock, &self.recorder)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Drain(host) => {
                self.listing.is_draining[host] = true;
                self.publish();
                self.drains.push(Drain {
                    host,
                    told: self.clock.now(),
                    until: f64::INFINITY,
                });
            }
            Action::Return(host) => {
                let is_of_host = |drain: &&mut Drain| drain.host == host;
                if let Some(drain) = self.drains.iter_mut().rev().find(is_of_host) {
                    drain.until = self.clock.now();
                }
                self.listing.is_draining[host] = false;
                self.listing.started_millis[host] = unix_millis();
                self.publish();
            }
            Action::Reload => {
                self.active = 1 - self.active;
                let config = self.configuration();
                self.program.reload(&config);
            }
            Action::Terminate => self.terminate(),
        }
    }

    fn publish(&mut self) {
        self.listing.revision += 1;
        for discovery in &self.discovery {
            discovery.publish(self.listing.revision, self.listing.text());
        }
    }

    fn configuration(&self) -> String {
        configuration(self.discovery[self.active].at, &self.listing.text())
    }

    fn terminate(&mut self) {
        let is_over = matches!(self.program.child.try_wait(), Ok(Some(_)));
        if !is_over {
            self.program.signal("TERM");
        }
        if self.process.terminated == 0.0 {
            self.process.terminated = self.clock.now();
            self.process.kill_due = self.process.terminated + KILL_AFTER_TERM;
            self.hosts.is_ending.store(true, Relaxed);
        }
    }

    /// Waits until the router has ended; kills it where it has not at the page's earliest.
    fn wait_for_end(&mut self) {
        loop {
            if let Ok(Some(status)) = self.program.child.try_wait() {
                self.process.exit_code = status.code();
                return;
            }
            if self.clock.now() >= self.process.kill_due {
                let _ = self.program.child.kill();
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Starts the router anew with the list that it knew; seconds until it is ready.
    fn restart(&mut self, seed: u64) -> f64 {
        self.hosts.is_ending.store(false, Relaxed);
        let config = self.configuration();
        self.program = router_process::start(&config, None);
        let ready_after = wait_until_ready(self.program.at);
        let clients = self.clients(seed, SECOND_PROCESS);
        thread::sleep(Duration::from_secs_f64(SECOND_LIFE));
        clients.stop();
        ready_after
    }
}

fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
