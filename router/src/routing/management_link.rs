//! The link to the management threads: their messages enter the event loop here, and a view of its state goes out.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::SyncSender;

use arc_swap::ArcSwap;
use kestreltide::interface::*;
use kestreltide_datastore::Snapshot;
use kestreltide_datastore::view::View;
use slog::{info, warn};

use super::{Routing, SocketOwner, TimerEvent};
use crate::transport::{Inbox, InboxSender, Reactor};

/// What a management thread sends to the event loop.
#[derive(Clone, Debug)]
pub enum ManagementMessage {
    /// A revision was committed.
    Revision(Arc<Snapshot>),
    /// The view is to be that of now; the sender has room for the one message that says so.
    RefreshView(SyncSender<()>),
}

/// The heartbeat of a management thread: when it last ran, in milliseconds of Unix time; 0 where it has ended.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    pub name: &'static str,
    recorded_millis: Arc<AtomicU64>,
}

impl Heartbeat {
    pub fn new(name: &'static str) -> Self {
        Heartbeat {
            name,
            recorded_millis: Arc::default(),
        }
    }

    pub fn record(&self, now: f64) {
        self.recorded_millis.store((now * 1e3) as u64, Relaxed);
    }

    fn last_recorded(&self) -> f64 {
        self.recorded_millis.load(Relaxed) as f64 / 1e3
    }
}

/// The loop's end of it.
pub struct ManagementInbox {
    messages: Inbox<ManagementMessage>,
    view: Arc<ArcSwap<View>>,
    in_force: Arc<AtomicU64>,
}

/// What fronts hold of the loop.
#[derive(Clone)]
pub struct LoopHandle {
    pub post: InboxSender<ManagementMessage>,
    pub view: Arc<ArcSwap<View>>,
    /// The revision in force there.
    pub in_force: Arc<AtomicU64>,
}

impl ManagementInbox {
    /// The two ends: the loop's, and what fronts hold.
    pub fn open(reactor: &mut Reactor, capacity: usize) -> std::io::Result<(Self, LoopHandle)> {
        let (messages, post) = reactor.inbox(capacity, SocketOwner::Management.priority())?;
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let in_force = Arc::new(AtomicU64::new(0));
        let loop_handle = LoopHandle {
            post,
            view: view.clone(),
            in_force: in_force.clone(),
        };
        Ok((
            ManagementInbox {
                messages,
                view,
                in_force,
            },
            loop_handle,
        ))
    }
}

pub(super) struct ManagementLink {
    inbox: ManagementInbox,
    heartbeats: Vec<(Heartbeat, bool)>,
    revision: Revision,
    /// Being told ahead, and how much of it has been.
    staging: Option<(Arc<Snapshot>, usize)>,
    /// The longest pause for a part of it.
    longest_staging_pause: f64,
    revisions_applied: u64,
    longest_pause: f64,
    /// The view that fronts have is not that of now, and an alarm is set to renew it.
    is_view_stale: bool,
}

impl Routing {
    /// Joins the fronts to the loop; without it there are none. Where operators alone list hosts, discovery is
    /// not asked.
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

    pub(super) fn on_management_message(&mut self) {
        // One revision after another: the next lies in its box while one is staged.
        while let Some(management) = self
            .management
            .as_mut()
            .filter(|management| management.staging.is_none())
        {
            let Some(message) = management.inbox.messages.pop() else {
                return;
            };
            match message {
                ManagementMessage::Revision(snapshot) => self.apply_revision(&snapshot),
                ManagementMessage::RefreshView(refreshed) => {
                    self.refresh_view();
                    // Who asked may have stopped waiting.
                    let _ = refreshed.try_send(());
                }
            }
        }
    }

    pub(super) fn is_staging(&self) -> bool {
        self.management
            .as_ref()
            .is_some_and(|management| management.staging.is_some())
    }

    /// Takes a revision, at once where it is short; a long list of who comes and goes is told ahead in parts, one
    /// a turn, so that the loop never stands still for it.
    pub fn apply_revision(&mut self, snapshot: &Arc<Snapshot>) {
        let needs_staging = snapshot.entries.len()
            > self.event_loop.limits.management.staged_hosts_per_turn
            && self.endpoints.can_stage(snapshot);
        match &mut self.management {
            Some(management) if needs_staging => management.staging = Some((snapshot.clone(), 0)),
            _ => self.apply_snapshot(snapshot, false),
        }
    }

    /// The next part of what is staged; after the last one it is in force.
    pub(super) fn stage_next_part(&mut self) {
        let Some((snapshot, from)) = self
            .management
            .as_mut()
            .and_then(|management| management.staging.take())
        else {
            return;
        };
        if from >= snapshot.entries.len() {
            self.apply_snapshot(&snapshot, true);
            return self.on_management_message();
        }
        let began_at = self.event_loop.now();
        let to = (from + self.event_loop.limits.management.staged_hosts_per_turn)
            .min(snapshot.entries.len());
        self.dispatch_event(Event::EndpointsStaged {
            entries: snapshot.entries.clone(),
            from,
            to,
        });
        let pause = self.event_loop.now() - began_at;
        if let Some(management) = &mut self.management {
            management.longest_staging_pause = management.longest_staging_pause.max(pause);
            management.staging = Some((snapshot, to));
        }
    }

    /// What is staged is taken now: another list comes.
    pub(super) fn finish_staging(&mut self) {
        while self.is_staging() {
            self.stage_next_part();
        }
    }

    /// From here on invocations come under this revision; what it drains or takes away binds at once.
    fn apply_snapshot(&mut self, snapshot: &Arc<Snapshot>, is_staged: bool) {
        let began_at = self.event_loop.now();
        let entries = self.endpoints.apply_revision(snapshot, is_staged);
        let changed_hosts = snapshot.changed.len();
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
        management.inbox.in_force.store(revision.0, Relaxed);
        management.revisions_applied += 1;
        let pause = std::mem::take(&mut management.longest_staging_pause).max(now - began_at);
        management.longest_pause = management.longest_pause.max(pause);
        info!(self.event_loop.log, "revision applied"; "revision" => revision.0, "changed" => changed_hosts,
            "hosts" => self.endpoints.len(), "pause_ms" => format!("{:.3}", 1e3 * pause),
            "since_commit_ms" => format!("{:.1}", 1e3 * (now - snapshot.committed_at)));
        self.mark_view_stale();
        self.process_pending();
    }

    /// The management threads get the new view soon, not at each of many changes.
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

    /// Publishes the view at once where it is not that of now.
    fn refresh_view(&mut self) {
        let is_stale = self
            .management
            .as_ref()
            .is_some_and(|management| management.is_view_stale);
        if is_stale {
            self.publish_view();
        }
    }

    pub(super) fn publish_view(&mut self) {
        let Some(management) = &mut self.management else {
            return;
        };
        management.is_view_stale = false;
        let uses_discovery = !self.discovery.is_disabled();
        let view = View {
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

    /// A front that stands still costs invocations nothing, but somebody should know.
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
