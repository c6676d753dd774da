//! The event loop, which waits for ready sockets and for signals.
//!
//! The event loop only collects the ready sockets. The caller handles them in the order of their priorities, so that a
//! change of state is read before the requests that depend on it.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use calloop::channel::{Event, sync_channel};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};

use super::inbox::{Inbox, InboxSender};
use super::memory_ledger::{BufferLimits, MemoryLedger};
use super::socket_id::{Priority, SocketId};

/// What has become ready since the last [`Reactor::poll`].
#[derive(Default)]
struct ReadyEvents {
    sockets: Vec<(Priority, SocketId)>,
    signals: ReceivedSignals,
}

/// The signals received since the last [`Reactor::poll`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ReceivedSignals {
    /// SIGTERM or SIGINT, which request a graceful shutdown.
    pub stop: bool,
    /// SIGHUP, which requests a reload of the configuration.
    pub reload: bool,
}

/// The calloop event loop and the events that it has collected.
pub struct Reactor {
    event_loop: EventLoop<'static, ReadyEvents>,
    handle: LoopHandle<'static, ReadyEvents>,
    ready: ReadyEvents,
    last_id: u64,
    /// The memory that the buffers of the connections hold.
    memory: Rc<MemoryLedger>,
}

impl Reactor {
    /// Creates the event loop, which handles SIGTERM, SIGINT and SIGHUP from here on.
    ///
    /// Must be called before any slow step of the start, since an unhandled SIGHUP ends the program, and before any
    /// thread starts, since threads inherit the signal mask.
    ///
    /// # Errors
    ///
    /// If the operating system does not create the poller or the signal descriptor.
    pub fn start() -> io::Result<Self> {
        let event_loop: EventLoop<'static, ReadyEvents> =
            EventLoop::try_new().map_err(io::Error::other)?;
        let handle = event_loop.handle();
        let signals_to_handle = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
        let signals = Signals::new(&signals_to_handle).map_err(io::Error::other)?;
        let on_signal =
            |event: calloop::signals::Event, _: &mut _, ready: &mut ReadyEvents| match event
                .signal()
            {
                Signal::SIGHUP => ready.signals.reload = true,
                _ => ready.signals.stop = true,
            };
        handle
            .insert_source(signals, on_signal)
            .map_err(|e| io::Error::from(e.error))?;
        Ok(Reactor {
            event_loop,
            handle,
            ready: ReadyEvents::default(),
            last_id: 0,
            memory: Rc::new(MemoryLedger::new(BufferLimits::UNLIMITED)),
        })
    }

    /// Limits the memory of the buffers of connections that are opened from now on.
    pub fn limit_memory(&mut self, limits: BufferLimits) {
        self.memory = Rc::new(MemoryLedger::new(limits));
    }

    /// The memory that the buffers of the connections hold.
    pub fn memory(&self) -> &Rc<MemoryLedger> {
        &self.memory
    }

    fn next_id(&mut self) -> SocketId {
        self.last_id += 1;
        SocketId(self.last_id)
    }

    /// Registers a socket, edge-triggered: its owner must read and write until the socket would block.
    ///
    /// # Errors
    ///
    /// If the operating system does not watch the socket.
    pub fn register<S: AsFd + 'static>(
        &mut self,
        socket: Rc<S>,
        priority: Priority,
    ) -> io::Result<(SocketId, RegistrationToken)> {
        let id = self.next_id();
        let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let on_ready = move |_, _: &mut _, ready: &mut ReadyEvents| {
            ready.sockets.push((priority, id));
            Ok(PostAction::Continue)
        };
        let token = self
            .handle
            .insert_source(source, on_ready)
            .map_err(|e| io::Error::from(e.error))?;
        Ok((id, token))
    }

    /// Opens a queue of at most `capacity` messages. Its identifier is reported as ready when a message is available.
    ///
    /// # Errors
    ///
    /// If the operating system does not create the queue's wake-up descriptor.
    pub fn inbox<T: 'static>(
        &mut self,
        capacity: usize,
        priority: Priority,
    ) -> io::Result<(Inbox<T>, InboxSender<T>)> {
        let id = self.next_id();
        let pending = Rc::new(RefCell::new(VecDeque::new()));
        let (sender, source) = sync_channel(capacity);
        let received = pending.clone();
        let on_message = move |event, _: &mut _, ready: &mut ReadyEvents| {
            // Reported once for all pending messages.
            if let Event::Msg(message) = event {
                let mut pending = received.borrow_mut();
                if pending.is_empty() {
                    ready.sockets.push((priority, id));
                }
                pending.push_back(message);
            }
        };
        self.handle
            .insert_source(source, on_message)
            .map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok((Inbox { id, pending }, sender))
    }

    /// Stops watching a socket.
    pub fn deregister(&self, token: RegistrationToken) {
        self.handle.remove(token);
    }

    /// Sleeps until a socket is ready, a signal is received or `seconds` have passed. Returns the ready sockets,
    /// ordered by priority, and the received signals.
    ///
    /// # Errors
    ///
    /// If the operating system's poll fails.
    pub fn poll(
        &mut self,
        seconds: f64,
    ) -> io::Result<(Vec<(Priority, SocketId)>, ReceivedSignals)> {
        let timeout = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::ZERO);
        self.event_loop
            .dispatch(Some(timeout), &mut self.ready)
            .map_err(io::Error::other)?;
        self.ready.sockets.sort_by_key(|(priority, _)| *priority);
        let sockets = std::mem::take(&mut self.ready.sockets);
        Ok((sockets, std::mem::take(&mut self.ready.signals)))
    }
}
