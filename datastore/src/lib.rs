//! The datastore of what operators configure on a running router: one typed tree that only commits change.
//!
//! A candidate is checked in its entirety against the service's settings and rules. It is committed as a revision, or
//! rejected with all of its errors. Watched files, management protocols and the command line all submit candidates.
//!
//! Performs no I/O: the time, what the router observes of hosts and builds, and the requester are arguments.

#![deny(missing_docs, unreachable_pub)]
#![deny(
    clippy::cognitive_complexity,
    clippy::expect_used,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod access;
mod candidate;
mod check;
pub mod commit_coordinator;
mod facts;
mod history;
mod host_record;
mod locks;
pub mod merge;
pub mod operational_state;
mod revision;
mod route_table;
mod settings;
pub mod snapshot;
pub mod store;
pub mod tree;
pub mod tree_builder;
pub mod validation;

pub use access::{Credential, Key, Keys, Rights, RightsError};
pub use candidate::{Candidate, InForce};
pub use check::{DrainedHosts, exceeded_maximums};
pub use facts::Facts;
pub use history::HistoryLimits;
pub use host_record::HostRecord;
pub use merge::FirstListed;
pub use revision::{Author, RejectedCommit, RevisionRecord, Source};
pub use settings::{Maximums, MemorySettings, RuleSettings};
pub use snapshot::Snapshot;
pub use store::{CommitOutcome, Datastore, DatastoreState};
pub use tree::{
    AdminState, Container, Difference, Guards, HostConfig, HostName, Leaf, NameError, Path,
    RolloutConfig, RouteConfig, RouteName, Tree, Value, ValueError,
};
pub use tree_builder::TreeBuilder;
pub use validation::{Rule, ValidationError, ValidationErrors};
