//! The router that runs in production. It has these layers, each of which uses only those before it: `limits`,
//! `transport`, `protocol`, `routing`, `management_threads` (the threads beside the event loop) and `program`.

pub mod limits;
pub mod management_threads;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
