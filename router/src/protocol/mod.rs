//! Bytes to messages and back, without any input or output. A message is made of slices of the buffer that it
//! was read from.

pub mod client;
pub mod discovery;
pub mod host;
pub mod platform;
pub mod resp;

use std::fmt;

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl Malformed {
    pub fn new(why: impl Into<String>) -> Self {
        Malformed(why.into())
    }
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A message and how many bytes it took; None where its end has not come yet.
pub type Read<T> = Result<Option<(T, usize)>, Malformed>;
