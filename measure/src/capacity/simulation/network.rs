//! Latency and loss between places, and regions that lose each other.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

#[cfg(test)]
mod tests;

/// Seconds one way: within a zone, between zones of a region, between regions.
const ONE_WAY: [f64; 3] = [0.000_3, 0.001, 0.03];
/// Of each latency, its mean addition by chance.
const JITTER: f64 = 0.2;
/// Datagrams lost, of all, while the network is whole.
const LOSS: f64 = 0.001;

/// Where a router or a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub region: usize,
    /// Counted over all regions.
    pub zone: usize,
}

/// The network between all places.
#[derive(Default)]
pub struct Network {
    partitioned: bool,
}

impl Network {
    /// From now on the regions reach each other, or do not.
    pub fn partition(&mut self, partitioned: bool) {
        self.partitioned = partitioned;
    }

    pub fn connects(&self, one: usize, other: usize) -> bool {
        one == other || !self.partitioned
    }

    /// Seconds that a message takes one way.
    pub fn latency(&self, from: Place, to: Place, random: &mut ChaCha8Rng) -> f64 {
        let distance = if from.zone == to.zone {
            0
        } else {
            1 + usize::from(from.region != to.region)
        };
        let jitter = -(1.0 - random.random::<f64>()).ln() * JITTER;
        ONE_WAY[distance] * (1.0 + jitter)
    }

    /// Seconds that a datagram takes; none where it is lost.
    pub fn datagram(&self, from: Place, to: Place, random: &mut ChaCha8Rng) -> Option<f64> {
        let latency = self.latency(from, to, random);
        let lost = random.random::<f64>() < LOSS;
        (self.connects(from.region, to.region) && !lost).then_some(latency)
    }
}
