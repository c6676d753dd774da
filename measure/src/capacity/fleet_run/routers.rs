//! The life of routers: real ones as processes, hollow ones as tasks; and the files that operators give real ones.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::changes::Way;
use super::net::shared::Shared;
use super::net::{clients, hollow_router};
use super::processes::CoreTime;
use super::real_router::{LogEvent, RealRouter};

/// Seconds after SIGTERM in which clients still come, and after which a process is ended.
const CLIENTS_COME: f64 = 0.3;
const KILL_AFTER: f64 = 4.0;
/// Seconds that a hollow router's next process takes to come up.
const COMES_UP: f64 = 0.3;
const WEIGHT: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Starting,
    Serving,
    Stopping { since: f64 },
    Down,
}

struct Real {
    process: Option<RealRouter>,
    state: State,
    address: Arc<watch::Sender<Option<SocketAddr>>>,
    /// The generation of operators' files of each revision.
    generations: BTreeMap<u64, u64>,
    starts: u32,
}

/// What a process costs by now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    pub router: u32,
    pub starts: u32,
    pub core_time: CoreTime,
    pub resident_kib: u64,
}

pub struct Routers {
    shared: Arc<Shared>,
    folder: TempDir,
    operator: Option<PathBuf>,
    generation: u64,
    real: BTreeMap<u32, Real>,
    hollow: BTreeMap<u32, Option<JoinHandle<io::Result<()>>>>,
    starts: u64,
    /// Hollow routers that come up, and when.
    coming: Vec<(f64, u32)>,
    /// Processes that SIGKILL had to end, and hollow routers that failed.
    pub killed_late: u32,
    pub failed: Vec<String>,
}

