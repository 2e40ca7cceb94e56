//! Mixing of hash bits.

/// Mixes the bits of a hash with the `SplitMix64` finaliser, so that each input bit affects the
/// whole word.
pub(crate) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
