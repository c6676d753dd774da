//! The event loop's services that all parts of the routing share: clock, sockets, timers, the queue of events for the
//! decisions, log, limits and counters.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use kestreltide::interface::{Event, TimerKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, error, warn};

use super::metrics::Metrics;
use crate::limits::Limits;
use crate::transport::{
    BufferOwner, Clock, MemoryLedger, Priority, Reactor, ReceivedSignals, SocketId, StreamRole,
    TimerId, Timers,
};

/// The smallest jitter factor of a backoff; the largest is greater by 1.
const BACKOFF_JITTER_MIN: f64 = 0.5;

/// The part of the router that handles a socket, in the order in which ready sockets are handled.
///
/// Discovery, platform and management come first: after a stall of the process, decisions by an old endpoint list,
/// rollout or revision would send requests to draining hosts or exceed the canary's cap. Hosts come before clients, so
/// that responses that have arrived are not lost to timeouts. Timers run after all sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SocketOwner {
    Discovery,
    Platform,
    /// The inbox for messages of the management threads.
    Management,
    Gossip,
    /// Connections to hosts.
    Upstream,
    Client,
    Listener,
}

impl SocketOwner {
    /// All owners, in ascending order of [`SocketOwner::priority`].
    const BY_PRIORITY: [SocketOwner; 7] = [
        SocketOwner::Discovery,
        SocketOwner::Platform,
        SocketOwner::Management,
        SocketOwner::Gossip,
        SocketOwner::Upstream,
        SocketOwner::Client,
        SocketOwner::Listener,
    ];

    /// The priority with which the owner's sockets are registered; lower is handled first.
    pub(super) const fn priority(self) -> Priority {
        Priority(self as u8)
    }

    /// The role of the owner's connections.
    pub(super) const fn stream_role(self) -> StreamRole {
        let (input, output) = match self {
            SocketOwner::Upstream => (BufferOwner::HostInput, BufferOwner::HostOutput),
            SocketOwner::Client => (BufferOwner::ClientInput, BufferOwner::Replies),
            _ => (BufferOwner::Control, BufferOwner::Control),
        };
        StreamRole {
            priority: self.priority(),
            input,
            output,
        }
    }

    /// The owner of the sockets with this priority.
    fn from_priority(priority: Priority) -> Option<Self> {
        Self::BY_PRIORITY.get(usize::from(priority.0)).copied()
    }
}

/// A socket that the poll reported as ready, and the part of the router that handles it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReadySocket {
    pub(super) owner: SocketOwner,
    pub(super) id: SocketId,
}

/// What a timer was scheduled for. A number identifies what was current when the timer was scheduled; a timer with an
/// old number does nothing. The variants' names are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerEvent {
    /// A timer of the decisions.
    Decisions(TimerKey),
    /// The attempt or health check with this use number of the upstream connection has timed out, if it is not over.
    UpstreamUseTimeout(SocketId, u64),
    /// The command of the use with this number must have been written, which includes connecting.
    UpstreamWriteTimeout(SocketId, u64),
    /// Accept clients that were left waiting.
    AcceptAgain,
    /// Read the connections again whose input waits for memory.
    RetryReads,
    /// Run the periodic checks.
    ExpireIdle,
    /// The response to the discovery request with this number must be complete.
    DiscoveryCallTimeout(SocketId, u64),
    /// The connection of the discovery request with this number must be established.
    DiscoveryConnectTimeout(SocketId, u64),
    /// The partly received response to the discovery request with this number must be complete or have grown.
    DiscoveryAnswerTimeout(SocketId, u64),
    /// Begin the watch of the endpoint list again.
    DiscoveryRetry,
    /// Connect to the platform again.
    PlatformReconnect,
    /// The platform's partly received line must be complete or have grown.
    PlatformLineTimeout,
    /// The vote with this call number must have been answered.
    VoteTimeout(u64),
    /// The time to wait for discovery and the platform has passed.
    Ready,
    /// Graceful shutdown: the platform sends no more new connections.
    ServingOver,
    /// Graceful shutdown: half of the time for draining has passed.
    DrainingOver,
    /// Graceful shutdown: look again at clients that were silent or in a lingering close.
    DrainAgain,
    /// Graceful shutdown: no client has reconnected during the wait with this number.
    LastClientsOver(u64),
    /// Graceful shutdown: SIGKILL is near, so open requests are given up.
    KillNear,
    /// Graceful shutdown: the program ends.
    ShutdownDeadline,
    /// Publish the view of the operational state for the management threads.
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
    /// For the jitter of backoffs only; the decisions have a generator of their own.
    random: ChaCha8Rng,
    /// When the last sleep ended, in Unix seconds.
    woken_at: f64,
    /// How long, in seconds, data that is read now may have waited in its socket before the last sleep ended.
    delay: f64,
    /// Whether the last sleep ended without a ready socket.
    woke_without_events: bool,
}

