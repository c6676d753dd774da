//! Names of hosts and routes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Characters of a name, of a host, a zone or a kind.
pub(super) const NAME_MOST: usize = 128;

pub(super) fn name(text: &str) -> Result<Arc<str>, String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "._:-".contains(c);
    match text {
        "" => Err("is empty".into()),
        _ if text.len() > NAME_MOST => Err(format!("is longer than {NAME_MOST} characters")),
        _ if !text.chars().all(plain) => {
            Err("has characters other than letters, digits and . _ : -".into())
        }
        _ => Ok(text.into()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            pub fn as_str(&self) -> &str {
                &self.0
            }

            pub fn shared(&self) -> Arc<str> {
                self.0.clone()
            }
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                name(text).map($name)
            }
        }

        impl TryFrom<String> for $name {
            type Error = String;

            fn try_from(text: String) -> Result<Self, String> {
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
