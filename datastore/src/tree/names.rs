//! Names of hosts and routes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Characters of a name of a host, a route, a zone or a kind, at most.
pub(super) const MAX_NAME_LENGTH: usize = 128;

/// Why a text is no name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// It has no characters.
    #[error("is empty")]
    Empty,
    /// It is too long.
    #[error("is longer than {MAX_NAME_LENGTH} characters")]
    TooLong,
    /// It has characters that names do not have.
    #[error("has characters other than letters, digits and . _ : -")]
    InvalidCharacter,
}

/// Reads a name of letters, digits and `. _ : -`.
pub(super) fn parse_name(text: &str) -> Result<Arc<str>, NameError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    if text.is_empty() {
        Err(NameError::Empty)
    } else if text.len() > MAX_NAME_LENGTH {
        Err(NameError::TooLong)
    } else if !text.chars().all(is_allowed) {
        Err(NameError::InvalidCharacter)
    } else {
        Ok(text.into())
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// The name as text that is shared, not copied.
            pub fn shared(&self) -> Arc<str> {
                self.0.clone()
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                parse_name(text).map($name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().into()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A host's name, the same as discovery's id where both list it.
    HostName
);
name_type!(
    /// A route's name.
    RouteName
);
