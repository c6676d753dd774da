//! Runs the schedule of one seed against a real router process with its hosts, discovery and clients.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kestreltide_testkit::{Discovery, RouterProcess, router_config};

use super::clients::{ExtraConnections, SoakClients, start_crowd};
use super::connection::{Connection, Reply};
use super::hosts::Hosts;
use super::record::{Drain, KEY_WINDOW, ProcessRecord, Recorder, RunClock, RunRecord, Standstill};
use super::schedule::{Action, HOSTS, KILL_AFTER_TERM, LONGEST_LIMIT, Schedule};
use crate::router_process;

/// The number of the first client of the second process, so that its requests have ids of their own.
const SECOND_PROCESS_FIRST_CLIENT: u64 = 100;

/// Seconds that the second process serves.
const SECOND_PROCESS_SECONDS: f64 = 0.4;

/// Seconds that a run waits for a router to reply to `PING` before it goes on without a ready router.
const READY_TIMEOUT: f64 = 12.0;

/// The latency objective of both operations, in seconds.
const LATENCY_OBJECTIVE: f64 = 0.4;

/// The settings of the keyed request class, in microseconds; the test configuration has none.
const KEYED_CLASS: &str = r#"{"name":"set","effect":"by_key","group":"all","window":WINDOW,"slo":5000000,"give_up":6000000,"credit":1.0,"late_worth":0.1,"stream":false},"#;

/// The descriptors of a router that a crowd connects to.
const CROWD_SOCKETS: &str = "\"sockets\":768";

/// The endpoint list that both discovery servers publish.
struct PublishedList {
    addresses: Vec<SocketAddr>,
    is_draining: [bool; HOSTS],
    /// When each host started, in milliseconds since the Unix epoch.
    started_millis: [u64; HOSTS],
    revision: u32,
}

