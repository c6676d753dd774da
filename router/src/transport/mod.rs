//! Sockets on calloop, without knowledge of what is spoken on them.

mod alarms;
mod clock;
mod datagram;
mod listener;
mod mail;
mod net;
mod pools;
mod stream;

pub use alarms::Alarms;
pub use clock::Clock;
pub use datagram::Datagrams;
pub use listener::Listener;
pub use mail::{Mail, Post};
pub use net::{Net, Rank, SocketId};
pub use pools::Pools;
pub use stream::{Fill, Stream};

/// Whether a call failed for want of descriptors: closing something without use helps then, and only then.
pub fn out_of_descriptors(error: &std::io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}
