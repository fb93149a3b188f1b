//! Hashes that stand in for random draws, so that equal events give equal actions.

use crate::interface::{ServerId, SessionId};

/// Spreads the bits of a number: the finalizer of SplitMix64.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Salt of server ids, so that a server and a session of one number differ.
const SERVER_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Orders servers of equal load: each request falls its own way at each director.
pub(crate) fn tie_breaker(director_seed: u64, session: SessionId, server: ServerId) -> u64 {
    mix(director_seed ^ mix(session.0) ^ mix(server.0.wrapping_add(SERVER_SALT)))
}

/// A draw from 0 to 1, the same for the same seed.
pub(crate) fn draw(seed: u64) -> f64 {
    (mix(mix(seed)) >> 11) as f64 / (1u64 << 53) as f64
}
