//! The two arms that a router compares during a rollout: the baseline and the canary.
//!
//! The term is that of multi-armed bandits: each attempt goes to a host of one arm.

use std::ops::{Index, IndexMut};

/// One of the two arms of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Arm {
    /// All builds before the canary.
    Baseline,
    /// The newest build.
    Canary,
}

impl Arm {
    /// Both arms, the baseline first.
    pub(crate) const BOTH: [Arm; 2] = [Arm::Baseline, Arm::Canary];

    /// Returns the canary's arm if the condition holds, otherwise the baseline's.
    pub(crate) fn canary_if(is_canary: bool) -> Self {
        if is_canary {
            Arm::Canary
        } else {
            Arm::Baseline
        }
    }
}

/// One value for each arm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PerArm<T> {
    /// The baseline's value.
    pub(crate) baseline: T,
    /// The canary's value.
    pub(crate) canary: T,
}

impl<T> Index<Arm> for PerArm<T> {
    type Output = T;

    fn index(&self, arm: Arm) -> &T {
        match arm {
            Arm::Baseline => &self.baseline,
            Arm::Canary => &self.canary,
        }
    }
}

impl<T> IndexMut<Arm> for PerArm<T> {
    fn index_mut(&mut self, arm: Arm) -> &mut T {
        match arm {
            Arm::Baseline => &mut self.baseline,
            Arm::Canary => &mut self.canary,
        }
    }
}
