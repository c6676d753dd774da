//! What operators set at run time: weights of hosts, and restrictions of a canary's rollout.

use super::ids::{BuildId, HostId, Revision};

/// What operators demand of a canary. They can hold it, roll it back or lower its cap, but never promote it or raise
/// its cap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutOverride {
    /// The canary build.
    pub build: BuildId,
    /// Whether the canary must not be promoted.
    pub hold: bool,
    /// Whether the canary must be rolled back.
    pub roll_back: bool,
    /// The largest share of the requests that the canary may get.
    pub cap: f64,
}

/// The operators' settings as of one revision. Weights divide traffic among the hosts that the decisions allow; they
/// never raise a limit that the decisions keep.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorOverrides {
    /// The revision that committed the settings.
    pub revision: Revision,
    /// The weights of hosts, in ascending order of host ids. A host that is not listed has the weight 1.
    pub weights: Box<[(HostId, f64)]>,
    /// What operators demand of a canary, if anything.
    pub rollout: Option<RolloutOverride>,
}

impl OperatorOverrides {
    /// Returns a function that looks up a host's weight. It must be called with hosts in ascending order of their ids.
    pub fn weights_in_order(&self) -> impl FnMut(HostId) -> f64 {
        let mut remaining = &self.weights[..];
        move |host| {
            while let [(first, _), rest @ ..] = remaining
                && *first < host
            {
                remaining = rest;
            }
            remaining
                .first()
                .filter(|(first, _)| *first == host)
                .map_or(1.0, |(_, weight)| *weight)
        }
    }
}
