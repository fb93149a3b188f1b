//! Who is in the fleet.
//!
//! May know: names, start numbers, keys, bytes that came and the time that it is told. Must not: open a socket, read a clock,
//! draw a number, or decide anything about sessions; what is made of a member is for others.
//!
//! So far: [`seal`], the envelope of every datagram. The membership itself follows (docs/members.md).

pub mod seal;

/// Microseconds of a clock that only goes forward.
pub type Micros = i64;
