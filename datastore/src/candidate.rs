//! The revision in force, and candidates that are made from it.

use std::sync::Arc;

use kestreltide::interface::Revision;

use crate::merge::FirstListed;
use crate::tree::Tree;

/// The revision that is in force: the one that was committed last.
#[derive(Debug, Default)]
pub struct InForce {
    /// The number of the revision; 0 before the first commit.
    pub revision: Revision,
    /// The configuration of the revision.
    pub tree: Arc<Tree>,
    pub(crate) first_listed: Arc<FirstListed>,
}

impl InForce {
    /// Returns when each host without a known start was first listed.
    pub fn first_listed(&self) -> &FirstListed {
        &self.first_listed
    }
}

/// A tree that is proposed for a commit, and the revision that it was made from.
#[derive(Clone, Debug)]
pub struct Candidate {
    base: Arc<InForce>,
    /// The proposed tree.
    pub tree: Tree,
}

impl Candidate {
    /// Creates a candidate that changes nothing yet.
    pub fn new(base: &Arc<InForce>) -> Self {
        Candidate {
            base: base.clone(),
            tree: (*base.tree).clone(),
        }
    }

    /// Returns whether the proposed tree equals the tree that it was made from.
    pub fn is_unchanged(&self) -> bool {
        *self.base.tree == self.tree
    }

    /// Returns the tree that the candidate was made from.
    pub fn base_tree(&self) -> &Tree {
        &self.base.tree
    }

    /// Returns the revision that the candidate was made from.
    pub fn base_revision(&self) -> Revision {
        self.base.revision
    }
}
