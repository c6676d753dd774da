//! Connections whose input waits until the memory budget has room for it.

use super::{Routing, TimerEvent};
use crate::transport::SocketId;

/// The connections that wait, in the order in which they began to.
#[derive(Default)]
pub(super) struct MemoryWaits {
    clients: Vec<SocketId>,
    upstreams: Vec<SocketId>,
    /// Whether a [`TimerEvent::RetryReads`] timer is pending.
    is_retry_scheduled: bool,
}

fn push_once(ids: &mut Vec<SocketId>, id: SocketId) {
    if !ids.contains(&id) {
        ids.push(id);
    }
}

impl Routing {
    /// Has a client's input wait for memory, and rejects commands that have held memory for too long.
    pub(super) fn await_client_memory(&mut self, id: SocketId) {
        self.reject_slow_commands();
        push_once(&mut self.memory_waits.clients, id);
        self.schedule_retry();
    }

    /// Has the input of a connection to a host wait for memory.
    pub(super) fn await_upstream_memory(&mut self, id: SocketId) {
        push_once(&mut self.memory_waits.upstreams, id);
        self.schedule_retry();
    }

    /// Reads the waiting connections again if memory was released since the last call.
    pub(super) fn retry_reads_after_release(&mut self) {
        if self.event_loop.memory().take_released() {
            self.retry_reads();
        }
    }

    /// Handles the timer that has the waiting connections read again.
    pub(super) fn on_retry_reads_timer(&mut self) {
        self.memory_waits.is_retry_scheduled = false;
        self.retry_reads();
    }

    /// Reads the waiting connections again, hosts first: what they send has been run already.
    fn retry_reads(&mut self) {
        for id in std::mem::take(&mut self.memory_waits.upstreams) {
            self.on_upstream_readable(id);
            self.process_pending();
        }
        for id in std::mem::take(&mut self.memory_waits.clients) {
            self.read_client(id);
            self.process_pending();
        }
    }

    /// Rejects the long commands that have not become complete within `slow_command_age`.
    fn reject_slow_commands(&mut self) {
        let limits = &self.event_loop.limits.clients;
        let began_before = self.event_loop.now() - limits.slow_command_age;
        let slow: Vec<_> = self
            .clients
            .iter()
            .filter(|(_, client)| {
                client
                    .long_command_since()
                    .is_some_and(|began_at| began_at < began_before)
            })
            .map(|(id, _)| *id)
            .collect();
        for id in slow {
            self.reject_incomplete_command(id);
        }
    }

    fn schedule_retry(&mut self) {
        if !self.memory_waits.is_retry_scheduled {
            self.memory_waits.is_retry_scheduled = true;
            let retry_at = self.event_loop.now() + self.event_loop.limits.event_loop.memory_retry;
            self.event_loop.schedule(retry_at, TimerEvent::RetryReads);
        }
    }
}
