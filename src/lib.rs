//! kestreltide: routers that split invocations between an earlier and a trial build.
//!
//! [`interface`] has the plain types, [`decisions`] every decision, [`operator_weights`] what weights come to, `router_state` what a router
//! keeps between events, `host_index` and `rendezvous` what makes the cost of a request independent of the hosts listed.

mod candidates;
pub mod decisions;
mod host_index;
pub mod interface;
pub mod operator_weights;
mod rendezvous;
mod router_state;
