//! NETCONF (RFC 6241) over SSH (RFC 6242). `framing` and `session` do no I/O: they decode messages and decide what each
//! leads to. `server`, `ssh_connection` and `session_task` carry them.

pub mod framing;
pub mod server;
pub mod session;
mod session_task;
mod ssh_connection;
