//! Opens what the operator file asks for beside the loop: everything that can be wrong is told before the router
//! serves.

use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use kestreltide::interface::{RolloutStatus, ServiceSettings};
use kestreltide_datastore::{Facts, HostRecord, RuleSettings, Snapshot};
use kestreltide_file_watch::watch::{parse_files, wake_channel};
use kestreltide_management::CommitServiceHandle;
use slog::Logger;

use super::datastore_thread::{DatastoreRequest, DatastoreThread, DatastoreThreadSettings};
use super::interface_thread::OpenedListeners;
use super::settings::OperatorSettings;
use super::supervise;
use crate::limits::Limits;
use crate::routing::{Heartbeat, ManagementInbox};
use crate::transport::{Clock, Reactor};

/// The threads beside the loop, as the program holds them.
pub struct ManagementThreads {
    asks: SyncSender<DatastoreRequest>,
    wake: Option<SyncSender<()>>,
    keeper: JoinHandle<u32>,
    pub heartbeats: Vec<Heartbeat>,
}

/// Seconds that the program waits for the keeper to save what it has.
const LAST_SAVE: f64 = 1.0;

impl ManagementThreads {
    /// The watched files are looked at now, whatever notices say.
    pub fn poll_files(&self) {
        if let Some(wake) = &self.wake {
            let _ = wake.try_send(());
        }
    }

    pub fn end(self) {
        let until = Instant::now() + Duration::from_secs_f64(LAST_SAVE);
        // Questions may stand before it.
        while self.asks.try_send(DatastoreRequest::Stop).is_err() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        while !self.keeper.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// What opening needs of the program.
pub struct ThreadContext<'a> {
    pub log: &'a Logger,
    pub clock: Clock,
    pub limits: &'a Limits,
    pub router: &'a str,
    pub terms: &'a ServiceSettings,
    /// Names of the service's operations.
    pub operations: Vec<String>,
}

/// The loop's end, what it starts with, and the threads.
pub type StartedThreads = (ManagementInbox, Option<Arc<Snapshot>>, ManagementThreads);

impl ThreadContext<'_> {
    /// Starts the threads that the operator file asks for; none where it asks for none.
    pub fn fronts(
        &self,
        reactor: &mut Reactor,
        operators: &OperatorSettings,
        listed: Option<Vec<HostRecord>>,
        news: Option<RolloutStatus>,
    ) -> Result<Option<StartedThreads>, String> {
        if !operators.any() {
            return Ok(None);
        }
        let OperatorSettings {
            folder,
            history,
            watching,
            management,
        } = operators.clone();
        let failed = |e: std::io::Error| format!("a thread cannot be started: {e}");
        let (log, clock) = (self.log.clone(), self.clock);
        let opened = management
            .as_ref()
            .map(|terms| OpenedListeners::open(&log, terms))
            .transpose()?;
        let (open, loop_handle) =
            ManagementInbox::open(reactor, self.limits.management.inbox_messages)
                .map_err(failed)?;
        let rules = RuleSettings::new(
            self.terms,
            self.operations.clone(),
            self.limits.management.maximums,
        );
        let terms = DatastoreThreadSettings {
            router: self.router.into(),
            rules,
            history,
            folder,
        };
        let mut keeper = DatastoreThread::start(log.clone(), clock, terms)?;
        let heard = listed.is_some() || operators.alone();
        let discovery = (!operators.alone()).then(|| listed.unwrap_or_default().into());
        let facts = Facts {
            now: clock.now(),
            discovery,
            discovery_received: heard,
            rollout: news,
        };
        let (first, known) = keeper.begin(watching.as_ref(), &facts)?;
        let (asks, asked) = sync_channel(self.limits.management.datastore_requests);
        let (published, told) = keeper.published();
        let (kept, of_keeper) = (Heartbeat::new("keeper"), loop_handle.clone());
        let mut heartbeats = vec![kept.clone()];
        let keeper = supervise(log.clone(), "keeper", move || {
            keeper.run(&asked, &of_keeper.view, &of_keeper.post, &kept);
        });
        let keeper = keeper.map_err(failed)?;
        let mut wake = None;
        if let Some(watching) = watching {
            let wake_channel = wake_channel();
            let (tell, heartbeat) = (asks.clone(), Heartbeat::new("watch"));
            wake = Some(wake_channel.sender.clone());
            heartbeats.push(heartbeat.clone());
            let mut known = known;
            supervise(log.clone(), "watch", move || {
                // After a death everything is told anew; what is in force already changes nothing.
                let alive = || heartbeat.record(clock.now());
                let says = |contents: &[kestreltide_file_watch::Content]| {
                    parse_files(&watching.files, contents)
                };
                let tell = |told| tell.send(DatastoreRequest::WatchedFiles(told)).is_ok();
                kestreltide_file_watch::run(
                    &watching.watched,
                    known.take(),
                    &wake_channel,
                    alive,
                    says,
                    tell,
                );
                heartbeat.record(0.0);
            })
            .map_err(failed)?;
        }
        if let Some(opened) = opened {
            let ask = asks.clone();
            let desk = CommitServiceHandle {
                submit: Arc::new(move |asked| {
                    ask.try_send(DatastoreRequest::Management(asked)).is_ok()
                }),
                published,
                view: loop_handle.view.clone(),
                in_force: loop_handle.in_force.clone(),
                notifications: told,
                keys: opened.keys.clone(),
            };
            let heartbeat = Heartbeat::new("management");
            heartbeats.push(heartbeat.clone());
            opened.start(&log, clock, desk, heartbeat).map_err(failed)?;
        }
        Ok(Some((
            open,
            first,
            ManagementThreads {
                asks,
                wake,
                keeper,
                heartbeats,
            },
        )))
    }
}
