//! The records of revisions and rejected commits that history keeps, with their authors.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::tree::Difference;
use crate::validation::ValidationErrors;

/// The interface through which a change was requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The watched files.
    Files,
    /// NETCONF or gNMI.
    Management,
    /// A command of the program.
    CommandLine,
    /// A rollback to the revision with this number.
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

/// The author of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The interface through which the change was requested.
    pub source: Source,
    /// The author's name.
    pub name: String,
    /// The author's own version of the change, such as a generation; empty if there is none.
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

/// The record of a revision in history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// The number of the revision; the first is 1.
    pub number: u64,
    /// The revision that the candidate was made from. It is not the preceding revision if others committed meanwhile.
    pub based_on: u64,
    /// When the revision was committed, in Unix seconds.
    pub at: f64,
    /// The author of the commit.
    pub author: Author,
    /// The leaves that the revision changed.
    pub changes: Arc<[Difference]>,
}

/// The record of a rejected commit in history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RejectedCommit {
    /// When the commit was rejected last, in Unix seconds.
    pub at: f64,
    /// The author of the commit.
    pub author: Author,
    /// The revision that stayed in force.
    #[serde(rename = "stays")]
    pub revision: u64,
    /// Why the commit was rejected.
    #[serde(rename = "faults")]
    pub errors: ValidationErrors,
}
