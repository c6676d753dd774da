//! The hash function behind all choices that must be the same at every router or after every restart.

/// Mixes the bits of a value with the finalizer of SplitMix64. The result is the same on every machine.
pub(crate) fn hash_mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
