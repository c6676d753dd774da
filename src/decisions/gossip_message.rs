//! The format of gossip messages between routers.
//!
//! All numbers are little-endian. A message holds one byte that tells whether it is a reply, one byte that tells
//! whether its sender is fresh (see [`GossipMessage::is_fresh`]), two bytes for the build, and two bytes for each
//! further number: the upper half of a 32-bit float (bfloat16).

use crate::interface::BuildId;

/// Half of the last bit that is kept, added to the bits of a 32-bit float to round to nearest.
const ROUNDING_OFFSET: u32 = 0x8000;

/// The number of low bits of a 32-bit float that are not sent.
const DROPPED_BITS: u32 = 16;

/// A gossip message.
pub(super) struct GossipMessage {
    /// Whether it replies to a message of its receiver.
    pub(super) is_reply: bool,
    /// The sender started during a rollout and has no evidence about the canary yet.
    pub(super) is_fresh: bool,
    /// The build that the counts are about.
    pub(super) build: BuildId,
    /// The requests that the sender received in its exposure window.
    pub(super) received: f64,
    /// The relative slowdown that the sender observes.
    pub(super) slowdown: f64,
    /// The sender's evidence, in the order of [`super::evidence::Evidence::flat_counts`].
    pub(super) counts: Vec<f64>,
}

impl GossipMessage {
    /// Encodes the message.
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![u8::from(self.is_reply), u8::from(self.is_fresh)];
        bytes.extend(self.build.0.to_le_bytes());
        let head = [self.received, self.slowdown];
        for number in head.iter().chain(&self.counts) {
            bytes.extend(to_bfloat16(*number).to_le_bytes());
        }
        bytes
    }

    /// Decodes a message; none where the length is wrong or a number is negative or not finite.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let ([is_reply, is_fresh, low, high], body) = bytes.split_first_chunk()?;
        let (body, rest) = body.as_chunks::<2>();
        let values: Vec<f64> = body.iter().map(|bytes| from_bfloat16(*bytes)).collect();
        let is_valid = values
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0);
        let ([received, slowdown], counts) = values.split_first_chunk()?;
        if !is_valid || !rest.is_empty() {
            return None;
        }
        Some(GossipMessage {
            is_reply: *is_reply == 1,
            is_fresh: *is_fresh == 1,
            build: BuildId(u16::from_le_bytes([*low, *high])),
            received: *received,
            slowdown: *slowdown,
            counts: counts.to_vec(),
        })
    }
}

/// The upper half of a 32-bit float, rounded; the relative error is at most 1/256.
fn to_bfloat16(number: f64) -> u16 {
    (((number as f32).to_bits() + ROUNDING_OFFSET) >> DROPPED_BITS) as u16
}

/// The number that two little-endian bytes encode.
fn from_bfloat16(bytes: [u8; 2]) -> f64 {
    let bits = u32::from(u16::from_le_bytes(bytes)) << DROPPED_BITS;
    f64::from(f32::from_bits(bits))
}
