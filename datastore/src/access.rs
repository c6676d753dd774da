//! Who may do what: keys by name, each with the rights that a file of keys gives it.

use std::fmt;

use crate::tree::{Difference, Path};
use crate::validation::ValidationError;

/// What somebody may read and change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    pub read: bool,
    /// Hosts, weights, administrative states and guards.
    pub weights: bool,
    pub routes: bool,
    pub ring: bool,
}

const RIGHTS: [&str; 4] = ["read", "weights", "routes", "ring"];

impl Rights {
    /// Reads names of rights, separated by commas or spaces.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut rights = Rights::default();
        for word in text.split([',', ' ']).filter(|word| !word.is_empty()) {
            match word {
                "read" => rights.read = true,
                "weights" => rights.weights = true,
                "routes" => rights.routes = true,
                "ring" => rights.ring = true,
                other => return Err(format!("{other} is none of {}", RIGHTS.join(", "))),
            }
        }
        if rights == Rights::default() {
            Err(format!("names none of {}", RIGHTS.join(", ")))
        } else {
            Ok(rights)
        }
    }

    fn covers(self, path: &Path) -> (bool, &'static str) {
        match path {
            Path::Host(..) | Path::Guards(_) => (self.weights, "weights"),
            Path::Route(..) => (self.routes, "routes"),
            Path::Rollout(_) => (self.ring, "ring"),
        }
    }

    /// The first change that is beyond these rights.
    pub fn check(self, changes: &[Difference]) -> Result<(), ValidationError> {
        let beyond = changes.iter().find(|change| !self.covers(&change.path).0);
        beyond.map_or(Ok(()), |change| {
            let needed = self.covers(&change.path).1;
            Err(ValidationError::new(
                &change.path,
                "is beyond the rights of this key",
                self,
                format!("the right {needed}"),
            ))
        })
    }
}

impl fmt::Display for Rights {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = [self.read, self.weights, self.routes, self.ring];
        let names: Vec<_> = RIGHTS
            .iter()
            .zip(held)
            .filter(|(_, held)| *held)
            .map(|(name, _)| *name)
            .collect();
        f.write_str(if names.is_empty() { "no rights" } else { "" })?;
        f.write_str(&names.join(", "))
    }
}

/// By what somebody is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proof {
    /// A public key as OpenSSH writes it: its kind and its text, without a comment.
    Ssh(String),
    /// The SHA-256 of a client's certificate.
    Certificate([u8; 32]),
}

/// Somebody who may come in.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    pub name: String,
    pub proof: Proof,
    pub rights: Rights,
}

/// All who may come in, as one version of the file of keys says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keys {
    pub generation: String,
    pub keys: Vec<Key>,
}

impl Keys {
    pub fn find(&self, proof: &Proof) -> Option<&Key> {
        self.keys.iter().find(|key| key.proof == *proof)
    }

    /// What a session may do now that came in by this key; none where the key is no longer there.
    pub fn rights(&self, name: &str, proof: &Proof) -> Option<Rights> {
        self.find(proof)
            .filter(|key| key.name == name)
            .map(|key| key.rights)
    }
}
