//! The event loop: which sockets are ready, and which signals came.
//!
//! The event loop only collects what is ready; the caller then serves it in the order of priorities, so that a
//! change of state is always read before the requests that depend on it.

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
use super::socket_id::{Priority, SocketId};

#[derive(Default)]
struct Ready {
    sockets: Vec<(Priority, SocketId)>,
    signals: ReceivedSignals,
}

/// The signals that were received since the last [`Reactor::poll`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ReceivedSignals {
    /// SIGTERM or SIGINT: shut down gracefully.
    pub stop: bool,
    /// SIGHUP: read the configuration again.
    pub reload: bool,
}

/// The calloop event loop and what it has found ready.
pub struct Reactor {
    event_loop: EventLoop<'static, Ready>,
    handle: LoopHandle<'static, Ready>,
    ready: Ready,
    last_id: u64,
}

impl Reactor {
    /// Starts the event loop and takes over SIGTERM, SIGINT and SIGHUP.
    ///
    /// To be called before anything that takes time, as a SIGHUP that is not taken over ends the program, and
    /// before any thread starts, as threads inherit the signal mask.
    ///
    /// # Errors
    ///
    /// Where the system refuses the poller or the signal descriptor.
    pub fn start() -> io::Result<Self> {
        let event_loop: EventLoop<'static, Ready> =
            EventLoop::try_new().map_err(io::Error::other)?;
        let handle = event_loop.handle();
        let handled = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
        let signals = Signals::new(&handled).map_err(io::Error::other)?;
        let on_signal =
            |event: calloop::signals::Event, _: &mut _, ready: &mut Ready| match event.signal() {
                Signal::SIGHUP => ready.signals.reload = true,
                _ => ready.signals.stop = true,
            };
        handle
            .insert_source(signals, on_signal)
            .map_err(|e| io::Error::from(e.error))?;
        Ok(Reactor {
            event_loop,
            handle,
            ready: Ready::default(),
            last_id: 0,
        })
    }

    fn next_id(&mut self) -> SocketId {
        self.last_id += 1;
        SocketId(self.last_id)
    }

    /// Registers a socket, edge-triggered: its owner reads and writes until the socket would block.
    ///
    /// # Errors
    ///
    /// Where the system refuses to watch the socket.
    pub fn register<S: AsFd + 'static>(
        &mut self,
        socket: Rc<S>,
        priority: Priority,
    ) -> io::Result<(SocketId, RegistrationToken)> {
        let id = self.next_id();
        let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let on_ready = move |_, _: &mut _, ready: &mut Ready| {
            ready.sockets.push((priority, id));
            Ok(PostAction::Continue)
        };
        let token = self
            .handle
            .insert_source(source, on_ready)
            .map_err(|e| io::Error::from(e.error))?;
        Ok((id, token))
    }

    /// Opens a message queue of `capacity` places; a waiting message makes its id ready as data does a socket.
    ///
    /// # Errors
    ///
    /// Where the system refuses the queue's wake-up descriptor.
    pub fn inbox<T: 'static>(
        &mut self,
        capacity: usize,
        priority: Priority,
    ) -> io::Result<(Inbox<T>, InboxSender<T>)> {
        let id = self.next_id();
        let waiting = Rc::new(RefCell::new(VecDeque::new()));
        let (sender, source) = sync_channel(capacity);
        let received = waiting.clone();
        let on_message = move |event, _: &mut _, ready: &mut Ready| {
            // Reported once, however many messages wait.
            if let Event::Msg(message) = event {
                let mut waiting = received.borrow_mut();
                if waiting.is_empty() {
                    ready.sockets.push((priority, id));
                }
                waiting.push_back(message);
            }
        };
        self.handle
            .insert_source(source, on_message)
            .map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok((Inbox { id, waiting }, sender))
    }

    /// Stops watching a socket.
    pub fn deregister(&self, token: RegistrationToken) {
        self.handle.remove(token);
    }

    /// Sleeps until a socket is ready or `seconds` are over; returns the ready sockets, in the order of their
    /// priorities, and the signals received.
    ///
    /// # Errors
    ///
    /// Where the system's poll fails.
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
