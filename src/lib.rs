//! kestreltide: routers that split invocations between an earlier and a trial build.
//!
//! [`interface`] has the plain types, [`choice`] every decision.

pub mod choice;
pub mod interface;
