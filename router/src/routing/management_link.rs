//! The link between the event loop and the management threads: receives their messages and publishes a view of the
//! router's operational state to them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::SyncSender;

use arc_swap::ArcSwap;
use kestreltide::interface::*;
use kestreltide_datastore::Snapshot;
use kestreltide_datastore::operational_state::OperationalState;
use slog::{info, warn};

use super::{Routing, SocketOwner, TimerEvent};
use crate::transport::{Inbox, InboxSender, Reactor};

/// What a management thread sends to the event loop.
#[derive(Clone, Debug)]
pub enum ManagementMessage {
    /// A committed revision, which the event loop puts in force.
    Revision(Arc<Snapshot>),
    /// Publish an up-to-date view, then confirm through the sender, which must have capacity for one message.
    RefreshView(SyncSender<()>),
}

/// The heartbeat of a management thread, which the event loop checks for stalls.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The thread's name.
    pub name: &'static str,
    /// When the thread last ran, in milliseconds of Unix time; 0 before its first run and after its end.
    recorded_millis: Arc<AtomicU64>,
}

impl Heartbeat {
    /// The heartbeat of a thread that has not run yet.
    pub fn new(name: &'static str) -> Self {
        Heartbeat {
            name,
            recorded_millis: Arc::default(),
        }
    }

    /// Records that the thread ran at `now`, in Unix seconds; 0 says that it has ended.
    pub fn record(&self, now: f64) {
        self.recorded_millis.store((now * 1e3) as u64, Relaxed);
    }

    /// When the thread last ran, in Unix seconds.
    fn last_recorded(&self) -> f64 {
        self.recorded_millis.load(Relaxed) as f64 / 1e3
    }
}

/// The event loop's end of the link.
pub struct ManagementInbox {
    received: Inbox<ManagementMessage>,
    /// The published view of the operational state.
    view: Arc<ArcSwap<OperationalState>>,
    /// The number of the revision that the event loop has applied.
    applied_revision: Arc<AtomicU64>,
}

/// The management threads' end of the link.
#[derive(Clone)]
pub struct EventLoopHandle {
    /// Sends messages to the event loop.
    pub messages: InboxSender<ManagementMessage>,
    /// The view of the operational state that the event loop published last.
    pub view: Arc<ArcSwap<OperationalState>>,
    /// The number of the revision that the event loop has applied.
    pub applied_revision: Arc<AtomicU64>,
}

impl ManagementInbox {
    /// Opens a link whose inbox holds at most `capacity` messages; returns its two ends.
    ///
    /// # Errors
    ///
    /// Where the inbox cannot be registered with the reactor.
    pub fn open(
        reactor: &mut Reactor,
        capacity: usize,
    ) -> std::io::Result<(Self, EventLoopHandle)> {
        let (received, messages) = reactor.inbox(capacity, SocketOwner::Management.priority())?;
        let view = Arc::new(ArcSwap::from_pointee(OperationalState::default()));
        let applied_revision = Arc::new(AtomicU64::new(0));
        let event_loop = EventLoopHandle {
            messages,
            view: view.clone(),
            applied_revision: applied_revision.clone(),
        };
        Ok((
            ManagementInbox {
                received,
                view,
                applied_revision,
            },
            event_loop,
        ))
    }
}

/// The event loop's state of the link. Times are in seconds.
pub(super) struct ManagementLink {
    inbox: ManagementInbox,
    /// Each with whether its stall has been logged.
    heartbeats: Vec<(Heartbeat, bool)>,
    /// The revision in force.
    revision: Revision,
    /// The revision whose entries are being passed to the decisions in parts, and how many have been.
    staging: Option<(Arc<Snapshot>, usize)>,
    /// The longest time that a part of the revision being staged blocked the event loop.
    longest_staging_pause: f64,
    /// Revisions applied since the start.
    revisions_applied: u64,
    /// The longest time that applying a revision, or staging a part of one, blocked the event loop.
    longest_pause: f64,
    /// The published view is out of date, and a timer is set to publish a new one.
    is_view_stale: bool,
}

impl Routing {
    /// Connects the management threads to the event loop. Without `uses_discovery`, operators alone list hosts and
    /// discovery is not used.
    pub fn attach_management(
        &mut self,
        inbox: ManagementInbox,
        heartbeats: Vec<Heartbeat>,
        uses_discovery: bool,
    ) {
        let heartbeats = heartbeats
            .into_iter()
            .map(|heartbeat| (heartbeat, false))
            .collect();
        self.management = Some(ManagementLink {
            inbox,
            heartbeats,
            revision: Revision(0),
            staging: None,
            longest_staging_pause: 0.0,
            revisions_applied: 0,
            longest_pause: 0.0,
            is_view_stale: false,
        });
        if !uses_discovery {
            self.discovery.disable();
        }
    }

    /// Handles the messages in the inbox.
    pub(super) fn on_management_message(&mut self) {
        // Messages wait in the inbox while a revision is being staged.
        while let Some(management) = self
            .management
            .as_mut()
            .filter(|management| management.staging.is_none())
        {
            let Some(message) = management.inbox.received.pop() else {
                return;
            };
            match message {
                ManagementMessage::Revision(snapshot) => self.apply_revision(&snapshot),
                ManagementMessage::RefreshView(refreshed) => {
                    self.refresh_view();
                    // The thread that asked may have stopped waiting.
                    let _ = refreshed.try_send(());
                }
            }
        }
    }

