//! Parsing and writing of messages, without any I/O. A parsed message borrows from the buffer that it was read from.

#![deny(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod client;
pub mod discovery;
pub mod host;
pub mod platform;
pub mod resp;

use thiserror::Error;

/// Why bytes are not a valid message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct Malformed(String);

impl Malformed {
    /// An error with this text.
    pub fn new(problem: impl Into<String>) -> Self {
        Malformed(problem.into())
    }
}

/// A message and its length in bytes; `None` if its end has not been received yet.
pub type ParseResult<T> = Result<Option<(T, usize)>, Malformed>;
