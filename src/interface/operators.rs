//! What operators have set: weights, and what they ask of a canary.

use super::ids::{BuildId, HostId, Revision};

/// What operators ask of a canary. It can only hold it, roll it back or lower its cap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutOverride {
    /// The build that it is about.
    pub build: BuildId,
    /// Do not promote it.
    pub hold: bool,
    /// Roll it back.
    pub roll_back: bool,
    /// The largest share of the requests that it may get.
    pub cap: f64,
}

/// What operators have set, as of one revision. Weights only narrow: they share out what the decisions let a host
/// have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorOverrides {
    /// The revision that committed it.
    pub revision: Revision,
    /// In ascending order of hosts; hosts that are not listed weigh 1.
    pub weights: Box<[(HostId, f64)]>,
    /// What they ask of a canary.
    pub rollout: Option<RolloutOverride>,
}

impl OperatorOverrides {
    /// Returns a lookup of weights, to be called with hosts in ascending order.
    pub fn weights_in_order(&self) -> impl FnMut(HostId) -> f64 {
        let mut left = &self.weights[..];
        move |host| {
            while let [(first, _), rest @ ..] = left
                && *first < host
            {
                left = rest;
            }
            left.first()
                .filter(|(first, _)| *first == host)
                .map_or(1.0, |(_, weight)| *weight)
        }
    }
}
