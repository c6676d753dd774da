//! Starts the threads that the operator file asks for. Whatever is wrong is reported before the router serves.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use kestreltide::interface::{RolloutStatus, ServiceSettings};
use kestreltide_datastore::{Facts, HostRecord, RuleSettings, Snapshot};
use kestreltide_file_watch::watch::{parse_files, wake_channel};
use kestreltide_management::CommitServiceHandle;
use slog::Logger;

use super::datastore_thread::{DatastoreRequest, DatastoreThread, DatastoreThreadSettings};
use super::error::StartError;
use super::interfaces::ManagementInterfaces;
use super::settings::{FileWatchSettings, OperatorSettings};
use super::supervise::supervise;
use crate::limits::Limits;
use crate::routing::{EventLoopHandle, Heartbeat, ManagementInbox};
use crate::transport::{Clock, Reactor};

/// How long the program waits, when it ends, for the datastore thread to save.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two looks whether the datastore thread has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The running threads, as the program holds them.
pub struct ManagementThreads {
    requests: SyncSender<DatastoreRequest>,
    /// Wakes the thread that watches files; none where none are watched.
    wake_file_watch: Option<SyncSender<()>>,
    datastore_thread: JoinHandle<u32>,
    heartbeats: Vec<Heartbeat>,
}

impl ManagementThreads {
    /// The heartbeats of the threads, for the event loop to check.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.heartbeats.clone()
    }

    /// Has the watched files read now, whether or not a change was noticed.
    pub fn poll_files(&self) {
        if let Some(wake) = &self.wake_file_watch {
            // A full channel says that a wake-up is waiting already.
            let _ = wake.try_send(());
        }
    }

    /// Has the datastore thread save its state, and waits for it, at most for a second.
    pub fn shut_down(self) {
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        // The queue may be full of requests.
        while self.requests.try_send(DatastoreRequest::Stop).is_err() && Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        while !self.datastore_thread.is_finished() && Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
    }
}

/// What the threads need of the program.
pub struct ThreadContext<'a> {
    /// The program's log.
    pub log: &'a Logger,
    /// The program's clock.
    pub clock: Clock,
    /// The program's limits.
    pub limits: &'a Limits,
    /// Name of this router.
    pub router: &'a str,
    /// Settings of the service that commits are checked against.
    pub service_settings: &'a ServiceSettings,
    /// Names of the service's operations.
    pub operations: Vec<String>,
}

/// Threads that were started, and what the event loop needs of them.
pub struct StartedThreads {
    /// The event loop's end of the message queue.
    pub inbox: ManagementInbox,
    /// What the router starts to serve with; none where there is no revision yet.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The threads.
    pub threads: ManagementThreads,
}

