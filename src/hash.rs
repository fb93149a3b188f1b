//! Hashes in place of random numbers, so that equal events give equal actions.

use crate::interface::{ServerId, SessionId};

/// The finalizer of SplitMix64.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Salt for server ids, so that a server and a session with equal ids hash differently.
const SERVER_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Orders servers of equal load, differently for each request and director.
pub(crate) fn tie_breaker(director_seed: u64, session: SessionId, server: ServerId) -> u64 {
    mix(director_seed ^ mix(session.0) ^ mix(server.0.wrapping_add(SERVER_SALT)))
}

/// A pseudo-random number from 0 up to 1, excluding 1; equal for equal seeds.
pub(crate) fn draw(seed: u64) -> f64 {
    (mix(mix(seed)) >> 11) as f64 / (1u64 << 53) as f64
}
