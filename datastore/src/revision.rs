//! Revisions and rejected commits as history keeps them, with their authors.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::tree::Difference;
use crate::validation::ValidationErrors;

/// By which way a change came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The watched files.
    Files,
    /// NETCONF or gNMI.
    Management,
    /// A command of the program.
    CommandLine,
    /// A roll-back to the revision with this number.
    RolledBack(u64),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Files => f.write_str("files"),
            Source::Management => f.write_str("management"),
            Source::CommandLine => f.write_str("command line"),
            Source::RolledBack(to) => write!(f, "rolled back to {to}"),
        }
    }
}

/// Who wants a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// By which way it came.
    pub source: Source,
    /// The name that the author gave.
    pub name: String,
    /// How the author numbers this version; empty where it does not.
    pub version: String,
}

impl fmt::Display for Author {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} by {}", self.source, self.name)?;
        if self.version.is_empty() {
            Ok(())
        } else {
            write!(f, ", version {}", self.version)
        }
    }
}

/// One revision as history keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Its number; the first is 1.
    pub number: u64,
    /// The revision that it was made from; smaller than the one before it where others committed meanwhile.
    pub based_on: u64,
    /// When it was committed, in Unix seconds.
    pub at: f64,
    /// Who committed it.
    pub author: Author,
    /// The leaves that it changed.
    pub changes: Arc<[Difference]>,
}

/// A candidate that was rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectedCommit {
    /// When it was rejected last, in Unix seconds.
    pub at: f64,
    /// Who wanted it.
    pub author: Author,
    /// The revision that stayed in force.
    #[serde(rename = "stays")]
    pub revision: u64,
    /// Why it was rejected.
    #[serde(rename = "faults")]
    pub errors: ValidationErrors,
}