impl Routers {
    pub fn start(shared: Arc<Shared>) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let mut routers = Routers {
            operator: None,
            generation: 0,
            real: BTreeMap::new(),
            hollow: BTreeMap::new(),
            starts: 0,
            coming: vec![],
            killed_late: 0,
            failed: vec![],
            folder,
            shared,
        };
        if routers.shared.plan.files {
            routers.write_weights(None)?;
            let operator = routers.folder.path().join("operator.ini");
            fs::write(&operator, "[watch]\nweights = weights.ini\n")?;
            routers.operator = Some(operator);
        }
        let layout = routers.shared.plan.layout;
        for router in layout.real_routers() {
            let address = Arc::new(watch::Sender::new(None));
            tokio::spawn(clients::run(
                router,
                address.subscribe(),
                routers.shared.clone(),
            ));
            let (process, state, generations) = (None, State::Down, BTreeMap::new());
            routers.real.insert(
                router,
                Real {
                    process,
                    state,
                    address,
                    generations,
                    starts: 0,
                },
            );
            routers.start_real(router)?;
        }
        layout
            .hollow_routers()
            .for_each(|router| routers.start_hollow(router));
        Ok(routers)
    }

    fn write_weights(&mut self, host: Option<u32>) -> io::Result<()> {
        self.generation += 1;
        let generation = self.generation;
        let line = host.map_or(String::new(), |host| format!("h{host} = {WEIGHT}\n"));
        let entries = u32::from(host.is_some());
        let text = format!(
            "generation = {generation}\n[weights]\n{line}[end]\nentries = {entries}\ngeneration = {generation}\n"
        );
        let (new, path) = (
            self.folder.path().join("weights.new"),
            self.folder.path().join("weights.ini"),
        );
        fs::write(&new, text)?;
        fs::rename(new, path)
    }

    /// A change of configuration: operators' files give this host a weight.
    pub fn change_weight(&mut self, host: u32, phase: usize) {
        if let Err(e) = self.write_weights(Some(host)) {
            return self
                .failed
                .push(format!("weights.ini cannot be written: {e}"));
        }
        let mut changes = self.shared.changes.lock().expect("no panic before");
        changes.acknowledged(Way::Files, self.generation, phase, self.shared.now());
    }

    fn start_real(&mut self, router: u32) -> io::Result<()> {
        let Some(real) = self.real.get_mut(&router) else {
            return Ok(());
        };
        self.shared.killed[router as usize].store(false, Relaxed);
        let operator = self.operator.as_deref();
        real.process = Some(RealRouter::start(
            router,
            self.folder.path(),
            operator,
            &self.shared,
        )?);
        (real.state, real.generations) = (State::Starting, BTreeMap::new());
        real.starts += 1;
        Ok(())
    }

    fn start_hollow(&mut self, router: u32) {
        self.starts += 1;
        let seed =
            self.shared.plan.seed.wrapping_mul(1_000_003) ^ u64::from(router) ^ (self.starts << 32);
        let task = tokio::spawn(hollow_router::run(router, seed, self.shared.clone()));
        self.hollow.insert(router, Some(task));
        self.shared
            .changes
            .lock()
            .expect("no panic before")
            .started(router, self.shared.now());
    }

    fn stop_hollow(&mut self, router: u32) {
        if let Some(task) = self.hollow.get_mut(&router).and_then(Option::take) {
            task.abort();
        }
        self.shared
            .changes
            .lock()
            .expect("no panic before")
            .stopped(router);
    }

    /// A planned restart.
    pub fn restart(&mut self, router: u32) {
        let now = self.shared.now();
        if let Some(real) = self.real.get_mut(&router) {
            if real.state == State::Serving {
                real.process.iter().for_each(RealRouter::terminate);
                real.state = State::Stopping { since: now };
            }
        } else if self.hollow.get(&router).is_some_and(Option::is_some) {
            self.stop_hollow(router);
            self.coming.push((now + COMES_UP, router));
        }
    }

    /// The machine vanishes, with all that the router holds.
    pub fn vanish(&mut self, router: u32) {
        self.shared.killed[router as usize].store(true, Relaxed);
        if let Some(real) = self.real.get_mut(&router) {
            real.address.send_replace(None);
            (real.process, real.state) = (None, State::Down);
            self.ended(router);
        } else {
            self.stop_hollow(router);
            self.coming.retain(|(_, coming)| *coming != router);
        }
    }

    /// The machine is back.
    pub fn come_back(&mut self, router: u32) {
        if !self.real.contains_key(&router) {
            self.start_hollow(router);
        } else if let Err(e) = self.start_real(router) {
            self.failed
                .push(format!("router {router} does not start: {e}"));
        }
    }

    fn ended(&self, router: u32) {
        self.shared
            .changes
            .lock()
            .expect("no panic before")
            .stopped(router);
        self.shared
            .rules
            .lock()
            .expect("no panic before")
            .stopped(router);
    }

    /// Reads logs and moves processes on.
    pub fn turn(&mut self) {
        let now = self.shared.now();
        for router in self.real.keys().copied().collect::<Vec<_>>() {
            self.read_log(router, now);
            self.move_on(router, now);
        }
        let (due, coming) = self.coming.iter().partition(|(at, _)| *at <= now);
        self.coming = coming;
        Vec::into_iter(due).for_each(|(_, router)| self.start_hollow(router));
        for (router, task) in &mut self.hollow {
            if task.as_ref().is_some_and(JoinHandle::is_finished) {
                *task = None;
                self.failed.push(format!(
                    "hollow router {router} has ended, its address or settings fail"
                ));
            }
        }
    }

    fn read_log(&mut self, router: u32, now: f64) {
        let Some(real) = self.real.get_mut(&router) else {
            return;
        };
        let events = real
            .process
            .as_mut()
            .map(RealRouter::read_log_events)
            .unwrap_or_default();
        for event in events {
            let mut changes = self.shared.changes.lock().expect("no panic before");
            match event {
                LogEvent::Listening(at) if real.state == State::Starting => {
                    changes.started(router, now);
                    real.state = State::Serving;
                    tokio::spawn(put_to_use(at, real.address.clone()));
                }
                LogEvent::Listening(_) => {}
                LogEvent::FilesApplied {
                    generation,
                    revision,
                } => {
                    real.generations.insert(revision, generation);
                }
                LogEvent::InForce { revision } => {
                    let generation = real.generations.range(..=revision).next_back();
                    if let Some((_, generation)) = generation {
                        changes.has(Way::Files, router, *generation, now);
                    }
                }
            }
        }
    }

    fn move_on(&mut self, router: u32, now: f64) {
        let Some(real) = self.real.get_mut(&router) else {
            return;
        };
        let ended = real.process.as_mut().is_none_or(RealRouter::has_ended);
        match real.state {
            State::Stopping { since } => {
                if now - since > CLIENTS_COME {
                    real.address.send_replace(None);
                }
                let late = now - since > KILL_AFTER;
                if !ended && !late {
                    return;
                }
                self.killed_late += u32::from(!ended);
                real.address.send_replace(None);
                real.process = None;
                self.ended(router);
                self.come_back(router);
            }
            State::Starting | State::Serving if ended => {
                real.address.send_replace(None);
                (real.process, real.state) = (None, State::Down);
                self.ended(router);
                self.failed
                    .push(format!("real router {router} has ended by itself"));
            }
            _ => {}
        }
    }

    pub fn costs(&self) -> Vec<Cost> {
        let cost = |(router, real): (&u32, &Real)| {
            let process = real.process.as_ref()?;
            Some(Cost {
                router: *router,
                starts: real.starts,
                core_time: process.core_time(),
                resident_kib: process.resident_kib(),
            })
        };
        self.real.iter().filter_map(cost).collect()
    }

    /// Whether every real router is in use.
    pub fn all_in_use(&self) -> bool {
        self.coming.is_empty()
            && self
                .real
                .values()
                .all(|real| real.address.borrow().is_some())
    }
}

/// Clients come once the router has answered PING.
async fn put_to_use(at: SocketAddr, address: Arc<watch::Sender<Option<SocketAddr>>>) {
    loop {
        if pong(at).await.unwrap_or(false) {
            address.send_replace(Some(at));
            return;
        }
        // The process may have ended: somebody else starts another.
        if address.is_closed() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn pong(at: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(at).await?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").await?;
    let mut answer = vec![];
    while !answer.ends_with(b"\r\n") && stream.read_buf(&mut answer).await? > 0 {}
    Ok(answer.starts_with(b"+PONG"))
}