impl PublishedList {
    /// The list as JSON.
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

/// The state of a run in progress.
struct Run {
    clock: RunClock,
    recorder: Arc<Recorder>,
    hosts: Hosts,
    published_list: PublishedList,
    discovery: [Discovery; 2],
    /// The index of the discovery server that the router's configuration names.
    active_discovery: usize,
    program: RouterProcess,
    drains: Vec<Drain>,
    standstills: Vec<Standstill>,
    crowds: Vec<JoinHandle<()>>,
    has_crowd: bool,
    process: ProcessRecord,
}

/// Runs the schedule and returns the record of the run.
pub fn run_schedule(schedule: &Schedule) -> RunRecord {
    let mut run = Run::start(schedule);
    let extra_connections = schedule
        .has_extra_connections
        .then(|| ExtraConnections::start(run.program.at, run.clock, &run.recorder));
    let clients = run.start_clients(schedule.seed, 0);
    let began = Instant::now();
    for step in &schedule.steps {
        sleep_until(began + Duration::from_secs_f64(step.at));
        run.perform(step.action);
    }
    run.wait_for_end();
    clients.stop();
    for crowd in std::mem::take(&mut run.crowds) {
        crowd.join().expect("a crowd ends without a panic");
    }
    if let Some(extra_connections) = extra_connections {
        extra_connections.stop();
    }
    let restarted_after = run.restart(schedule.seed);
    run.recorder
        .finish(run.drains, run.standstills, run.process, restarted_after)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Returns a router configuration with this discovery address, this initial endpoint list and the soak's time limits.
fn configuration(discovery: SocketAddr, initial_list: &str, has_crowd: bool) -> String {
    let micros = |seconds: f64| format!("{:.0}", 1e6 * seconds);
    let keyed_class = KEYED_CLASS.replace("WINDOW", &micros(KEY_WINDOW));
    let sockets = "\"sockets\":256";
    router_config(discovery, initial_list)
        .replace(sockets, if has_crowd { CROWD_SOCKETS } else { sockets })
        .replace(
            "{\"name\":\"switch\"",
            &format!("{keyed_class}{{\"name\":\"switch\""),
        )
        .replace(
            "\"slo\":5000000",
            &format!("\"slo\":{}", micros(LATENCY_OBJECTIVE)),
        )
        .replace(
            "\"give_up\":6000000",
            &format!("\"give_up\":{}", micros(LONGEST_LIMIT)),
        )
}

/// Waits until the router replies to `PING` as a ready router does; returns the seconds that this took, at least the
/// timeout where it did not happen.
fn wait_until_ready(router: SocketAddr) -> f64 {
    let began = Instant::now();
    let is_ready = || {
        let mut connection = Connection::open(router).ok()?;
        connection.write(b"*1\r\n$4\r\nPING\r\n").ok()?;
        let reply = connection.reply(Duration::from_secs(1));
        (reply == Reply::Value("+PONG".into())).then_some(())
    };
    while is_ready().is_none() && began.elapsed().as_secs_f64() < READY_TIMEOUT {
        thread::sleep(Duration::from_millis(5));
    }
    began.elapsed().as_secs_f64()
}

impl Run {
    fn start(schedule: &Schedule) -> Self {
        let clock = RunClock::start();
        let recorder = Arc::new(Recorder::default());
        let hosts = Hosts::start(schedule, clock, &recorder);
        let published_list = PublishedList {
            addresses: hosts.addresses.clone(),
            is_draining: [false; HOSTS],
            started_millis: [0; HOSTS],
            revision: 1,
        };
        let discovery =
            [(); 2].map(|()| Discovery::start(published_list.revision, published_list.text()));
        let config = configuration(discovery[0].at, &published_list.text(), schedule.has_crowd);
        let program = router_process::start(&config, None);
        let process = ProcessRecord {
            ready_after: wait_until_ready(program.at),
            ..ProcessRecord::default()
        };
        Run {
            clock,
            recorder,
            hosts,
            published_list,
            discovery,
            active_discovery: 0,
            program,
            drains: vec![],
            standstills: vec![],
            crowds: vec![],
            has_crowd: schedule.has_crowd,
            process,
        }
    }

    fn start_clients(&self, seed: u64, first_number: u64) -> SoakClients {
        SoakClients::start(
            self.program.at,
            seed,
            first_number,
            self.clock,
            &self.recorder,
        )
    }

    /// Performs one action of the schedule.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Drain(host) => {
                self.published_list.is_draining[host] = true;
                self.publish();
                self.drains.push(Drain {
                    host,
                    listed_at: self.clock.now(),
                    until: f64::INFINITY,
                });
            }
            Action::Return(host) => {
                let is_of_host = |drain: &&mut Drain| drain.host == host;
                if let Some(drain) = self.drains.iter_mut().rev().find(is_of_host) {
                    drain.until = self.clock.now();
                }
                self.published_list.is_draining[host] = false;
                self.published_list.started_millis[host] = unix_millis();
                self.publish();
            }
            Action::Reload => {
                self.active_discovery = 1 - self.active_discovery;
                let config = self.configuration();
                self.program.reload(&config);
            }
            Action::Terminate => self.terminate(),
            Action::Stop => {
                let from = self.clock.now();
                self.program.freeze();
                let until = f64::INFINITY;
                self.standstills.push(Standstill { from, until });
            }
            Action::Continue => {
                self.program.signal("CONT");
                if let Some(standstill) = self.standstills.last_mut() {
                    standstill.until = self.clock.now();
                }
            }
            Action::FillQueue => self.hosts.is_queue_full.store(true, Relaxed),
            Action::EmptyQueue => self.hosts.is_queue_full.store(false, Relaxed),
            Action::Crowd => {
                let (router, number) = (self.program.at, self.crowds.len());
                let crowd = start_crowd(router, number, self.clock, &self.recorder);
                self.crowds.push(crowd);
            }
        }
    }

    /// Publishes the next revision of the endpoint list at both discovery servers.
    fn publish(&mut self) {
        self.published_list.revision += 1;
        for discovery in &self.discovery {
            discovery.publish(self.published_list.revision, self.published_list.text());
        }
    }

    fn configuration(&self) -> String {
        configuration(
            self.discovery[self.active_discovery].at,
            &self.published_list.text(),
            self.has_crowd,
        )
    }

    /// Sends SIGTERM; the first one sets when SIGKILL is due.
    fn terminate(&mut self) {
        let is_over = matches!(self.program.child.try_wait(), Ok(Some(_)));
        if !is_over {
            self.program.signal("TERM");
        }
        if self.process.terminated == 0.0 {
            self.process.terminated = self.clock.now();
            self.process.kill_due = self.process.terminated + KILL_AFTER_TERM;
            self.hosts.is_terminating.store(true, Relaxed);
        }
    }

    /// Waits until the router has ended, and kills it at `kill_due`, the earliest time at which the platform may kill
    /// it.
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

    /// Starts a second router process with the current endpoint list and lets clients use it; returns the seconds
    /// until it was ready.
    fn restart(&mut self, seed: u64) -> f64 {
        self.hosts.is_terminating.store(false, Relaxed);
        let config = self.configuration();
        self.program = router_process::start(&config, None);
        let ready_after = wait_until_ready(self.program.at);
        let clients = self.start_clients(seed, SECOND_PROCESS_FIRST_CLIENT);
        thread::sleep(Duration::from_secs_f64(SECOND_PROCESS_SECONDS));
        clients.stop();
        ready_after
    }
}

fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
