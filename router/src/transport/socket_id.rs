//! What the event loop knows a socket by.

/// Identifies a registered socket or inbox; an identifier is never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// The order in which ready sockets are served; lower values come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(pub u8);
