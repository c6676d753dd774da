//! kestreltide: routers that split invocations between an earlier and a trial build.
//!
//! [`interface`] has the plain types, [`choice`] every decision, [`narrow`] what weights come to, `record` what a router keeps between events.

pub mod choice;
pub mod interface;
pub mod narrow;
mod record;
