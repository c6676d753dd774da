//! Fronts: what other threads post enters the loop here, and what they may know of it goes out.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use arc_swap::ArcSwap;
use kestreltide::interface::*;
use kestreltide_datastore::Snapshot;
use kestreltide_datastore::view::View;
use slog::{info, warn};

use super::{Due, FRONTS, Routing};
use crate::transport::{Inbox, InboxSender, Reactor, SocketId};

/// What a front posts to the loop.
#[derive(Clone, Debug)]
pub enum Notice {
    /// A revision was committed.
    Revision(Arc<Snapshot>),
}

/// A front's sign of life: when it last came round, in milliseconds of Unix time; 0 where it has ended.
#[derive(Clone, Debug)]
pub struct Pulse {
    pub name: &'static str,
    at: Arc<AtomicU64>,
}

impl Pulse {
    pub fn new(name: &'static str) -> Self {
        Pulse {
            name,
            at: Arc::default(),
        }
    }

    pub fn beat(&self, now: f64) {
        self.at.store((now * 1e3) as u64, Relaxed);
    }

    fn last(&self) -> f64 {
        self.at.load(Relaxed) as f64 / 1e3
    }
}

/// The loop's end of it.
pub struct Box {
    mail: Inbox<Notice>,
    view: Arc<ArcSwap<View>>,
    in_force: Arc<AtomicU64>,
}

/// What fronts hold of the loop.
#[derive(Clone)]
pub struct Loop {
    pub post: InboxSender<Notice>,
    pub view: Arc<ArcSwap<View>>,
    /// The revision in force there.
    pub in_force: Arc<AtomicU64>,
}

impl Box {
    /// The two ends: the loop's, and what fronts hold.
    pub fn open(reactor: &mut Reactor, most: usize) -> std::io::Result<(Self, Loop)> {
        let (mail, post) = reactor.inbox(most, FRONTS)?;
        let view = Arc::new(ArcSwap::from_pointee(View::default()));
        let in_force = Arc::new(AtomicU64::new(0));
        let of_loop = Loop {
            post,
            view: view.clone(),
            in_force: in_force.clone(),
        };
        Ok((
            Box {
                mail,
                view,
                in_force,
            },
            of_loop,
        ))
    }
}

pub(super) struct Fronts {
    open: Box,
    pulses: Vec<(Pulse, bool)>,
    revision: Revision,
    /// Being told ahead, and how much of it has been.
    staging: Option<(Arc<Snapshot>, usize)>,
    /// The longest pause for a part of it.
    staging_pause: f64,
    taken: u64,
    longest_pause: f64,
    /// The view that fronts have is not that of now, and an alarm is set to renew it.
    stale: bool,
}

impl Fronts {
    pub(super) fn owns(&self, id: SocketId) -> bool {
        self.open.mail.id == id
    }
}

impl Routing {
    /// Joins the fronts to the loop; without it there are none. Where operators alone list hosts, discovery is
    /// not asked.
    pub fn join(&mut self, open: Box, pulses: Vec<Pulse>, discovery: bool) {
        let pulses = pulses.into_iter().map(|pulse| (pulse, false)).collect();
        self.fronts = Some(Fronts {
            open,
            pulses,
            revision: Revision(0),
            staging: None,
            staging_pause: 0.0,
            taken: 0,
            longest_pause: 0.0,
            stale: false,
        });
        if !discovery {
            self.discovery.turn_off();
        }
    }

    pub(super) fn fronts_ready(&mut self) {
        // One revision after another: the next lies in its box while one is staged.
        while let Some(fronts) = self
            .fronts
            .as_mut()
            .filter(|fronts| fronts.staging.is_none())
        {
            let Some(notice) = fronts.open.mail.pop() else {
                return;
            };
            match notice {
                Notice::Revision(snapshot) => self.take_revision(&snapshot),
            }
        }
    }

    pub(super) fn is_staging(&self) -> bool {
        self.fronts
            .as_ref()
            .is_some_and(|fronts| fronts.staging.is_some())
    }

