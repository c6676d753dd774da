//! What the router observes and operators do not set.

use std::sync::Arc;

use kestreltide::interface::RolloutStatus;

use crate::host_record::HostRecord;

/// What the router knows at the time of a check.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Unix seconds.
    pub now: f64,
    /// The endpoint list of discovery; `None` where no discovery is configured.
    pub discovery: Option<Arc<[HostRecord]>>,
    /// Whether discovery has sent its list, or is not configured.
    pub discovery_received: bool,
    /// The platform's last rollout status.
    pub rollout: Option<RolloutStatus>,
}
