//! Names of hosts and routes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a name or a key prefix, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The text is empty.
    #[error("is empty")]
    Empty,
    /// The text is too long.
    #[error("is longer than {MAX_NAME_BYTES} characters")]
    TooLong,
    /// The text has characters that are not allowed in names.
    #[error("has characters other than letters, digits and . _ : -")]
    InvalidCharacter,
}

/// Parses a name of ASCII letters, digits and `. _ : -`.
pub(super) fn parse_name(text: &str) -> Result<Arc<str>, NameError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    if text.is_empty() {
        Err(NameError::Empty)
    } else if text.len() > MAX_NAME_BYTES {
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
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the name as shared text, without copying it.
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
    /// The name of a host. If discovery lists the host too, it is the same as the id there.
    HostName
);
name_type!(
    /// The name of a route.
    RouteName
);
