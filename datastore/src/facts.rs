//! What the router observes, as opposed to what operators configure.

use std::sync::Arc;

use kestreltide::interface::RolloutStatus;

use crate::host_record::HostRecord;

/// The observations of the router that a check depends on.
///
/// With discovery configured, its list is empty and `discovery_received` is false until the first list arrives.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// The time of the check, in Unix seconds.
    pub now: f64,
    /// The endpoint list of discovery; `None` if no discovery is configured.
    pub discovery: Option<Arc<[HostRecord]>>,
    /// Whether discovery has sent its list, or is not configured.
    pub discovery_received: bool,
    /// The latest rollout status of the platform.
    pub rollout: Option<RolloutStatus>,
}
