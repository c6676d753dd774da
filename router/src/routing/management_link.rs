//! The link to the management threads: their messages enter the event loop here, and a view of its state goes out.

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
    /// A revision was committed.
    Revision(Arc<Snapshot>),
    /// The view is to be that of now; the sender has room for the one message that says so.
    RefreshView(SyncSender<()>),
}

/// The heartbeat of a management thread: when it last ran, in milliseconds of Unix time; 0 where it has ended.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    pub name: &'static str,
    at: Arc<AtomicU64>,
}

impl Heartbeat {
    pub fn new(name: &'static str) -> Self {
        Heartbeat {
            name,
            at: Arc::default(),
        }
    }

    pub fn record(&self, now: f64) {
        self.at.store((now * 1e3) as u64, Relaxed);
    }

    fn last(&self) -> f64 {
        self.at.load(Relaxed) as f64 / 1e3
    }
}

/// The loop's end of it.
pub struct ManagementInbox {
    mail: Inbox<ManagementMessage>,
    view: Arc<ArcSwap<OperationalState>>,
    applied_revision: Arc<AtomicU64>,
}

/// What fronts hold of the loop.
#[derive(Clone)]
pub struct EventLoopHandle {
    pub messages: InboxSender<ManagementMessage>,
    pub view: Arc<ArcSwap<OperationalState>>,
    /// The revision in force there.
    pub applied_revision: Arc<AtomicU64>,
}

impl ManagementInbox {
    /// The two ends: the loop's, and what fronts hold.
    pub fn open(
        reactor: &mut Reactor,
        capacity: usize,
    ) -> std::io::Result<(Self, EventLoopHandle)> {
        let (mail, messages) = reactor.inbox(capacity, SocketOwner::Management.priority())?;
        let view = Arc::new(ArcSwap::from_pointee(OperationalState::default()));
        let applied_revision = Arc::new(AtomicU64::new(0));
        let event_loop = EventLoopHandle {
            messages,
            view: view.clone(),
            applied_revision: applied_revision.clone(),
        };
        Ok((
            ManagementInbox {
                mail,
                view,
                applied_revision,
            },
            event_loop,
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
    staging_pause: f64,
    revisions_applied: u64,
    longest_pause: f64,
    /// The view that fronts have is not that of now, and an alarm is set to renew it.
    stale: bool,
}

impl Routing {
    /// Joins the fronts to the loop; without it there are none. Where operators alone list hosts, discovery is
    /// not asked.
    pub fn attach_management(
        &mut self,
        inbox: ManagementInbox,
        heartbeats: Vec<Heartbeat>,
        discovery: bool,
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
            staging_pause: 0.0,
            revisions_applied: 0,
            longest_pause: 0.0,
            stale: false,
        });
        if !discovery {
            self.discovery.turn_off();
        }
    }

    pub(super) fn on_management_message(&mut self) {
        // One revision after another: the next lies in its box while one is staged.
        while let Some(management) = self
            .management
            .as_mut()
            .filter(|management| management.staging.is_none())
        {
            let Some(message) = management.inbox.mail.pop() else {
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
        let ahead = snapshot.changed_entries.len()
            > self.event_loop.limits.management.staged_hosts_per_turn
            && self.endpoints.can_stage(snapshot);
        match &mut self.management {
            Some(management) if ahead => management.staging = Some((snapshot.clone(), 0)),
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
        if from >= snapshot.changed_entries.len() {
            self.apply_snapshot(&snapshot, true);
            return self.on_management_message();
        }
        let begun = self.event_loop.now();
        let to = (from + self.event_loop.limits.management.staged_hosts_per_turn)
            .min(snapshot.changed_entries.len());
        self.dispatch_event(Event::EndpointsStaged {
            entries: snapshot.changed_entries.clone(),
            from,
            to,
        });
        let paused = self.event_loop.now() - begun;
        if let Some(management) = &mut self.management {
            management.staging_pause = management.staging_pause.max(paused);
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
    fn apply_snapshot(&mut self, snapshot: &Arc<Snapshot>, staged: bool) {
        let begun = self.event_loop.now();
        let entries = self.endpoints.take(snapshot, staged);
        let count = snapshot.changed_hosts.len();
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
        let pause = std::mem::take(&mut management.staging_pause).max(now - begun);
        management.longest_pause = management.longest_pause.max(pause);
        info!(self.event_loop.log, "revision applied"; "revision" => revision.0, "changed" => count,
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
            .filter(|management| !management.stale)
        else {
            return;
        };
        management.stale = true;
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
            .is_some_and(|management| management.stale);
        if is_stale {
            self.publish_view();
        }
    }

    pub(super) fn publish_view(&mut self) {
        let Some(management) = &mut self.management else {
            return;
        };
        management.stale = false;
        let is_watched = !self.discovery.is_off();
        let view = OperationalState {
            at: self.event_loop.now(),
            discovery: is_watched.then(|| self.endpoints.discovered().cloned().collect()),
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
            let last = heartbeat.last();
            let still = last > 0.0 && now - last > self.event_loop.limits.management.stall_timeout;
            if still && !*is_reported {
                warn!(self.event_loop.log, "management thread not responding"; "thread" => heartbeat.name, "seconds" => now - last);
            }
            *is_reported = still;
        }
    }
}
