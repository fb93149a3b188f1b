//! Hashes for draws. Nothing is decided here.

pub(super) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// From 0 to 1, the same for the same seed.
pub(super) fn draw(seed: u64) -> f64 {
    (mix(mix(seed)) >> 11) as f64 / (1u64 << 53) as f64
}
