//! Which regions hear one another and the control machines.

use super::layout::Place;

/// The region of the control machines.
pub const CONTROL_REGION: u32 = 0;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Partition {
    /// The regions have lost each other.
    pub regions_apart: bool,
}

impl Partition {
    pub fn reaches(&self, from: Place, to: Place) -> bool {
        !self.regions_apart || from.region == to.region
    }

    /// Whether a router hears discovery and the platform.
    pub fn reaches_control(&self, router: Place) -> bool {
        !self.regions_apart || router.region == CONTROL_REGION
    }
}

#[cfg(test)]
mod tests;
