//! Who may do what: keys by name, each with the rights that the file of keys grants.

use std::fmt;

use thiserror::Error;

use crate::tree::{Difference, Path};
use crate::validation::ValidationError;

/// What the holder of a key may read and change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    /// Everything may be read.
    pub read: bool,
    /// Hosts, weights, administrative states and guards may be changed.
    pub weights: bool,
    /// Routes may be changed.
    pub routes: bool,
    /// The override of a rollout may be changed.
    pub rollout: bool,
}

const READ: &str = "read";
const WEIGHTS: &str = "weights";
const ROUTES: &str = "routes";
const ROLLOUT: &str = "ring";
/// The names of all rights, as shown.
const ALL_RIGHTS: &str = "read, weights, routes, ring";

/// Why a text grants no rights.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RightsError {
    /// A word is no right's name.
    #[error("{0} is none of {ALL_RIGHTS}")]
    Unknown(String),
    /// There is no right's name.
    #[error("names none of {ALL_RIGHTS}")]
    Missing,
}

impl Rights {
    /// Reads names of rights, separated by commas or spaces.
    ///
    /// # Errors
    ///
    /// A name is not known, or there is none.
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

    /// The right by which a path may be changed.
    fn needed_for(path: &Path) -> &'static str {
        match path {
            Path::Host(..) | Path::Guards(_) => WEIGHTS,
            Path::Route(..) => ROUTES,
            Path::Rollout(_) => ROLLOUT,
        }
    }

    fn covers(self, path: &Path) -> bool {
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
    /// The first change that is not allowed.
    pub fn check(self, changes: &[Difference]) -> Result<(), ValidationError> {
        match changes.iter().find(|change| !self.covers(&change.path)) {
            None => Ok(()),
            Some(change) => Err(ValidationError::new(
                &change.path,
                "is beyond the rights of this key",
                self,
                format!("the right {}", Self::needed_for(&change.path)),
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

/// By what the holder of a key is recognized.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Credential {
    /// A public key as OpenSSH writes it: its type and its text, without a comment.
    Ssh(String),
    /// The SHA-256 of a client's certificate.
    Certificate([u8; 32]),
}

/// A key that grants access.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// The name of its holder.
    pub name: String,
    /// By what its holder is recognized.
    pub credential: Credential,
    /// What its holder may do.
    pub rights: Rights,
}

/// All keys of one version of the file of keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keys {
    /// The name of the version.
    pub generation: String,
    /// The keys, in the order of the file.
    pub keys: Vec<Key>,
}

impl Keys {
    /// The key with this credential.
    pub fn find(&self, credential: &Credential) -> Option<&Key> {
        self.keys.iter().find(|key| key.credential == *credential)
    }

    /// What a session may do now that was opened with this key; `None` where the key is no longer there.
    pub fn rights(&self, name: &str, credential: &Credential) -> Option<Rights> {
        self.find(credential)
            .filter(|key| key.name == name)
            .map(|key| key.rights)
    }
}
