//! kestreltide: routers that split invocations between an earlier and a trial build.
//!
//! [`interface`] has the plain types, [`choice`] every decision, [`narrow`] what weights come to, `record` what a router
//! keeps between events, `host_index` and `rankings` what makes the cost of a request independent of the hosts listed.

mod candidates;
pub mod choice;
mod host_index;
pub mod interface;
pub mod narrow;
mod rankings;
mod record;
