//! Starts the threads that the operator file configures. Errors are reported before the router serves.

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

/// How long a shutdown waits for the datastore thread to save its state.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two checks of whether the datastore thread has ended.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The handle of the running threads.
pub struct ManagementThreads {
    requests: SyncSender<DatastoreRequest>,
    /// Wakes the thread that watches files; `None` if no files are watched.
    wake_file_watch: Option<SyncSender<()>>,
    datastore_thread: JoinHandle<u32>,
    heartbeats: Vec<Heartbeat>,
}

impl ManagementThreads {
    /// The heartbeats of the threads, which the event loop checks.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.heartbeats.clone()
    }

    /// Makes the watch thread read the files now, even if no change was noticed.
    pub fn poll_files(&self) {
        if let Some(wake) = &self.wake_file_watch {
            // The channel is full if a wake-up is already pending.
            let _ = wake.try_send(());
        }
    }

    /// Makes the datastore thread save its state and end, and waits for that for at most one second.
    pub fn shut_down(self) {
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        // Retried while the queue is full.
        while self.requests.try_send(DatastoreRequest::Stop).is_err() && Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        while !self.datastore_thread.is_finished() && Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
    }
}

/// What the threads need from the program.
pub struct ThreadContext<'a> {
    /// The log.
    pub log: &'a Logger,
    /// The clock of this process.
    pub clock: Clock,
    /// The limits of this router.
    pub limits: &'a Limits,
    /// Name of this router.
    pub router: &'a str,
    /// The service settings that commits are validated against.
    pub service_settings: &'a ServiceSettings,
    /// Names of the service's operations.
    pub operations: Vec<String>,
}

/// The started threads, and what the event loop needs from them.
pub struct StartedThreads {
    /// The event loop's end of the queue of messages from the threads.
    pub inbox: ManagementInbox,
    /// The configuration that the router starts with; `None` if there is no revision yet.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The handle of the threads.
    pub threads: ManagementThreads,
}

impl ThreadContext<'_> {
    /// Starts the threads that the operator file configures; `None` if it configures none. `known_hosts` are the hosts
    /// that discovery listed last; `None` if they are not known.
    ///
    /// # Errors
    ///
    /// If a file is invalid or cannot be read, an address cannot be listened on, or a thread cannot be created.
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
        let initial = datastore.apply_files_at_start(settings.file_watch.as_ref(), &facts)?;
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

    /// Creates the datastore thread's state from the persisted state.
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

    /// What is known of hosts and rollout before the event loop runs: the last known state from the configuration.
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

    /// Starts the datastore thread, and the threads of the watched files and the management interfaces if they are
    /// configured. `file_watch` holds the digest of the files as read at the start.
    fn spawn_threads(
        &self,
        datastore: DatastoreThread,
        file_watch: Option<(FileWatchSettings, Option<u64>)>,
        interfaces: Option<ManagementInterfaces>,
        event_loop: &EventLoopHandle,
    ) -> io::Result<ManagementThreads> {
        let (requests, received_requests) = sync_channel(self.limits.management.datastore_requests);
        let published_status = datastore.published_status();
        let notifications = datastore.notifications();
        let mut heartbeats = vec![];
        let mut new_heartbeat = |name| {
            let heartbeat = Heartbeat::new(name);
            heartbeats.push(heartbeat.clone());
            heartbeat
        };
        let heartbeat = new_heartbeat("datastore");
        let datastore_thread = self.spawn_datastore_thread(
            datastore,
            received_requests,
            event_loop.clone(),
            heartbeat,
        )?;
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
                status: published_status,
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

    /// Starts the thread that watches the files, and returns the sender that wakes it. `digest` is the digest of the
    /// files as read at the start.
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
        // After a panic no digest is known, so that the thread reports the files again; committing a version that is
        // already in force changes nothing.
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
            // A heartbeat of 0 marks the thread as ended.
            heartbeat.record(0.0);
        })?;
        Ok(wake)
    }
}
