//! kestreltide: routers that split invocations between an earlier and a trial build.
//!
//! [`interface`] has the plain types, [`decisions`] every decision, [`operator_weights`] what weights come to, `record` what a router
//! keeps between events, `host_index` and `rankings` what makes the cost of a request independent of the hosts listed.

mod candidates;
pub mod decisions;
mod host_index;
pub mod interface;
pub mod operator_weights;
mod rankings;
mod record;
