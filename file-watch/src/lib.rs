//! Files that operators edit by hand, taken in whole versions or not at all.
//!
//! `ini` reads INI with places, `form` what the files say, `settle` decides when what was read is a version
//! (both without I/O); `read` reads files that may be anything, `notices` hears of changes, and `watch` joins
//! them in a thread of its own.

pub mod form;
pub mod ini;
pub mod notices;
pub mod read;
pub mod settle;
pub mod watch;

pub use form::{Kind, Spoken, Version, keys, version};
pub use read::{Content, Unread};
pub use settle::{Patience, Settle, Step};
pub use watch::{Told, Watched, look, run, spoken};
