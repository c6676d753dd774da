//! kestreltide: the decisions of routers that split requests between a baseline and a canary build.
//!
//! [`interface`] has the plain types, [`decisions`] every decision, [`operator_weights`] what operators' weights come
//! to. `host_index`, `rendezvous` and `candidates` make the cost of a request independent of the number of hosts.

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
