//! What is in force, and candidates made from it.

use std::sync::Arc;

use kestreltide::interface::Revision;

use crate::merge::FirstListed;
use crate::tree::Tree;

/// The revision that is in force.
#[derive(Debug, Default)]
pub struct InForce {
    /// Its number; 0 before the first commit.
    pub revision: Revision,
    /// Its tree.
    pub tree: Arc<Tree>,
    pub(crate) first_listed: Arc<FirstListed>,
}

impl InForce {
    /// When hosts were first listed of which no start is known.
    pub fn first_listed(&self) -> &FirstListed {
        &self.first_listed
    }
}

/// A tree to be committed, and the revision that it was made from.
#[derive(Clone, Debug)]
pub struct Candidate {
    base: Arc<InForce>,
    /// The tree as it is to be.
    pub tree: Tree,
}

impl Candidate {
    /// A candidate that changes nothing yet.
    pub fn new(base: &Arc<InForce>) -> Self {
        Candidate {
            base: base.clone(),
            tree: (*base.tree).clone(),
        }
    }

    /// Whether the tree is still the one that it was made from.
    pub fn is_unchanged(&self) -> bool {
        *self.base.tree == self.tree
    }

    /// The tree that it was made from.
    pub fn base_tree(&self) -> &Tree {
        &self.base.tree
    }

    /// The revision that it was made from.
    pub fn base_revision(&self) -> Revision {
        self.base.revision
    }
}