    /// Whether a revision is being staged.
    pub(super) fn is_staging(&self) -> bool {
        self.management
            .as_ref()
            .is_some_and(|management| management.staging.is_some())
    }

    /// Puts a revision in force. Where it changes many hosts and discovery lists none, its entries are
    /// staged first: they are passed to the decisions in parts, one in each iteration of the event loop, so that no
    /// iteration takes long.
    pub fn apply_revision(&mut self, snapshot: &Arc<Snapshot>) {
        let needs_staging = snapshot.changed_entries.len()
            > self.event_loop.limits.management.staged_hosts_per_turn
            && self.endpoints.can_stage(snapshot);
        match &mut self.management {
            Some(management) if needs_staging => management.staging = Some((snapshot.clone(), 0)),
            _ => self.apply_snapshot(snapshot, false),
        }
    }

    /// Passes the next part of the revision being staged to the decisions; after the last part, puts it in force.
    pub(super) fn stage_next_part(&mut self) {
        let Some((snapshot, from)) = self
            .management
            .as_mut()
            .and_then(|management| management.staging.take())
        else {
            return;
        };
        if from >= snapshot.changed_entries.len() {
            self.apply_snapshot(&snapshot, true);
            return self.on_management_message();
        }
        let began_at = self.event_loop.now();
        let to = (from + self.event_loop.limits.management.staged_hosts_per_turn)
            .min(snapshot.changed_entries.len());
        self.dispatch_event(Event::EndpointsStaged {
            entries: snapshot.changed_entries.clone(),
            from,
            to,
        });
        let pause = self.event_loop.now() - began_at;
        if let Some(management) = &mut self.management {
            management.longest_staging_pause = management.longest_staging_pause.max(pause);
            management.staging = Some((snapshot, to));
        }
    }

    /// Completes the staging of a revision at once, before an endpoint list is applied.
    pub(super) fn finish_staging(&mut self) {
        while self.is_staging() {
            self.stage_next_part();
        }
    }

    /// Puts a revision in force: it applies to requests from now on, and idle connections to hosts that it drains or
    /// removes are closed. `is_staged` says that the decisions have been given its entries.
    fn apply_snapshot(&mut self, snapshot: &Arc<Snapshot>, is_staged: bool) {
        let began_at = self.event_loop.now();
        let entries = self.endpoints.apply_revision(snapshot, is_staged);
        let changed_hosts = snapshot.changed_hosts.len();
        self.close_unusable_connections();
        self.dispatch_event(Event::OperatorOverridesApplied {
            overrides: snapshot.overrides.clone(),
            entries,
        });
        let (now, revision) = (self.event_loop.now(), snapshot.revision());
        let Some(management) = &mut self.management else {
            return;
        };
        management.revision = revision;
        management.inbox.applied_revision.store(revision.0, Relaxed);
        management.revisions_applied += 1;
        let pause = std::mem::take(&mut management.longest_staging_pause).max(now - began_at);
        management.longest_pause = management.longest_pause.max(pause);
        info!(self.event_loop.log, "revision applied"; "revision" => revision.0, "changed" => changed_hosts,
            "hosts" => self.endpoints.len(), "pause_ms" => format!("{:.3}", 1e3 * pause),
            "since_commit_ms" => format!("{:.1}", 1e3 * (now - snapshot.committed_at)));
        self.mark_view_stale();
        self.process_pending();
    }

    /// Schedules the publication of a new view. The delay combines many changes into one publication.
    pub(super) fn mark_view_stale(&mut self) {
        let Some(management) = self
            .management
            .as_mut()
            .filter(|management| !management.is_view_stale)
        else {
            return;
        };
        management.is_view_stale = true;
        self.event_loop.schedule(
            self.event_loop.now() + self.event_loop.limits.management.view_publish_delay,
            TimerEvent::PublishView,
        );
    }

    /// Publishes the view at once if it is out of date.
    fn refresh_view(&mut self) {
        let is_stale = self
            .management
            .as_ref()
            .is_some_and(|management| management.is_view_stale);
        if is_stale {
            self.publish_view();
        }
    }

    /// Publishes the current state to the management threads.
    pub(super) fn publish_view(&mut self) {
        let Some(management) = &mut self.management else {
            return;
        };
        management.is_view_stale = false;
        let uses_discovery = !self.discovery.is_disabled();
        let view = OperationalState {
            at: self.event_loop.now(),
            discovery: uses_discovery.then(|| self.endpoints.discovered().cloned().collect()),
            discovery_received: self.discovery.has_list(),
            rollout: self.rollout_status,
            revision: management.revision,
            revisions_applied: management.revisions_applied,
            longest_apply_time: management.longest_pause,
            requests_in_flight: self.requests.len(),
            clients: self.clients.len(),
            upstream_connections: self.upstreams.len(),
            counts: self.event_loop.metrics.requests_since_start(),
        };
        management.inbox.view.store(Arc::new(view));
    }

    /// Logs management threads that have stalled, once for each stall. Requests are not affected by it.
    pub(super) fn check_heartbeats(&mut self, now: f64) {
        let Some(management) = &mut self.management else {
            return;
        };
        for (heartbeat, is_reported) in &mut management.heartbeats {
            let last_recorded = heartbeat.last_recorded();
            let is_stalled = last_recorded > 0.0
                && now - last_recorded > self.event_loop.limits.management.stall_timeout;
            if is_stalled && !*is_reported {
                warn!(self.event_loop.log, "management thread not responding"; "thread" => heartbeat.name, "seconds" => now - last_recorded);
            }
            *is_reported = is_stalled;
        }
    }
}
