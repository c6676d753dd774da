//! NETCONF (RFC 6241) over SSH (RFC 6242): `framing` cuts messages, `session` decides what each leads to, both
//! without I/O; `server` carries them.

pub mod framing;
pub mod server;
pub mod session;
