//! kestreltide: the decisions of routers that split requests between a baseline and a canary build.
//!
//! [`interface`] contains the types of events, effects and settings, [`decisions`] all decisions of a router, and
//! [`operator_weights`] the effect of operators' weights. `host_index`, `rendezvous` and `candidates` make the cost of
//! a request independent of the number of hosts.

#![deny(missing_docs, unreachable_pub)]
#![deny(
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

mod arm;
mod candidates;
pub mod decisions;
mod hashing;
mod host_group;
mod host_index;
pub mod interface;
pub mod operator_weights;
mod rendezvous;
