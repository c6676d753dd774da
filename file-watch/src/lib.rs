//! Files that operators edit by hand, taken in whole versions or not at all.
//!
//! `ini` reads INI with places, `form` what the files say, `debounce` decides when what was read is a version
//! (both without I/O); `read` reads files that may be anything, `notifier` hears of changes, and `watch` joins
//! them in a thread of its own.

pub mod debounce;
pub mod ini;
pub mod notifier;
pub mod parse;
pub mod read_file;
pub mod watch;

pub use debounce::{DebounceAction, DebounceSettings, Debouncer};
pub use parse::{FileKind, Parsed, Version, parse_keys, parse_version};
pub use read_file::{Content, ReadError};
pub use watch::{WatchEvent, WatchSettings, parse_files, poll_files, run};
