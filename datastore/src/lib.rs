//! What operators set of a running router, as one typed tree with one way in: a candidate is checked whole
//! against the terms and the rules and committed whole as a revision, or refused whole with every fault that
//! it has. Files, and later management protocols and the command line, are only ways to bring a candidate.
//!
//! Free of I/O: time, what the router knows of hosts and builds, and who asks are handed in.

pub mod access;
pub mod check;
pub mod commit_coordinator;
pub mod merge;
pub mod snapshot;
pub mod store;
pub mod tree;
pub mod tree_builder;
pub mod validation;
pub mod view;

pub use access::{Key, Keys, Proof, Rights};
pub use check::{Facts, Maximums, MemorySettings, RuleSettings, exceeded_maximums};
pub use merge::HostRecord;
pub use snapshot::Snapshot;
pub use store::{
    Author, Candidate, Change, Datastore, DatastoreState, HistoryLimits, RevisionRecord, Source,
};
pub use tree::{
    AdminState, Container, Guards, HostConfig, HostName, Leaf, Path, RolloutConfig, RouteConfig,
    RouteName, Tree, Value,
};
pub use tree_builder::TreeBuilder;
pub use validation::{Rule, ValidationError, ValidationErrors};
