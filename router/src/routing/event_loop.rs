//! What the owners of the event loop share: its clock, sockets and timers, the queue of events for the decisions,
//! the log, the limits and the counters.

use std::collections::VecDeque;
use std::io;

use kestreltide::interface::{Event, TimerKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, error, warn};

use super::metrics::Metrics;
use crate::limits::Limits;
use crate::transport::{Clock, Priority, Reactor, ReceivedSignals, SocketId, Timers};

/// The smallest factor of a backoff; the largest is one more.
const BACKOFF_JITTER_MIN: f64 = 0.5;

/// Who a socket belongs to, in the order in which ready sockets are served.
///
/// The endpoint list comes first: a stale one breaks drains and exposure after a stall. What operators drain and take
/// out binds as the list does. Then answers that are already here, so that they do not lose to timeouts; then clients.
/// Timers come after all that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SocketOwner {
    Discovery,
    Platform,
    Management,
    Gossip,
    Upstream,
    Client,
    Listener,
}

impl SocketOwner {
    /// All owners, by their priorities.
    const BY_PRIORITY: [SocketOwner; 7] = [
        SocketOwner::Discovery,
        SocketOwner::Platform,
        SocketOwner::Management,
        SocketOwner::Gossip,
        SocketOwner::Upstream,
        SocketOwner::Client,
        SocketOwner::Listener,
    ];

    /// The priority that the owner's sockets are registered with.
    pub(super) const fn priority(self) -> Priority {
        Priority(self as u8)
    }

    fn from_priority(priority: Priority) -> Option<Self> {
        Self::BY_PRIORITY.get(usize::from(priority.0)).copied()
    }
}

/// A socket that is ready, and who serves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReadySocket {
    pub(super) owner: SocketOwner,
    pub(super) id: SocketId,
}

/// What a timer was set for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerEvent {
    Decisions(TimerKey),
    /// The use of an upstream connection that has this number must be over.
    UpstreamUseTimeout(SocketId, u64),
    /// By now the upstream connection must be up and the command written.
    UpstreamWriteTimeout(SocketId, u64),
    AcceptAgain,
    ExpireIdle,
    DiscoveryCallTimeout(SocketId, u64),
    /// By now the connection to discovery must be up.
    DiscoveryConnectTimeout(SocketId, u64),
    /// By now the answer that has begun must be complete, or more of it have come.
    DiscoveryAnswerTimeout(SocketId, u64),
    DiscoveryRetry,
    PlatformReconnect,
    /// By now the platform's line that has begun must be complete, or more of it have come.
    PlatformLineTimeout,
    VoteTimeout(u64),
    Ready,
    ServingOver,
    DrainingOver,
    /// Of the graceful shutdown: silent clients, and those that were notified of the close, have had their time.
    DrainAgain,
    /// No client has connected since all connections were closed for the time of this number.
    LastClientsOver(u64),
    KillNear,
    ShutdownDeadline,
    PublishView,
}

/// The services of the event loop.
pub(super) struct EventLoop {
    pub(super) log: Logger,
    pub(super) limits: Limits,
    pub(super) reactor: Reactor,
    pub(super) metrics: Metrics,
    clock: Clock,
    timers: Timers<TimerEvent>,
    decision_events: VecDeque<Event>,
    /// For backoffs only; the decisions have their own.
    random: ChaCha8Rng,
    /// When the last sleep ended.
    woken_at: f64,
    /// How long, in seconds, what is read from a socket now may have waited there before the last sleep ended.
    delay: f64,
    woke_without_events: bool,
}

impl EventLoop {
    pub(super) fn new(
        log: Logger,
        limits: Limits,
        clock: Clock,
        reactor: Reactor,
        seed: u64,
    ) -> Self {
        EventLoop {
            timers: Timers::new(limits.event_loop.timers),
            log,
            limits,
            reactor,
            metrics: Metrics::default(),
            decision_events: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(!seed),
            woken_at: clock.now(),
            clock,
            delay: 0.0,
            woke_without_events: false,
        }
    }

    /// Unix time in seconds.
    pub(super) fn now(&self) -> f64 {
        self.clock.now()
    }

    /// When the last sleep ended.
    pub(super) fn woken_at(&self) -> f64 {
        self.woken_at
    }

    /// The earliest time at which what is read now may have arrived.
    pub(super) fn arrived_since(&self) -> f64 {
        self.woken_at - self.delay
    }

    /// Sleeps until a socket is ready, a signal comes or a timer is due, where it may sleep at all.
    ///
    /// # Errors
    ///
    /// Where the system's poll fails.
    pub(super) fn poll(
        &mut self,
        may_sleep: bool,
    ) -> io::Result<(Vec<ReadySocket>, ReceivedSignals)> {
        let now = self.now();
        let max_sleep = self.limits.event_loop.max_sleep;
        let time_to_deadline = self
            .timers
            .next_deadline()
            .map_or(max_sleep, |deadline| deadline - now);
        let sleep = if may_sleep {
            time_to_deadline.clamp(0.0, max_sleep)
        } else {
            0.0
        };
        let (sockets, signals) = self.reactor.poll(sleep)?;
        self.record_wake(now, sleep, sockets.is_empty());
        let sockets = sockets.into_iter().filter_map(|(priority, id)| {
            let owner = SocketOwner::from_priority(priority)?;
            Some(ReadySocket { owner, id })
        });
        Ok((sockets.collect(), signals))
    }

    /// Notes by how much the loop is late: the work of the last turn, and a sleep longer than asked for.
    fn record_wake(&mut self, sleep_began_at: f64, sleep: f64, without_events: bool) {
        let woken_at = self.now();
        let delay = (sleep_began_at - self.woken_at) + (woken_at - sleep_began_at - sleep).max(0.0);
        // A signal that ends a standstill can end the sleep with no events: what is there at once after that was
        // there before.
        let woke_at_once = woken_at - sleep_began_at < self.limits.event_loop.immediate_wake;
        let carried_over = if self.woke_without_events && woke_at_once {
            self.delay
        } else {
            0.0
        };
        self.delay = delay.max(carried_over);
        self.woken_at = woken_at;
        self.woke_without_events = without_events;
        if self.delay > self.limits.event_loop.delay_warning {
            warn!(self.log, "event loop delayed"; "seconds" => self.delay);
        }
    }

    pub(super) fn schedule(&mut self, at: f64, event: TimerEvent) {
        if !self.timers.schedule(at, event) {
            error!(self.log, "timer dropped, too many scheduled"; "due" => ?event);
        }
    }

    /// A timer that was due when the last sleep ended.
    pub(super) fn next_due_timer(&mut self) -> Option<TimerEvent> {
        self.timers.pop_due(self.woken_at)
    }

    /// Queues an event for the decisions.
    pub(super) fn notify_decisions(&mut self, event: Event) {
        self.decision_events.push_back(event);
    }

    pub(super) fn next_decision_event(&mut self) -> Option<Event> {
        self.decision_events.pop_front()
    }

    /// Whether a warning about what others do wrong may be written: so many a second, the rest is counted.
    pub(super) fn may_warn(&mut self) -> bool {
        let now = self.now();
        let warnings_per_second = self.limits.log.warnings_per_second;
        self.metrics.may_warn(now, warnings_per_second)
    }

    /// A factor that keeps routers from retrying in step.
    pub(super) fn backoff_jitter(&mut self) -> f64 {
        BACKOFF_JITTER_MIN + self.random.random::<f64>()
    }
}
