//! Files that operators edit by hand, read as complete versions or not at all.
//!
//! [`ini`] reads INI with line numbers, [`parse`] what the files give, and [`debounce`] decides when what was read is a
//! version, all three without I/O. [`read_file`] reads files that may be anything, [`notifier`] is notified of changes,
//! and [`watch`] joins them in a thread of its own.

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

pub mod debounce;
pub mod ini;
pub mod notifier;
pub mod parse;
pub mod read_file;
pub mod watch;

pub use debounce::{DebounceAction, DebounceSettings, Debouncer};
pub use parse::{FileKind, Parsed, Version, parse_keys, parse_version};
pub use read_file::{Content, ReadError};
pub use watch::{
    WakeChannel, WatchEvent, WatchSettings, parse_files, read_and_parse_files, wake_channel,
    watch_files,
};
