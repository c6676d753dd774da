//! NETCONF (RFC 6241) over SSH (RFC 6242). `framing` and `session` do no I/O: they decode messages and turn each into a
//! reply or an operation. `server`, `ssh_connection` and `session_task` do the I/O.

pub mod framing;
pub mod server;
pub mod session;
mod session_task;
mod ssh_connection;
