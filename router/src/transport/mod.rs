//! Non-blocking sockets on one calloop event loop, independent of the protocols that use them.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod buffer;
mod clock;
mod datagram_socket;
mod idle_connections;
mod inbox;
mod listener;
mod memory_ledger;
mod process_memory;
mod reactor;
mod socket_id;
mod stream;
mod timers;

pub use buffer::{Buffer, CHUNK_BYTES};
pub use clock::Clock;
pub use datagram_socket::DatagramSocket;
pub use idle_connections::IdleConnections;
pub use inbox::{Inbox, InboxSender};
pub use listener::Listener;
pub use memory_ledger::{BufferLimits, BufferOwner, MemoryLedger};
pub use process_memory::ProcessMemory;
pub use reactor::{Reactor, ReceivedSignals};
pub use socket_id::{Priority, SocketId};
pub use stream::{ReadStatus, Stream, StreamRole};
pub use timers::{TimerId, Timers};

/// Whether a call failed because the process or the system has no file descriptor left.
///
/// Only then does it help to close an idle connection and retry.
pub fn out_of_descriptors(error: &std::io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
