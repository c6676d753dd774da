//! kestreltide: routers that split invocations between an earlier and a trial build.
//!
//! [`interface`] has the plain types, [`choice`] every decision, `record` what a router keeps between events.

pub mod choice;
pub mod interface;
mod record;
