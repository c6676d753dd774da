//! The gossip message, as it goes between routers.
//!
//! All numbers are little-endian: one byte whether it is a reply, one whether its sender is fresh, two for the
//! build, then two for each figure (the upper half of a 32-bit float).

use crate::interface::BuildId;

/// Half of the last place that is kept of a figure's bits.
const ROUNDING_OFFSET: u32 = 0x8000;

/// Bits of a 32-bit float that are not sent.
const DROPPED_BITS: u32 = 16;

/// What one router tells another.
pub(super) struct GossipMessage {
    pub(super) is_reply: bool,
    /// The sender started while a canary was out, and knows nothing of it yet.
    pub(super) is_fresh: bool,
    /// The build that the figures are of.
    pub(super) build: BuildId,
    /// Requests that it admitted in the exposure window.
    pub(super) received: f64,
    /// The relative slowdown that it sees.
    pub(super) slowdown: f64,
    /// Its evidence, in the order of [`super::evidence::Evidence::figures`].
    pub(super) figures: Vec<f64>,
}

impl GossipMessage {
    /// Writes the message.
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![u8::from(self.is_reply), u8::from(self.is_fresh)];
        bytes.extend(self.build.0.to_le_bytes());
        let head = [self.received, self.slowdown];
        for figure in head.iter().chain(&self.figures) {
            bytes.extend(to_bfloat16(*figure).to_le_bytes());
        }
        bytes
    }

    /// Reads a message; none where the bytes are not one of finite figures of zero or more.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let ([is_reply, is_fresh, low, high], body) = bytes.split_first_chunk()?;
        let (body, rest) = body.as_chunks::<2>();
        let values: Vec<f64> = body.iter().map(|bytes| from_bfloat16(*bytes)).collect();
        let is_valid = values
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0);
        let ([received, slowdown], figures) = values.split_first_chunk()?;
        if !is_valid || !rest.is_empty() {
            return None;
        }
        Some(GossipMessage {
            is_reply: *is_reply == 1,
            is_fresh: *is_fresh == 1,
            build: BuildId(u16::from_le_bytes([*low, *high])),
            received: *received,
            slowdown: *slowdown,
            figures: figures.to_vec(),
        })
    }
}

/// The upper half of a 32-bit float, rounded: a figure to one part in 256.
fn to_bfloat16(figure: f64) -> u16 {
    (((figure as f32).to_bits() + ROUNDING_OFFSET) >> DROPPED_BITS) as u16
}

/// The figure that two bytes stand for.
fn from_bfloat16(bytes: [u8; 2]) -> f64 {
    let bits = u32::from(u16::from_le_bytes(bytes)) << DROPPED_BITS;
    f64::from(f32::from_bits(bits))
}
