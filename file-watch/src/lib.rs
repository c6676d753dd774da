//! Watches files that operators edit by hand, and emits complete versions only.
//!
//! [`ini`] parses INI with line numbers, [`parse`] parses the watched files, and [`debounce`] decides when content that
//! was read is emitted; these three perform no I/O. [`read_file`] reads files safely whatever their type and size,
//! [`notifier`] receives change notifications of the operating system, and [`watch`] combines them in a thread.

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
