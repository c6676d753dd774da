//! The real router. Layers, each knowing only those before it: limits, transport, protocol, routing,
//! management_threads (threads beside the event loop), program.

pub mod limits;
pub mod management_threads;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
