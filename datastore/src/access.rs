//! Access control of the management interfaces: named keys, each with the rights that the keys file grants.

use std::fmt;

use thiserror::Error;

use crate::tree::{Difference, Path};
use crate::validation::ValidationError;

/// What the holder of a key may read and change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    /// The configuration and the operational state may be read.
    pub read: bool,
    /// Hosts, weights, administrative states and guards may be changed.
    pub weights: bool,
    /// Routes may be changed.
    pub routes: bool,
    /// The override of a rollout may be changed.
    pub rollout: bool,
}

// The names of the rights in the keys file and in error texts. Both name the right to override a rollout "ring".
const READ: &str = "read";
const WEIGHTS: &str = "weights";
const ROUTES: &str = "routes";
const ROLLOUT: &str = "ring";
/// All these names, for error texts.
const ALL_RIGHTS: &str = "read, weights, routes, ring";

/// Why a text is not a list of rights.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RightsError {
    /// A word is not the name of a right.
    #[error("{0} is none of {ALL_RIGHTS}")]
    Unknown(String),
    /// The text contains no name of a right.
    #[error("names none of {ALL_RIGHTS}")]
    Missing,
}

impl Rights {
    /// Parses names of rights, separated by commas or spaces.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is unknown or if there is none.
    pub fn parse(text: &str) -> Result<Self, RightsError> {
        let mut rights = Rights::default();
        for word in text.split([',', ' ']).filter(|word| !word.is_empty()) {
            match word {
                READ => rights.read = true,
                WEIGHTS => rights.weights = true,
                ROUTES => rights.routes = true,
                ROLLOUT => rights.rollout = true,
                unknown => return Err(RightsError::Unknown(unknown.into())),
            }
        }
        if rights == Rights::default() {
            Err(RightsError::Missing)
        } else {
            Ok(rights)
        }
    }

    /// Returns the name of the right that is required to change a path.
    fn required_right(path: &Path) -> &'static str {
        match path {
            Path::Host(..) | Path::Guards(_) => WEIGHTS,
            Path::Route(..) => ROUTES,
            Path::Rollout(_) => ROLLOUT,
        }
    }

    /// Returns whether these rights allow changing a path.
    fn allows(self, path: &Path) -> bool {
        match path {
            Path::Host(..) | Path::Guards(_) => self.weights,
            Path::Route(..) => self.routes,
            Path::Rollout(_) => self.rollout,
        }
    }

    /// Checks that these rights allow all changes.
    ///
    /// # Errors
    ///
    /// Returns an error for the first change that is not allowed.
    pub fn check(self, changes: &[Difference]) -> Result<(), ValidationError> {
        match changes.iter().find(|change| !self.allows(&change.path)) {
            None => Ok(()),
            Some(change) => Err(ValidationError::new(
                &change.path,
                "is beyond the rights of this key",
                self,
                format!("the right {}", Self::required_right(&change.path)),
            )),
        }
    }
}

impl fmt::Display for Rights {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = [
            (READ, self.read),
            (WEIGHTS, self.weights),
            (ROUTES, self.routes),
            (ROLLOUT, self.rollout),
        ];
        let granted: Vec<&str> = all
            .into_iter()
            .filter_map(|(name, granted)| granted.then_some(name))
            .collect();
        if granted.is_empty() {
            f.write_str("no rights")
        } else {
            f.write_str(&granted.join(", "))
        }
    }
}

/// The credential that authenticates the holder of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Credential {
    /// A public key in OpenSSH format: its type and its base64 text, without the comment.
    Ssh(String),
    /// The SHA-256 hash of a client certificate.
    Certificate([u8; 32]),
}

/// A key that grants access to the management interfaces.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// The name of its holder.
    pub name: String,
    /// The credential that authenticates its holder.
    pub credential: Credential,
    /// What its holder may do.
    pub rights: Rights,
}

/// All keys of one version of the keys file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keys {
    /// The generation that the file names.
    pub generation: String,
    /// The keys, in the order of the file.
    pub keys: Vec<Key>,
}

impl Keys {
    /// Returns the key with this credential.
    pub fn find(&self, credential: &Credential) -> Option<&Key> {
        self.keys.iter().find(|key| key.credential == *credential)
    }

    /// Returns the current rights of a session that was opened with this key; `None` if the key has been removed.
    pub fn rights(&self, name: &str, credential: &Credential) -> Option<Rights> {
        self.find(credential)
            .filter(|key| key.name == name)
            .map(|key| key.rights)
    }
}
