//! The real router. Layers, each knowing only those before it: limits, transport, protocol, routing, fronts
//! (threads beside the loop), program.

pub mod fronts;
pub mod limits;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod transport;