impl EventLoop {
    pub(super) fn new(
        log: Logger,
        limits: Limits,
        clock: Clock,
        mut reactor: Reactor,
        seed: u64,
    ) -> Self {
        reactor.limit_memory(limits.buffers);
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

    /// The memory that the buffers of the connections hold.
    pub(super) fn memory(&self) -> &Rc<MemoryLedger> {
        self.reactor.memory()
    }

    /// Unix time in seconds.
    pub(super) fn now(&self) -> f64 {
        self.clock.now()
    }

    /// When the last sleep ended, in Unix seconds.
    pub(super) fn woken_at(&self) -> f64 {
        self.woken_at
    }

    /// The earliest time, in Unix seconds, at which data that is read now may have arrived.
    pub(super) fn arrived_since(&self) -> f64 {
        self.woken_at - self.delay
    }

    /// Returns the ready sockets and received signals. With `may_sleep`, sleeps until there is one or a timer is due.
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

    /// Updates the delay of the event loop: the time that the last iteration worked, and by how much the sleep was
    /// longer than asked for.
    fn record_wake(&mut self, sleep_began_at: f64, sleep: f64, without_events: bool) {
        let woken_at = self.now();
        let delay = (sleep_began_at - self.woken_at) + (woken_at - sleep_began_at - sleep).max(0.0);
        // When a stopped process continues, a signal can end the sleep before any socket is reported. Sockets that are
        // then ready at once have waited through the stop, so the delay found at that wake still applies to them.
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

    /// Schedules an event at `at`, in Unix seconds; drops and logs it where too many timers are pending.
    pub(super) fn schedule(&mut self, at: f64, event: TimerEvent) {
        self.schedule_cancellable(at, event);
    }

    /// Schedules an event like [`EventLoop::schedule`], and returns how to cancel it; `None` where it was dropped.
    pub(super) fn schedule_cancellable(&mut self, at: f64, event: TimerEvent) -> Option<TimerId> {
        let timer = self.timers.schedule(at, event);
        if timer.is_none() {
            error!(self.log, "timer dropped, too many scheduled"; "due" => ?event);
        }
        timer
    }

    /// The number of timers that have not expired.
    pub(super) fn pending_timers(&self) -> usize {
        self.timers.pending_count()
    }

    /// Cancels timers that have not expired.
    pub(super) fn cancel(&mut self, timers: impl IntoIterator<Item = TimerId>) {
        for timer in timers {
            self.timers.cancel(timer);
        }
    }

    /// Removes and returns the earliest timer that was due when the last sleep ended.
    pub(super) fn next_due_timer(&mut self) -> Option<TimerEvent> {
        self.timers.pop_due(self.woken_at)
    }

    /// Queues an event for the decisions; `Routing::process_pending` passes it on.
    pub(super) fn notify_decisions(&mut self, event: Event) {
        self.decision_events.push_back(event);
    }

    /// Removes and returns the next event for the decisions.
    pub(super) fn next_decision_event(&mut self) -> Option<Event> {
        self.decision_events.pop_front()
    }

    /// Whether one more warning about malformed input may be logged in this second; a suppressed one is counted.
    pub(super) fn may_warn(&mut self) -> bool {
        let now = self.now();
        let warnings_per_second = self.limits.log.warnings_per_second;
        self.metrics.may_warn(now, warnings_per_second)
    }

    /// A random factor of a backoff, so that routers do not retry at the same time.
    pub(super) fn backoff_jitter(&mut self) -> f64 {
        BACKOFF_JITTER_MIN + self.random.random::<f64>()
    }
}