impl ThreadContext<'_> {
    /// Starts the threads that the operator file asks for; `None` where it asks for none. `known_hosts` are those that
    /// discovery listed last, as far as that is known.
    ///
    /// # Errors
    ///
    /// Files that are invalid or cannot be read, an address that cannot be listened on, or a thread that cannot be
    /// created.
    pub fn start_threads(
        &self,
        reactor: &mut Reactor,
        settings: &OperatorSettings,
        known_hosts: Option<Vec<HostRecord>>,
        rollout: Option<RolloutStatus>,
    ) -> Result<Option<StartedThreads>, StartError> {
        if !settings.has_threads() {
            return Ok(None);
        }
        let interfaces = settings
            .management
            .as_ref()
            .map(|management| ManagementInterfaces::open(self.log, management))
            .transpose()?;
        let inbox_messages = self.limits.management.inbox_messages;
        let (inbox, event_loop) =
            ManagementInbox::open(reactor, inbox_messages).map_err(StartError::Thread)?;
        let mut datastore = self.restore_datastore(settings)?;
        let facts = self.initial_facts(settings, known_hosts, rollout);
        let initial = datastore.prepare(settings.file_watch.as_ref(), &facts)?;
        let file_watch = settings
            .file_watch
            .clone()
            .map(|settings| (settings, initial.files_digest));
        let threads = self
            .spawn_threads(datastore, file_watch, interfaces, &event_loop)
            .map_err(StartError::Thread)?;
        Ok(Some(StartedThreads {
            inbox,
            snapshot: initial.snapshot,
            threads,
        }))
    }

    fn restore_datastore(
        &self,
        settings: &OperatorSettings,
    ) -> Result<DatastoreThread, StartError> {
        let rules = RuleSettings::new(
            self.service_settings,
            self.operations.clone(),
            self.limits.management.maximums,
        );
        let datastore_settings = DatastoreThreadSettings {
            router: self.router.into(),
            rules,
            history: settings.history,
            state_directory: settings.state_directory.clone(),
        };
        DatastoreThread::restore(self.log.clone(), self.clock, datastore_settings)
    }

    fn initial_facts(
        &self,
        settings: &OperatorSettings,
        known_hosts: Option<Vec<HostRecord>>,
        rollout: Option<RolloutStatus>,
    ) -> Facts {
        let has_discovery = !settings.replaces_discovery();
        Facts {
            now: self.clock.now(),
            discovery_received: known_hosts.is_some() || !has_discovery,
            discovery: has_discovery.then(|| known_hosts.unwrap_or_default().into()),
            rollout,
        }
    }

    fn spawn_threads(
        &self,
        datastore: DatastoreThread,
        file_watch: Option<(FileWatchSettings, Option<u64>)>,
        interfaces: Option<ManagementInterfaces>,
        event_loop: &EventLoopHandle,
    ) -> io::Result<ManagementThreads> {
        let (requests, received) = sync_channel(self.limits.management.datastore_requests);
        let published = datastore.published_status();
        let notifications = datastore.notifications();
        let mut heartbeats = vec![];
        let mut new_heartbeat = |name| {
            let heartbeat = Heartbeat::new(name);
            heartbeats.push(heartbeat.clone());
            heartbeat
        };
        let heartbeat = new_heartbeat("datastore");
        let datastore_thread =
            self.spawn_datastore_thread(datastore, received, event_loop.clone(), heartbeat)?;
        let mut wake_file_watch = None;
        if let Some((settings, digest)) = file_watch {
            let heartbeat = new_heartbeat("watch");
            let requests = requests.clone();
            wake_file_watch =
                Some(self.spawn_file_watch_thread(settings, digest, requests, heartbeat)?);
        }
        if let Some(interfaces) = interfaces {
            let requests = requests.clone();
            let commit_service = CommitServiceHandle {
                submit: Arc::new(move |request| {
                    requests
                        .try_send(DatastoreRequest::Management(request))
                        .is_ok()
                }),
                status: published,
                operational_state: event_loop.view.clone(),
                applied_revision: event_loop.applied_revision.clone(),
                notifications,
                keys: interfaces.keys(),
            };
            let heartbeat = new_heartbeat("management");
            interfaces.start(self.log, self.clock, commit_service, heartbeat)?;
        }
        Ok(ManagementThreads {
            requests,
            wake_file_watch,
            datastore_thread,
            heartbeats,
        })
    }

    fn spawn_datastore_thread(
        &self,
        mut datastore: DatastoreThread,
        requests: Receiver<DatastoreRequest>,
        event_loop: EventLoopHandle,
        heartbeat: Heartbeat,
    ) -> io::Result<JoinHandle<u32>> {
        supervise(self.log.clone(), "datastore", move || {
            datastore.run(&requests, &event_loop, &heartbeat);
        })
    }

    /// Starts the thread that watches the files, and returns what wakes it. `digest` is that of the files as they were
    /// read at the start.
    fn spawn_file_watch_thread(
        &self,
        settings: FileWatchSettings,
        digest: Option<u64>,
        requests: SyncSender<DatastoreRequest>,
        heartbeat: Heartbeat,
    ) -> io::Result<SyncSender<()>> {
        let clock = self.clock;
        let wake_channel = wake_channel();
        let wake = wake_channel.sender.clone();
        // A thread that is started again reports all files anew: what is in force already changes nothing.
        let mut known_digest = digest;
        supervise(self.log.clone(), "watch", move || {
            kestreltide_file_watch::watch_files(
                &settings.watched,
                known_digest.take(),
                &wake_channel,
                || heartbeat.record(clock.now()),
                |contents| parse_files(&settings.files, contents),
                |event| requests.send(DatastoreRequest::WatchedFiles(event)).is_ok(),
            );
            // Zero says that the thread has ended.
            heartbeat.record(0.0);
        })?;
        Ok(wake)
    }
}
