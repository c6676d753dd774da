//! The identifier and the priority of a registered socket.

/// Identifies a registered socket or inbox. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SocketId(pub u64);

/// The order in which ready sockets are handled, lowest value first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority(pub u8);
