//! The calloop loop, and which sockets of it are ready. The loop only notes readiness; what is ready is then
//! served in the order of ranks, so that news always comes before what depends on it.

use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// Lower ranks are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u8);

#[derive(Default)]
pub struct Ready {
    sockets: Vec<(Rank, SocketId)>,
    stop: bool,
}

pub struct Net {
    events: EventLoop<'static, Ready>,
    handle: LoopHandle<'static, Ready>,
    ready: Ready,
    next: u64,
}

impl Net {
    /// Also takes over SIGTERM and SIGINT: to be called before any thread starts.
    pub fn start() -> io::Result<Self> {
        let events: EventLoop<'static, Ready> = EventLoop::try_new().map_err(io::Error::other)?;
        let handle = events.handle();
        let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT]).map_err(io::Error::other)?;
        let note = |_, _: &mut _, ready: &mut Ready| ready.stop = true;
        handle.insert_source(signals, note).map_err(|e| io::Error::from(e.error))?;
        Ok(Net { events, handle, ready: Ready::default(), next: 0 })
    }

    /// Watches a socket by its edges: whoever owns it reads and writes until it would block.
    pub fn watch<S: AsFd + 'static>(
        &mut self, socket: Rc<S>, rank: Rank,
    ) -> io::Result<(SocketId, RegistrationToken)> {
        self.next += 1;
        let id = SocketId(self.next);
        let source = Generic::new(socket, Interest::BOTH, Mode::Edge);
        let note = move |_, _: &mut _, ready: &mut Ready| {
            ready.sockets.push((rank, id));
            Ok(PostAction::Continue)
        };
        let token = self.handle.insert_source(source, note).map_err(|e| io::Error::from(e.error))?;
        Ok((id, token))
    }

    pub fn forget(&self, token: RegistrationToken) {
        self.handle.remove(token);
    }

    /// Sleeps until a socket is ready or so many seconds are over; the ready ones, in the order of ranks,
    /// and whether the program was told to stop.
    pub fn wait(&mut self, seconds: f64) -> io::Result<(Vec<SocketId>, bool)> {
        let most = Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::ZERO);
        self.events.dispatch(Some(most), &mut self.ready).map_err(io::Error::other)?;
        self.ready.sockets.sort_by_key(|(rank, _)| *rank);
        let sockets = self.ready.sockets.drain(..).map(|(_, id)| id).collect();
        Ok((sockets, std::mem::take(&mut self.ready.stop)))
    }
}
