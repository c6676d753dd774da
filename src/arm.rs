//! The two sides of a rollout that a router compares.

use std::ops::{Index, IndexMut};

/// One side of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Arm {
    /// The build, or builds, before the canary.
    Baseline,
    /// The newest build.
    Canary,
}

impl Arm {
    /// Both arms, the baseline first.
    pub(crate) const BOTH: [Arm; 2] = [Arm::Baseline, Arm::Canary];

    /// The canary's arm where the condition holds, the baseline's elsewhere.
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