    /// Takes a revision, at once where it is short; a long list of who comes and goes is told ahead in parts, one
    /// a turn, so that the loop never stands still for it.
    pub fn take_revision(&mut self, snapshot: &Arc<Snapshot>) {
        let ahead = snapshot.entries.len() > self.limits.management.staged_hosts_per_turn
            && self.hosts.can_stage(snapshot);
        match &mut self.fronts {
            Some(fronts) if ahead => fronts.staging = Some((snapshot.clone(), 0)),
            _ => self.put_in_force(snapshot, false),
        }
    }

    /// The next part of what is staged; after the last one it is in force.
    pub(super) fn stage(&mut self) {
        let Some((snapshot, from)) = self
            .fronts
            .as_mut()
            .and_then(|fronts| fronts.staging.take())
        else {
            return;
        };
        if from >= snapshot.entries.len() {
            self.put_in_force(&snapshot, true);
            return self.fronts_ready();
        }
        let begun = self.clock.now();
        let to = (from + self.limits.management.staged_hosts_per_turn).min(snapshot.entries.len());
        self.route(Event::EndpointsStaged {
            entries: snapshot.entries.clone(),
            from,
            to,
        });
        let paused = self.clock.now() - begun;
        if let Some(fronts) = &mut self.fronts {
            fronts.staging_pause = fronts.staging_pause.max(paused);
            fronts.staging = Some((snapshot, to));
        }
    }

    /// What is staged is taken now: another list comes.
    pub(super) fn finish_staging(&mut self) {
        while self.is_staging() {
            self.stage();
        }
    }

    /// From here on invocations come under this revision; what it drains or takes away binds at once.
    fn put_in_force(&mut self, snapshot: &Arc<Snapshot>, staged: bool) {
        let begun = self.clock.now();
        let entries = self.hosts.take(snapshot, staged);
        let count = snapshot.changed.len();
        self.close_unwanted();
        self.route(Event::OperatorOverridesApplied {
            overrides: snapshot.overrides.clone(),
            entries,
        });
        let (now, revision) = (self.clock.now(), snapshot.revision());
        let Some(fronts) = &mut self.fronts else {
            return;
        };
        fronts.revision = revision;
        fronts.open.in_force.store(revision.0, Relaxed);
        fronts.taken += 1;
        let pause = std::mem::take(&mut fronts.staging_pause).max(now - begun);
        fronts.longest_pause = fronts.longest_pause.max(pause);
        info!(self.log, "a revision is in force"; "revision" => revision.0, "changed" => count,
            "hosts" => self.hosts.len(), "pause_ms" => format!("{:.3}", 1e3 * pause),
            "since_commit_ms" => format!("{:.1}", 1e3 * (now - snapshot.committed_at)));
        self.view_changed();
        self.settle();
    }

    /// Fronts get the new view soon, not at each of many changes.
    pub(super) fn view_changed(&mut self) {
        let Some(fronts) = self.fronts.as_mut().filter(|fronts| !fronts.stale) else {
            return;
        };
        fronts.stale = true;
        self.set_due(
            self.clock.now() + self.limits.management.view_publish_delay,
            Due::View,
        );
    }

    pub(super) fn publish(&mut self) {
        let Some(fronts) = &mut self.fronts else {
            return;
        };
        fronts.stale = false;
        let asked = !self.discovery.is_off();
        let view = View {
            at: self.clock.now(),
            discovery: asked.then(|| self.hosts.told().cloned().collect()),
            discovery_received: self.discovery.has_told(),
            rollout: self.newest,
            revision: fronts.revision,
            revisions_applied: fronts.taken,
            longest_apply_time: fronts.longest_pause,
            requests_in_flight: self.admitted.len(),
            clients: self.clients.len(),
            upstream_connections: self.links.len(),
            counts: self.tally.all(),
        };
        fronts.open.view.store(Arc::new(view));
    }

    /// A front that stands still costs invocations nothing, but somebody should know.
    pub(super) fn check_pulses(&mut self, now: f64) {
        let Some(fronts) = &mut self.fronts else {
            return;
        };
        for (pulse, told) in &mut fronts.pulses {
            let last = pulse.last();
            let still = last > 0.0 && now - last > self.limits.management.stall_timeout;
            if still && !*told {
                warn!(self.log, "a front stands still"; "front" => pulse.name, "seconds" => now - last);
            }
            *told = still;
        }
    }
}
