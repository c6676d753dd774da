//! The calloop loop, and which sockets of it are ready. The loop only notes readiness; what is ready is then
//! served in the order of ranks, so that news always comes before what depends on it.

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

use super::mail::{Mail, Post};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// Lower ranks are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u8);

#[derive(Default)]
pub struct Ready {
    sockets: Vec<(Rank, SocketId)>,
    signals: Signalled,
}

/// What the program was told by signals since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub struct Signalled {
    pub stop: bool,
    pub reread: bool,
}

pub struct Net {
    events: EventLoop<'static, Ready>,
    handle: LoopHandle<'static, Ready>,
    ready: Ready,
    next: u64,
}

impl Net {
    /// Also takes over SIGTERM, SIGINT and SIGHUP: to be called before all else that takes time, as a SIGHUP
    /// that is not taken over ends the program, and before any thread starts.
    pub fn start() -> io::Result<Self> {
        let events: EventLoop<'static, Ready> = EventLoop::try_new().map_err(io::Error::other)?;
        let handle = events.handle();
        let taken = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP];
        let signals = Signals::new(&taken).map_err(io::Error::other)?;
        let note =
            |event: calloop::signals::Event, _: &mut _, ready: &mut Ready| match event.signal() {
                Signal::SIGHUP => ready.signals.reread = true,
                _ => ready.signals.stop = true,
            };
        handle
            .insert_source(signals, note)
            .map_err(|e| io::Error::from(e.error))?;
        Ok(Net {
            events,
            handle,
            ready: Ready::default(),
            next: 0,
        })
    }

    /// Watches a socket by its edges: whoever owns it reads and writes until it would block.
    pub fn watch<S: AsFd + 'static>(
        &mut self,
        socket: Rc<S>,
        rank: Rank,
    ) -> io::Result<(SocketId, RegistrationToken)> {
        self.next += 1;
        let id = SocketId(self.next);
        let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let note = move |_, _: &mut _, ready: &mut Ready| {
            ready.sockets.push((rank, id));
            Ok(PostAction::Continue)
        };
        let token = self
            .handle
            .insert_source(source, note)
            .map_err(|e| io::Error::from(e.error))?;
        Ok((id, token))
    }

    /// A box of so many places that other threads post to; what lies in it makes its owner ready as a socket does.
    pub fn mail<T: 'static>(&mut self, most: usize, rank: Rank) -> io::Result<(Mail<T>, Post<T>)> {
        self.next += 1;
        let (id, waiting) = (SocketId(self.next), Rc::new(RefCell::new(VecDeque::new())));
        let (post, source) = sync_channel(most);
        let into = waiting.clone();
        let note = move |event, _: &mut _, ready: &mut Ready| {
            // One entry a wake, however much lies there.
            if let Event::Msg(posted) = event {
                let mut waiting = into.borrow_mut();
                if waiting.is_empty() {
                    ready.sockets.push((rank, id));
                }
                waiting.push_back(posted);
            }
        };
        self.handle
            .insert_source(source, note)
            .map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok((Mail { id, waiting }, post))
    }

    pub fn forget(&self, token: RegistrationToken) {
        self.handle.remove(token);
    }

    /// Sleeps until a socket is ready or so many seconds are over; the ready ones, in the order of ranks,
    /// and what signals told.
    pub fn wait(&mut self, seconds: f64) -> io::Result<(Vec<SocketId>, Signalled)> {
        let most = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::ZERO);
        self.events
            .dispatch(Some(most), &mut self.ready)
            .map_err(io::Error::other)?;
        self.ready.sockets.sort_by_key(|(rank, _)| *rank);
        let sockets = self.ready.sockets.drain(..).map(|(_, id)| id).collect();
        Ok((sockets, std::mem::take(&mut self.ready.signals)))
    }
}
